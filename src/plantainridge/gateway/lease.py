"""Lease on ordering engines, held by one VM at a time for a short term.

A VM acquires the lease by appending a record to the metadata store's log on
condition that the log still ends where the VM read it. The store's era and the
record's offset make the number of the term, which is the fencing token: it
rises even if the store returns from an older copy and gives out offsets again.
A holder relies on its lease for a short time counted from before it sent the
record. Other VMs acquire it only if no record was added for that time plus the
shortest time between orders of two VMs, and in a new era only after as long:
the store may have lost the record of a holder.
"""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import relays
from plantainridge.gateway.events import (AppendResult, LeaseFailed, LeaseRead,
                                          LeaseRecord, LeaseWritten)
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time for which a holder relies on its lease after it began to write a record.
TERM_S: Final = 1.5
# Age of a record at which the holder writes the next one.
RENEW_INTERVAL_S: Final = 0.6
# Covers clock drift and the time that orders travel.
SAFETY_MARGIN_S: Final = 0.3
# Time between reads while this VM wants the lease, and while it does not.
READ_INTERVAL_S: Final = 0.4
IDLE_READ_INTERVAL_S: Final = 8.0
# VMs that read the lease while none wants it, so that they know at once whether
# the last holder still renews it. Reads by the other VMs would cost calls and
# serve no purpose.
STANDBY_VMS: Final = 3
# Subject of the rendezvous hash that ranks VMs for the lease.
LEASE_SUBJECT: Final = 'orders'
# Time after which a call to the metadata store counts as lost.
CALL_TIMEOUT_S: Final = 2.5
NO_TERM: Final = -1
# Numbers of terms in one era of the metadata store. With fewer than 2**21 eras
# a number is exact in any JSON decoder.
OFFSETS_PER_ERA: Final = 2**32


@attrs.define
class Lease:
    """State of the lease as known to this VM.

    Attributes:
        wanted: Whether this VM has orders to give.
        record: The newest record read, or None.
        end: End of the log at that read.
        end_seen_at: Loop time at which this end was first seen, in s.
        valid_until: Loop time until which this VM holds the lease, in s.
        term: Number of this VM's latest term.
        call_started_at: Loop time at which the pending call began, in s, or
            None.
        pending: The record that the pending call writes, or None.
        read_at: Loop time of the last read, in s.
        era_seen_at: Loop time at which this VM learned of the store's present
            era, in s; None if it has learned of no era.
    """

    wanted: bool = False
    record: LeaseRecord | None = None
    end: int = -1
    end_seen_at: float = math.inf
    valid_until: float = -math.inf
    term: int = NO_TERM
    call_started_at: float | None = None
    pending: LeaseRecord | None = None
    read_at: float = -math.inf
    era_seen_at: float | None = None

    def enter_era(self, now: float) -> None:
        """Release the lease: its record may be gone from the store."""
        self.record, self.end, self.end_seen_at = None, -1, math.inf
        self.valid_until = -math.inf
        self.call_started_at = self.pending = None
        self.era_seen_at = now

    def fence(self, now: float) -> int:
        """Return the fencing token while the lease is held, else NO_TERM."""
        return self.term if now < self.valid_until else NO_TERM


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Read or renew the lease if due."""
    lease = state.lease
    if (lease.call_started_at is not None and
            now - lease.call_started_at < CALL_TIMEOUT_S):
        return
    lease.call_started_at = lease.pending = None
    if lease.wanted and lease.fence(now) != NO_TERM:
        if now >= lease.valid_until - TERM_S + RENEW_INTERVAL_S:
            yield from _write(state, lease.term, now)
        return
    if _is_read_due(state, now):
        lease.call_started_at = lease.read_at = now
        yield fx.ReadLease()


def _is_read_due(state: 'GatewayState', now: float) -> bool:
    elapsed_s = now - state.lease.read_at
    if state.lease.wanted:
        return elapsed_s >= READ_INTERVAL_S
    if elapsed_s < IDLE_READ_INTERVAL_S:
        return False
    return relays.rank(state, LEASE_SUBJECT) < STANDBY_VMS


def on_read(state: 'GatewayState', event: LeaseRead,
            now: float) -> Iterator[Effect]:
    """Record what was read, and claim the lease if it is free."""
    lease = state.lease
    if event.era != state.views.era:
        return
    lease.call_started_at = None
    if event.end != lease.end:
        lease.end = event.end
        lease.record = event.record
        lease.end_seen_at = now
    if lease.wanted and _is_free(state, now):
        yield from _write(state, _term_number(event.era, event.end), now)


def _is_free(state: 'GatewayState', now: float) -> bool:
    lease = state.lease
    free_after_s = TERM_S + state.settings.bounds.lease_s + SAFETY_MARGIN_S
    if (lease.era_seen_at is not None and
            now - lease.era_seen_at < free_after_s):
        # The store may have lost the record of a holder whose term still runs.
        return False
    if lease.record is None or lease.record.holder == state.settings.vm:
        return True
    return now - lease.end_seen_at >= free_after_s


def _write(state: 'GatewayState', term: int, now: float) -> Iterator[Effect]:
    lease = state.lease
    lease.call_started_at = now
    lease.pending = LeaseRecord(state.settings.vm, state.incarnation, term)
    yield fx.WriteLease(lease.pending, lease.end, state.views.era)


def _term_number(era: int, offset: int) -> int:
    return era * OFFSETS_PER_ERA + offset


def on_written(state: 'GatewayState', event: LeaseWritten,
               now: float) -> Iterator[Effect]:
    """Start the term from the time at which the write began."""
    lease = state.lease
    # Compared by identity: writes that renew a lease have equal records.
    if event.era != state.views.era or event.record is not lease.pending:
        return
    lease.pending = None
    write_started_at, lease.call_started_at = lease.call_started_at, None
    if event.result is not AppendResult.DONE or write_started_at is None:
        # A write without an answer may still take effect: read the log again.
        lease.read_at = -math.inf
        if event.result is AppendResult.CONFLICT:
            lease.valid_until = -math.inf
        return
    if lease.term != event.record.term:
        yield LogLine('lease_taken', (('term', event.record.term),))
    lease.term = event.record.term
    lease.record = event.record
    lease.end += 1
    lease.end_seen_at = now
    lease.valid_until = write_started_at + TERM_S


def on_failed(state: 'GatewayState', event: LeaseFailed,
              now: float) -> Iterator[Effect]:
    """Discard the pending call; the next read follows its interval."""
    del now
    state.lease.call_started_at = None
    yield LogLine('lease_unread', (('reason', event.reason),))
