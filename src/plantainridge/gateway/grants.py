"""Engines that a coordinator granted, and the load of their runs.

Made for large prompts from many VMs: the VM that grants engines knows the load
of these runs at once, while reports of load arrive 0.25 to 0.5 s late. Reports
of a run's progress may be lost. What VMs later show of the granted runs in
their hints therefore corrects the ledger.
"""

import collections
from collections import OrderedDict, deque
from collections.abc import Iterator, Mapping
from typing import Final

import attrs

from plantainridge.gateway.peer_loads import NO_LOAD, PeerLoad
from plantainridge.gateway.peer_messages import (OwnLoad, PlacementAnswer,
                                                 PlacementRequest, RunReport)
from plantainridge.ids import DcId, EndpointId, Incarnation, VmId

# VM, its incarnation, and the number of its placement request.
GrantKey = tuple[VmId, Incarnation, int]
# VM of this data centre, or another data centre, whose load is reported as one.
Group = VmId | DcId

# Time for which the keys of ended runs are kept: duplicates of their messages
# arrive within it.
ENDED_KEPT_S: Final = 5.0
# Time for which reports of load may still show a run that has ended.
FREED_KEPT_S: Final = 0.6
# Time after a run's deadline at which its grant expires.
EXPIRY_MARGIN_S: Final = 0.5


def key_of(message: PlacementRequest | RunReport) -> GrantKey:
    """Return the key of the request that a message is about."""
    return message.vm, message.incarnation, message.number


@attrs.define
class GrantedRun:
    """A run whose engine was granted.

    Attributes:
        group: Whose reports of load include it.
        pending_tokens: Prompt tokens that the engine has yet to compute.
        memory_tokens: Memory of the run when it ends, in tokens.
        granted_at: Loop time of the grant, in s.
        expires_at: Loop time at which the grant expires, in s.
        answer: The answer with the grant, for requests that are repeated.
    """

    key: GrantKey
    group: Group
    endpoint: EndpointId
    pending_tokens: int
    memory_tokens: int
    granted_at: float
    expires_at: float
    answer: PlacementAnswer


@attrs.define
class GrantLedger:
    """Granted runs that have not ended.

    Attributes:
        runs: The runs, oldest first.
        groups: Keys of each group's runs, oldest first.
        loads: Sums of the runs by engine.
        ended: Keys of runs that ended lately, with the loop time of the end in
            s, oldest first.
        corrected_at: Loop time of the latest report of each group that was
            applied, in s.
        freed: Engine, memory in tokens, and loop time in s of runs that ended
            lately, oldest first.
    """

    runs: dict[GrantKey, GrantedRun] = attrs.field(factory=dict)
    groups: dict[Group, dict[GrantKey, None]] = attrs.field(factory=dict)
    loads: dict[EndpointId, PeerLoad] = attrs.field(factory=dict)
    ended: OrderedDict[GrantKey, float] = attrs.field(factory=OrderedDict)
    corrected_at: dict[Group, float] = attrs.field(factory=dict)
    freed: deque[tuple[EndpointId, int,
                       float]] = attrs.field(factory=collections.deque)

    def unknown_memory(self, endpoint: EndpointId, stated_tokens: int,
                       now: float) -> int:
        """Return granted memory on an engine that is not in this ledger.

        A coordinator that was replaced, or runs that were dropped while their
        VM sent no hints, leave such runs behind.

        Args:
            endpoint: The engine.
            stated_tokens: Memory that VMs state as granted there, in tokens.
            now: Loop time in s.
        """
        while self.freed and now - self.freed[0][2] > FREED_KEPT_S:
            self.freed.popleft()
        freed = sum(
            tokens for name, tokens, _ in self.freed if name == endpoint)
        known = self.load(endpoint).memory_tokens
        return max(0, stated_tokens - freed - known)

    def load(self, endpoint: EndpointId) -> PeerLoad:
        """Return the load of the granted runs on an engine."""
        return self.loads.get(endpoint, NO_LOAD)

    def add(self, run: GrantedRun) -> None:
        """Add a run."""
        self.runs[run.key] = run
        self.groups.setdefault(run.group, {})[run.key] = None
        load = self.loads.setdefault(run.endpoint, PeerLoad())
        load.pending_tokens += run.pending_tokens
        load.memory_tokens += run.memory_tokens
        load.requests += 1

    def finish_prefill(self, key: GrantKey) -> bool:
        """Record that a run's prompt has been computed; return if it is new."""
        run = self.runs.get(key)
        if run is None or not run.pending_tokens:
            return False
        self.loads[run.endpoint].pending_tokens -= run.pending_tokens
        run.pending_tokens = 0
        return True

    def end(self, key: GrantKey, now: float) -> GrantedRun | None:
        """Remove a run that has ended and return it, or None."""
        self.ended[key] = now
        self.ended.move_to_end(key)
        run = self.runs.get(key)
        if run is None:
            return None
        self.finish_prefill(key)
        del self.runs[key]
        members = self.groups[run.group]
        del members[key]
        if not members:
            del self.groups[run.group]
            self.corrected_at.pop(run.group, None)
        self.freed.append((run.endpoint, run.memory_tokens, now))
        load = self.loads[run.endpoint]
        load.memory_tokens -= run.memory_tokens
        load.requests -= 1
        if not load.requests:
            del self.loads[run.endpoint]
        return run

    def expired(self, now: float) -> list[GrantKey]:
        """Return the runs whose deadline has passed; forget old ends."""
        while self.ended:
            key, at = next(iter(self.ended.items()))
            if now - at <= ENDED_KEPT_S:
                break
            del self.ended[key]
        return [key for key, run in self.runs.items() if now >= run.expires_at]

    def missing(self, group: Group, loads: Mapping[EndpointId, OwnLoad],
                granted_before: float) -> Iterator[GrantKey]:
        """Yield runs that a group's load no longer shows, the oldest first.

        Args:
            group: The group.
            loads: Its load, by engine.
            granted_before: Loop time, in s; later grants may not be shown yet.
        """
        settled: dict[EndpointId, list[GrantKey]] = {}
        for key in self.groups.get(group, ()):
            run = self.runs[key]
            if run.granted_at <= granted_before:
                settled.setdefault(run.endpoint, []).append(key)
        for endpoint, keys in settled.items():
            load = loads.get(endpoint)
            shown = load.granted_requests if load is not None else 0
            yield from keys[:max(0, len(keys) - shown)]
