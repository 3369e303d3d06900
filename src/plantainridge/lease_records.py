"""Derivation of a lease's holder from the records of the log.

All times are log times: the log timestamps each record, and timestamps do not
decrease within a stream. A claim is valid if, within the lease's duration
before it, every other holder that wrote a record has released since. A renewal
is valid if the holder's last valid record is not older than the duration. So
any reader that has seen one duration of records before a claim can decide
whether it is valid, and terms of two holders never overlap.
"""

import enum
import json
from typing import Final

import attrs
import cattrs
from cattrs.preconf.json import make_converter

from plantainridge.events import Record
from plantainridge.ids import Incarnation

DURATION_S: Final = 15.0

_CONVERTER: Final = make_converter()


class LeaseAct(enum.Enum):
    """Action of a record."""

    CLAIM = 'claim'
    RENEW = 'renew'
    RELEASE = 'release'


@attrs.frozen
class LeaseRecord:
    """One record of a lease.

    Attributes:
        name: Name of the lease.
        holder: Incarnation that wrote the record.
        act: Action of the record.
        number: Number of the record among the holder's records.
    """

    name: str
    holder: Incarnation
    act: LeaseAct
    number: int


@attrs.frozen
class InvalidLeaseRecord:
    """A record that cannot be decoded.

    Attributes:
        detail: Name of the error.
    """

    detail: str


def encode(record: LeaseRecord) -> bytes:
    """Encode a record."""
    return json.dumps(_CONVERTER.unstructure(record)).encode()


def decode(payload: bytes) -> LeaseRecord | InvalidLeaseRecord:
    """Decode a record."""
    try:
        return _CONVERTER.structure(json.loads(payload), LeaseRecord)
    except (ValueError, RecursionError, cattrs.BaseValidationError) as error:
        return InvalidLeaseRecord(type(error).__name__)


@attrs.frozen
class Term:
    """A term for which a lease is held.

    Attributes:
        fence: Fencing token, the offset of the claim; it increases from
            holder to holder.
        at: Log time of the last valid record, in s.
    """

    fence: int
    at: float


@attrs.define
class LeaseHistory:
    """State of one lease, derived from its records.

    Attributes:
        complete_since: Log time in s since when all records were seen; None
            before any.
        last_written_at: Log time in s of the last record of each holder that
            has not released since.
        terms: Terms by holder, including expired ones.
    """

    complete_since: float | None = None
    last_written_at: dict[Incarnation, float] = attrs.field(factory=dict)
    terms: dict[Incarnation, Term] = attrs.field(factory=dict)

    def apply(self, record: LeaseRecord, log_record: Record) -> bool:
        """Apply a record and return whether it is valid."""
        holder, at = record.holder, log_record.at
        if record.act is LeaseAct.RELEASE:
            self.last_written_at.pop(holder, None)
            self.terms.pop(holder, None)
            return True
        self._remove_expired(at)
        term = self.terms.get(holder)
        if term is not None:
            self.terms[holder] = Term(term.fence, at)
        elif (record.act is LeaseAct.CLAIM and self.is_available(holder, at) and
              self._is_complete(at)):
            self.terms[holder] = Term(log_record.offset, at)
        self.last_written_at[holder] = at
        return holder in self.terms

    def is_available(self, holder: Incarnation, at: float) -> bool:
        """Return whether no other holder can have the lease at a log time."""
        return all(other == holder or at - written_at >= DURATION_S
                   for other, written_at in self.last_written_at.items())

    def _is_complete(self, at: float) -> bool:
        return (self.complete_since is not None and
                at - self.complete_since >= DURATION_S)

    def _remove_expired(self, at: float) -> None:
        expired = [
            holder for holder, written_at in self.last_written_at.items()
            if at - written_at >= DURATION_S
        ]
        for holder in expired:
            del self.last_written_at[holder]
            self.terms.pop(holder, None)
