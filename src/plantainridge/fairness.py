"""Max-min fair sharing of the engines' capacity among teams.

A team that offers less than an equal share is admitted in full, and what it
leaves is divided equally among the others.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.ids import TeamId
from plantainridge.loop.effects import Effect
from plantainridge.loop.events import TimerFired

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Multiple of its fair share up to which a team is not capped.
OVER_SHARE_FACTOR: Final = 1.1
# Ratio of the offered work that must be refused before shares are enforced.
MIN_REFUSED_RATIO: Final = 0.02


@attrs.define
class FairnessState:
    """Caps in force as of the last tick.

    Attributes:
        caps: Tokens per second that this VM admits of each team over its fair
            share.
    """

    caps: Mapping[TeamId, float] = attrs.field(factory=dict)


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Update the caps of the teams over their fair share.

    A team's cap is divided among VMs in proportion to the work offered to each.
    """
    del event
    limits = state.limits
    own = {
        team: usage.offered.per_s(now) for team, usage in limits.usage.items()
    }
    offered = dict(own)
    for teams in limits.peers.values():
        for team, demand in teams.items():
            offered[team] = offered.get(team, 0.0) + demand.offered
    admitted = sum(usage.admitted.per_s(now) for usage in limits.usage.values())
    admitted += sum(limits.admitted.values())
    over_share = teams_over_share(offered, admitted)
    state.fairness.caps = {
        team: over_share[team] * own[team] / offered[team]
        for team in over_share
        if team in own
    }
    yield from ()


def teams_over_share(offered: Mapping[TeamId, float],
                     admitted: float) -> dict[TeamId, float]:
    """Return the teams that offer more than their fair share.

    Args:
        offered: Tokens per second offered by each team.
        admitted: Tokens per second admitted in total.

    Returns:
        The cap of each such team, in tokens per second; empty if almost all
        offered work is admitted.
    """
    total = sum(offered.values())
    if total - admitted <= MIN_REFUSED_RATIO * total:
        return {}
    max_share = OVER_SHARE_FACTOR * fair_share(list(offered.values()), admitted)
    return {
        team: max_share for team, each in offered.items() if each > max_share
    }


def fair_share(offered: Sequence[float], capacity: float) -> float:
    """Return the max-min fair share of a capacity.

    It is the bound for which the allocations, each the smaller of the bound and
    the offered work, add up to the capacity.

    Args:
        offered: Work offered by each team, in the unit of the capacity.
        capacity: Capacity to divide.
    """
    remaining = capacity
    ascending = sorted(offered)
    for i, each in enumerate(ascending):
        max_share = remaining / (len(ascending) - i)
        if each >= max_share:
            return max_share
        remaining -= each
    return ascending[-1] if ascending else 0.0
