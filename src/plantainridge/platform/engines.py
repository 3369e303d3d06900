"""Control calls to model engines and KV cache stores over HTTP."""

import json
from collections.abc import Callable
from typing import Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.events import OrderResult
from plantainridge.gateway.http_calls import (JSON_HEADERS, MAX_REPORT_BYTES,
                                              MAX_RESPONSE_BYTES, NoResponse,
                                              Response, call, failure_reason)
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.ports import EnginePort
from plantainridge.ids import EndpointId, ServiceId, VmId
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.platform import kv_records, names
from plantainridge.platform.fields import InvalidField, get, get_or
from plantainridge.platform.records import decode_models, decode_start

# An engine answers within one step of its batch; one that takes longer counts
# as unreachable.
TIMEOUT_S: Final = 0.6
SUCCESS: Final = range(200, 300)
# The listing of a full store takes several hundred kB.
LIST_STORE_TIMEOUT_S: Final = 2.0

# Path of an engine's report.
REPORT_TARGET: Final = '/report'

_ORDER_RESULTS: Final = {
    202: OrderResult.ACCEPTED,
    200: OrderResult.HOLDS_ALREADY,
    409: OrderResult.CONFLICT,
    412: OrderResult.FENCED,
    400: OrderResult.INVALID,
    421: OrderResult.MISDIRECTED,
}
# Requests in progress finish under the version that they started with.
SWAP_MODE: Final = 'wait'


async def _call(pool: Pool,
                address: str,
                method: str,
                target: str,
                timeout_s: float,
                body: bytes = b'',
                headers: ev.Headers = JSON_HEADERS,
                max_bytes: int = MAX_REPORT_BYTES) -> Response | NoResponse:
    """Send a control call; see `call`.

    Connections are shared with requests, and a second copy of an answer may
    come on one that is reused. Control calls name no attempt.
    """
    return await call(pool, address, method, target, timeout_s, body, headers,
                      names.ATTEMPT_ID, max_bytes)


class PlatformEngines(EnginePort):
    """Sender of control calls to engines and KV cache stores."""

    def __init__(self, pool: Pool, tasks: Tasks, vm: VmId,
                 post: Callable[[Event], None]) -> None:
        self.pool = pool
        self.tasks = tasks
        self.vm = vm
        self.post = post

    def request_report(self, effect: fx.RequestReport) -> None:
        self.tasks.spawn(self._request_report(effect))

    def order_version(self, effect: fx.OrderVersion) -> None:
        self.tasks.spawn(self._order_version(effect))

    def list_store(self, effect: fx.ListStore) -> None:
        self.tasks.spawn(self._list_store(effect))

    def poll_store(self, effect: fx.PollStore) -> None:
        self.tasks.spawn(self._poll_store(effect))

    def free_parts(self, effect: fx.FreeParts) -> None:
        self.tasks.spawn(self._free_parts(effect))

    async def _list_store(self, effect: fx.ListStore) -> None:
        response = await _call(self.pool,
                               effect.address,
                               'GET',
                               '/kv-list',
                               LIST_STORE_TIMEOUT_S,
                               max_bytes=MAX_RESPONSE_BYTES)
        if isinstance(response, NoResponse) or response.status != 200:
            self.post(_store_failure(effect.store, response))
            return
        try:
            listing = kv_records.decode_listing(effect.store, response.json())
            self.post(attrs.evolve(listing, issued_at=effect.issued_at))
        except InvalidField as error:
            self.post(ev.StoreRequestFailed(effect.store, str(error)))

    async def _poll_store(self, effect: fx.PollStore) -> None:
        wait_header = (names.WAIT_MS,
                       str(round(effect.wait_s * 1_000)).encode())
        response = await _call(self.pool,
                               effect.address,
                               'GET',
                               f'/kv-events?since={effect.since}',
                               TIMEOUT_S + effect.wait_s,
                               headers=(wait_header,),
                               max_bytes=MAX_RESPONSE_BYTES)
        if isinstance(response, NoResponse) or response.status != 200:
            self.post(_store_failure(effect.store, response))
            return
        try:
            self.post(kv_records.decode_changes(effect.store, response.json()))
        except InvalidField as error:
            self.post(ev.StoreRequestFailed(effect.store, str(error)))

    async def _free_parts(self, effect: fx.FreeParts) -> None:
        body = json.dumps({
            'parts': [[part.salt, part.id] for part in effect.parts],
            'epoch': effect.epoch,
            'until_ms': effect.until_ms,
        }).encode()
        response = await _call(self.pool, effect.address, 'POST', '/kv-free',
                               TIMEOUT_S, body)
        if isinstance(response, NoResponse) or response.status not in SUCCESS:
            self.post(ev.FreeFailed(effect.store, failure_reason(response)))
            return
        self.post(ev.PartsFreed(effect.store, effect.epoch, effect.parts))

    async def _request_report(self, effect: fx.RequestReport) -> None:
        response = await _call(self.pool, effect.address, 'GET', REPORT_TARGET,
                               TIMEOUT_S)
        if isinstance(response, NoResponse) or response.status != 200:
            self.post(ev.ReportFailed(effect.endpoint,
                                      failure_reason(response)))
            return
        self._post_leaving(effect.endpoint, response)
        try:
            data = response.json()
            self.post(
                ev.EndpointReported(effect.endpoint, decode_models(data),
                                    get(data, 'sequence', int),
                                    get(data, 'busy', bool),
                                    get_or(data, 'clock_ms', 0.0),
                                    decode_start(data)))
        except InvalidField as error:
            self.post(ev.ReportFailed(effect.endpoint, str(error)))

    def _post_leaving(self, endpoint: EndpointId, response: Response) -> None:
        """Post that an engine leaves if its answer to a control call states it.

        An answer of another instance at the address does not count.
        """
        instance = response.headers.get(names.INSTANCE, b'').decode('latin-1')
        if (response.headers.get(names.LEAVING) == b'1' and
                instance in ('', endpoint)):
            head = ev.AnswerHead(response.status, (),
                                 signed=False,
                                 not_run=False,
                                 leaving=True)
            self.post(ev.EndpointNotified(endpoint, head))

    async def _order_version(self, effect: fx.OrderVersion) -> None:
        body = json.dumps({
            'operation': 'version',
            'model': effect.model,
            'version': effect.version,
            'swap-mode': SWAP_MODE,
            'holder': self.vm,
            'fencing-token': effect.fence,
            'expect': effect.orders,
        }).encode()
        expected_header = (names.EXPECTED_INSTANCE, effect.endpoint.encode())
        response = await _call(self.pool, effect.address, 'POST', '/order',
                               TIMEOUT_S, body,
                               (*JSON_HEADERS, expected_header))
        result = OrderResult.UNKNOWN
        if isinstance(response, Response):
            self._post_leaving(effect.endpoint, response)
            result = _ORDER_RESULTS.get(response.status, OrderResult.UNKNOWN)
        self.post(ev.OrderAnswered(effect.endpoint, result))


def _store_failure(store: ServiceId,
                   response: Response | NoResponse) -> ev.StoreRequestFailed:
    busy = isinstance(response, Response) and response.status == 429
    return ev.StoreRequestFailed(store, failure_reason(response), busy)
