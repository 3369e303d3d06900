"""Calls to the platform's metadata store."""

import urllib.parse
from collections.abc import Callable
from typing import Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.http_calls import (NoResponse, Response, call,
                                              failure_reason)
from plantainridge.gateway.events import View
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.ports import MetadataStorePort
from plantainridge.ids import VmId
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.platform import names, records
from plantainridge.platform.fields import InvalidField

# Longer than a slow store takes to answer, short enough to notice a silent one.
TIMEOUT_S: Final = 1.0
MAX_PAGE_RECORDS: Final = 500
MAX_READ_KB: Final = 1_024
# Longest era that is read; any 64-bit number fits.
MAX_ERA_DIGITS: Final = 20
RESTORED: Final = 'the store returned from an older copy'

_TOPICS: Final = {
    View.OPERATOR: names.OPERATOR_TOPIC,
    View.REGISTRY: names.REGISTRY_TOPIC,
    View.VMS: names.VMS_TOPIC,
}


@attrs.frozen
class _KeyRead:
    """The newest record of one key of a topic.

    Attributes:
        record: The record, or None if there is none.
        end: Offset at which the topic's log ends.
        era: The metadata store's era.
    """

    record: ev.RawRecord | None
    end: int
    era: int


class PlatformStore(MetadataStorePort):
    """The platform's log, used as the metadata store."""

    def __init__(self, pool: Pool, tasks: Tasks, address: str, vm: VmId,
                 post: Callable[[Event], None]) -> None:
        self.pool = pool
        self.tasks = tasks
        self.address = address
        self.vm = vm
        self.post = post
        self.era = 0

    def load_view(self, effect: fx.LoadView) -> None:
        self.tasks.spawn(self._load_view(effect))

    def read_view(self, effect: fx.ReadView) -> None:
        self.tasks.spawn(self._read_view(effect))

    def write_vm_entry(self, effect: fx.WriteVmEntry) -> None:
        value = records.encode_vm_entry(effect.dc, effect.address,
                                        effect.link_mbps)
        body = records.encode_keyed(self.vm, value)
        self.tasks.spawn(self._append_vm_entry(body))

    def read_lease(self, effect: fx.ReadLease) -> None:
        del effect
        self.tasks.spawn(self._read_lease())

    def write_lease(self, effect: fx.WriteLease) -> None:
        self.tasks.spawn(self._write_lease(effect))

    def read_builds(self, effect: fx.ReadBuilds) -> None:
        del effect
        self.tasks.spawn(self._read_builds())

    def write_builds(self, effect: fx.WriteBuilds) -> None:
        self.tasks.spawn(self._write_builds(effect))

    def read_suspects(self, effect: fx.ReadSuspects) -> None:
        del effect
        self.tasks.spawn(self._read_suspects())

    def write_suspects(self, effect: fx.WriteSuspects) -> None:
        self.tasks.spawn(self._write_suspects(effect))

    async def _load_view(self, effect: fx.LoadView) -> None:
        view = effect.view
        offsets: dict[ev.RawRecord, int] = {}
        next_offset: int | None = None
        after_key: str | None = None
        has_more = True
        era: int | None = None
        while has_more:
            query = {'topic': _TOPICS[view], 'part': '0'}
            if after_key is not None:
                query['after'] = after_key
            response = await self._call('GET', names.LOG_NEWEST, query)
            if not isinstance(response, Response) or response.status != 200:
                self._post_failure(view, response)
                return
            if era is not None and _era_of(response) != era:
                self.post(ev.ViewFailed(view, True, RESTORED))
                return
            era = _era_of(response)
            try:
                page, has_more = records.decode_newest(response.json())
            except (InvalidField, ValueError) as error:
                self.post(ev.ViewFailed(view, False, str(error)))
                return
            offsets.update(zip(page.records, page.offsets))
            # Records may be appended between two pages; reading on from the
            # lowest end of all pages skips none of them.
            next_offset = page.next_offset if next_offset is None else min(
                next_offset, page.next_offset)
            after_key = page.records[-1].key if page.records else None
            has_more = has_more and after_key is not None
        end = next_offset or 0
        ahead = frozenset(
            record.key for record, offset in offsets.items() if offset >= end)
        self._post_read(view, True, tuple(offsets), end, era or 0,
                        effect.issued_at, ahead)

    async def _read_view(self, effect: fx.ReadView) -> None:
        query = {
            'topic': _TOPICS[effect.view],
            'part': '0',
            'from': str(effect.offset),
            'max-kilobytes': str(MAX_READ_KB),
        }
        if effect.wait_s:
            query['wait-ms'] = str(round(effect.wait_s * 1_000))
        response = await self._call('GET', names.LOG_READ, query,
                                    TIMEOUT_S + effect.wait_s)
        if not isinstance(response, Response) or response.status != 200:
            self._post_failure(effect.view, response)
            return
        if _era_of(response) != effect.era:
            self.post(ev.ViewFailed(effect.view, True, RESTORED))
            return
        try:
            page = records.decode_log(response.body, effect.offset)
        except InvalidField as error:
            self.post(ev.ViewFailed(effect.view, False, str(error)))
            return
        self._post_read(effect.view,
                        False,
                        page.records,
                        page.next_offset,
                        effect.era,
                        effect.issued_at,
                        is_complete=page.is_complete)

    def _post_read(self,
                   view: View,
                   is_snapshot: bool,
                   raw_records: tuple[ev.RawRecord, ...],
                   next_offset: int,
                   era: int,
                   issued_at: float,
                   ahead: frozenset[str] = frozenset(),
                   is_complete: bool = True) -> None:
        updates = tuple(
            records.decode_update(view, record) for record in raw_records)
        self.post(
            ev.ViewRead(view, is_snapshot, updates, next_offset, raw_records,
                        ahead, era, issued_at, is_complete))

    def _post_failure(self, view: View,
                      response: Response | NoResponse) -> None:
        trimmed = isinstance(response, Response) and response.status == 410
        self.post(ev.ViewFailed(view, trimmed, failure_reason(response)))

    async def _append_vm_entry(self, body: bytes) -> None:
        response = await self._call('POST',
                                    names.LOG_APPEND, {
                                        'topic': names.VMS_TOPIC,
                                        'part': '0'
                                    },
                                    body=body)
        written = isinstance(response, Response) and response.status == 200
        self.post(
            ev.VmEntryWritten(None if written else failure_reason(response)))

    async def _read_lease(self) -> None:
        read = await self._read_record(names.LEASE_TOPIC, names.LEASE_KEY)
        if isinstance(read, str):
            self.post(ev.LeaseFailed(read))
            return
        try:
            lease = records.decode_lease(read.record) if read.record else None
        except (InvalidField, ValueError) as error:
            self.post(ev.LeaseFailed(str(error)))
            return
        self.post(ev.LeaseRead(lease, read.end, read.era))

    async def _write_lease(self, effect: fx.WriteLease) -> None:
        body = records.encode_keyed(names.LEASE_KEY,
                                    records.encode_lease(effect.record))
        result = await self._append(names.LEASE_TOPIC, body, effect.end,
                                    effect.era)
        self.post(ev.LeaseWritten(effect.record, result, effect.era))

    async def _read_builds(self) -> None:
        read = await self._read_record(names.BUILDS_TOPIC, names.BUILDS_KEY)
        if isinstance(read, str):
            self.post(ev.BuildsFailed(read))
            return
        record = records.decode_builds(read.record) if read.record else None
        self.post(ev.BuildsRead(record, read.end, read.era))

    async def _write_builds(self, effect: fx.WriteBuilds) -> None:
        body = records.encode_keyed(names.BUILDS_KEY,
                                    records.encode_builds(effect.record))
        result = await self._append(names.BUILDS_TOPIC, body, effect.end,
                                    effect.era)
        self.post(ev.BuildsWritten(effect.record, result, effect.era))

    async def _read_suspects(self) -> None:
        read = await self._read_record(names.SUSPECTS_TOPIC, names.SUSPECTS_KEY)
        if isinstance(read, str):
            self.post(ev.SuspectsFailed(read))
            return
        record = records.decode_suspects(read.record) if read.record else None
        self.post(ev.SuspectsRead(record, read.end, read.era))

    async def _write_suspects(self, effect: fx.WriteSuspects) -> None:
        body = records.encode_keyed(names.SUSPECTS_KEY,
                                    records.encode_suspects(effect.record))
        result = await self._append(names.SUSPECTS_TOPIC, body, effect.end,
                                    effect.era)
        self.post(ev.SuspectsWritten(effect.record, result, effect.era))

    async def _read_record(self, topic: str, key: str) -> '_KeyRead | str':
        """Read one key of a topic; return the reason if that failed."""
        response = await self._call('GET', names.LOG_NEWEST, {
            'topic': topic,
            'part': '0'
        })
        if isinstance(response, Response) and response.status == 404:
            # A topic may not exist before its first record.
            return _KeyRead(None, 0, _era_of(response))
        if not isinstance(response, Response) or response.status != 200:
            return failure_reason(response)
        try:
            page, _ = records.decode_newest(response.json())
        except (InvalidField, ValueError) as error:
            return str(error)
        found = [record for record in page.records if record.key == key]
        return _KeyRead(found[-1] if found else None, page.next_offset,
                        _era_of(response))

    async def _append(self, topic: str, body: bytes, end: int,
                      era: int) -> ev.AppendResult:
        """Append a record if the topic still ends at `end` in an era."""
        response = await self._call('POST',
                                    names.LOG_APPEND, {
                                        'topic': topic,
                                        'part': '0',
                                        'at': str(end)
                                    },
                                    body=body)
        if isinstance(response, Response) and _era_of(response) != era:
            # The log may end at the same offset by chance.
            return ev.AppendResult.CONFLICT
        if isinstance(response, Response) and response.status == 200:
            return ev.AppendResult.DONE
        if isinstance(response, Response) and response.status in (409, 412):
            return ev.AppendResult.CONFLICT
        return ev.AppendResult.UNKNOWN

    async def _call(self,
                    method: str,
                    path: str,
                    query: dict[str, str],
                    timeout_s: float = TIMEOUT_S,
                    body: bytes = b'') -> Response | NoResponse:
        """Call the store; post its era before the call's result if it rose."""
        target = f'{path}?{urllib.parse.urlencode(query)}'
        response = await call(self.pool, self.address, method, target,
                              timeout_s, body)
        if isinstance(response, Response) and _era_of(response) > self.era:
            self.era = _era_of(response)
            self.post(ev.EraSeen(self.era))
        return response


def _era_of(response: Response) -> int:
    """Return the era in an answer, or 0 if it states none."""
    text = response.headers.get(names.STORE_ERA, b'').strip()
    is_number = text.isdigit() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_number else 0
