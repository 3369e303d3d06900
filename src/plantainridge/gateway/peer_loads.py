"""What peers have in flight on endpoints, summed as their hints arrive."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Final

import attrs

from plantainridge.gateway.peer_messages import OwnLoad
from plantainridge.ids import EndpointId, VmId

# Age at which a peer's word on its load counts no more, in s.
FRESH_S: Final = 1.2
# Longest time for which a peer's word keeps requests off an endpoint, in s.
SPARE_S: Final = 1.0


@attrs.define
class PeerLoad:
    """What all peers together have in flight on one endpoint.

    Attributes:
        pending_tokens: Prompt tokens that are not read yet.
        memory_tokens: Memory that the requests take at their end, in tokens.
        requests: Requests in flight.
    """

    pending_tokens: int = 0
    memory_tokens: int = 0
    requests: int = 0

    def add(self, load: OwnLoad, sign: int = 1) -> None:
        """Counts one peer's load, or with a sign of -1 counts it no more."""
        self.pending_tokens += sign * load.pending_tokens
        self.memory_tokens += sign * load.memory_tokens
        self.requests += sign * load.requests


NO_LOAD: Final = PeerLoad()


@attrs.frozen
class _Report:
    """One peer's word, and the loop time at which it came, in s."""

    at: float
    loads: Mapping[EndpointId, OwnLoad]


@attrs.define
class PeerLoadTable:
    """The sums, and the words that they are made of, oldest word first."""

    sums: dict[EndpointId, PeerLoad] = attrs.field(factory=dict)
    reports: OrderedDict[VmId, _Report] = attrs.field(factory=OrderedDict)

    def replace(self, vm: VmId, loads: Mapping[EndpointId, OwnLoad],
                now: float) -> None:
        """Takes a peer's word in, in place of its last one."""
        self._drop(vm)
        self.reports[vm] = _Report(now, loads)
        for name, load in loads.items():
            self.sums.setdefault(name, PeerLoad()).add(load)

    def fresh(self, now: float) -> Mapping[EndpointId, PeerLoad]:
        """Returns the sums of what was told a moment ago."""
        while self.reports:
            vm, oldest = next(iter(self.reports.items()))
            if now - oldest.at <= FRESH_S:
                break
            self._drop(vm)
        return self.sums

    def cooling_down(self, now: float) -> dict[EndpointId, float]:
        """Returns endpoints that peers found to take no work for now.

        Each comes with the loop time of the latest word on it, in s.
        """
        found: dict[EndpointId, float] = {}
        for told in reversed(self.reports.values()):
            if now - told.at > SPARE_S:
                break
            for name, load in told.loads.items():
                if load.cooldown_s and now < told.at + load.cooldown_s:
                    found[name] = max(told.at, found.get(name, told.at))
        return found

    def _drop(self, vm: VmId) -> None:
        told = self.reports.pop(vm, None)
        if told is None:
            return
        for name, load in told.loads.items():
            total = self.sums.get(name)
            if total is None:
                continue
            total.add(load, -1)
            if not total.requests:
                del self.sums[name]
