"""Execution of run-once calls at most once, on whichever VM retries arrive.

A VM appends a claim to the platform's log and dispatches only after it has
read that claim back as the first of its key. Only the claim's own
incarnation may dispatch under it, once, or release it, and never both.
"""

from collections.abc import Iterator
from typing import Final

from plantainridge import (claim_answers, claim_batches, claim_keys,
                           claim_records, claim_sync, service_attempts)
from plantainridge.calls import Call
from plantainridge.claim_keys import InvalidKey
from plantainridge.claim_records import (Claim, ClaimId, ClaimRecord, Ending,
                                         Outcome, Release)
from plantainridge.claim_state import (OPERATION_LIFECYCLE, KeyOperation,
                                       OperationPhase)
from plantainridge.claim_table import ClaimEntry, ClaimTable
from plantainridge.effects import Refuse, SendServiceAnswer
from plantainridge.events import (AppendEnded, AppendFailed, CallerDisconnected,
                                  Failure, LogRead, ServiceAnswered,
                                  ServiceCalled, Stream, TimerKind)
from plantainridge.lifecycles import REQUEST, RequestPhase
from plantainridge.loop.effects import CancelTimer, Effect, Observe, SetTimer
from plantainridge.loop.events import TimerFired, TimerKey
from plantainridge.refusals import Refusal
from plantainridge.service_attempts import (MAX_ATTEMPTS, NOT_RUN_FAILURES,
                                            SERVICE_TIMEOUT_S, NoInstance)
from plantainridge.state import VmState

MAX_ABANDONED_CLAIMS: Final = 100_000
UNKNOWN_RETRY_AFTER_S: Final = 60.0


def accept_call(state: VmState, arrival: ServiceCalled,
                now: float) -> Iterator[Effect]:
    """Start a run-once call or join the operation in flight for its key.

    A call with an invalid key, or with a key of another call, is refused.
    """
    created_at = claim_keys.creation_time(arrival.key)
    if not arrival.key:
        yield Refuse(arrival.request, claim_answers.key_required())
        return
    if isinstance(created_at, InvalidKey):
        yield Refuse(arrival.request,
                     claim_answers.key_invalid(created_at.detail))
        return
    digest = claim_records.key_digest(arrival.team, arrival.service,
                                      arrival.key)
    body = claim_records.body_digest(arrival.method, arrival.path, arrival.body)
    operation = state.claims.operations.get(digest)
    if operation is None:
        shard = state.claims.shard_of(digest)
        yield from _start(
            state,
            KeyOperation(digest, body, shard, created_at, [arrival], arrival,
                         now), now)
    elif operation.body == body:
        operation.waiting_calls.append(arrival)
    else:
        yield Refuse(arrival.request, claim_answers.conflict())


def on_log_read(state: VmState, event: LogRead, now: float) -> Iterator[Effect]:
    """Apply new claim records and advance the operations they decide."""
    if event.stream is not Stream.CLAIMS:
        return
    for record, decoded in claim_sync.apply_read(state, event, now):
        yield from _on_record(state, decoded, record.at, now)
    yield from claim_sync.schedule_read(state, event.shard, now)


def on_append_ended(state: VmState, event: AppendEnded,
                    now: float) -> Iterator[Effect]:
    """Read the log up to the appended claims."""
    del now
    for claim in state.claims.claims_in_flight.pop(event.append_id, []):
        yield from claim_sync.read(state, state.claims.shard_of(claim.digest))


def on_append_failed(state: VmState, event: AppendFailed,
                     now: float) -> Iterator[Effect]:
    """Abandon the claims of an append that was certainly not applied.

    If the append may have been applied, the operations keep waiting: only a
    read of the log shows whether it was.
    """
    for claim in state.claims.claims_in_flight.pop(event.append_id, []):
        operation = state.claims.operations.get(claim.digest)
        if (event.may_have_applied or operation is None or
                operation.claim != claim.id):
            continue
        if operation.phase is OperationPhase.CLAIMING:
            yield from _proceed_without_log(state, operation, now)


def on_timer(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    """Handle the timeout of an own claim or of another VM's outcome."""
    operation = state.claims.operations.get(bytes.fromhex(event.key.subject))
    if operation is None:
        return
    entry = _table(state, operation).entries.get(operation.digest)
    if operation.phase is OperationPhase.CLAIMING and entry is None:
        yield from _proceed_without_log(state, operation, now)
    elif operation.phase in (OperationPhase.CLAIMING, OperationPhase.AWAITING):
        yield from _stop_waiting(state, operation, now)


def on_caller_disconnected(state: VmState, event: CallerDisconnected,
                           now: float) -> Iterator[Effect]:
    """Abandon an operation without callers unless it was dispatched.

    A dispatched operation continues, so that retries find its outcome.
    """
    for operation in list(state.claims.operations.values()):
        if all(each.request != event.request
               for each in operation.waiting_calls):
            continue
        operation.waiting_calls = [
            a for a in operation.waiting_calls if a.request != event.request
        ]
        if (not operation.waiting_calls and
                operation.phase is not OperationPhase.RUNNING):
            _abandon(state, operation, now)
            yield from _end(state, operation)


def on_answered(state: VmState, call: Call, event: ServiceAnswered,
                now: float) -> Iterator[Effect]:
    """Send the complete answer to all waiting callers and record it."""
    operation = _operation_of(state, call)
    for each in operation.waiting_calls:
        yield SendServiceAnswer(each.request, event.status, event.body)
    if operation.claim is not None:
        outcome = claim_records.answered_outcome(operation.digest,
                                                 operation.claim, event.status,
                                                 event.body)
        yield from claim_batches.append_until_confirmed(state, operation.shard,
                                                        outcome, now)
    REQUEST.fire(call, 'finish')
    yield from _end(state, operation)


def on_failed(state: VmState, call: Call, failure: Failure,
              now: float) -> Iterator[Effect]:
    """Retry a call that has not run or whose service checks keys itself."""
    operation = _operation_of(state, call)
    not_run = failure in NOT_RUN_FAILURES and not call.may_have_run
    if not not_run and not _service_checks_keys(state, operation):
        yield from _end_unknown(state, operation, now)
        return
    if call.attempt_count < MAX_ATTEMPTS or not_run:
        sent = service_attempts.send(state, call, operation.leader, now)
        if not isinstance(sent, NoInstance):
            yield from service_attempts.start_attempt(sent, now)
            return
    if not_run:
        yield from _end_not_run(state, operation, now)
    else:
        yield from _end_unknown(state, operation, now)


def _start(state: VmState, operation: KeyOperation,
           now: float) -> Iterator[Effect]:
    reader = state.claims.readers[operation.shard]
    entry = reader.table.entries.get(operation.digest)
    if entry is not None:
        yield from _follow(state, operation, entry, now)
        return
    platform_now = state.claims.platform_time(now)
    if platform_now is None or not reader.caught_up:
        yield from _refuse(state, operation,
                           claim_answers.not_caught_up(operation.leader))
        return
    refusal = claim_answers.key_age_refusal(operation.leader,
                                            operation.created_at,
                                            state.claims.limits, reader.table,
                                            platform_now)
    if refusal is not None:
        yield from _refuse(state, operation, refusal)
    elif claim_sync.is_log_unavailable(reader, now):
        yield from _proceed_without_log(state, operation, now)
    else:
        yield from _claim(state, operation, now)


def _claim(state: VmState, operation: KeyOperation,
           now: float) -> Iterator[Effect]:
    claims = state.claims
    operation.claim = ClaimId(claim_records.owner_digest(state.incarnation),
                              claims.next_seq)
    claims.next_seq += 1
    OPERATION_LIFECYCLE.fire(operation, 'claim')
    claims.operations[operation.digest] = operation
    yield SetTimer(_timer_key(operation), now + claims.limits.claim_timeout_s)
    yield from claim_batches.add(
        state, operation.shard,
        Claim(operation.digest, operation.claim, operation.body), now)
    yield from claim_sync.read(state, operation.shard)


def _on_record(state: VmState, record: ClaimRecord, recorded_at: float,
               now: float) -> Iterator[Effect]:
    operation = state.claims.operations.get(record.digest)
    is_own = record.id.owner == claim_records.owner_digest(state.incarnation)
    if is_own and isinstance(record, Claim):
        if (operation is not None and operation.claim == record.id and
                operation.phase is OperationPhase.CLAIMING):
            yield from _on_own_claim_read(state, operation, recorded_at, now)
        elif record.id in state.claims.abandoned:
            yield from _release(state, record.digest, record.id, now)
        return
    if is_own:
        claim_batches.confirm(state.claims, record.id)
    if operation is None or operation.phase is OperationPhase.RUNNING:
        return
    entry = _table(state, operation).entries.get(operation.digest)
    if entry is None:
        if operation.phase is OperationPhase.AWAITING:
            yield from _start(state, operation, now)
    elif entry.outcome is not None:
        yield from _follow(state, operation, entry, now)


def _on_own_claim_read(state: VmState, operation: KeyOperation,
                       recorded_at: float, now: float) -> Iterator[Effect]:
    table = _table(state, operation)
    assert operation.claim is not None
    if not table.is_held_by(operation.digest, operation.claim):
        yield from _follow(state, operation, table.entries[operation.digest],
                           now)
        return
    refusal = claim_answers.key_age_refusal(operation.leader,
                                            operation.created_at,
                                            state.claims.limits, table,
                                            recorded_at)
    if refusal is None:
        yield from _run(state, operation, now)
        return
    yield from _release(state, operation.digest, operation.claim, now)
    yield from _refuse(state, operation, refusal)


def _follow(state: VmState, operation: KeyOperation, entry: ClaimEntry,
            now: float) -> Iterator[Effect]:
    """Answer from the key's first claim, or wait for its outcome."""
    if operation.phase is OperationPhase.CLAIMING:
        _abandon(state, operation, now)
    if entry.body != operation.body:
        yield from _refuse(state, operation, claim_answers.conflict())
        return
    if entry.outcome is None:
        yield from _wait_for_outcome(state, operation, entry, now)
        return
    if entry.outcome.ending is Ending.UNKNOWN and _service_checks_keys(
            state, operation):
        yield from _run(state, operation, now)
        return
    yield from claim_answers.send_outcome(operation.waiting_calls,
                                          entry.outcome)
    yield from _end(state, operation)


def _wait_for_outcome(state: VmState, operation: KeyOperation,
                      entry: ClaimEntry, now: float) -> Iterator[Effect]:
    if operation.phase is not OperationPhase.AWAITING:
        OPERATION_LIFECYCLE.fire(operation, 'lose')
    state.claims.operations[operation.digest] = operation
    if _claimed_long_ago(state, entry, now):
        yield from _stop_waiting(state, operation, now)
        return
    yield SetTimer(_timer_key(operation),
                   now + state.claims.limits.outcome_timeout_s)


def _stop_waiting(state: VmState, operation: KeyOperation,
                  now: float) -> Iterator[Effect]:
    entry = _table(state, operation).entries.get(operation.digest)
    if operation.phase is OperationPhase.CLAIMING:
        _abandon(state, operation, now)
    if _service_checks_keys(state, operation):
        yield from _run(state, operation, now)
    elif entry is not None and _claimed_long_ago(state, entry, now):
        yield from _refuse(state, operation,
                           claim_answers.outcome_unknown(UNKNOWN_RETRY_AFTER_S))
    else:
        yield from _refuse(state, operation, claim_answers.in_progress())


def _claimed_long_ago(state: VmState, entry: ClaimEntry, now: float) -> bool:
    platform_now = state.claims.platform_time(now)
    return (platform_now is not None and
            platform_now - entry.claimed_at > SERVICE_TIMEOUT_S)


def _proceed_without_log(state: VmState, operation: KeyOperation,
                         now: float) -> Iterator[Effect]:
    """Dispatch if the service checks keys itself, otherwise refuse."""
    _abandon(state, operation, now)
    if _service_checks_keys(state, operation):
        yield from _run(state, operation, now)
    else:
        yield from _refuse(state, operation,
                           claim_answers.log_unavailable(operation.leader))


def _run(state: VmState, operation: KeyOperation,
         now: float) -> Iterator[Effect]:
    """Dispatch under the own claim, or rely on the service's key check."""
    call = Call(operation.leader, arrived_at=operation.started_at)
    state.calls.open(call)
    state.claims.dispatched[operation.leader.request] = operation.digest
    state.claims.operations[operation.digest] = operation
    OPERATION_LIFECYCLE.fire(operation, 'run')
    yield CancelTimer(_timer_key(operation))
    yield Observe('claim_s', operation.leader.team, operation.leader.service,
                  now - operation.started_at)
    sent = service_attempts.send(state, call, operation.leader, now)
    if isinstance(sent, NoInstance):
        yield from _end_not_run(state, operation, now)
    else:
        yield from service_attempts.start_attempt(sent, now)


def _end_not_run(state: VmState, operation: KeyOperation,
                 now: float) -> Iterator[Effect]:
    """Release the claim and refuse the callers: the call has not run."""
    has_claim = operation.claim is not None
    if operation.claim is not None:
        yield from _release(state, operation.digest, operation.claim, now)
    for each in operation.waiting_calls:
        yield Refuse(
            each.request,
            claim_answers.no_instance(
                each.resend and
                not (has_claim and not _service_checks_keys(state, operation))))
    yield from _end(state, operation)


def _end_unknown(state: VmState, operation: KeyOperation,
                 now: float) -> Iterator[Effect]:
    if operation.claim is not None:
        yield from claim_batches.append_until_confirmed(
            state, operation.shard,
            Outcome(operation.digest, operation.claim, Ending.UNKNOWN), now)
    yield from _refuse(state, operation, claim_answers.outcome_unknown())


def _refuse(state: VmState, operation: KeyOperation,
            refusal: Refusal) -> Iterator[Effect]:
    for each in operation.waiting_calls:
        yield Refuse(each.request, refusal)
    yield from _end(state, operation)


def _end(state: VmState, operation: KeyOperation) -> Iterator[Effect]:
    if operation.phase is not OperationPhase.NEW:
        yield CancelTimer(_timer_key(operation))
    OPERATION_LIFECYCLE.fire(operation, 'end')
    state.claims.operations.pop(operation.digest, None)
    if state.claims.dispatched.pop(operation.leader.request, None) is not None:
        call = state.calls.close(operation.leader.request)
        if call.phase is not RequestPhase.DONE:
            REQUEST.fire(call, 'refuse')
        if call.attempt is not None:
            service_attempts.remove_attempt(state, call.attempt)


def _abandon(state: VmState, operation: KeyOperation, now: float) -> None:
    """Abandon the claim; if it is read back as the first, it is released."""
    if operation.claim is None:
        return
    _record_abandoned(state, operation.claim, now)
    operation.claim = None


def _record_abandoned(state: VmState, claim: ClaimId, now: float) -> None:
    abandoned = state.claims.abandoned
    while abandoned and (len(abandoned) >= MAX_ABANDONED_CLAIMS or
                         abandoned[next(iter(abandoned))] <= now):
        del abandoned[next(iter(abandoned))]
    abandoned[claim] = now + state.claims.limits.record_window_s


def _release(state: VmState, digest: bytes, claim: ClaimId,
             now: float) -> Iterator[Effect]:
    _record_abandoned(state, claim, now)
    shard = state.claims.shard_of(digest)
    if state.claims.readers[shard].table.is_held_by(digest, claim):
        yield from claim_batches.append_until_confirmed(state, shard,
                                                        Release(digest, claim),
                                                        now)


def _service_checks_keys(state: VmState, operation: KeyOperation) -> bool:
    service = state.config.services.get(operation.leader.service)
    return service is not None and service.checks_keys


def _table(state: VmState, operation: KeyOperation) -> ClaimTable:
    return state.claims.readers[operation.shard].table


def _operation_of(state: VmState, call: Call) -> KeyOperation:
    assert isinstance(call.arrival, ServiceCalled)
    return state.claims.operations[state.claims.dispatched[
        call.arrival.request]]


def _timer_key(operation: KeyOperation) -> TimerKey:
    return TimerKey(TimerKind.CLAIM, operation.digest.hex())
