"""Explanation of a request's outcome from log lines."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, Final

import attrs
import click

# Field of log lines that identifies their request.
REQUEST_FIELD: Final = 'request'
ANSWERED: Final = 'answered'
STATUS_OK: Final = range(200, 400)
# Events that change what a VM knows; shown if they fall within a request.
CONTEXT_EVENTS: Final = frozenset({
    'configuration_taken', 'version_named', 'version_age_stated',
    'version_ordered', 'version_reached', 'evacuation_started',
    'evacuation_ended', 'endpoint_leaving', 'endpoint_gone', 'view_lost',
    'view_back', 'store_lost', 'endpoint_pauses', 'lease_taken',
    'path_suspected', 'path_restored', 'stopping', 'stopped', 'started',
    'lines_left_out'
})


@attrs.frozen
class Line:
    """One log line.

    Attributes:
        at: Unix time, in s.
    """

    at: float
    vm: str
    event: str
    fields: dict[str, Any]


@attrs.frozen
class RequestHistory:
    """History and outcome of one request.

    Attributes:
        lines: Its lines, and lines that changed what its VMs knew meanwhile,
            in order.
        cause: Its outcome and the reason, in one line.
    """

    request: str
    lines: tuple[Line, ...]
    cause: str


def parse(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines among lines of text; skip all others."""
    for text in texts:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            data = json.loads(text[start:])
        except ValueError:
            continue
        yield Line(data.pop('at'), data.pop('vm', ''), data.pop('event', ''),
                   data)


def explain_request(request: str, lines: Iterable[Line]) -> RequestHistory:
    """Return the history of a request from the lines of all VMs."""
    ordered = sorted(lines, key=lambda each: each.at)
    own_lines = [
        line for line in ordered if line.fields.get(REQUEST_FIELD) == request
    ]
    if not own_lines:
        return RequestHistory(request, (), 'no line names this request')
    vms = {line.vm for line in own_lines}
    context = [
        line for line in ordered if line.event in CONTEXT_EVENTS and
        line.vm in vms and own_lines[0].at <= line.at <= own_lines[-1].at
    ]
    history = sorted([*own_lines, *context], key=lambda each: each.at)
    return RequestHistory(request, tuple(history), _cause(own_lines))


def _cause(own_lines: list[Line]) -> str:
    """Return the outcome of a request and the reason, in one line."""
    last = own_lines[-1]
    if last.event == 'request_refused':
        return f"denied: {last.fields['reason']}"
    if last.event != 'request_ended':
        return 'no request_ended line: in flight, or its VM stopped logging'
    failed_sends = [line for line in own_lines if line.event == 'send_failed']
    rejections = [
        line for line in own_lines if line.event == 'request_turned_away'
    ]
    outcome, status = last.fields['outcome'], last.fields['status']
    if outcome == ANSWERED and status in STATUS_OK:
        return f"answered with {status} in {last.fields['took_s']} s"
    parts = [f'{outcome} ({status})' if status else str(outcome)]
    parts += [
        f"endpoint {line.fields['endpoint']}: {line.fields['failure']} after "
        f"{line.fields['after_s']} s" for line in failed_sends
    ]
    parts += [
        f"endpoint {line.fields['endpoint']} turned it away with "
        f"{line.fields['status']}" for line in rejections
    ]
    return '; '.join(parts)


def summarize(lines: Iterable[Line]) -> list[tuple[str, int, str]]:
    """Count the reasons of refused and failed requests.

    Returns:
        Reason, count and an example's request id, the most frequent first.
    """
    counts: Counter[str] = Counter()
    examples: dict[str, str] = {}
    failures: dict[str, str] = {}
    for line in sorted(lines, key=lambda each: each.at):
        request = line.fields.get(REQUEST_FIELD, '')
        if line.event == 'send_failed':
            failures[request] = f"endpoint {line.fields['failure']}"
        elif line.event == 'request_turned_away':
            failures[request] = f"turned away with {line.fields['status']}"
        reason = _reason(line, failures.get(request, ''))
        if reason:
            counts[reason] += 1
            examples.setdefault(reason, request)
    return [(reason, count, examples[reason])
            for reason, count in counts.most_common()]


def _reason(line: Line, last_failure: str) -> str:
    """Return why a line's request was refused or failed, or ''."""
    if line.event == 'request_refused':
        return f"{line.fields['status']} {line.fields['reason']}"
    if line.event != 'request_ended':
        return ''
    outcome, status = line.fields['outcome'], line.fields['status']
    if outcome == ANSWERED and status in STATUS_OK:
        return ''
    return ' / '.join(filter(None, [f'{status} {outcome}', last_failure]))


@click.command('explain')
@click.argument('request', required=False)
@click.argument('files', nargs=-1, type=click.File())
@click.option('--summary',
              is_flag=True,
              help='Counts the reasons of failed and refused requests.')
def main(request: str | None, files: tuple[Any, ...], summary: bool) -> None:
    """Explain the outcome of REQUEST from the logs of several VMs.

    With --summary every argument is a file.
    """
    if summary:
        _print_summary([*_open_path(request), *files])
        return
    if request is None:
        raise click.UsageError('REQUEST is missing')
    history = explain_request(request,
                              (line for file in files for line in parse(file)))
    for line in history.lines:
        fields = ' '.join(
            f'{key}={value}' for key, value in line.fields.items()
            if key != REQUEST_FIELD)
        click.echo(f'{line.at:.4f} {line.vm} {line.event} {fields}')
    click.echo(f'cause: {history.cause}')


def _open_path(path: str | None) -> Iterator[Any]:
    if path is not None:
        yield click.open_file(path)


def _print_summary(files: list[Any]) -> None:
    lines = [line for file in files for line in parse(file)]
    for reason, count, example in summarize(lines):
        click.echo(f'{count:6} {reason}  (such as {example})')
