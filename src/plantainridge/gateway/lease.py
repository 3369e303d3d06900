"""The right to give orders: held by one VM at a time, for a short term.

A VM takes the lease by appending to the store's log only if the log still
ends where it read it. The offset of that record is the term's number and the
fencing token. A holder trusts its lease for a short time from before it sent
its record; others take it only when no record came for that time and the
least time between orders of two VMs besides.
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

# How long a holder trusts its lease after it began to write a record, in s.
TERM_S: Final = 1.5
# Age of a record at which the holder writes the next, in s.
RENEW_S: Final = 0.6
# Covers clocks that run apart and the time that orders travel, in s.
MARGIN_S: Final = 0.3
# Time between reads while the lease is wanted, and while it is not, in s.
READ_S: Final = 0.4
IDLE_READ_S: Final = 8.0
# VMs that read the lease while nobody wants it: they know at once whether the
# last holder still writes; all others would pay for reads of no use.
STANDBY_VMS: Final = 3
# What the draw of the VM that is to hold the lease is for.
LEASE_SUBJECT: Final = 'orders'
# Time after which a call to the store is taken to be lost, in s.
CALL_S: Final = 2.5
NO_TERM: Final = -1


@attrs.define
class Lease:
    """What this VM knows of the lease.

    Attributes:
        wanted: Whether this VM has orders to give.
        record: The newest record that was read, or None.
        end: Where the log ended then.
        changed_at: Loop time at which that end was first seen, in s.
        until: Loop time until which this VM may act, in s.
        term: This VM's term.
        called_at: Loop time of a call in progress, in s, or None.
        read_at: Loop time of the last read, in s.
    """

    wanted: bool = False
    record: LeaseRecord | None = None
    end: int = -1
    changed_at: float = math.inf
    until: float = -math.inf
    term: int = NO_TERM
    called_at: float | None = None
    read_at: float = -math.inf

    def fence(self, now: float) -> int:
        """Returns the term's number while the lease is held, else -1."""
        return self.term if now < self.until else NO_TERM


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Takes the next step: read, claim or renew."""
    lease = state.lease
    if lease.called_at is not None and now - lease.called_at < CALL_S:
        return
    lease.called_at = None
    if lease.wanted and lease.fence(now) != NO_TERM:
        if now >= lease.until - TERM_S + RENEW_S:
            yield from _write(state, lease.term, now)
        return
    if _is_read_due(state, now):
        lease.called_at = lease.read_at = now
        yield fx.ReadLease()


def _is_read_due(state: 'GatewayState', now: float) -> bool:
    passed = now - state.lease.read_at
    if state.lease.wanted:
        return passed >= READ_S
    if passed < IDLE_READ_S:
        return False
    return relays.rank(state, LEASE_SUBJECT) < STANDBY_VMS


def on_read(state: 'GatewayState', event: LeaseRead,
            now: float) -> Iterator[Effect]:
    """Claims a lease that is free."""
    lease = state.lease
    lease.called_at = None
    if event.end != lease.end:
        lease.end = event.end
        lease.record = event.record
        lease.changed_at = now
    if lease.wanted and _is_free(state, now):
        yield from _write(state, event.end, now)


def _is_free(state: 'GatewayState', now: float) -> bool:
    lease = state.lease
    if lease.record is None or lease.record.holder == state.settings.vm:
        return True
    rest = TERM_S + state.settings.bounds.lease_s + MARGIN_S
    return now - lease.changed_at >= rest


def _write(state: 'GatewayState', term: int, now: float) -> Iterator[Effect]:
    lease = state.lease
    lease.called_at = now
    yield fx.WriteLease(LeaseRecord(state.settings.vm, state.incarnation, term),
                        lease.end)


def on_written(state: 'GatewayState', event: LeaseWritten,
               now: float) -> Iterator[Effect]:
    """Holds the lease from the time at which the write began."""
    lease = state.lease
    began_at, lease.called_at = lease.called_at, None
    if event.result is not AppendResult.DONE or began_at is None:
        # A write without an answer may still come true: read again.
        lease.read_at = -math.inf
        if event.result is AppendResult.CONFLICT:
            lease.until = -math.inf
        return
    if lease.term != event.record.term:
        yield LogLine('lease_taken', (('term', event.record.term),))
    lease.term = event.record.term
    lease.record = event.record
    lease.end += 1
    lease.changed_at = now
    lease.until = began_at + TERM_S


def on_failed(state: 'GatewayState', event: LeaseFailed,
              now: float) -> Iterator[Effect]:
    """Waits for the next read."""
    del now
    state.lease.called_at = None
    yield LogLine('lease_unread', (('reason', event.reason),))
