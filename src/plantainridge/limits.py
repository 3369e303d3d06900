"""Limits of teams held over all VMs of a data centre without a coordinator.

Each VM tells the others the demand of its teams. A team's limit is cut into
integer shares by these demands, the same way on every VM; a VM that is not
heard keeps an even share. A share shrinks at once and grows only after it has
been larger for longer than word takes to travel, so that the shares of all
VMs do not overlap while demand moves.
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

# Age after which another VM's word on demand no longer counts, in s.
HEARD_MAX_AGE_S: Final = 12.0
# How long a share must have been larger before it is used, in s.
GROW_AFTER_S: Final = 6.0
# Time between two words on demand, in s.
SAY_EVERY_S: Final = 3.0
# Part of its share from which a team's demand is told.
NEAR_PART: Final = 0.7
# Part of an even share that a VM without demand keeps.
IDLE_PART: Final = 0.1
# Teams that one message names; keeps it within the control budget.
MAX_TEAMS: Final = 16

_CONVERTER: Final = make_converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)


@attrs.frozen
class TeamDemand:
    """What one VM says of one team.

    Attributes:
        running: Calls of the team in flight on the VM.
        wanted: Calls that would be in flight without the limit.
        offered: Tokens asked for per second.
    """

    team: TeamId
    running: int
    wanted: int
    offered: int


@attrs.frozen
class VmDemand:
    """What one VM says of its teams.

    Attributes:
        complete: Whether every team with demand is named.
        admitted: Tokens taken in per second.
        teams: The teams with the largest demand.
    """

    complete: bool
    admitted: int
    teams: tuple[TeamDemand, ...]


@attrs.frozen
class InvalidDemand:
    """Says that another VM's word could not be read."""


@attrs.define
class TeamUsage:
    """This VM's own readings of one team.

    Attributes:
        offered: Tokens asked for.
        admitted: Tokens taken in.
        limited: Calls refused because of the limit.
        share: Calls that the team may have in flight here; negative until
            the first reckoning.
        larger_since: Loop time since which the share could be larger, in s.
        larger: Smallest share reckoned since then.
    """

    offered: Rate = attrs.field(factory=Rate)
    admitted: Rate = attrs.field(factory=Rate)
    limited: Rate = attrs.field(factory=Rate)
    share: int = -1
    larger_since: float | None = None
    larger: int = 0


@attrs.define
class LimitsState:
    """Demand here and on other VMs.

    Attributes:
        usage: This VM's own readings by team.
        peers: What each other VM last said, by VM and team.
        complete: Which of them named all their teams.
        admitted: Tokens per second that each of them takes in.
        read: The bytes that `peers` was read from.
        live: The VMs that share the limits, in order.
        said_at: Loop time of the last word on demand, in s.
        refused_at: Loop time of the last refusal under load, in s.
    """

    usage: dict[TeamId, TeamUsage] = attrs.field(factory=dict)
    peers: dict[VmId, Mapping[TeamId, TeamDemand]] = attrs.field(factory=dict)
    complete: set[VmId] = attrs.field(factory=set)
    admitted: dict[VmId, int] = attrs.field(factory=dict)
    read: dict[VmId, bytes] = attrs.field(factory=dict)
    sharing_vms: list[VmId] = attrs.field(factory=list)
    said_at: float = -math.inf
    refused_at: float = -math.inf

    def team_usage(self, team: TeamId) -> TeamUsage:
        """Returns a team's readings, new ones if there are none."""
        found = self.usage.get(team)
        if found is None:
            found = TeamUsage()
            self.usage[team] = found
        return found


def encode(demand: VmDemand) -> bytes:
    """Returns the bytes of a message on `Topic.DEMAND`."""
    return json.dumps(_CONVERTER.unstructure(demand),
                      separators=(',', ':')).encode()


def decode(payload: bytes) -> VmDemand | InvalidDemand:
    """Reads a message on `Topic.DEMAND`."""
    try:
        return _CONVERTER.structure(json.loads(payload), VmDemand)
    except (ValueError, TypeError, cattrs.BaseValidationError):
        return InvalidDemand()


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Says this VM's demand, hears the others' and renews the shares."""
    del event
    limits = state.limits
    limits.sharing_vms = _sharers(state, now)
    _hear(state, now)
    for team in list(limits.usage):
        usage = limits.usage[team]
        if state.calls.running[team] == 0 and usage.offered.idle(now):
            del limits.usage[team]
            continue
        _renew_share(state, team, usage, now)
    if now - limits.said_at >= SAY_EVERY_S and _worth_saying(state, now):
        limits.said_at = now
        gossip.publish(state, Topic.DEMAND, encode(_own_demand(state, now)))
    yield from ()


def record_refusal(state: 'VmState', now: float) -> None:
    """Notes a refusal under load; demand is told for a while after it."""
    state.limits.refused_at = now


def reached(state: 'VmState', team: TeamId) -> bool:
    """Whether a team may have no further call in flight here.

    True as well while calls that other VMs still run under an older share
    fill the team's limit.
    """
    running = state.calls.running[team]
    limit = state.config.teams[team].max_running
    usage = state.limits.team_usage(team)
    if usage.share < 0:
        usage.share = _reckon(state, team, limit, 0.0)
    if running >= usage.share:
        return True
    elsewhere = sum(teams[team].running
                    for teams in state.limits.peers.values()
                    if team in teams)
    return running + elsewhere >= limit


def wanted(state: 'VmState', team: TeamId, now: float) -> float:
    """Calls of a team that would be in flight here without its limit."""
    limited = state.limits.team_usage(team).limited
    return state.calls.running[team] + limited.per_s(now)


def apportion(limit: int, weights: Sequence[float]) -> list[int]:
    """Cuts a limit into integer shares by weight; their sum is the limit.

    Remainders go to the largest fractions, ties to the earlier place.
    """
    total = sum(weights)
    exact = [limit * weight / total for weight in weights]
    shares = [int(part) for part in exact]
    order = sorted(range(len(exact)), key=lambda i: (shares[i] - exact[i], i))
    for i in order[:limit - sum(shares)]:
        shares[i] += 1
    return shares


def _sharers(state: 'VmState', now: float) -> list[VmId]:
    """Lists the VMs that a limit is shared among.

    One that is listed counts although it is silent: it may be cut off from
    this VM and serve all the same.
    """
    listed = {
        vm for vm, member in state.members.listed.items()
        if member.dc == state.dc and not member.leaving
    }
    return sorted(listed.union(members.live_in_dc(state, now)))


def _hear(state: 'VmState', now: float) -> None:
    limits = state.limits
    heard = dict(
        gossip.received_values(state, Topic.DEMAND, now, HEARD_MAX_AGE_S))
    for vm in [vm for vm in limits.peers if vm not in heard]:
        del limits.peers[vm]
        del limits.read[vm]
        del limits.admitted[vm]
        limits.complete.discard(vm)
    for vm, payload in heard.items():
        if limits.read.get(vm) == payload:
            continue
        demand = decode(payload)
        if isinstance(demand, InvalidDemand):
            continue
        limits.read[vm] = payload
        limits.peers[vm] = {each.team: each for each in demand.teams}
        limits.admitted[vm] = demand.admitted
        limits.complete.discard(vm)
        if demand.complete:
            limits.complete.add(vm)


def _worth_saying(state: 'VmState', now: float) -> bool:
    """Whether any VM may need to know of this VM's demand."""
    limits = state.limits
    if limits.peers or now - limits.refused_at <= HEARD_MAX_AGE_S:
        return True
    return any(
        wanted(state, team, now) >= NEAR_PART * usage.share
        for team, usage in limits.usage.items())


def _own_demand(state: 'VmState', now: float) -> VmDemand:
    usages = state.limits.usage
    teams = [
        TeamDemand(team, state.calls.running[team],
                   round(wanted(state, team, now)),
                   round(usage.offered.per_s(now)))
        for team, usage in usages.items()
    ]
    teams.sort(key=lambda each: (-each.offered, each.team))
    admitted = sum(usage.admitted.per_s(now) for usage in usages.values())
    return VmDemand(
        len(teams) <= MAX_TEAMS, round(admitted), tuple(teams[:MAX_TEAMS]))


def _renew_share(state: 'VmState', team: TeamId, usage: TeamUsage,
                 now: float) -> None:
    terms = state.config.teams.get(team)
    if terms is None:
        return
    share = _reckon(state, team, terms.max_running, wanted(state, team, now))
    if usage.share < 0 or share <= usage.share:
        usage.share = share
        usage.larger_since = None
        return
    if usage.larger_since is None:
        usage.larger_since, usage.larger = now, share
    usage.larger = min(usage.larger, share)
    if now - usage.larger_since >= GROW_AFTER_S:
        usage.share = usage.larger
        usage.larger_since = None


def _reckon(state: 'VmState', team: TeamId, limit: int, own: float) -> int:
    """Returns this VM's part of a team's limit.

    VMs whose demand is not known are set an even part aside.
    """
    limits = state.limits
    sharing_vms = limits.sharing_vms or [state.vm]
    floor = IDLE_PART * limit / len(sharing_vms)
    weights: list[float] = []
    for vm in sharing_vms:
        if vm == state.vm:
            weights.append(own + floor)
        elif vm in limits.peers and team in limits.peers[vm]:
            weights.append(limits.peers[vm][team].wanted + floor)
        elif vm in limits.complete:
            weights.append(floor)
        else:
            weights.append(-1.0)
    even = apportion(limit, [1.0] * len(sharing_vms))
    here = sharing_vms.index(state.vm)
    known = [i for i, weight in enumerate(weights) if weight >= 0]
    if known == [here]:
        return even[here]
    left = sum(even[i] for i in known)
    shares = apportion(left, [weights[i] for i in known])
    return shares[known.index(here)]
