"""Acceptance of configuration revisions in the order of the log."""

import json
from collections.abc import Iterator
from typing import Any, Final

import attrs
import cattrs
from cattrs.preconf.json import make_converter

from plantainridge.config import Config
from plantainridge.effects import Effect, LogLine, ReadLog
from plantainridge.endpoints import EndpointView
from plantainridge.events import LogRead, LogReadFailed, Record, Stream
from plantainridge.state import VmState

CONVERTER: Final = make_converter()


@attrs.frozen
class Revision:
    """A proposal to replace one configuration by another.

    Attributes:
        base: Revision that it was made from.
        config: The whole new configuration; its `revision` is ignored.
    """

    base: int
    config: Config


@attrs.frozen
class BadRecord:
    """Says why a record of the log is no revision."""

    offset: int
    detail: str


def encode(revision: Revision) -> bytes:
    """Returns the bytes of a log record."""
    return json.dumps(CONVERTER.unstructure(revision)).encode()


def decode(record: Record) -> Revision | BadRecord:
    """Reads a log record; anything unreadable is a `BadRecord`."""
    try:
        raw: Any = json.loads(record.payload)
        return CONVERTER.structure(raw, Revision)
    except (ValueError, cattrs.BaseValidationError) as error:
        return BadRecord(record.offset, type(error).__name__)


def on_log_read(state: VmState, event: LogRead, now: float) -> Iterator[Effect]:
    """Accepts each revision whose base is in force, then reads on."""
    del now
    if event.stream is not Stream.CONFIG:
        return
    for record in event.records:
        if record.offset < state.config_next:
            continue
        state.config_next = record.offset + 1
        yield from _take(state, record)
    yield ReadLog(Stream.CONFIG, 0, state.config_next)


def on_read_failed(state: VmState, event: LogReadFailed,
                   now: float) -> Iterator[Effect]:
    """Reads again; the runtime paces reads that fail."""
    del now
    if event.stream is Stream.CONFIG:
        yield ReadLog(Stream.CONFIG, 0, state.config_next)


def _take(state: VmState, record: Record) -> Iterator[Effect]:
    revision = decode(record)
    if isinstance(revision, BadRecord):
        yield LogLine('config_bad_record',
                      (('offset', record.offset), ('error', revision.detail)))
        return
    if revision.base != state.config.revision:
        yield LogLine('config_conflict',
                      (('offset', record.offset), ('base', revision.base),
                       ('in_force', state.config.revision)))
        return
    state.config = attrs.evolve(revision.config, revision=record.offset)
    _renew_endpoints(state)
    yield LogLine('config_in_force', (('revision', record.offset),))


def _renew_endpoints(state: VmState) -> None:
    old = state.endpoints
    state.endpoints = {}
    for name, endpoint in state.config.endpoints.items():
        view = old.get(name)
        if view is None:
            view = EndpointView(endpoint)
        view.endpoint = endpoint
        view.leaving = name in state.members.leaving_endpoints
        state.endpoints[name] = view
