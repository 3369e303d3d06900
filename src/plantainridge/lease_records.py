"""Who holds a lease, by the records of the log alone.

Time is the log's: it gives each record one, and they do not go back within a
stream. A claim holds if in the lease's duration before it no other holder
wrote a record that was not released since. A renewal holds if the holder's
last record that held is not older than the duration. So any reader that has
seen one duration of records before a claim can tell whether it holds, and no
two holders overlap.
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
    """What a record says."""

    CLAIM = 'claim'
    RENEW = 'renew'
    RELEASE = 'release'


@attrs.frozen
class LeaseRecord:
    """One record of a lease.

    Attributes:
        name: The lease.
        holder: Who writes.
        act: What it says.
        number: Counts the holder's records.
    """

    name: str
    holder: Incarnation
    act: LeaseAct
    number: int


@attrs.frozen
class BadLease:
    """A record that cannot be read."""

    detail: str


def encode(record: LeaseRecord) -> bytes:
    """Returns a record's bytes."""
    return json.dumps(_CONVERTER.unstructure(record)).encode()


def decode(payload: bytes) -> LeaseRecord | BadLease:
    """Reads a record."""
    try:
        return _CONVERTER.structure(json.loads(payload), LeaseRecord)
    except (ValueError, RecursionError, cattrs.BaseValidationError) as error:
        return BadLease(type(error).__name__)


@attrs.frozen
class Term:
    """A term for which a lease is held.

    Attributes:
        fence: Offset of the claim; it only grows from holder to holder.
        at: Log time of the last record that held, in s.
    """

    fence: int
    at: float


@attrs.define
class LeaseHistory:
    """One lease as its records tell.

    Attributes:
        since: Log time since when all records were seen; None before any.
        wrote: Log time of each holder's last record that was not released.
        terms: Terms by holder, the lapsed ones among them.
    """

    since: float | None = None
    wrote: dict[Incarnation, float] = attrs.field(factory=dict)
    terms: dict[Incarnation, Term] = attrs.field(factory=dict)

    def take(self, record: LeaseRecord, stamped: Record) -> bool:
        """Takes in a record; returns whether it holds."""
        holder, at = record.holder, stamped.at
        if record.act is LeaseAct.RELEASE:
            self.wrote.pop(holder, None)
            self.terms.pop(holder, None)
            return True
        self._forget(at)
        term = self.terms.get(holder)
        if term is not None:
            self.terms[holder] = Term(term.fence, at)
        elif (record.act is LeaseAct.CLAIM and self.free(holder, at) and
              self._known(at)):
            self.terms[holder] = Term(stamped.offset, at)
        self.wrote[holder] = at
        return holder in self.terms

    def free(self, holder: Incarnation, at: float) -> bool:
        """Whether no other holder may have the lease at a log time."""
        return all(other == holder or at - wrote >= DURATION_S
                   for other, wrote in self.wrote.items())

    def _known(self, at: float) -> bool:
        return self.since is not None and at - self.since >= DURATION_S

    def _forget(self, at: float) -> None:
        lapsed = [
            holder for holder, wrote in self.wrote.items()
            if at - wrote >= DURATION_S
        ]
        for holder in lapsed:
            del self.wrote[holder]
            self.terms.pop(holder, None)
