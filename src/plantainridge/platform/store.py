"""Calls to the platform's metadata store."""

import urllib.parse
from collections.abc import Callable, Coroutine
from typing import Any, Final

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

# Longer than a slow store takes; a silent one is noticed after this, in s.
TIMEOUT_S: Final = 1.0
MAX_PAGE_RECORDS: Final = 500
MAX_READ_KB: Final = 1_024

_TOPICS: Final = {
    View.OPERATOR: names.OPERATOR_TOPIC,
    View.REGISTRY: names.REGISTRY_TOPIC,
    View.VMS: names.VMS_TOPIC,
}


class PlatformStore(MetadataStorePort):
    """The platform's log as the gateway's store."""

    def __init__(self, pool: Pool, tasks: Tasks, address: str, vm: VmId,
                 post: Callable[[Event], None]) -> None:
        self.pool = pool
        self.tasks = tasks
        self.address = address
        self.vm = vm
        self.post = post

    def load_view(self, effect: fx.LoadView) -> None:
        self.tasks.spawn(self._load(effect.view))

    def read_view(self, effect: fx.ReadView) -> None:
        self.tasks.spawn(self._read(effect))

    def write_vm_entry(self, effect: fx.WriteVmEntry) -> None:
        value = records.encode_vm(effect.dc, effect.address, effect.link_mbps)
        body = records.encode_keyed(self.vm, value)
        self.tasks.spawn(self._announce(body))

    def read_lease(self, effect: fx.ReadLease) -> None:
        del effect
        self.tasks.spawn(self._read_lease())

    def write_lease(self, effect: fx.WriteLease) -> None:
        self.tasks.spawn(self._write_lease(effect))

    async def _load(self, view: View) -> None:
        raw: list[ev.RawRecord] = []
        end: int | None = None
        after: str | None = None
        more = True
        while more:
            query = {'topic': _TOPICS[view], 'part': '0'}
            if after is not None:
                query['after'] = after
            reply = await self._call('GET', names.LOG_NEWEST, query)
            if not isinstance(reply, Response) or reply.status != 200:
                self._failed(view, reply)
                return
            try:
                page, more = records.decode_newest(reply.json())
            except (InvalidField, ValueError) as error:
                self.post(ev.ViewFailed(view, False, str(error)))
                return
            raw.extend(page.records)
            # Pages are no snapshot: what came meanwhile is read again.
            end = page.next if end is None else min(end, page.next)
            after = page.records[-1].key if page.records else None
            more = more and after is not None
        self._post_read(view, True, tuple(raw), end or 0)

    async def _read(self, effect: fx.ReadView) -> None:
        query = {
            'topic': _TOPICS[effect.view],
            'part': '0',
            'from': str(effect.offset),
            'max-kilobytes': str(MAX_READ_KB),
        }
        if effect.wait_s:
            query['wait-ms'] = str(round(effect.wait_s * 1_000))
        reply = await self._call('GET', names.LOG_READ, query,
                                 TIMEOUT_S + effect.wait_s)
        if not isinstance(reply, Response) or reply.status != 200:
            self._failed(effect.view, reply)
            return
        try:
            page = records.decode_log(reply.body, effect.offset)
        except InvalidField as fault:
            self.post(ev.ViewFailed(effect.view, False, str(fault)))
            return
        self._post_read(effect.view, False, page.records, page.next)

    def _post_read(self, view: View, whole: bool,
                   found: tuple[ev.RawRecord, ...], end: int) -> None:
        news = tuple(records.decode_update(view, each) for each in found)
        self.post(ev.ViewRead(view, whole, news, end, found))

    def _failed(self, view: View, reply: Response | NoResponse) -> None:
        trimmed = isinstance(reply, Response) and reply.status == 410
        self.post(ev.ViewFailed(view, trimmed, failure_reason(reply)))

    async def _announce(self, body: bytes) -> None:
        reply = await self._call('POST',
                                 names.LOG_APPEND, {
                                     'topic': names.VMS_TOPIC,
                                     'part': '0'
                                 },
                                 body=body)
        done = isinstance(reply, Response) and reply.status == 200
        self.post(ev.VmEntryWritten(None if done else failure_reason(reply)))

    async def _read_lease(self) -> None:
        reply = await self._call('GET', names.LOG_NEWEST, {
            'topic': names.LEASE_TOPIC,
            'part': '0'
        })
        if not isinstance(reply, Response) or reply.status != 200:
            # A topic that was never written may not exist yet.
            if isinstance(reply, Response) and reply.status == 404:
                self.post(ev.LeaseRead(None, 0))
            else:
                self.post(ev.LeaseFailed(failure_reason(reply)))
            return
        try:
            page, _ = records.decode_newest(reply.json())
            found = [
                records.decode_lease(each)
                for each in page.records
                if each.key == names.LEASE_KEY
            ]
        except (InvalidField, ValueError) as error:
            self.post(ev.LeaseFailed(str(error)))
            return
        self.post(ev.LeaseRead(found[-1] if found else None, page.next))

    async def _write_lease(self, effect: fx.WriteLease) -> None:
        body = records.encode_keyed(names.LEASE_KEY,
                                    records.encode_lease(effect.record))
        reply = await self._call('POST',
                                 names.LOG_APPEND, {
                                     'topic': names.LEASE_TOPIC,
                                     'part': '0',
                                     'at': str(effect.end)
                                 },
                                 body=body)
        result = ev.AppendResult.UNKNOWN
        if isinstance(reply, Response) and reply.status == 200:
            result = ev.AppendResult.DONE
        elif isinstance(reply, Response) and reply.status in (409, 412):
            result = ev.AppendResult.CONFLICT
        self.post(ev.LeaseWritten(effect.record, result))

    def _call(self,
              method: str,
              path: str,
              query: dict[str, str],
              timeout_s: float = TIMEOUT_S,
              body: bytes = b'') -> Coroutine[Any, Any, Response | NoResponse]:
        target = f'{path}?{urllib.parse.urlencode(query)}'
        return call(self.pool, self.address, method, target, timeout_s, body)
