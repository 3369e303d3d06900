"""Calls to what model engines offer beside serving."""

import json
from collections.abc import Callable
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.http_calls import (JSON_HEADERS, NoResponse,
                                              Response, call, failure_reason)
from plantainridge.gateway.events import OrderResult
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.ports import EnginePort
from plantainridge.ids import ServiceId, VmId
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.platform import kv_records, names
from plantainridge.platform.fields import InvalidField, get, get_or
from plantainridge.platform.records import decode_models

# An engine answers within a step of its batch; more means that it is gone.
TIMEOUT_S: Final = 0.6
# A listing of a full store is some hundred kB.
LIST_TIMEOUT_S: Final = 2.0

_RESULTS: Final = {
    202: OrderResult.ACCEPTED,
    200: OrderResult.HOLDS_ALREADY,
    409: OrderResult.CONFLICT,
    412: OrderResult.FENCED,
    400: OrderResult.INVALID,
    421: OrderResult.MISDIRECTED,
}
# Runs in progress finish under the version that they began with.
SWAP_MODE: Final = 'wait'


class PlatformEngines(EnginePort):
    """Reports and orders over HTTP."""

    def __init__(self, pool: Pool, tasks: Tasks, vm: VmId,
                 post: Callable[[Event], None]) -> None:
        self.pool = pool
        self.tasks = tasks
        self.vm = vm
        self.post = post

    def request_report(self, effect: fx.RequestReport) -> None:
        self.tasks.spawn(self._ask(effect))

    def order_version(self, effect: fx.OrderVersion) -> None:
        self.tasks.spawn(self._order(effect))

    def list_store(self, effect: fx.ListStore) -> None:
        self.tasks.spawn(self._list(effect))

    def poll_store(self, effect: fx.PollStore) -> None:
        self.tasks.spawn(self._poll(effect))

    def free_parts(self, effect: fx.FreeParts) -> None:
        self.tasks.spawn(self._free(effect))

    async def _list(self, effect: fx.ListStore) -> None:
        reply = await call(self.pool, effect.address, 'GET', '/kv-list',
                           LIST_TIMEOUT_S)
        if isinstance(reply, NoResponse) or reply.status != 200:
            self.post(_missed(effect.store, reply))
            return
        try:
            self.post(kv_records.decode_listing(effect.store, reply.json()))
        except InvalidField as fault:
            self.post(ev.StoreRequestFailed(effect.store, str(fault)))

    async def _poll(self, effect: fx.PollStore) -> None:
        wait = (names.WAIT_MS, str(round(effect.wait_s * 1_000)).encode())
        reply = await call(self.pool,
                           effect.address,
                           'GET',
                           f'/kv-events?since={effect.since}',
                           TIMEOUT_S + effect.wait_s,
                           headers=(wait,))
        if isinstance(reply, NoResponse) or reply.status != 200:
            self.post(_missed(effect.store, reply))
            return
        try:
            self.post(kv_records.decode_changes(effect.store, reply.json()))
        except InvalidField as fault:
            self.post(ev.StoreRequestFailed(effect.store, str(fault)))

    async def _free(self, effect: fx.FreeParts) -> None:
        body = json.dumps({
            'parts': [[part.salt, part.id] for part in effect.parts],
            'epoch': effect.epoch,
        }).encode()
        await call(self.pool, effect.address, 'POST', '/kv-free', TIMEOUT_S,
                   body)

    async def _ask(self, effect: fx.RequestReport) -> None:
        reply = await call(self.pool, effect.address, 'GET', '/report',
                           TIMEOUT_S)
        if isinstance(reply, NoResponse) or reply.status != 200:
            self.post(ev.ReportFailed(effect.endpoint, failure_reason(reply)))
            return
        try:
            data = reply.json()
            self.post(
                ev.EndpointReported(effect.endpoint, decode_models(data),
                                    get(data, 'sequence', int),
                                    get(data, 'busy', bool),
                                    get_or(data, 'clock_ms', 0.0)))
        except InvalidField as fault:
            self.post(ev.ReportFailed(effect.endpoint, str(fault)))

    async def _order(self, effect: fx.OrderVersion) -> None:
        body = json.dumps({
            'operation': 'version',
            'model': effect.model,
            'version': effect.version,
            'swap-mode': SWAP_MODE,
            'holder': self.vm,
            'fencing-token': effect.fence,
            'expect': effect.orders,
        }).encode()
        expected = (names.EXPECTED_INSTANCE, effect.endpoint.encode())
        reply = await call(self.pool, effect.address, 'POST', '/order',
                           TIMEOUT_S, body, (*JSON_HEADERS, expected))
        result = OrderResult.UNKNOWN
        if isinstance(reply, Response):
            result = _RESULTS.get(reply.status, OrderResult.UNKNOWN)
        self.post(ev.OrderAnswered(effect.endpoint, result))


def _missed(store: ServiceId,
            reply: Response | NoResponse) -> ev.StoreRequestFailed:
    busy = isinstance(reply, Response) and reply.status == 429
    return ev.StoreRequestFailed(store, failure_reason(reply), busy)
