"""Which teams ask for more than a fair part of what the engines take in.

The fair parts are max-min: a team that asks for less than an equal part gets
all it asks for, and what it leaves is cut equally among the others.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.ids import TeamId
from plantainridge.loop.effects import Effect
from plantainridge.loop.events import TimerFired

if TYPE_CHECKING:
    from plantainridge.state import VmState

# How far above its fair part a team may be, as a factor.
SLACK: Final = 1.1
# Part of the work offered that must be refused before parts are enforced.
REFUSED_PART: Final = 0.02


@attrs.define
class FairnessState:
    """Fair parts in force, as of the last tick.

    Attributes:
        caps: Tokens per second that this VM takes in of each team that asks
            for more than its fair part.
    """

    caps: Mapping[TeamId, float] = attrs.field(factory=dict)


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Finds the teams above their fair part, and what of them is taken."""
    del event
    limits = state.limits
    own = {
        team: usage.offered.per_s(now) for team, usage in limits.usage.items()
    }
    offered = dict(own)
    for teams in limits.peers.values():
        for team, said in teams.items():
            offered[team] = offered.get(team, 0.0) + said.offered
    admitted = sum(usage.admitted.per_s(now) for usage in limits.usage.values())
    admitted += sum(limits.admitted.values())
    above = teams_over_share(offered, admitted)
    state.fairness.caps = {
        team: above[team] * own[team] / offered[team]
        for team in above
        if team in own
    }
    yield from ()


def teams_over_share(offered: Mapping[TeamId, float],
                     admitted: float) -> dict[TeamId, float]:
    """Returns the teams that ask for more than their fair part.

    Args:
        offered: Tokens per second that each team asks for.
        admitted: Tokens per second that are taken in of all.

    Returns:
        What each of them may have, in tokens per second; nothing if almost
        all that is offered is taken in.
    """
    total = sum(offered.values())
    if total - admitted <= REFUSED_PART * total:
        return {}
    level = SLACK * fair_share(list(offered.values()), admitted)
    return {team: level for team, each in offered.items() if each > level}


def fair_share(offered: Sequence[float], capacity: float) -> float:
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
