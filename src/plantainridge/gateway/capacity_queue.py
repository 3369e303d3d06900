"""Order of large prompts that wait at a coordinator for an engine's memory.

Made for more large prompts than the engines of a data centre have memory for,
from several teams and routes of different urgency. Urgent prompts go first,
then those that can still be in time, contexts that were never served, and teams
of which the smallest share was served. A prompt that fits nowhere reserves the
engine with the most free memory, so that smaller ones behind it do not take
what is freed there. Since those ahead of it still do, prompts of a size of
which a much smaller share was served than of their urgency go before all
others: otherwise the largest would find no memory.
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
# The same for late requests that are held back: timely ones may be behind them.
MAX_HELD_BACK: Final = 8
# Time constant of the rate at which memory is freed, in s: runs take about 3 s.
FREED_WINDOW_S: Final = 3.0
# Time constant of the share of each team that was served, in s.
SHARE_WINDOW_S: Final = 10.0
# Steps in which the shares of teams are compared: within one, age decides.
SHARE_STEP: Final = 0.1
# Share of a size that is served, relative to that of its urgency, below which
# prompts of that size go first.
MIN_SIZE_RATIO: Final = 0.6
# Sizes within a factor of the square root of 2 are compared as one.
SIZES_PER_DOUBLING: Final = 2
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
    """The best engine for a request, whether or not it has memory for it.

    Attributes:
        first_event_s: Expected time from the send to the first event, in s.
        backlog_s: Share of it in which the engine computes earlier prompts, in
            s.
    """

    endpoint: EndpointId
    has_capacity: bool
    first_event_s: float = 0.0
    backlog_s: float = 0.0


def makes_others_late(offer: Offer, waited_s: float, target_s: float) -> bool:
    """Return whether a request that is late anyway would delay timely ones.

    Made for a burst of more prompts than the engines can compute in time: if
    all were sent as they arrive, the backlog would make each of them late. A
    late request is sent only where a like one could still follow it in time.

    Args:
        offer: The best engine for the request.
        waited_s: Time since the request arrived, in s.
        target_s: Latency up to which it earns full credit, in s.
    """
    if waited_s + offer.first_event_s <= target_s:
        return False
    next_first_event_s = 2 * offer.first_event_s - offer.backlog_s
    return offer.backlog_s > 0.0 and next_first_event_s > target_s


@attrs.frozen
class Refusal:
    """A request that is refused, with the time to a retry in s."""

    request: QueuedRequest
    retry_after_s: float


@attrs.define
class _Share:
    """Requests, or memory in tokens, that were asked for and served lately."""

    asked: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(SHARE_WINDOW_S))
    served: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(SHARE_WINDOW_S))

    def ratio(self, now: float) -> float:
        """Return the share that was served."""
        asked = self.asked.value(now)
        return self.served.value(now) / asked if asked else 1.0


@attrs.define
class CapacityQueue:
    """Requests that wait for memory, and what decides their order.

    Attributes:
        entries: The requests, by the key of their messages.
        freed: Memory that ended runs freed, in tokens.
        unplaced_tokens: Size of the smallest request that fitted nowhere when
            memory was last granted, in tokens; inf if all did.
        shares: What each team asked for and got, in tokens.
        urgency_shares: Requests of each urgency.
        size_shares: Requests of each urgency and size.
        served_contexts: Contexts that got an engine, least recent first.
    """

    entries: dict[GrantKey, QueuedRequest] = attrs.field(factory=dict)
    freed: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(FREED_WINDOW_S))
    unplaced_tokens: float = math.inf
    shares: dict[TeamId, _Share] = attrs.field(factory=dict)
    urgency_shares: dict[int, _Share] = attrs.field(factory=dict)
    size_shares: dict[tuple[int, int], _Share] = attrs.field(factory=dict)
    served_contexts: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def add(self, request: QueuedRequest, now: float) -> None:
        """Add a request."""
        message = request.message
        self.entries[key_of(message)] = request
        for share, amount in self._shares_of(message):
            share.asked.add(amount, now)

    def record_grant(self, request: QueuedRequest, now: float) -> None:
        """Remove a request that got an engine."""
        message = request.message
        del self.entries[key_of(message)]
        for share, amount in self._shares_of(message):
            share.served.add(amount, now)
        self.served_contexts[request.context] = None
        self.served_contexts.move_to_end(request.context)
        if len(self.served_contexts) > MAX_SERVED_CONTEXTS:
            self.served_contexts.popitem(last=False)

    def _shares_of(self,
                   message: PlacementRequest) -> Iterator[tuple[_Share, int]]:
        """Yield the shares that a request is part of, with its amount."""
        tokens, urgency = message.memory_tokens, message.urgency
        yield self.shares.setdefault(message.team, _Share()), tokens
        yield self.urgency_shares.setdefault(urgency, _Share()), 1
        yield self.size_shares.setdefault(_size_of(message), _Share()), 1

    def ordered(self, now: float) -> list[QueuedRequest]:
        """Return the requests in the order in which they are served."""
        if len(self.entries) <= 1:
            return list(self.entries.values())
        messages = [each.message for each in self.entries.values()]
        steps = {
            team: round(self.shares[team].ratio(now) / SHARE_STEP)
            for team in {each.team for each in messages}
        }
        behind = {
            size for size in map(_size_of, messages)
            if self._is_behind(size, now)
        }

        def rank(each: QueuedRequest) -> tuple[float, ...]:
            message = each.message
            return (_size_of(message)
                    not in behind, message.urgency, now - each.arrived_at
                    > message.target_s, each.context in self.served_contexts,
                    steps[message.team], each.arrived_at)

        return sorted(self.entries.values(), key=rank)

    def _is_behind(self, size: tuple[int, int], now: float) -> bool:
        """Return whether too small a share of a size was served."""
        of_urgency = self.urgency_shares[size[0]].ratio(now)
        return self.size_shares[size].ratio(now) < MIN_SIZE_RATIO * of_urgency

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
        self.unplaced_tokens = math.inf
        failed = held_back = 0
        for each in self.ordered(now):
            if failed >= MAX_FAILED_TRIES or held_back >= MAX_HELD_BACK:
                return
            if each.message.memory_tokens >= self.unplaced_tokens:
                continue
            found = offer(each, reserved)
            if found is not None and found.has_capacity:
                if makes_others_late(found, now - each.arrived_at,
                                     each.message.target_s):
                    held_back += 1
                else:
                    yield each, found.endpoint
                continue
            failed += 1
            self.unplaced_tokens = each.message.memory_tokens
            if found is not None:
                reserved.add(found.endpoint)

    def refusals(self, now: float) -> list[Refusal]:
        """Return the requests that will not be served in time.

        These are the ones before which too much memory is asked for. Their own
        size does not count, since the largest would be refused most.
        """
        rate = self.freed.rate(now)
        ahead = 0
        refusals = []
        for each in self.ordered(now):
            wait_s = ahead / rate if rate else 0.0
            if now >= each.refused_at or now + wait_s > each.refused_at:
                refusals.append(Refusal(each, _retry_after_s(wait_s)))
                continue
            ahead += each.message.memory_tokens
        return refusals


def _size_of(message: PlacementRequest) -> tuple[int, int]:
    """Return the urgency of a request and the range of its size."""
    size = math.log2(max(1, message.memory_tokens))
    return message.urgency, round(SIZES_PER_DOUBLING * size)


def _retry_after_s(wait_s: float) -> float:
    return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s))
