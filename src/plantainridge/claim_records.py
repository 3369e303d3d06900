"""Records that VMs keep in the claims streams of the platform's log.

A record is packed with `struct`, because each VM reads those of all others.
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
# Longest body of an answer that is kept for later tries, in bytes.
KEPT_BODY_BYTES: Final = 1_024

_HEAD: Final = struct.Struct(f'>B{DIGEST_BYTES}s{SHORT_DIGEST_BYTES}sI')
_OUTCOME: Final = struct.Struct('>BH')


class _Kind(enum.IntEnum):
    CLAIM = 1
    RELEASE = 2
    OUTCOME = 3
    MARK = 4


@attrs.frozen
class ClaimId:
    """Names one claim of one incarnation.

    Attributes:
        owner: Short digest of the incarnation that made it.
        seq: Counts the incarnation's claims.
    """

    owner: bytes
    seq: int


@attrs.frozen
class Claim:
    """Asks for the right to dispatch a key's call.

    Attributes:
        digest: Names the team, the service and the key.
        body: Short digest of the method, the path and the body.
    """

    digest: bytes
    id: ClaimId
    body: bytes


@attrs.frozen
class Release:
    """Says that a claim's owner has not dispatched and never will."""

    digest: bytes
    id: ClaimId


class Ending(enum.IntEnum):
    """How a dispatched call ended."""

    # The whole answer is in the record.
    ANSWERED = 1
    # The service answered, but the body is too long to be kept.
    ANSWER_NOT_KEPT = 2
    # No whole answer came; the call may have run.
    UNKNOWN = 3


@attrs.frozen
class Outcome:
    """Says how a claimed call ended.

    Attributes:
        status: HTTP status of the answer; 0 without one.
        answer: Body of the answer, if it is kept.
    """

    digest: bytes
    id: ClaimId
    ending: Ending
    status: int = 0
    answer: bytes = attrs.field(default=b'', repr=False)


@attrs.frozen
class Mark:
    """Keeps the stream from running empty.

    The oldest record that is left tells a new VM how far back it can see; in
    an empty stream it would see nothing.
    """


@attrs.frozen
class BadClaimRecord:
    """Says that a payload is no record of this module."""

    size: int


ClaimRecord = Claim | Release | Outcome
AnyRecord = ClaimRecord | Mark


def owner_of(incarnation: Incarnation) -> bytes:
    """Returns the digest that names an incarnation in records."""
    return hashlib.blake2b(incarnation.encode(),
                           digest_size=SHORT_DIGEST_BYTES).digest()


def key_digest(team: TeamId, service: ServiceId, key: str) -> bytes:
    """Returns the digest that names a team's key at a service."""
    return hashlib.blake2b(json.dumps([team, service, key]).encode(),
                           digest_size=DIGEST_BYTES).digest()


def body_digest(method: str, path: str, body: bytes) -> bytes:
    """Returns the digest by which another call under a key is told apart."""
    head = json.dumps([method, path]).encode()
    return hashlib.blake2b(head + b'\0' + body,
                           digest_size=SHORT_DIGEST_BYTES).digest()


def answered(digest: bytes, claim: ClaimId, status: int,
             body: bytes) -> Outcome:
    """Returns the outcome of a whole answer; a long body is left out."""
    if len(body) > KEPT_BODY_BYTES:
        return Outcome(digest, claim, Ending.ANSWER_NOT_KEPT, status)
    return Outcome(digest, claim, Ending.ANSWERED, status, body)


def encode(record: AnyRecord) -> bytes:
    """Returns a record's payload."""
    if isinstance(record, Mark):
        return bytes([_Kind.MARK])
    if isinstance(record, Claim):
        return _head(_Kind.CLAIM, record) + record.body
    if isinstance(record, Release):
        return _head(_Kind.RELEASE, record)
    return (_head(_Kind.OUTCOME, record) +
            _OUTCOME.pack(record.ending, record.status) + record.answer)


def _head(kind: _Kind, record: ClaimRecord) -> bytes:
    return _HEAD.pack(kind, record.digest, record.id.owner, record.id.seq)


def decode(payload: bytes) -> AnyRecord | BadClaimRecord:
    """Reads a payload."""
    if payload == bytes([_Kind.MARK]):
        return Mark()
    try:
        kind, digest, owner, seq = _HEAD.unpack_from(payload)
        claim = ClaimId(owner, seq)
        rest = payload[_HEAD.size:]
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
    return BadClaimRecord(len(payload))
