"""Hints between VMs, and their `pycapnp` encoding."""

from importlib import resources
from typing import Any, Final

import attrs
import capnp

from plantainridge.ids import EndpointId, Incarnation, ModelId, VmId

MS: Final = 1_000.0
# Longest time that a field of a message holds, in ms.
MAX_MS: Final = 65_535


def _load_schema() -> Any:
    schema = resources.files('plantainridge.gateway') / 'hints.capnp'
    with resources.as_file(schema) as path:
        return capnp.load(str(path)).Hint


_HINT: Final = _load_schema()


@attrs.frozen
class OwnLoad:
    """What one VM has in flight on one endpoint.

    Attributes:
        pending_tokens: Prompt tokens that are not read yet.
        memory_tokens: Memory that the requests take at their end, in tokens.
        requests: Requests in flight.
        away_s: How much longer the VM spares it, in s.
    """

    pending_tokens: int
    memory_tokens: int
    requests: int
    away_s: float


@attrs.frozen
class Reached:
    """An engine that has just taken up new weights."""

    endpoint: EndpointId
    model: ModelId
    version: int


@attrs.frozen
class Hint:
    """One VM's word.

    Attributes:
        number: Counts the VM's words within one life.
        suspects: Fingerprints with the endpoints that broke off under them.
        reached: Engines that have just taken up new weights.
    """

    vm: VmId
    life: Incarnation
    number: int
    loads: dict[EndpointId, OwnLoad]
    suspects: tuple[tuple[str, EndpointId], ...] = ()
    reached: tuple[Reached, ...] = ()


@attrs.frozen
class UnreadableHint:
    """Says that a message is no hint."""

    reason: str


def encode(hint: Hint) -> bytes:
    """Returns a hint's bytes."""
    message = _HINT.new_message(vm=hint.vm, life=hint.life, number=hint.number)
    loads = message.init('loads', len(hint.loads))
    for row, (endpoint, load) in zip(loads, hint.loads.items()):
        row.endpoint = endpoint
        row.pendingTokens = load.pending_tokens
        row.memoryTokens = load.memory_tokens
        row.requests = load.requests
        row.awayMs = min(MAX_MS, max(0, round(load.away_s * MS)))
    suspects = message.init('suspects', len(hint.suspects))
    for row, (fingerprint, endpoint) in zip(suspects, hint.suspects):
        row.fingerprint = fingerprint
        row.endpoint = endpoint
    reached = message.init('reached', len(hint.reached))
    for row, each in zip(reached, hint.reached):
        row.endpoint = each.endpoint
        row.model = each.model
        row.version = each.version
    encoded: bytes = message.to_bytes_packed()
    return encoded


def decode(payload: bytes) -> Hint | UnreadableHint:
    """Reads a hint."""
    try:
        message = _HINT.from_bytes_packed(payload)
        loads = {
            EndpointId(row.endpoint):
                OwnLoad(row.pendingTokens, row.memoryTokens, row.requests,
                        row.awayMs / MS) for row in message.loads
        }
        suspects = tuple((str(row.fingerprint), EndpointId(row.endpoint))
                         for row in message.suspects)
        reached = tuple(
            Reached(EndpointId(row.endpoint), ModelId(row.model), row.version)
            for row in message.reached)
        return Hint(VmId(message.vm), Incarnation(message.life), message.number,
                    loads, suspects, reached)
    except (capnp.KjException, ValueError) as error:
        return UnreadableHint(str(error))
