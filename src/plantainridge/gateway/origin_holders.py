"""VMs that hold the record of where a stream began.

The load pattern: a data centre, or most VMs of all of them, are lost at one
moment while engines of several builds serve. VMs of several data centres
therefore hold each record. The VM that sends it and the one that looks for it
may differ in which VMs they take for live: both rank the VMs of a data centre
by a hash of the stream and the VM, an order that does not depend on which other
VMs there are.

Nothing here does input or output.
"""

import functools
import itertools
from collections.abc import Mapping, Sequence
from typing import Final

from plantainridge.gateway import peer_ranks
from plantainridge.gateway.events import VmEntry
from plantainridge.ids import DcId

# VMs that hold each record, in as many data centres if possible.
HOLDERS: Final = 3
# Subject of the hashes of VMs and data centres.
SUBJECT: Final = 'origins'
MAX_CACHED_HASHES: Final = 4_096

# Odd, so that the product of a 64-bit hash keeps all of its bits.
_MULTIPLIER: Final = 0x9E3779B97F4A7C15
_MASK: Final = 2**64 - 1

# VMs that may hold records, by data centre, without the VM that chooses.
VmsByDc = Mapping[DcId, Sequence[VmEntry]]


def choose(key: int, own_dc: DcId, vms: VmsByDc) -> list[VmEntry]:
    """Return the VMs to which the record of a stream is sent.

    One is of this data centre, which may be partitioned from the others, and
    the rest are of others, as this one may be lost. Where too few data centres
    have a VM, more are taken from those that do.

    Args:
        key: 64-bit hash of the stream's attempt.
        own_dc: Data centre of the VM that sends it.
        vms: VMs that are taken for live.
    """
    remote = _rank_dcs(key, [dc for dc in vms if dc != own_dc])
    dcs = [*remote[:HOLDERS - 1], own_dc]
    ranked = [_rank_vms(key, vms.get(dc, ())) for dc in dcs]
    rounds = itertools.zip_longest(*ranked)
    found = [each for row in rounds for each in row if each is not None]
    return found[:HOLDERS]


def choose_to_ask(key: int, own_dc: DcId, vms: VmsByDc,
                  depth: int) -> list[VmEntry]:
    """Return the VMs that may hold the record of a stream.

    All VMs of this data centre may: one of them may have begun the stream, and
    kept a record that it did not send.

    Args:
        key: 64-bit hash of the stream's attempt.
        own_dc: Data centre of the VM that asks; the stream may have begun in
            any.
        vms: VMs that may be live.
        depth: Number of other data centres, and of VMs of each; at least
            `HOLDERS` to cover what `choose` returns for these VMs.
    """
    remote = _rank_dcs(key, [dc for dc in vms if dc != own_dc])
    return [
        *vms.get(own_dc, ()), *itertools.chain.from_iterable(
            _rank_vms(key, vms[dc])[:depth] for dc in remote[:depth])
    ]


def _rank_dcs(key: int, dcs: Sequence[DcId]) -> list[DcId]:
    return sorted(dcs, key=lambda dc: _rank(key, dc))


def _rank_vms(key: int, entries: Sequence[VmEntry]) -> list[VmEntry]:
    return sorted(entries, key=lambda entry: _rank(key, entry.vm))


def _rank(key: int, name: str) -> int:
    """Return the rank of a name for a key; cheaper than a hash of both."""
    return (key ^ _name_hash(name)) * _MULTIPLIER & _MASK


@functools.lru_cache(MAX_CACHED_HASHES)
def _name_hash(name: str) -> int:
    return peer_ranks.rendezvous_hash(name, SUBJECT)
