"""Expected cost of running a request on an endpoint."""

from collections.abc import Iterator
from typing import Final

import attrs

from plantainridge.blocks import BLOCK_TOKENS
from plantainridge.endpoints import EndpointView
from plantainridge.events import StoredCopy, Tier
from plantainridge.ids import StoreId
from plantainridge.links import LinkView

# Additional round trip to an endpoint of another data centre, in s.
REMOTE_ROUND_TRIP_S: Final = 0.003
# Factor by which a copy takes longer to read from a store's disk than from its
# memory.
DISK_FACTOR: Final = 3.0
# Timeout of a fetch as a multiple of its expected time.
FETCH_TIMEOUT_FACTOR: Final = 2.0


@attrs.frozen
class Source:
    """A store that holds leading blocks of a prompt.

    Attributes:
        link: The link to the store.
        copies: The store's copies, in the order of the chain.
        sizes: Cumulative bytes of the first 0, 1, ... copies; bytes on disk are
            multiplied by `DISK_FACTOR`.
        seconds: Cache of expected fetch times in s, by the index of the first
            block to fetch.
    """

    store: StoreId
    link: LinkView
    copies: tuple[StoredCopy, ...]
    sizes: tuple[float, ...]
    seconds: dict[int, float] = attrs.field(factory=dict)


def source_of(store: StoreId, link: LinkView, copies: tuple[StoredCopy,
                                                            ...]) -> Source:
    """Return a source with its cumulative sizes."""
    sizes = [0.0]
    for copy in copies:
        factor = DISK_FACTOR if copy.tier is Tier.DISK else 1.0
        sizes.append(sizes[-1] + copy.ref.length_bytes * factor)
    return Source(store, link, copies, tuple(sizes))


@attrs.frozen
class Plan:
    """One way to run a request on one endpoint, with its expected cost.

    Attributes:
        view: The endpoint.
        source: The store to fetch blocks from, or None to fetch none.
        first_block: Index of the first block that the endpoint lacks.
        compute_tokens: Prompt tokens that the endpoint computes.
        fetch_s: Expected time of the fetch, in s.
        first_token_s: Expected time to first token, in s.
        cost_s: Time to first token plus the weighted time of recomputation, in
            s.
    """

    view: EndpointView
    source: Source | None
    first_block: int
    compute_tokens: int
    fetch_s: float
    first_token_s: float
    cost_s: float


def plans(view: EndpointView, held: int, sources: list[Source], tokens: int,
          recompute_weight: float, is_local: bool,
          now: float) -> Iterator[Plan]:
    """Yield the ways to run a prompt on an endpoint.

    Args:
        view: The endpoint.
        held: Leading blocks of the prompt that the endpoint has.
        sources: Stores that have leading blocks of the prompt.
        tokens: Length of the prompt, in tokens.
        recompute_weight: Seconds of latency accepted to save one second of
            computing.
        is_local: Whether the endpoint is in this VM's data centre.
        now: Loop time in s.
    """
    rate = view.prefill_tokens_per_s
    wait_s = view.backlog_tokens(now) / rate + (0.0 if is_local else
                                                REMOTE_ROUND_TRIP_S)
    yield _plan(view, None, held, tokens - held * BLOCK_TOKENS, 0.0, wait_s,
                recompute_weight)
    for source in sources:
        gain = len(source.copies) - held
        if gain <= 0:
            continue
        uncached_tokens = tokens - len(source.copies) * BLOCK_TOKENS
        yield _plan(view, source, held, uncached_tokens,
                    fetch_seconds(source, held, now), wait_s, recompute_weight)


def fetch_seconds(source: Source, first_block: int, now: float) -> float:
    """Estimate the time to fetch a source's blocks from an index on, in s."""
    known_s = source.seconds.get(first_block)
    if known_s is None:
        size = source.sizes[-1] - source.sizes[first_block]
        known_s = source.link.estimate_transfer_s(round(size), now)
        source.seconds[first_block] = known_s
    return known_s


def _plan(view: EndpointView, source: Source | None, first_block: int,
          compute_tokens: int, fetch_s: float, wait_s: float,
          recompute_weight: float) -> Plan:
    compute_s = max(0, compute_tokens) / view.prefill_tokens_per_s
    first_token_s = max(wait_s, fetch_s) + compute_s
    return Plan(view, source, first_block, max(0, compute_tokens), fetch_s,
                first_token_s, first_token_s + recompute_weight * compute_s)


def fetch_timeout_s(plan: Plan) -> float:
    """Return the timeout of a plan's fetch, in s.

    It is at least the time that computing the fetched blocks would take.
    """
    assert plan.source is not None
    fetched = len(plan.source.copies) - plan.first_block
    compute_s = fetched * BLOCK_TOKENS / plan.view.prefill_tokens_per_s
    return max(FETCH_TIMEOUT_FACTOR * plan.fetch_s, compute_s)
