"""What a VM tells the others of requests that may crash endpoints."""

import json
from typing import Final

import attrs
import cattrs
from cattrs.preconf.json import make_converter

from plantainridge.gossip import MAX_VALUE_BYTES
from plantainridge.ids import EndpointId, VmId

_CONVERTER: Final = make_converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)


@attrs.frozen
class CrashCount:
    """Crashes of one endpoint under a request that one VM saw.

    Attributes:
        endpoint: The endpoint; empty if there was no crash.
        trying: Whether that VM still has such a request in flight.
    """

    fingerprint: str
    vm: VmId
    endpoint: EndpointId
    crashes: int
    trying: bool


@attrs.frozen
class SuspectReport:
    """What a VM says of its suspects.

    Attributes:
        counts: Crashes that it saw, and those of convicted requests.
        isolated_retries: Endpoints on which it tries suspects now.
    """

    counts: tuple[CrashCount, ...]
    isolated_retries: tuple[EndpointId, ...]


@attrs.frozen
class InvalidReport:
    """Says that another VM's word could not be read."""


def encode(word: SuspectReport) -> bytes:
    """Returns a value for `Topic.SUSPECTS`; the oldest counts go if it is long.
    """
    payload = _encode(word)
    while len(payload) > MAX_VALUE_BYTES and word.counts:
        word = attrs.evolve(word, counts=word.counts[1:])
        payload = _encode(word)
    return payload


def decode(payload: bytes) -> SuspectReport | InvalidReport:
    """Reads a value of `Topic.SUSPECTS`."""
    try:
        return _CONVERTER.structure(json.loads(payload), SuspectReport)
    except (ValueError, TypeError, cattrs.BaseValidationError):
        return InvalidReport()


def _encode(word: SuspectReport) -> bytes:
    return json.dumps(_CONVERTER.unstructure(word),
                      separators=(',', ':')).encode()
