"""Runs marked calls at most once, whichever VM each try enters by.

A VM appends a claim to the platform's log and dispatches only after it has
read that claim back as the first of its key. Only the claim's own
incarnation may dispatch under it, once, or release it, and never both.
"""

from collections.abc import Iterator
from typing import Final

from plantainridge import (claim_answers, claim_batches, claim_keys,
                           claim_records, claim_sync, service_attempts)
from plantainridge.calls import Call
from plantainridge.claim_keys import KeyFault
from plantainridge.claim_records import (Claim, ClaimId, ClaimRecord, Ending,
                                         Outcome, Release)
from plantainridge.claim_state import WORK, KeyWork, WorkPhase
from plantainridge.claim_table import ClaimTable, Entry
from plantainridge.effects import Refuse, SendServiceAnswer
from plantainridge.events import (AppendEnded, AppendFailed, CallerDisconnected,
                                  Failure, LogRead, ServiceAnswered,
                                  ServiceCalled, Stream, TimerKind)
from plantainridge.lifecycles import REQUEST, RequestPhase
from plantainridge.loop.effects import CancelTimer, Effect, Observe, SetTimer
from plantainridge.loop.events import TimerFired, TimerKey
from plantainridge.refusals import Refusal
from plantainridge.service_attempts import (MAX_ATTEMPTS, SERVICE_TIMEOUT_S,
                                            NOT_RUN_FAILURES, NoInstance)
from plantainridge.state import VmState

MAX_ABANDONED: Final = 100_000
RETRY_UNKNOWN_S: Final = 60.0


def accept_call(state: VmState, asked: ServiceCalled,
                now: float) -> Iterator[Effect]:
    """Takes a marked call in: joins, answers, claims or refuses it."""
    made_at = claim_keys.made_at(asked.key)
    if not asked.key:
        yield Refuse(asked.request, claim_answers.key_required())
        return
    if isinstance(made_at, KeyFault):
        yield Refuse(asked.request, claim_answers.key_invalid(made_at.detail))
        return
    digest = claim_records.key_digest(asked.team, asked.service, asked.key)
    body = claim_records.body_digest(asked.method, asked.path, asked.body)
    work = state.claims.operations.get(digest)
    if work is None:
        shard = state.claims.shard_of(digest)
        yield from _begin(
            state, KeyWork(digest, body, shard, made_at, [asked], asked, now),
            now)
    elif work.body == body:
        work.asked.append(asked)
    else:
        yield Refuse(asked.request, claim_answers.conflict())


def on_log_read(state: VmState, event: LogRead, now: float) -> Iterator[Effect]:
    """Applies records one by one; each may decide the work on its key."""
    if event.stream is not Stream.CLAIMS:
        return
    for record, decoded in claim_sync.take_in(state, event, now):
        yield from _on_record(state, decoded, record.at, now)
    yield from claim_sync.read_on(state, event.shard, now)


def on_append_ended(state: VmState, event: AppendEnded,
                    now: float) -> Iterator[Effect]:
    """Reads the appended claims back."""
    del now
    for claim in state.claims.in_flight.pop(event.append_id, []):
        yield from claim_sync.read(state, state.claims.shard_of(claim.digest))


def on_append_failed(state: VmState, event: AppendFailed,
                     now: float) -> Iterator[Effect]:
    """Gives claims up that certainly are not in the log.

    Those that may be there are waited for: only a read can tell.
    """
    for claim in state.claims.in_flight.pop(event.append_id, []):
        work = state.claims.operations.get(claim.digest)
        if event.may_have_applied or work is None or work.claim != claim.id:
            continue
        if work.phase is WorkPhase.CLAIMING:
            yield from _do_without_log(state, work, now)


def on_timer(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    """Ends the wait for an own claim or for another VM's outcome."""
    work = state.claims.operations.get(bytes.fromhex(event.key.subject))
    if work is None:
        return
    entry = _table(state, work).entries.get(work.digest)
    if work.phase is WorkPhase.CLAIMING and entry is None:
        yield from _do_without_log(state, work, now)
    elif work.phase in (WorkPhase.CLAIMING, WorkPhase.AWAITING):
        yield from _stop_waiting(state, work, now)


def on_caller_disconnected(state: VmState, event: CallerDisconnected,
                           now: float) -> Iterator[Effect]:
    """Gives up what was not dispatched; the rest runs on for later tries."""
    for work in list(state.claims.operations.values()):
        if all(each.request != event.request for each in work.asked):
            continue
        work.asked = [a for a in work.asked if a.request != event.request]
        if not work.asked and work.phase is not WorkPhase.RUNNING:
            _abandon(state, work, now)
            yield from _end(state, work)


def on_answered(state: VmState, call: Call, event: ServiceAnswered,
                now: float) -> Iterator[Effect]:
    """Gives the whole answer to all who wait and records it."""
    work = _work_of(state, call)
    for each in work.asked:
        yield SendServiceAnswer(each.request, event.status, event.body)
    if work.claim is not None:
        outcome = claim_records.answered(work.digest, work.claim, event.status,
                                         event.body)
        yield from claim_batches.owe(state, work.shard, outcome, now)
    REQUEST.fire(call, 'finish')
    yield from _end(state, work)


def on_failed(state: VmState, call: Call, failure: Failure,
              now: float) -> Iterator[Effect]:
    """Tries again only what certainly has not run or is checked by key."""
    work = _work_of(state, call)
    safe = failure in NOT_RUN_FAILURES and not call.may_have_run
    if not safe and not _checks_keys(state, work):
        yield from _end_unknown(state, work, now)
        return
    if call.attempt_count < MAX_ATTEMPTS or safe:
        sent = service_attempts.send(state, call, work.lead, now)
        if not isinstance(sent, NoInstance):
            yield from service_attempts.start_attempt(sent, now)
            return
    if safe:
        yield from _end_not_run(state, work, now)
    else:
        yield from _end_unknown(state, work, now)


def _begin(state: VmState, work: KeyWork, now: float) -> Iterator[Effect]:
    tail = state.claims.tails[work.shard]
    entry = tail.table.entries.get(work.digest)
    if entry is not None:
        yield from _follow(state, work, entry, now)
        return
    at = state.claims.platform_time(now)
    if at is None or not tail.caught_up:
        yield from _refuse(state, work, claim_answers.not_caught_up(work.lead))
        return
    refusal = claim_answers.unfit(work.lead, work.made_at, state.claims.limits,
                                  tail.table, at)
    if refusal is not None:
        yield from _refuse(state, work, refusal)
    elif claim_sync.log_is_out(tail, now):
        yield from _do_without_log(state, work, now)
    else:
        yield from _claim(state, work, now)


def _claim(state: VmState, work: KeyWork, now: float) -> Iterator[Effect]:
    claims = state.claims
    work.claim = ClaimId(claim_records.owner_of(state.incarnation),
                         claims.next_seq)
    claims.next_seq += 1
    WORK.fire(work, 'claim')
    claims.operations[work.digest] = work
    yield SetTimer(_timer_key(work), now + claims.limits.claim_timeout_s)
    yield from claim_batches.add(state, work.shard,
                                 Claim(work.digest, work.claim, work.body), now)
    yield from claim_sync.read(state, work.shard)


def _on_record(state: VmState, record: ClaimRecord, at: float,
               now: float) -> Iterator[Effect]:
    work = state.claims.operations.get(record.digest)
    own = record.id.owner == claim_records.owner_of(state.incarnation)
    if own and isinstance(record, Claim):
        if (work is not None and work.claim == record.id and
                work.phase is WorkPhase.CLAIMING):
            yield from _on_own_claim(state, work, at, now)
        elif record.id in state.claims.abandoned:
            yield from _release(state, record.digest, record.id, now)
        return
    if own:
        claim_batches.paid(state.claims, record.id)
    if work is None or work.phase is WorkPhase.RUNNING:
        return
    entry = _table(state, work).entries.get(work.digest)
    if entry is None:
        if work.phase is WorkPhase.AWAITING:
            yield from _begin(state, work, now)
    elif entry.outcome is not None:
        yield from _follow(state, work, entry, now)


def _on_own_claim(state: VmState, work: KeyWork, at: float,
                  now: float) -> Iterator[Effect]:
    table = _table(state, work)
    assert work.claim is not None
    if not table.held_by(work.digest, work.claim):
        yield from _follow(state, work, table.entries[work.digest], now)
        return
    refusal = claim_answers.unfit(work.lead, work.made_at, state.claims.limits,
                                  table, at)
    if refusal is None:
        yield from _run(state, work, now)
        return
    yield from _release(state, work.digest, work.claim, now)
    yield from _refuse(state, work, refusal)


def _follow(state: VmState, work: KeyWork, entry: Entry,
            now: float) -> Iterator[Effect]:
    """Answers from another claim of the key, or waits for its outcome."""
    if work.phase is WorkPhase.CLAIMING:
        _abandon(state, work, now)
    if entry.body != work.body:
        yield from _refuse(state, work, claim_answers.conflict())
        return
    if entry.outcome is None:
        yield from _await_outcome(state, work, entry, now)
        return
    if entry.outcome.ending is Ending.UNKNOWN and _checks_keys(state, work):
        yield from _run(state, work, now)
        return
    yield from claim_answers.tell(work.asked, entry.outcome)
    yield from _end(state, work)


def _await_outcome(state: VmState, work: KeyWork, entry: Entry,
                   now: float) -> Iterator[Effect]:
    if work.phase is not WorkPhase.AWAITING:
        WORK.fire(work, 'lose')
    state.claims.operations[work.digest] = work
    if _claimed_long_ago(state, entry, now):
        yield from _stop_waiting(state, work, now)
        return
    yield SetTimer(_timer_key(work),
                   now + state.claims.limits.outcome_timeout_s)


def _stop_waiting(state: VmState, work: KeyWork,
                  now: float) -> Iterator[Effect]:
    entry = _table(state, work).entries.get(work.digest)
    if work.phase is WorkPhase.CLAIMING:
        _abandon(state, work, now)
    if _checks_keys(state, work):
        yield from _run(state, work, now)
    elif entry is not None and _claimed_long_ago(state, entry, now):
        yield from _refuse(state, work,
                           claim_answers.outcome_unknown(RETRY_UNKNOWN_S))
    else:
        yield from _refuse(state, work, claim_answers.in_progress())


def _claimed_long_ago(state: VmState, entry: Entry, now: float) -> bool:
    at = state.claims.platform_time(now)
    return at is not None and at - entry.at > SERVICE_TIMEOUT_S


def _do_without_log(state: VmState, work: KeyWork,
                    now: float) -> Iterator[Effect]:
    """Serves what the service checks by key; refuses the rest for good."""
    _abandon(state, work, now)
    if _checks_keys(state, work):
        yield from _run(state, work, now)
    else:
        yield from _refuse(state, work,
                           claim_answers.log_unavailable(work.lead))


def _run(state: VmState, work: KeyWork, now: float) -> Iterator[Effect]:
    """Dispatches under the own claim, or by the service's own check."""
    call = Call(work.lead, arrived_at=work.asked_at)
    state.calls.open(call)
    state.claims.running[work.lead.request] = work.digest
    state.claims.operations[work.digest] = work
    WORK.fire(work, 'run')
    yield CancelTimer(_timer_key(work))
    yield Observe('claim_s', work.lead.team, work.lead.service,
                  now - work.asked_at)
    sent = service_attempts.send(state, call, work.lead, now)
    if isinstance(sent, NoInstance):
        yield from _end_not_run(state, work, now)
    else:
        yield from service_attempts.start_attempt(sent, now)


def _end_not_run(state: VmState, work: KeyWork, now: float) -> Iterator[Effect]:
    """Frees the key again; nothing was dispatched that could run."""
    proven = work.claim is not None
    if work.claim is not None:
        yield from _release(state, work.digest, work.claim, now)
    for each in work.asked:
        yield Refuse(
            each.request,
            claim_answers.no_instance(
                each.resend and not (proven and not _checks_keys(state, work))))
    yield from _end(state, work)


def _end_unknown(state: VmState, work: KeyWork, now: float) -> Iterator[Effect]:
    if work.claim is not None:
        yield from claim_batches.owe(
            state, work.shard, Outcome(work.digest, work.claim, Ending.UNKNOWN),
            now)
    yield from _refuse(state, work, claim_answers.outcome_unknown())


def _refuse(state: VmState, work: KeyWork,
            refusal: Refusal) -> Iterator[Effect]:
    for each in work.asked:
        yield Refuse(each.request, refusal)
    yield from _end(state, work)


def _end(state: VmState, work: KeyWork) -> Iterator[Effect]:
    if work.phase is not WorkPhase.NEW:
        yield CancelTimer(_timer_key(work))
    WORK.fire(work, 'end')
    state.claims.operations.pop(work.digest, None)
    if state.claims.running.pop(work.lead.request, None) is not None:
        call = state.calls.close(work.lead.request)
        if call.phase is not RequestPhase.DONE:
            REQUEST.fire(call, 'refuse')
        if call.attempt is not None:
            service_attempts.remove_attempt(state, call.attempt)


def _abandon(state: VmState, work: KeyWork, now: float) -> None:
    """Renounces the claim; should it show up first, it will be released."""
    if work.claim is None:
        return
    _note_abandoned(state, work.claim, now)
    work.claim = None


def _note_abandoned(state: VmState, claim: ClaimId, now: float) -> None:
    abandoned = state.claims.abandoned
    while abandoned and (len(abandoned) >= MAX_ABANDONED or
                         abandoned[next(iter(abandoned))] <= now):
        del abandoned[next(iter(abandoned))]
    abandoned[claim] = now + state.claims.limits.window_s


def _release(state: VmState, digest: bytes, claim: ClaimId,
             now: float) -> Iterator[Effect]:
    _note_abandoned(state, claim, now)
    shard = state.claims.shard_of(digest)
    if state.claims.tails[shard].table.held_by(digest, claim):
        yield from claim_batches.owe(state, shard, Release(digest, claim), now)


def _checks_keys(state: VmState, work: KeyWork) -> bool:
    service = state.config.services.get(work.lead.service)
    return service is not None and service.checks_keys


def _table(state: VmState, work: KeyWork) -> ClaimTable:
    return state.claims.tails[work.shard].table


def _work_of(state: VmState, call: Call) -> KeyWork:
    assert isinstance(call.arrival, ServiceCalled)
    return state.claims.operations[state.claims.running[call.arrival.request]]


def _timer_key(work: KeyWork) -> TimerKey:
    return TimerKey(TimerKind.CLAIM, work.digest.hex())
