"""Data centre and engines that the prompts of one context may use.

Answers the load of a data centre that gets more requests than its own engines
carry while others have headroom. Reports of load are older than the time in
which many VMs overload an engine that they all see idle. The share is therefore
derived from how much work arrives in each data centre, which changes slowly:
the excess over the mean per engine goes to the data centres that lie below it.
Contexts are assigned to data centres by a hash that all VMs compute alike, so
that each VM does its part and prompts that share a context stay together.

Within the data centre a context may use two engines, by the same kind of hash:
the less loaded of two is nearly as good as the least loaded of all, VMs that
know the load of a moment ago do not all choose alike, and few engines prefill
the context's shared parts.
"""

import hashlib
import heapq
import math
from collections.abc import Callable, Mapping, Sequence
from typing import Final, TypeVar

from plantainridge.ids import DcId

Engine = TypeVar('Engine')

# Excess, relative to a data centre's own work, below which all of it stays:
# work that arrives in a few seconds varies by as much.
MIN_EXCESS_RATIO: Final = 0.05
# Engines of a data centre that a context may use.
ENGINES_PER_CONTEXT: Final = 2


def compute_shares(own: DcId, work: Mapping[DcId, float],
                   engines: Mapping[DcId, float]) -> dict[DcId, float]:
    """Return the share of a data centre's work for each data centre.

    Args:
        own: The data centre whose work is shared out.
        work: Work that arrives in each data centre, in tokens per s. Those
            whose work is not known get none.
        engines: Number of available engines in each data centre; if their
            speeds are learned, in engines of usual speed.

    Returns:
        Shares that add up to 1; without `own` if it has no engines.
    """
    own_work = work.get(own, 0.0)
    known_engines = sum(engines.get(dc, 0) for dc in work)
    if not own_work or not known_engines:
        return {own: 1.0}
    mean = sum(work.values()) / known_engines
    headroom = {
        dc: max(0.0,
                mean * engines.get(dc, 0) -
                each) for dc, each in work.items() if dc != own
    }
    excess_ratio = 1.0 - mean * engines.get(own, 0) / own_work
    total_headroom = sum(headroom.values())
    if excess_ratio < MIN_EXCESS_RATIO or not total_headroom:
        return {own: 1.0}
    shares = {
        dc: excess_ratio * each / total_headroom
        for dc, each in headroom.items()
        if each
    }
    if excess_ratio < 1.0:
        shares[own] = 1.0 - excess_ratio
    return shares


def shares_by_engines(own: DcId, engines: Mapping[DcId,
                                                  float]) -> dict[DcId, float]:
    """Return the share of a data centre's work for each data centre.

    Made for a data centre without available engines whose work, or the headroom
    of the others, is not known.

    Args:
        own: The data centre whose work is shared out.
        engines: Number of available engines in each data centre, or their
            capacity relative to usual ones.

    Returns:
        Shares that add up to 1, in proportion to the engines.
    """
    total = sum(engines.values())
    if not total:
        return {own: 1.0}
    return {dc: count / total for dc, count in engines.items() if count}


def assign(context: str, shares: Mapping[DcId, float]) -> DcId:
    """Return the data centre for a context, by weighted rendezvous hashing.

    When the shares change, few contexts change their data centre.
    """
    if len(shares) == 1:
        return next(iter(shares))
    return max(shares, key=lambda dc: _score(context, dc, shares[dc]))


def _score(context: str, dc: DcId, share: float) -> float:
    digest = hashlib.blake2b(f'{dc}/{context}'.encode(), digest_size=8)
    fraction = (int.from_bytes(digest.digest(), 'big') + 1) / (2**64 + 1)
    return -share / math.log(fraction)


def select_engines(engines: Sequence[Engine],
                   rank: Callable[[Engine], int]) -> Sequence[Engine]:
    """Return the engines that a context may use while they have capacity.

    Args:
        engines: Available engines of the context's data centre.
        rank: Rendezvous hash of an engine and the context.
    """
    if len(engines) <= ENGINES_PER_CONTEXT:
        return engines
    return heapq.nlargest(ENGINES_PER_CONTEXT, engines, key=rank)
