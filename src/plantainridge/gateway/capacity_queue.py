"""Order of large prompts that wait at a coordinator for an engine's memory.

Made for more large prompts than the engines of a data centre have memory for,
from several teams and routes of different urgency. Urgent prompts go first,
then those that can still be in time, contexts that were never served, and teams
of which the smallest share was served. A prompt that fits nowhere reserves the
engine with the most free memory, so that smaller ones behind it do not take
what is freed there: otherwise the largest prompts would wait longest.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from plantainridge.gateway.grants import GrantKey, key_of
from plantainridge.gateway.peer_messages import PlacementRequest
from plantainridge.ids import EndpointId, TeamId

# Time without a repetition after which a queued request is dropped, in s.
REPEAT_TIMEOUT_S: Final = 1.0
# Longest wait for memory, relative to the request's target.
MAX_WAIT_RATIO: Final = 2.0
# Requests that may fail to fit before the others are not tried.
MAX_FAILED_TRIES: Final = 3
# Time constant of the rate at which memory is freed, in s: runs take about 3 s.
FREED_WINDOW_S: Final = 3.0
# Time constant of the share of each team that was served, in s.
SHARE_WINDOW_S: Final = 10.0
# Steps in which the shares of teams are compared: within one, age decides.
SHARE_STEP: Final = 0.1
# Contexts that are remembered as served; the least recent are dropped first.
MAX_SERVED_CONTEXTS: Final = 8_192
# Bounds of the time after which a refused caller may retry, in s.
MIN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 10.0


@attrs.define
class DecayingSum:
    """Sum of amounts, of which each decays exponentially.

    Attributes:
        window_s: Time constant, in s.
        at: Loop time of the last amount, in s.
        since: Loop time of the first amount, in s.
    """

    window_s: float
    total: float = 0.0
    at: float = -math.inf
    since: float = math.inf

    def add(self, amount: float, now: float) -> None:
        """Add an amount; after a gap of the time constant, start anew."""
        if now - self.at > self.window_s:
            self.total, self.since = 0.0, now
        self.total, self.at = self.value(now) + amount, now

    def value(self, now: float) -> float:
        """Return the sum at a loop time in s."""
        if not self.total:
            return 0.0
        return self.total * math.exp((self.at - now) / self.window_s)

    def rate(self, now: float) -> float | None:
        """Return the rate per s; None while it is not known.

        It is known if amounts arrived for half of the time constant without a
        long gap.
        """
        observed_s = now - self.since
        if observed_s < self.window_s / 2 or now - self.at > self.window_s:
            return None
        weight = 1.0 - math.exp(-observed_s / self.window_s)
        return self.value(now) / (self.window_s * weight)


@attrs.define
class QueuedRequest:
    """A placement request that waits for memory.

    Attributes:
        context: Id of the last shared part of its prompt.
        arrived_at: Loop time at which the request arrived at its VM, in s.
        queued_at: Loop time at which its VM first asked, in s.
        repeated_at: Loop time at which its VM last asked, in s.
    """

    message: PlacementRequest
    context: str
    arrived_at: float
    queued_at: float
    repeated_at: float

    @property
    def refused_at(self) -> float:
        """Loop time at which its time to wait is over, in s."""
        return self.arrived_at + MAX_WAIT_RATIO * self.message.target_s


@attrs.frozen
class Offer:
    """The best engine for a request, whether or not it has memory for it."""

    endpoint: EndpointId
    has_capacity: bool


@attrs.frozen
class Refusal:
    """A request that is refused, with the time to a retry in s."""

    request: QueuedRequest
    retry_after_s: float


@attrs.define
class _TeamShare:
    """Memory that a team asked for and got lately, in tokens."""

    asked: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(SHARE_WINDOW_S))
    served: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(SHARE_WINDOW_S))


@attrs.define
class CapacityQueue:
    """Requests that wait for memory, and what decides their order.

    Attributes:
        entries: The requests, by the key of their messages.
        freed: Memory that ended runs freed, in tokens.
        shares: What each team asked for and got.
        served_contexts: Contexts that got an engine, least recent first.
    """

    entries: dict[GrantKey, QueuedRequest] = attrs.field(factory=dict)
    freed: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(FREED_WINDOW_S))
    shares: dict[TeamId, _TeamShare] = attrs.field(factory=dict)
    served_contexts: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def add(self, request: QueuedRequest, now: float) -> None:
        """Add a request."""
        message = request.message
        self.entries[key_of(message)] = request
        share = self.shares.setdefault(message.team, _TeamShare())
        share.asked.add(message.memory_tokens, now)

    def record_grant(self, request: QueuedRequest, now: float) -> None:
        """Remove a request that got an engine."""
        message = request.message
        del self.entries[key_of(message)]
        share = self.shares.setdefault(message.team, _TeamShare())
        share.served.add(message.memory_tokens, now)
        self.served_contexts[request.context] = None
        self.served_contexts.move_to_end(request.context)
        if len(self.served_contexts) > MAX_SERVED_CONTEXTS:
            self.served_contexts.popitem(last=False)

    def ordered(self, now: float) -> list[QueuedRequest]:
        """Return the requests in the order in which they are served."""
        if len(self.entries) <= 1:
            return list(self.entries.values())
        steps = {
            team: self._share_step(team, now)
            for team in {each.message.team for each in self.entries.values()}
        }
        return sorted(self.entries.values(),
                      key=lambda each:
                      (each.message.urgency, now - each.arrived_at > each.
                       message.target_s, each.context in self.served_contexts,
                       steps[each.message.team], each.arrived_at))

    def _share_step(self, team: TeamId, now: float) -> int:
        """Return which share of a team's requests was served, in steps."""
        share = self.shares[team]
        asked = share.asked.value(now)
        return round(share.served.value(now) / asked /
                     SHARE_STEP) if asked else 0

    def drop_unrepeated(self, now: float) -> None:
        """Drop the requests whose VMs no longer ask, and idle teams."""
        for key, each in list(self.entries.items()):
            if now - each.repeated_at > REPEAT_TIMEOUT_S:
                del self.entries[key]
        waiting = {each.message.team for each in self.entries.values()}
        for team, share in list(self.shares.items()):
            if team not in waiting and share.asked.value(now) < 1.0:
                del self.shares[team]

    def choose(self, offer: Callable[[QueuedRequest, set[EndpointId]],
                                     Offer | None],
               now: float) -> Iterator[tuple[QueuedRequest, EndpointId]]:
        """Yield the requests that get an engine; each is to be recorded.

        Args:
            offer: Returns the best engine for a request outside of some
                reserved ones, or None if there is none.
            now: Loop time in s.
        """
        reserved: set[EndpointId] = set()
        smallest = math.inf
        failed = 0
        for each in self.ordered(now):
            if failed >= MAX_FAILED_TRIES:
                return
            if each.message.memory_tokens >= smallest:
                continue
            found = offer(each, reserved)
            if found is not None and found.has_capacity:
                yield each, found.endpoint
                continue
            failed += 1
            smallest = each.message.memory_tokens
            if found is not None:
                reserved.add(found.endpoint)

    def refusals(self, now: float) -> list[Refusal]:
        """Return the requests that memory will not be freed for in time.

        Each needs the memory of those ahead of it and its own.
        """
        rate = self.freed.rate(now)
        ahead = 0
        refusals = []
        for each in self.ordered(now):
            needed = ahead + each.message.memory_tokens
            wait_s = needed / rate if rate else 0.0
            if now >= each.refused_at or now + wait_s > each.refused_at:
                refusals.append(Refusal(each, _retry_after_s(wait_s)))
                continue
            ahead = needed
        return refusals


def _retry_after_s(wait_s: float) -> float:
    return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s))
