"""Orders of the VMs by rendezvous hash, kept while the VMs stay the same.

Made for deployments of more than a hundred VMs: readers and reporters are
elected in each tick and for each answer of a KV cache store, and a hash of each
VM each time would cost more the more VMs there are.
"""

import functools
import hashlib
import math
from collections.abc import Mapping
from typing import Final, TypeVar

import attrs

from plantainridge.gateway.events import View, VmEntry
from plantainridge.gateway.settings import GatewaySettings
from plantainridge.ids import VmId

# Subject of the rank by which a data centre's load reporter is elected.
LOAD_SUBJECT: Final = 'load'
# Subjects for which one VM sends so much to all peers that it fills a
# low-bandwidth link, and the power of the bandwidth in proportion to which a VM
# is chosen for them.
LARGE_SUBJECTS: Final = frozenset({View.OPERATOR.value, LOAD_SUBJECT})
LARGE_SUBJECT_POWER: Final = 3
# Cached ranks; a fleet has fewer pairs of VM and subject.
MAX_CACHED_RANKS: Final = 16_384
# Subjects for which orders are kept. Suspects are subjects too.
MAX_SUBJECTS: Final = 512

T = TypeVar('T')

_NO_KEY: Final = (-1, '', '', 0.0)


def rendezvous_hash(name: str, subject: str) -> int:
    """Return a 64-bit hash of a name and a subject, equal on every VM."""
    digest = hashlib.blake2b(f'{name}/{subject}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


@functools.lru_cache(MAX_CACHED_RANKS)
def short_hash(vm: VmId) -> int:
    """Return a 32-bit hash of a VM's name, which stands for it in messages."""
    return rendezvous_hash(vm, '') >> 32


def weight(subject: str, link_mbps: float) -> float:
    """Return the weight of a VM with some bandwidth for a subject."""
    if subject in LARGE_SUBJECTS:
        return link_mbps**LARGE_SUBJECT_POWER
    return link_mbps


@functools.lru_cache(MAX_CACHED_RANKS)
def weighted_rank(vm: VmId, subject: str, link_mbps: float) -> float:
    """Return a VM's rank for a subject; the VM with the lowest is chosen.

    Over many subjects, a VM is chosen in proportion to its weight.
    """
    return -math.log((rendezvous_hash(vm, subject) + 1) / 2**64) / max(
        1.0, weight(subject, link_mbps))


@attrs.define
class PeerRanks:
    """Orders of the known VMs, computed when they are needed.

    Attributes:
        key: Number of VMs, and settings of this VM, to which the orders belong.
        local: Other VMs of this VM's data centre.
        local_count: Number of VMs of the data centre.
        ahead: By subject, the other VMs of the data centre that are ranked
            before this one, first ones first.
        positions: By subject, this VM's rank among all VMs, from 0.
        reporters: VMs of each other data centre, likely reporters first; None
            until needed.
    """

    key: tuple[int, str, str, float] = _NO_KEY
    local: tuple[VmEntry, ...] = ()
    local_count: int = 0
    ahead: dict[str, tuple[VmEntry, ...]] = attrs.field(factory=dict)
    positions: dict[str, int] = attrs.field(factory=dict)
    reporters: dict[str, list[VmId]] | None = None

    def clear(self) -> None:
        """Drop all orders, since a VM's entry has changed."""
        self.key = _NO_KEY

    def refresh(self, peers: Mapping[VmId, VmEntry],
                own: GatewaySettings) -> None:
        """Drop the orders if they belong to other VMs or settings."""
        key = (len(peers), own.vm, own.dc, own.link_mbps)
        if key == self.key:
            return
        self.key = key
        self.local = tuple(entry for entry in peers.values()
                           if entry.dc == own.dc and entry.vm != own.vm)
        self.local_count = sum(entry.dc == own.dc for entry in peers.values())
        self.ahead.clear()
        self.positions.clear()
        self.reporters = None

    def ranked_ahead(self, peers: Mapping[VmId, VmEntry], own: GatewaySettings,
                     subject: str) -> tuple[VmEntry, ...]:
        """Return the VMs of the data centre that are ranked before this one."""
        self.refresh(peers, own)
        found = self.ahead.get(subject)
        if found is None:
            own_rank = weighted_rank(own.vm, subject, own.link_mbps)
            ranks = [(weighted_rank(entry.vm, subject, entry.link_mbps), entry)
                     for entry in self.local]
            found = tuple(
                entry for rank, entry in sorted(ranks, key=lambda each: each[0])
                if rank < own_rank)
            _add(self.ahead, subject, found)
        return found

    def position(self, peers: Mapping[VmId, VmEntry], own: GatewaySettings,
                 subject: str) -> int:
        """Return this VM's rank for a subject among all VMs, from 0."""
        self.refresh(peers, own)
        found = self.positions.get(subject)
        if found is None:
            own_hash = rendezvous_hash(own.vm, subject)
            found = sum(
                rendezvous_hash(vm, subject) < own_hash
                for vm in peers
                if vm != own.vm)
            _add(self.positions, subject, found)
        return found

    def reporters_by_rank(self, peers: Mapping[VmId, VmEntry],
                          own: GatewaySettings) -> dict[str, list[VmId]]:
        """Return the VMs of each other data centre, likely reporters first."""
        self.refresh(peers, own)
        if self.reporters is None:
            ranked = sorted(peers.values(),
                            key=lambda entry: weighted_rank(
                                entry.vm, LOAD_SUBJECT, entry.link_mbps))
            self.reporters = {}
            for entry in ranked:
                if entry.dc != own.dc:
                    self.reporters.setdefault(entry.dc, []).append(entry.vm)
        return self.reporters


def _add(orders: dict[str, T], subject: str, value: T) -> None:
    if len(orders) >= MAX_SUBJECTS:
        orders.clear()
    orders[subject] = value
