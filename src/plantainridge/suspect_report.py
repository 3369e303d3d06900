"""Reports that a VM gossips on requests that may crash endpoints."""

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
    """Crashes of one endpoint during a request, as one VM observed them.

    Attributes:
        fingerprint: Fingerprint of the request.
        vm: The VM that observed them.
        endpoint: The endpoint that crashed; empty if there was no crash.
        trying: Whether that VM still has such a request in flight.
    """

    fingerprint: str
    vm: VmId
    endpoint: EndpointId
    crashes: int
    trying: bool


@attrs.frozen
class SuspectReport:
    """A VM's report on its suspects.

    Attributes:
        counts: Crashes that it observed, and those of quarantined requests.
        isolated_retries: Endpoints on which it retries suspects in isolation
            now.
    """

    counts: tuple[CrashCount, ...]
    isolated_retries: tuple[EndpointId, ...]


@attrs.frozen
class InvalidReport:
    """Returned for a report of another VM that could not be decoded."""


def encode(report: SuspectReport) -> bytes:
    """Encode a report as a value of `Topic.SUSPECTS`.

    The oldest counts are dropped if it would exceed `MAX_VALUE_BYTES`.
    """
    payload = _encode(report)
    while len(payload) > MAX_VALUE_BYTES and report.counts:
        report = attrs.evolve(report, counts=report.counts[1:])
        payload = _encode(report)
    return payload


def decode(payload: bytes) -> SuspectReport | InvalidReport:
    """Decode a value of `Topic.SUSPECTS`."""
    try:
        return _CONVERTER.structure(json.loads(payload), SuspectReport)
    except (ValueError, TypeError, cattrs.BaseValidationError):
        return InvalidReport()


def _encode(report: SuspectReport) -> bytes:
    return json.dumps(_CONVERTER.unstructure(report),
                      separators=(',', ':')).encode()
