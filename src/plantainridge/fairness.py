"""Which teams ask for more than a fair part of what the engines take in.

The fair parts are max-min: a team that asks for less than an equal part gets
all it asks for, and what it leaves is cut equally among the others.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.effects import Effect
from plantainridge.events import TimerFired
from plantainridge.ids import TeamId

if TYPE_CHECKING:
    from plantainridge.state import VmState

# How far above the fair part a team's rate may be, as a factor.
SLACK: Final = 1.1
# Part of the work offered that must be refused before parts are enforced.
REFUSED_PART: Final = 0.02


@attrs.frozen
class Work:
    """A team's work over all VMs of the data centre.

    Attributes:
        offered: Tokens asked for per second.
        admitted: Tokens taken in per second.
    """

    offered: float = 0.0
    admitted: float = 0.0


@attrs.define
class FairnessState:
    """Teams that ask for more than their fair part, as of the last tick."""

    above: frozenset[TeamId] = frozenset()


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Finds the teams above their fair part."""
    del event
    state.fairness.above = teams_above(_work(state, now))
    yield from ()


def teams_above(work: Mapping[TeamId, Work]) -> frozenset[TeamId]:
    """Returns the teams that ask for more than their fair part.

    None if almost all that is offered is taken in.
    """
    offered = sum(each.offered for each in work.values())
    admitted = sum(each.admitted for each in work.values())
    if offered - admitted <= REFUSED_PART * offered:
        return frozenset()
    level = fair_level([each.offered for each in work.values()], admitted)
    return frozenset(
        team for team, each in work.items() if each.offered > level * SLACK)


def fair_level(offered: Sequence[float], capacity: float) -> float:
    """Returns the largest part that a team may have of a capacity.

    It is the level at which the parts, each the smaller of the level and
    what is offered, add up to the capacity.
    """
    left = capacity
    rest = sorted(offered)
    for i, each in enumerate(rest):
        level = left / (len(rest) - i)
        if each >= level:
            return level
        left -= each
    return rest[-1] if rest else 0.0


def _work(state: 'VmState', now: float) -> dict[TeamId, Work]:
    found: dict[TeamId, Work] = {
        team: Work(usage.offered.per_s(now), usage.admitted.per_s(now))
        for team, usage in state.limits.usage.items()
    }
    for teams in state.limits.peers.values():
        for team, said in teams.items():
            sofar = found.get(team, Work())
            found[team] = Work(sofar.offered + said.offered,
                               sofar.admitted + said.admitted)
    return found
