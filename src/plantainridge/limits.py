"""Team limits enforced across the VMs of a data centre without a coordinator.

Each VM reports the demand of its teams to the others. Every VM divides a team's
limit into integer shares in proportion to these demands, in the same way; a VM
whose report is missing keeps an even share. A share shrinks at once, but grows
only after it could have been larger for longer than a report takes to spread,
so that the shares of all VMs do not add up to more than the limit while demand
moves between them.
"""

import json
import math
from collections.abc import Iterator, Mapping, Sequence
from typing import TYPE_CHECKING, Final

import attrs
import cattrs
from cattrs.preconf.json import make_converter

from plantainridge import gossip, members
from plantainridge.gossip import Topic
from plantainridge.ids import TeamId, VmId
from plantainridge.loop.effects import Effect
from plantainridge.loop.events import TimerFired
from plantainridge.rates import Rate

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Age after which another VM's demand report expires, in s.
DEMAND_MAX_AGE_S: Final = 12.0
# How long a larger share must have been due before it is used, in s.
SHARE_GROWTH_DELAY_S: Final = 6.0
# Interval between demand reports, in s.
REPORT_INTERVAL_S: Final = 3.0
# Ratio of its share from which a team's demand is reported.
REPORT_THRESHOLD_RATIO: Final = 0.7
# Ratio of an even share that is added to each VM's demand as its weight, so
# that a VM without demand keeps a share.
IDLE_SHARE_RATIO: Final = 0.1
# Teams in one report; keeps it within the budget for control traffic.
MAX_REPORTED_TEAMS: Final = 16

_CONVERTER: Final = make_converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)


@attrs.frozen
class TeamDemand:
    """Demand of one team on one VM.

    Attributes:
        running: Calls of the team in flight on the VM.
        desired_calls: Calls that would be in flight without the limit.
        offered: Tokens per second requested by the team.
    """

    team: TeamId
    running: int
    desired_calls: int
    offered: int


@attrs.frozen
class VmDemand:
    """Demand report of one VM.

    Attributes:
        complete: Whether every team with demand is listed.
        admitted: Tokens per second admitted by the VM.
        teams: The teams with the largest demand, in descending order.
    """

    complete: bool
    admitted: int
    teams: tuple[TeamDemand, ...]


@attrs.frozen
class InvalidDemand:
    """Result of decoding an invalid demand report."""


@attrs.define
class TeamUsage:
    """Usage of one team on this VM.

    Attributes:
        offered: Requested tokens.
        admitted: Admitted tokens.
        limited: Calls refused because of the limit.
        share: Calls that the team may have in flight here; negative until it
            is first computed.
        pending_since: Loop time since which a larger share is due, in s, or
            None.
        pending_share: Smallest share computed since then.
    """

    offered: Rate = attrs.field(factory=Rate)
    admitted: Rate = attrs.field(factory=Rate)
    limited: Rate = attrs.field(factory=Rate)
    share: int = -1
    pending_since: float | None = None
    pending_share: int = 0


@attrs.define
class LimitsState:
    """Demand on this VM and on the others.

    Attributes:
        usage: Usage on this VM, by team.
        peers: The last report of each other VM, by VM and team.
        complete: VMs whose last report lists all their teams.
        admitted: Tokens per second admitted by each other VM.
        payloads: The encoded reports that `peers` was decoded from.
        sharing_vms: The VMs that share the limits, in order.
        reported_at: Loop time of this VM's last report, in s.
        refused_at: Loop time of the last refusal under load, in s.
    """

    usage: dict[TeamId, TeamUsage] = attrs.field(factory=dict)
    peers: dict[VmId, Mapping[TeamId, TeamDemand]] = attrs.field(factory=dict)
    complete: set[VmId] = attrs.field(factory=set)
    admitted: dict[VmId, int] = attrs.field(factory=dict)
    payloads: dict[VmId, bytes] = attrs.field(factory=dict)
    sharing_vms: list[VmId] = attrs.field(factory=list)
    reported_at: float = -math.inf
    refused_at: float = -math.inf

    def team_usage(self, team: TeamId) -> TeamUsage:
        """Return the usage of a team, created on first use."""
        found = self.usage.get(team)
        if found is None:
            found = TeamUsage()
            self.usage[team] = found
        return found


def encode(demand: VmDemand) -> bytes:
    """Return the bytes of a message on `Topic.DEMAND`."""
    return json.dumps(_CONVERTER.unstructure(demand),
                      separators=(',', ':')).encode()


def decode(payload: bytes) -> VmDemand | InvalidDemand:
    """Read a message on `Topic.DEMAND`."""
    try:
        return _CONVERTER.structure(json.loads(payload), VmDemand)
    except (ValueError, TypeError, cattrs.BaseValidationError):
        return InvalidDemand()


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Publish this VM's demand, apply other reports and update shares."""
    del event
    limits = state.limits
    limits.sharing_vms = _sharing_vms(state, now)
    _apply_reports(state, now)
    for team in list(limits.usage):
        usage = limits.usage[team]
        if state.calls.running[team] == 0 and usage.offered.idle(now):
            del limits.usage[team]
            continue
        _update_share(state, team, usage, now)
    if now - limits.reported_at >= REPORT_INTERVAL_S and _should_report(
            state, now):
        limits.reported_at = now
        gossip.publish(state, Topic.DEMAND, encode(_own_demand(state, now)))
    yield from ()


def record_refusal(state: 'VmState', now: float) -> None:
    """Record a refusal under load; reports of demand continue after it."""
    state.limits.refused_at = now


def reached(state: 'VmState', team: TeamId) -> bool:
    """Return whether a team may have no further call in flight on this VM.

    Also true while calls that other VMs started under a former share fill the
    team's limit.
    """
    running = state.calls.running[team]
    limit = state.config.teams[team].max_running
    usage = state.limits.team_usage(team)
    if usage.share < 0:
        usage.share = _compute_share(state, team, limit, 0.0)
    if running >= usage.share:
        return True
    running_elsewhere = sum(teams[team].running
                            for teams in state.limits.peers.values()
                            if team in teams)
    return running + running_elsewhere >= limit


def desired_calls(state: 'VmState', team: TeamId, now: float) -> float:
    """Return how many calls a team would have in flight without its limit."""
    limited = state.limits.team_usage(team).limited
    return state.calls.running[team] + limited.per_s(now)


def apportion(limit: int, weights: Sequence[float]) -> list[int]:
    """Divide a limit into integer shares by weight; their sum is the limit.

    The remainder goes to the largest fractions; ties go to the lower index.
    """
    total = sum(weights)
    exact = [limit * weight / total for weight in weights]
    shares = [int(quota) for quota in exact]
    order = sorted(range(len(exact)), key=lambda i: (shares[i] - exact[i], i))
    for i in order[:limit - sum(shares)]:
        shares[i] += 1
    return shares


def _sharing_vms(state: 'VmState', now: float) -> list[VmId]:
    """Return the VMs that share the limits, in order.

    A listed VM counts even if no messages arrive from it: it may be partitioned
    from this VM and still serve requests.
    """
    listed = {
        vm for vm, member in state.members.listed.items()
        if member.dc == state.dc and not member.leaving
    }
    return sorted(listed.union(members.live_in_dc(state, now)))


def _apply_reports(state: 'VmState', now: float) -> None:
    limits = state.limits
    received = dict(
        gossip.received_values(state, Topic.DEMAND, now, DEMAND_MAX_AGE_S))
    for vm in [vm for vm in limits.peers if vm not in received]:
        del limits.peers[vm]
        del limits.payloads[vm]
        del limits.admitted[vm]
        limits.complete.discard(vm)
    for vm, payload in received.items():
        if limits.payloads.get(vm) == payload:
            continue
        demand = decode(payload)
        if isinstance(demand, InvalidDemand):
            continue
        limits.payloads[vm] = payload
        limits.peers[vm] = {each.team: each for each in demand.teams}
        limits.admitted[vm] = demand.admitted
        limits.complete.discard(vm)
        if demand.complete:
            limits.complete.add(vm)


def _should_report(state: 'VmState', now: float) -> bool:
    """Return whether another VM may need this VM's demand."""
    limits = state.limits
    if limits.peers or now - limits.refused_at <= DEMAND_MAX_AGE_S:
        return True
    return any(
        desired_calls(state, team, now) >= REPORT_THRESHOLD_RATIO * usage.share
        for team, usage in limits.usage.items())


def _own_demand(state: 'VmState', now: float) -> VmDemand:
    usages = state.limits.usage
    teams = [
        TeamDemand(team, state.calls.running[team],
                   round(desired_calls(state, team, now)),
                   round(usage.offered.per_s(now)))
        for team, usage in usages.items()
    ]
    teams.sort(key=lambda each: (-each.offered, each.team))
    admitted = sum(usage.admitted.per_s(now) for usage in usages.values())
    return VmDemand(
        len(teams) <= MAX_REPORTED_TEAMS, round(admitted),
        tuple(teams[:MAX_REPORTED_TEAMS]))


def _update_share(state: 'VmState', team: TeamId, usage: TeamUsage,
                  now: float) -> None:
    team_config = state.config.teams.get(team)
    if team_config is None:
        return
    share = _compute_share(state, team, team_config.max_running,
                           desired_calls(state, team, now))
    if usage.share < 0 or share <= usage.share:
        usage.share = share
        usage.pending_since = None
        return
    if usage.pending_since is None:
        usage.pending_since, usage.pending_share = now, share
    usage.pending_share = min(usage.pending_share, share)
    if now - usage.pending_since >= SHARE_GROWTH_DELAY_S:
        usage.share = usage.pending_share
        usage.pending_since = None


def _compute_share(state: 'VmState', team: TeamId, limit: int,
                   own_calls: float) -> int:
    """Return this VM's share of a team's limit.

    An even share is reserved for each VM whose demand is unknown.
    """
    limits = state.limits
    sharing_vms = limits.sharing_vms or [state.vm]
    floor = IDLE_SHARE_RATIO * limit / len(sharing_vms)
    weights: list[float] = []
    for vm in sharing_vms:
        if vm == state.vm:
            weights.append(own_calls + floor)
        elif vm in limits.peers and team in limits.peers[vm]:
            weights.append(limits.peers[vm][team].desired_calls + floor)
        elif vm in limits.complete:
            weights.append(floor)
        else:
            weights.append(-1.0)
    even_shares = apportion(limit, [1.0] * len(sharing_vms))
    own_index = sharing_vms.index(state.vm)
    known_indices = [i for i, weight in enumerate(weights) if weight >= 0]
    if known_indices == [own_index]:
        return even_shares[own_index]
    remaining = sum(even_shares[i] for i in known_indices)
    shares = apportion(remaining, [weights[i] for i in known_indices])
    return shares[known_indices.index(own_index)]
