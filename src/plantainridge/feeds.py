"""Polling of engines for their load and their cache events.

A rate limit in bytes per second bounds the polls of a process, whatever the
number of engines. Engines that run this VM's requests get up to half of the
polls of a round; the rest go to all engines in rotation.
"""

import asyncio
import random
from collections import deque
from collections.abc import Iterable
from typing import Any, Final

import aiosonic
import attrs

from plantainridge import events as ev
from plantainridge import json_values
from plantainridge.config import EndpointKind
from plantainridge.endpoints import EndpointView
from plantainridge.http_ports import RESPONSE_ERRORS, STATUS_OK
from plantainridge.ids import BlockKey, EndpointId, WeightVersion
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.response_limits import read_body
from plantainridge.runtime import Runtime

ROUND_INTERVAL_S: Final = 0.25
MAX_BYTES_PER_S: Final = 1_200
MAX_CREDIT_BYTES: Final = 4_800
# Bytes of a poll's request, response head and packet headers; then of a
# complete poll with a typical body.
POLL_OVERHEAD_BYTES: Final = 420
EXPECTED_POLL_BYTES: Final = 700
# Errors of a poll, which is repeated in a later round.
POLL_ERRORS: Final = RESPONSE_ERRORS


@attrs.define
class _FeedPosition:
    """Position in one engine's cache events.

    Attributes:
        incarnation: The engine's incarnation that `position` belongs to.
        position: Number of the last change that was received.
        event_count: Number of cache events posted so far.
    """

    incarnation: str = ''
    position: int = 0
    event_count: int = 0


class FeedPoller:
    """Poller of all engines on behalf of one VM.

    Attributes:
        positions: Position in the cache events of each engine.
        poll_order: Engines in the order of their rotation.
        in_flight: Engines with a poll in flight.
        credit_bytes: Bytes that may be spent now; negative if overdrawn.
    """

    def __init__(self, runtime: Runtime, client: aiosonic.HTTPClient,
                 tasks: Tasks) -> None:
        self.runtime = runtime
        self.client = client
        self.tasks = tasks
        self.rng = random.Random()
        self.positions: dict[EndpointId, _FeedPosition] = {}
        self.poll_order: deque[EndpointId] = deque()
        self.in_flight: set[EndpointId] = set()
        self.credit_bytes = float(MAX_CREDIT_BYTES)

    def start(self) -> None:
        """Start polling, until the process's tasks are cancelled."""
        self.tasks.spawn(self._poll_engines())

    async def _poll_engines(self) -> None:
        while True:
            self.credit_bytes = min(
                MAX_CREDIT_BYTES,
                self.credit_bytes + MAX_BYTES_PER_S * ROUND_INTERVAL_S)
            for view in self.choose_endpoints(
                    max(0, int(self.credit_bytes // EXPECTED_POLL_BYTES))):
                self.in_flight.add(view.id)
                self.tasks.spawn(self._poll_engine(view))
            await asyncio.sleep(ROUND_INTERVAL_S)

    def choose_endpoints(self, max_polls: int) -> list[EndpointView]:
        """Choose the engines to poll in this round.

        Args:
            max_polls: Number of polls that the budget allows.
        """
        views = {
            view.id: view
            for view in self.runtime.state.endpoints.values()
            if view.endpoint.kind is EndpointKind.ENGINE
        }
        known = set(self.poll_order)
        self.poll_order.extend(
            engine for engine in views if engine not in known)
        in_use = [view for view in views.values() if view.own_attempts]
        chosen: dict[EndpointId, EndpointView] = {}
        for view in self.rng.sample(in_use, min(len(in_use), max_polls // 2)):
            chosen[view.id] = view
        for _ in range(len(self.poll_order)):
            if len(chosen) >= max_polls:
                break
            engine = self.poll_order.popleft()
            if engine in views:
                self.poll_order.append(engine)
                chosen[engine] = views[engine]
        return [
            view for view in chosen.values() if view.id not in self.in_flight
        ]

    async def _poll_engine(self, view: EndpointView) -> None:
        feed = self.positions.setdefault(view.id, _FeedPosition())
        try:
            body = await self._get(
                f'{view.endpoint.address}/feed?life={feed.incarnation}'
                f'&after={feed.position}')
            for event in _engine_events(view.id, feed, body,
                                        self.runtime.loop.time()):
                self.runtime.post(event)
        except POLL_ERRORS:
            # The view keeps its last report; failed requests reveal an outage.
            return
        finally:
            self.in_flight.discard(view.id)

    async def _get(self, url: str) -> Any:
        response = await self.client.get(f'http://{url}')
        if response.status_code != STATUS_OK:
            raise OSError(f'status {response.status_code}')
        data = await read_body(response)
        self.credit_bytes -= POLL_OVERHEAD_BYTES + len(data)
        return json_values.decode(data)


def _engine_events(endpoint: EndpointId, feed: _FeedPosition, body: Any,
                   now: float) -> Iterable[Event]:
    load = body['load']
    yield ev.LoadReported(endpoint, now - load['age_s'], load['running'],
                          load['waiting_tokens'], load['prefill_tokens_per_s'],
                          WeightVersion(load['version']))
    added = tuple(BlockKey(key) for key in body['added'])
    removed = tuple(BlockKey(key) for key in body['removed'])
    feed.position = body['position']
    if body['whole'] or body['life'] != feed.incarnation:
        feed.incarnation = body['life']
        feed.event_count += 1
        yield ev.CacheListed(endpoint, feed.event_count, added)
    elif added or removed:
        feed.event_count += 1
        yield ev.CacheChanged(endpoint, feed.event_count, added, removed)
