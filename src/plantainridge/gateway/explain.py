"""Tells from log lines what became of a request, and why."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, Final

import attrs
import click

# Events of a request, with the field that names it.
REQUEST_FIELD: Final = 'request'
ANSWERED: Final = 'answered'
STATUS_OK: Final = range(200, 400)
# Lines that change what a VM believes; shown if they fall within a request.
BELIEFS: Final = frozenset({
    'configuration_taken', 'version_named', 'version_ordered',
    'version_reached', 'endpoint_leaving', 'endpoint_gone', 'view_lost',
    'view_back', 'store_lost', 'lease_taken', 'stopping', 'stopped', 'started',
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
class Story:
    """What became of one request.

    Attributes:
        lines: Its lines and what its VM came to believe meanwhile, in order.
        cause: Why it ended as it did.
    """

    request: str
    lines: tuple[Line, ...]
    cause: str


def parse(texts: Iterable[str]) -> Iterator[Line]:
    """Yields the log lines among lines of text; others are passed over."""
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


def tell(request: str, lines: Iterable[Line]) -> Story:
    """Returns the story of a request out of the lines of all VMs."""
    known = sorted(lines, key=lambda each: each.at)
    own = [line for line in known if line.fields.get(REQUEST_FIELD) == request]
    if not own:
        return Story(request, (), 'no line names this request')
    vms = {line.vm for line in own}
    meanwhile = [
        line for line in known if line.event in BELIEFS and line.vm in vms and
        own[0].at <= line.at <= own[-1].at
    ]
    story = sorted([*own, *meanwhile], key=lambda each: each.at)
    return Story(request, tuple(story), _cause(own))


def _cause(own: list[Line]) -> str:
    """Names the cause in one line."""
    last = own[-1]
    if last.event == 'request_refused':
        return f"denied: {last.fields['reason']}"
    if last.event != 'request_ended':
        return 'it has no end: the VM stopped logging, or it is in flight'
    failed = [line for line in own if line.event == 'send_failed']
    away = [line for line in own if line.event == 'request_turned_away']
    outcome, status = last.fields['outcome'], last.fields['status']
    if outcome == ANSWERED and status in STATUS_OK:
        return f"answered with {status} in {last.fields['took_s']} s"
    parts = [f'{outcome} ({status})' if status else str(outcome)]
    parts += [
        f"endpoint {line.fields['endpoint']}: {line.fields['failure']} after "
        f"{line.fields['after_s']} s" for line in failed
    ]
    parts += [
        f"endpoint {line.fields['endpoint']} turned it away with "
        f"{line.fields['status']}" for line in away
    ]
    return '; '.join(parts)


def summarize(lines: Iterable[Line]) -> list[tuple[str, int, str]]:
    """Counts reasons of refused and failed requests, with an example each."""
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


def _reason(line: Line, before: str) -> str:
    if line.event == 'request_refused':
        return f"{line.fields['status']} {line.fields['reason']}"
    if line.event != 'request_ended':
        return ''
    outcome, status = line.fields['outcome'], line.fields['status']
    if outcome == ANSWERED and status in STATUS_OK:
        return ''
    return ' / '.join(filter(None, [f'{status} {outcome}', before]))


@click.command('explain')
@click.argument('request', required=False)
@click.argument('files', nargs=-1, type=click.File())
@click.option('--summary',
              is_flag=True,
              help='Counts the reasons of failed and refused requests.')
def main(request: str | None, files: tuple[Any, ...], summary: bool) -> None:
    """Prints what became of REQUEST, out of the logs of several VMs.

    With --summary every argument is a file.
    """
    if summary:
        _print_summary([*_opened(request), *files])
        return
    if request is None:
        raise click.UsageError('REQUEST is missing')
    story = tell(request, (line for file in files for line in parse(file)))
    for line in story.lines:
        fields = ' '.join(
            f'{key}={value}' for key, value in line.fields.items()
            if key != REQUEST_FIELD)
        click.echo(f'{line.at:.4f} {line.vm} {line.event} {fields}')
    click.echo(f'cause: {story.cause}')


def _opened(path: str | None) -> Iterator[Any]:
    if path is not None:
        yield click.open_file(path)


def _print_summary(files: list[Any]) -> None:
    lines = [line for file in files for line in parse(file)]
    for reason, count, example in summarize(lines):
        click.echo(f'{count:6} {reason}  (such as {example})')
