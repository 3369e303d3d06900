"""Guarantees of the gateway, each as a check of one run's history."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import Final

from tests.soak.callers import CALLER_TIMEOUT_S
from tests.soak.endpoint import expected_body, expected_event
from tests.soak.history import (CallerStream, FaultSpan, History, Outcome,
                                StreamTry)

# Statuses which mean that a request has not run and never will.
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)
# Bounds in the settings of the gateways.
APPLY_S: Final = 2.0
DRAIN_S: Final = 2.0
EVACUATION_S: Final = 4.0
# Time without a fault after which a gateway must keep its bounds.
STABLE_S: Final = 3.0
# Times are taken on both sides of a connection.
CLOCK_SLACK_S: Final = 0.3
# A gateway has read a request that ran or whose attempt took this long.
MIN_READ_S: Final = 0.2
# Ratio of the last requests, after all faults, that must be served.
MIN_RECOVERED_RATIO: Final = 0.9
RECOVERY_S: Final = 4.0
STREAM_EVENT_COUNT: Final = 40
# Time for which a new plain instance is cold, the requests per s that it
# tolerates then, and the bounds on them.
COLD_S: Final = 3.0
COLD_PER_S: Final = 4.0
COLD_OVERRUN: Final = 1.0
COLD_SLACK: Final = 1.0
# What an endpoint may get while it states a rate: in any window, so many
# times the rate, and further requests.
RATE_WINDOW_S: Final = 4.0
RATE_OVERRUN: Final = 1.5
RATE_SLACK: Final = 5.0
# Prefix of the subject of faults of a gateway's paths to all endpoints.
PATHS_PREFIX: Final = 'endpoints-'
# Ratio of the share served by other gateways that partitioned ones must serve,
# unless no more attempts than the slack fail there.
MIN_PARTITIONED_RATIO: Final = 2 / 3
FAILED_SLACK: Final = 10
FAILED_SLACK_RATIO: Final = 1 / 50
# Events of a complete stream that its caller may resume.
DRAFT_EVENT_COUNT: Final = 30
# Streams with events of several builds that the rule tolerates in a run.
MAX_MIXED_STREAMS: Final = 2
# Resumed streams without which their share is not judged, the share of the
# first tries' that must go on, and the engines of their build that must serve.
MIN_RESUMED: Final = 12
MIN_RESUMED_RATIO: Final = 0.5
MIN_SERVING: Final = 2
# Fault of a gateway that is killed at one moment with all of its data centre.
DC_LOSS: Final = 'dc-loss'
# Crashes by a part after which requests with it count, and how many may still
# reach engines `STABLE_S` later.
COUNTED_CRASHES: Final = 5
MAX_LATE_CRASHES: Final = 3


def paths_to_endpoints(gateway: str) -> str:
    """Return the subject of faults of a gateway's paths to all endpoints."""
    return f'{PATHS_PREFIX}{gateway}'


def ran_once(history: History) -> Iterator[str]:
    """Check that a request that may not be repeated runs at most once."""
    once = {each.attempt for each in history.outcomes if each.kind == 'once'}
    counts = Counter(run.attempt for run in history.runs)
    for attempt in once:
        if counts[attempt] > 1:
            yield f'{attempt} ran {counts[attempt]} times'


def refusals_are_true(history: History) -> Iterator[str]:
    """Check that a request that was refused as not run never runs."""
    ran = {run.attempt for run in history.runs}
    for each in history.outcomes:
        if (each.kind == 'once' and each.status in NOT_RUN_STATUSES and
                each.attempt in ran):
            yield f'{each.attempt} was refused with {each.status} and ran'


def answers_are_whole(history: History) -> Iterator[str]:
    """Check that a success is signed and the answer to its own request."""
    for each in history.outcomes:
        if each.status != 200 or not each.whole:
            continue
        if not each.signed:
            yield f'{each.attempt} succeeded without a signature'
        if each.body != _expected_answer(each):
            yield f'{each.attempt} got other bytes: {each.body[:60]!r}'


def _expected_answer(outcome: Outcome) -> bytes:
    if outcome.kind != 'stream':
        return expected_body(outcome.attempt, outcome.target)
    return b''.join(
        expected_event(outcome.target, number + 1)
        for number in range(STREAM_EVENT_COUNT))


def broken_streams_hold_no_gap(history: History) -> Iterator[str]:
    """Check that the received part of a cut stream is its beginning."""
    for each in history.outcomes:
        if each.kind != 'stream' or each.status != 200 or each.whole:
            continue
        if not _expected_answer(each).startswith(each.body):
            yield f'{each.attempt} has a gap before it broke off'


def teams_stay_apart(history: History) -> Iterator[str]:
    """Check that a request runs as its key's team, with no other's salt."""
    key_by_attempt = {each.attempt: each.key for each in history.outcomes}
    teams_by_salt: dict[str, set[str]] = defaultdict(set)
    for run in history.runs:
        key = key_by_attempt.get(run.attempt)
        if key is not None and history.team_by_key.get(key) != run.team:
            yield f'{run.attempt} ran as {run.team!r}'
        if run.salt:
            teams_by_salt[run.salt].add(run.team)
    for salt, teams in teams_by_salt.items():
        if len(teams) > 1 and teams & history.isolated_teams:
            yield f'salt {salt} is shared by {sorted(teams)}'


def versions_stay_apart(history: History) -> Iterator[str]:
    """Check that no salt is used with two weight versions."""
    versions_by_salt: dict[str, set[int]] = defaultdict(set)
    for run in history.runs:
        if run.salt:
            versions_by_salt[run.salt].add(run.version)
    for salt, versions in versions_by_salt.items():
        if len(versions) > 1:
            yield f'salt {salt} is used under {sorted(versions)}'


def orders_are_fenced(history: History) -> Iterator[str]:
    """Check that fencing tokens never decrease and have one holder each."""
    highest: dict[str, int] = {}
    holders: dict[int, str] = {}
    for order in history.orders:
        if order.fence < highest.get(order.endpoint, order.fence):
            yield f'{order.endpoint} took {order.fence} after a higher token'
        highest[order.endpoint] = order.fence
        if holders.setdefault(order.fence, order.holder) != order.holder:
            yield f'token {order.fence} was used by two holders'


def configuration_is_in_force(history: History) -> Iterator[str]:
    """Check that gateways without faults apply changes of routes and keys."""
    for each in history.outcomes:
        prefix = f'/{each.target.split("/")[1]}/'
        removed_at = history.route_removed_at.get(prefix)
        added_at = history.route_added_at.get(prefix)
        revoked_at = history.key_revoked_at.get(each.key)
        if removed_at and each.status == 200 and _must_be_in_force(
                history, each, removed_at):
            yield f'{each.attempt} was served on the removed route {prefix}'
        missing = added_at and each.status == 404 and (
            removed_at is None or each.ended_at < removed_at)
        if added_at and missing and _must_be_in_force(history, each, added_at):
            yield f'{each.attempt} was denied on the new route {prefix}'
        if revoked_at and each.status == 200 and _must_be_in_force(
                history, each, revoked_at):
            yield f'{each.attempt} was served with a revoked key'


def _must_be_in_force(history: History, outcome: Outcome, since: float) -> bool:
    due = outcome.sent_at > since + APPLY_S + CLOCK_SLACK_S
    return due and history.is_fault_free(_configuration_path(outcome.gateway),
                                         since - STABLE_S, outcome.sent_at)


def _configuration_path(gateway: str) -> set[str]:
    return {gateway, f'store-{gateway}', 'store'}


def leaving_endpoints_get_no_work(history: History) -> Iterator[str]:
    """Check that gateways without faults send nothing to a drained endpoint.

    The endpoint may get work until the drain bound has passed.
    """
    gateway_by_attempt = {
        each.attempt: each.gateway for each in history.outcomes
    }
    for run in history.runs:
        left_at = history.drained_at.get(run.endpoint)
        gateway = gateway_by_attempt.get(run.attempt)
        if left_at is None or gateway is None:
            continue
        subjects = _configuration_path(gateway) | {run.endpoint}
        if run.at > left_at + DRAIN_S + CLOCK_SLACK_S and history.is_fault_free(
                subjects, left_at - STABLE_S, run.at) and history.is_fault_free(
                    {paths_to_endpoints(gateway)}, run.at - STABLE_S, run.at):
            yield (f'{run.attempt} ran on {run.endpoint} '
                   f'{run.at - left_at:.2f} s after it left')


def cold_endpoints_get_few_requests(history: History) -> Iterator[str]:
    """Check that no second brings a cold endpoint more than its limit.

    Faults that hold requests back and deliver them together are excused.
    """
    paths = {paths_to_endpoints(each.gateway) for each in history.outcomes}
    for endpoint, cold_at in history.cold_at.items():
        until = cold_at + COLD_S
        if not history.is_fault_free(paths | {endpoint}, cold_at, until):
            continue
        times = sorted(run.at
                       for run in history.runs
                       if run.endpoint == endpoint and run.at < until)
        limit = int(COLD_PER_S * COLD_OVERRUN + COLD_SLACK)
        for first, last in zip(times, times[limit:]):
            if last - first < 1.0:
                yield (f'{endpoint} got more than {limit} requests in '
                       f'{last - first:.2f} s while it was cold')
                break


def evacuated_dcs_get_no_work(history: History) -> Iterator[str]:
    """Check that gateways without faults send nothing to evacuated endpoints.

    A fault of the endpoint, or of the path to it, may delay what was sent
    before the evacuation.
    """
    gateway_by_attempt = {
        each.attempt: each.gateway for each in history.outcomes
    }
    for run in history.runs:
        gateway = gateway_by_attempt.get(run.attempt)
        for each in history.evacuations:
            due = each.start + EVACUATION_S + CLOCK_SLACK_S
            if (gateway is not None and due < run.at < each.end and
                    each.dc == history.endpoint_dcs.get(run.endpoint) and
                    history.is_fault_free(_configuration_path(gateway),
                                          run.at - STABLE_S, run.at) and
                    history.is_fault_free(
                        {run.endpoint,
                         paths_to_endpoints(gateway)}, each.start - STABLE_S,
                        run.at)):
                yield (f'{run.attempt} ran on {run.endpoint} '
                       f'{run.at - each.start:.2f} s after the evacuation of '
                       f'{each.dc}')


def planned_stops_cut_nothing(history: History) -> Iterator[str]:
    """Check that a gateway answers what it has read before a stop request."""
    ran = {run.attempt for run in history.runs}
    stops = [span for span in history.fault_spans if span.fault_name == 'term']
    for each in history.outcomes:
        if (each.whole or each.status not in (0, 200) or _is_out_of_time(each)):
            continue
        read = each.attempt in ran or each.ended_at - each.sent_at > MIN_READ_S
        stop = next((span for span in stops if span.subject == each.gateway and
                     span.start <= each.ended_at <= span.end + CLOCK_SLACK_S),
                    None)
        if stop is not None and read and _is_only_fault(history, stop, each):
            yield f'{each.attempt} was cut by the stop of {each.gateway}'


def _is_only_fault(history: History, stop: FaultSpan, outcome: Outcome) -> bool:
    """Return whether no fault but the stop can have cut a request.

    A fault of an endpoint, or of the path to it, excuses a stream that was cut,
    but not an answer that is missing altogether.
    """
    paths = paths_to_endpoints(outcome.gateway)
    return not any(
        span is not stop and span.start <= outcome.ended_at and
        span.end >= outcome.sent_at - STABLE_S and
        (span.subject == outcome.gateway or outcome.kind == 'stream' and
         (span.subject.startswith('i-') or span.subject == paths))
        for span in history.fault_spans)


def read_requests_are_answered(history: History) -> Iterator[str]:
    """Check that gateways without faults end what they have read properly.

    Neither a planned stop nor a change of the configuration, a fault of the
    metadata store or a silent endpoint is a reason to end a connection.
    """
    endpoints: dict[str, set[str]] = defaultdict(set)
    for run in history.runs:
        endpoints[run.attempt].add(run.endpoint)
    for each in history.outcomes:
        duration_s = each.ended_at - each.sent_at
        read = each.attempt in endpoints or duration_s > MIN_READ_S
        if each.whole or not read or _is_out_of_time(each):
            continue
        if not any(
                _can_cut(span, each, endpoints[each.attempt])
                for span in history.fault_spans):
            yield (f'{each.attempt} ended with status {each.status} and no '
                   f'whole answer after {duration_s:.2f} s')


def _is_out_of_time(outcome: Outcome) -> bool:
    """Return whether an answer that had begun lasted until its deadline."""
    return (outcome.status == 200 and
            outcome.ended_at - outcome.sent_at >= CALLER_TIMEOUT_S)


def _can_cut(span: FaultSpan, outcome: Outcome, endpoints: set[str]) -> bool:
    """Return whether a fault can have ended a request without an answer."""
    if span.start > outcome.ended_at:
        return False
    if span.subject == outcome.gateway and span.fault_name != 'term':
        return span.end >= outcome.sent_at - STABLE_S
    subjects = endpoints | {paths_to_endpoints(outcome.gateway)}
    return (outcome.status == 200 and span.subject in subjects and
            span.end >= outcome.sent_at)


def partitioned_gateways_serve(history: History) -> Iterator[str]:
    """Check that gateways without paths to endpoints serve by other ways.

    Compares them with the others, from `STABLE_S` after the start of the run's
    partition. Gateways with a fault of their own are left out.
    """
    partitions = {
        span.subject: span
        for span in history.fault_spans
        if span.subject.startswith(PATHS_PREFIX)
    }
    if not partitions:
        return
    start = max(span.start for span in partitions.values())
    end = min(span.end for span in partitions.values())
    partitioned: list[bool] = []
    others: list[bool] = []
    for gateway, at, served in _first_tries(history):
        if start + STABLE_S <= at <= end and history.is_fault_free(
                _configuration_path(gateway), start, end):
            is_partitioned = paths_to_endpoints(gateway) in partitions
            (partitioned if is_partitioned else others).append(served)
    if not partitioned or not others:
        return
    slack = FAILED_SLACK + FAILED_SLACK_RATIO * len(partitioned + others)
    ratio = sum(partitioned) / len(partitioned)
    other_ratio = sum(others) / len(others)
    if (partitioned.count(False) > slack and
            ratio < MIN_PARTITIONED_RATIO * other_ratio):
        faults = {span.fault_name for span in partitions.values()}
        yield (
            f'gateways with the fault {"".join(faults)} of their paths served '
            f'{sum(partitioned)} of {len(partitioned)}, others '
            f'{sum(others)} of {len(others)}')


def _first_tries(history: History) -> Iterator[tuple[str, float, bool]]:
    """Return the gateway, time and success of each attempt that is allowed."""
    for each in history.outcomes:
        if not _is_denied(history, each):
            yield each.gateway, each.sent_at, each.status == 200 and each.whole
    for unsent in history.unsent:
        yield unsent.gateway, unsent.at, False


def stated_rates_are_kept(history: History) -> Iterator[str]:
    """Check that no endpoint gets much more than the rate that it states.

    A gateway that had a fault meanwhile is excused.
    """
    gateways = {each.attempt: each.gateway for each in history.outcomes}
    for each in history.stated_rates:
        known_at = each.start + STABLE_S
        times = sorted(
            run.at for run in history.runs if run.endpoint == each.endpoint and
            known_at <= run.at <= each.end and _is_undisturbed(
                history, gateways.get(run.attempt), each.start, run.at))
        limit = int(RATE_OVERRUN * RATE_WINDOW_S * each.rate + RATE_SLACK)
        for first, last in zip(times, times[limit:]):
            if last - first < RATE_WINDOW_S:
                yield (f'{each.endpoint} got more than {limit} requests in '
                       f'{last - first:.2f} s while it stated {each.rate} a '
                       'second')
                break


def _is_undisturbed(history: History, gateway: str | None, start: float,
                    end: float) -> bool:
    """Return whether a gateway had no fault between two Unix times."""
    return gateway is not None and history.is_fault_free(
        {gateway, paths_to_endpoints(gateway)}, start, end)


def mixed_streams(history: History) -> Iterator[str]:
    """Return a finding for each stream with events of several builds."""
    for stream in history.streams:
        first_ids: dict[str, int] = {}
        for event in stream.events:
            first_ids.setdefault(event.build, event.id)
        if len(first_ids) > 1:
            found = ', '.join(f'{build} from event {number}'
                              for build, number in first_ids.items())
            yield f'{_first_attempt(stream)} holds {found}'


def streams_keep_their_build(history: History) -> Iterator[str]:
    """Check that the events of a stream are of one build, over all its tries.

    Faults excuse nothing.
    """
    mixed = list(mixed_streams(history))
    if len(mixed) > MAX_MIXED_STREAMS:
        yield from mixed


def streams_follow_on(history: History) -> Iterator[str]:
    """Check that the events of a stream follow one another until its end.

    No event may be missing, repeated or out of order over all tries, and an
    answer ends properly only after the last event. Faults excuse nothing.
    """
    for stream in history.streams:
        attempt = _first_attempt(stream)
        ids = [event.id for event in stream.events]
        if ids != list(range(1, len(ids) + 1)):
            yield f'{attempt} got the events {ids}'
        last_id = 0
        for each in stream.tries:
            last_id = each.events[-1].id if each.events else last_id
            if (each.complete and each.status == 200 and
                    last_id != DRAFT_EVENT_COUNT):
                yield (f'{attempt} ended in try {each.attempt} after event '
                       f'{last_id} of {DRAFT_EVENT_COUNT}')


def _first_attempt(stream: CallerStream) -> str:
    return stream.tries[0].attempt


def resumed_streams_go_on(history: History) -> Iterator[str]:
    """Check that streams go on nearly as often as new ones begin.

    Counts tries at gateways without faults, and resumed ones only while enough
    engines of their build serve.
    """
    begun: list[bool] = []
    resumed: list[bool] = []
    for stream in history.streams:
        build = ''
        for each in stream.tries:
            if history.is_fault_free(_configuration_path(each.gateway),
                                     each.sent_at - STABLE_S, each.ended_at):
                if not each.after:
                    begun.append(bool(each.events))
                elif _serving_count(history, build, each) >= MIN_SERVING:
                    resumed.append(_goes_on(each))
            build = build or (each.events[0].build if each.events else '')
    if len(resumed) < MIN_RESUMED or not begun:
        return
    ratio, begun_ratio = sum(resumed) / len(resumed), sum(begun) / len(begun)
    if ratio < MIN_RESUMED_RATIO * begun_ratio:
        yield (f'{sum(resumed)} of {len(resumed)} resumed streams went on, '
               f'{sum(begun)} of {len(begun)} new ones began')


def lost_streams(history: History) -> list[bool]:
    """Return whether each stream that a loss of a data centre cut goes on.

    Counts its first later try at a gateway without faults, while enough engines
    of its build serve.
    """
    losses = [
        span for span in history.fault_spans if span.fault_name == DC_LOSS
    ]
    found = []
    for stream in history.streams:
        cut = next((number for number, each in enumerate(stream.tries)
                    if each.events and not each.complete and any(
                        span.subject == each.gateway and
                        each.sent_at <= span.start <= each.ended_at
                        for span in losses)), None)
        if cut is None:
            continue
        build = stream.events[0].build
        later = next(
            (each for each in stream.tries[cut + 1:]
             if history.is_fault_free(_configuration_path(
                 each.gateway), each.sent_at - STABLE_S, each.ended_at) and
             _serving_count(history, build, each) >= MIN_SERVING), None)
        if later is not None:
            found.append(_goes_on(later))
    return found


def streams_of_lost_dcs_go_on(history: History) -> Iterator[str]:
    """Check that streams go on whose gateway was lost with its data centre."""
    found = lost_streams(history)
    if (len(found) >= MIN_RESUMED and
            sum(found) < MIN_RESUMED_RATIO * len(found)):
        yield f'{sum(found)} of {len(found)} streams of lost gateways went on'


def _goes_on(tried: StreamTry) -> bool:
    """Return whether a try brought events, or the end of its stream."""
    return bool(tried.events) or tried.complete and tried.status == 200


def _serving_count(history: History, build: str, tried: StreamTry) -> int:
    """Return how many engines of a build served throughout an attempt."""
    evacuated_dcs = {
        each.dc
        for each in history.evacuations
        if each.start <= tried.ended_at and tried.sent_at <= each.end
    }
    return sum(span.build == build and span.start +
               CLOCK_SLACK_S <= tried.sent_at and tried.ended_at <= span.end and
               history.endpoint_dcs.get(span.endpoint) not in evacuated_dcs
               for span in history.serving_spans)


def crashing_requests_are_kept_away(history: History) -> Iterator[str]:
    """Check that few requests with a part that crashes engines reach them.

    Counts from some time after the fifth crash on. Kills excuse nothing.
    """
    for counted_from in history.crashing_runs[COUNTED_CRASHES - 1:][:1]:
        late = [
            at for at in history.crashing_runs if at > counted_from + STABLE_S
        ]
        if len(late) > MAX_LATE_CRASHES:
            yield (f'{len(late)} requests with the part reached engines late, '
                   f'the last {late[-1] - counted_from:.1f} s after the crash '
                   f'{COUNTED_CRASHES}')


def fetched_parts_are_complete(history: History) -> Iterator[str]:
    """Check that no part is fetched while it is being written."""
    if history.partial_fetches:
        yield (f'{len(history.partial_fetches)} parts were fetched while they '
               f'were written: {sorted(set(history.partial_fetches))}')


def service_recovers(history: History) -> Iterator[str]:
    """Check that requests are served again soon after the last fault."""
    since = history.faults_ended_at + RECOVERY_S
    last = [
        each for each in history.outcomes
        if each.sent_at >= since and not _is_denied(history, each)
    ]
    served = sum(each.status == 200 and each.whole for each in last)
    if not last or served < MIN_RECOVERED_RATIO * len(last):
        yield f'{served} of {len(last)} were served at the end'
    for engine, version in history.engine_versions.items():
        if version != history.newest_version:
            yield (f'{engine} runs version {version}, '
                   f'not {history.newest_version}')


def _is_denied(history: History, outcome: Outcome) -> bool:
    prefix = f'/{outcome.target.split("/")[1]}/'
    return (outcome.key in history.key_revoked_at or
            prefix in history.route_removed_at)


CHECKS: Final[tuple[Callable[[History], Iterator[str]], ...]] = (
    ran_once, refusals_are_true, answers_are_whole, broken_streams_hold_no_gap,
    teams_stay_apart, versions_stay_apart, orders_are_fenced,
    configuration_is_in_force, leaving_endpoints_get_no_work,
    cold_endpoints_get_few_requests, stated_rates_are_kept,
    evacuated_dcs_get_no_work, planned_stops_cut_nothing,
    read_requests_are_answered, partitioned_gateways_serve,
    streams_keep_their_build, streams_follow_on, resumed_streams_go_on,
    streams_of_lost_dcs_go_on, crashing_requests_are_kept_away,
    fetched_parts_are_complete, service_recovers)


def violations(history: History) -> list[str]:
    """Return every violation with the name of its check."""
    return [
        f'{check.__name__}: {finding}' for check in CHECKS
        for finding in check(history)
    ]
