"""Records in the claims streams of the platform's log.

Records have a compact binary format, because each VM reads those of all
others.
"""

import enum
import hashlib
import json
import struct
from typing import Final

import attrs

from plantainridge.ids import Incarnation, ServiceId, TeamId

DIGEST_BYTES: Final = 16
SHORT_DIGEST_BYTES: Final = 8
# Longer answers are not stored for retries.
MAX_STORED_BODY_BYTES: Final = 1_024

_HEADER: Final = struct.Struct(f'>B{DIGEST_BYTES}s{SHORT_DIGEST_BYTES}sI')
_OUTCOME: Final = struct.Struct('>BH')


class _Kind(enum.IntEnum):
    CLAIM = 1
    RELEASE = 2
    OUTCOME = 3
    KEEP_ALIVE = 4


@attrs.frozen
class ClaimId:
    """Identifier of one claim of one incarnation.

    Attributes:
        owner: Short digest of the incarnation that made the claim.
        seq: Number of the claim within the incarnation.
    """

    owner: bytes
    seq: int


@attrs.frozen
class Claim:
    """Request for the right to dispatch a key's call.

    Attributes:
        digest: Digest of the team, the service and the key.
        body: Short digest of the method, the path and the body.
    """

    digest: bytes
    id: ClaimId
    body: bytes


@attrs.frozen
class Release:
    """Statement that a claim's owner has not dispatched and never will."""

    digest: bytes
    id: ClaimId


class Ending(enum.IntEnum):
    """How a dispatched call ended."""

    # The complete answer is in the record.
    ANSWERED = 1
    # The service answered, but the body is too long to be stored.
    ANSWER_NOT_KEPT = 2
    # No complete answer was received; the call may have run.
    UNKNOWN = 3


@attrs.frozen
class Outcome:
    """Outcome of a claimed call.

    Attributes:
        status: HTTP status of the answer; 0 if there is none.
        answer: Body of the answer; empty if it is not stored.
    """

    digest: bytes
    id: ClaimId
    ending: Ending
    status: int = 0
    answer: bytes = attrs.field(default=b'', repr=False)


@attrs.frozen
class KeepAlive:
    """Record that keeps an idle stream from becoming empty.

    The oldest record that is left shows a new VM since when its view of the
    stream is complete; an empty stream would show nothing.
    """


@attrs.frozen
class InvalidClaimRecord:
    """A payload that cannot be decoded.

    Attributes:
        size: Length of the payload in bytes.
    """

    size: int


ClaimRecord = Claim | Release | Outcome
AnyRecord = ClaimRecord | KeepAlive


def owner_digest(incarnation: Incarnation) -> bytes:
    """Return the digest that identifies an incarnation in records."""
    return hashlib.blake2b(incarnation.encode(),
                           digest_size=SHORT_DIGEST_BYTES).digest()


def key_digest(team: TeamId, service: ServiceId, key: str) -> bytes:
    """Return the digest that identifies a team's key at a service."""
    return hashlib.blake2b(json.dumps([team, service, key]).encode(),
                           digest_size=DIGEST_BYTES).digest()


def body_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest that detects reuse of a key for another call."""
    head = json.dumps([method, path]).encode()
    return hashlib.blake2b(head + b'\0' + body,
                           digest_size=SHORT_DIGEST_BYTES).digest()


def answered_outcome(digest: bytes, claim: ClaimId, status: int,
                     body: bytes) -> Outcome:
    """Return the outcome of a complete answer, without a body if too long."""
    if len(body) > MAX_STORED_BODY_BYTES:
        return Outcome(digest, claim, Ending.ANSWER_NOT_KEPT, status)
    return Outcome(digest, claim, Ending.ANSWERED, status, body)


def encode(record: AnyRecord) -> bytes:
    """Return a record's payload."""
    if isinstance(record, KeepAlive):
        return bytes([_Kind.KEEP_ALIVE])
    if isinstance(record, Claim):
        return _pack_header(_Kind.CLAIM, record) + record.body
    if isinstance(record, Release):
        return _pack_header(_Kind.RELEASE, record)
    return (_pack_header(_Kind.OUTCOME, record) +
            _OUTCOME.pack(record.ending, record.status) + record.answer)


def _pack_header(kind: _Kind, record: ClaimRecord) -> bytes:
    return _HEADER.pack(kind, record.digest, record.id.owner, record.id.seq)


def decode(payload: bytes) -> AnyRecord | InvalidClaimRecord:
    """Decode a payload."""
    if payload == bytes([_Kind.KEEP_ALIVE]):
        return KeepAlive()
    try:
        kind, digest, owner, seq = _HEADER.unpack_from(payload)
        claim = ClaimId(owner, seq)
        rest = payload[_HEADER.size:]
        if kind == _Kind.CLAIM and len(rest) == SHORT_DIGEST_BYTES:
            return Claim(digest, claim, rest)
        if kind == _Kind.RELEASE and not rest:
            return Release(digest, claim)
        if kind == _Kind.OUTCOME:
            ending, status = _OUTCOME.unpack_from(rest)
            return Outcome(digest, claim, Ending(ending), status,
                           rest[_OUTCOME.size:])
    except (struct.error, ValueError):
        pass
    return InvalidClaimRecord(len(payload))
