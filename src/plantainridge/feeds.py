"""Polls engines for their load and their cache events.

A budget of bytes bounds the polls of a process, whatever the number of
engines: those that run this VM's requests go first, the others take turns.
"""

import asyncio
import json
import random
from collections import deque
from collections.abc import Iterable
from typing import Any, Final

import aiosonic
import attrs
from aiosonic import exceptions as http_errors

from plantainridge import events as ev
from plantainridge.config import EndpointKind
from plantainridge.endpoints import EndpointView
from plantainridge.http_ports import STATUS_OK
from plantainridge.ids import BlockKey, EndpointId, WeightVersion
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.runtime import Runtime

ROUND_S: Final = 0.25
BUDGET_BYTES_PER_S: Final = 1_200
MAX_CREDIT_BYTES: Final = 4_800
# A poll's request, response head and packet headers, and its usual body.
POLL_HEAD_BYTES: Final = 420
POLL_BYTES: Final = 700
# Faults of a poll; the next round tries again.
POLL_ERRORS: Final = (http_errors.AiosonicError, OSError, ValueError, EOFError,
                      KeyError, TypeError, TimeoutError)


@attrs.define
class _Followed:
    """How far one engine's cache events were followed.

    Attributes:
        life: The engine's life that `position` belongs to.
        position: Number of the last change that was taken in.
        pieces: Pieces posted so far.
    """

    life: str = ''
    position: int = 0
    pieces: int = 0


class FeedPoller:
    """Polls on behalf of one VM."""

    def __init__(self, runtime: Runtime, client: aiosonic.HTTPClient,
                 tasks: Tasks) -> None:
        self.runtime = runtime
        self.client = client
        self.tasks = tasks
        self.rng = random.Random()
        self.positions: dict[EndpointId, _Followed] = {}
        self.turns: deque[EndpointId] = deque()
        self.polling: set[EndpointId] = set()
        self.credit_bytes = float(MAX_CREDIT_BYTES)

    def start(self) -> None:
        """Polls from now on, until the process's tasks are cancelled."""
        self.tasks.spawn(self._poll_engines())

    async def _poll_engines(self) -> None:
        while True:
            self.credit_bytes = min(
                MAX_CREDIT_BYTES,
                self.credit_bytes + BUDGET_BYTES_PER_S * ROUND_S)
            for view in self.due(max(0, int(self.credit_bytes // POLL_BYTES))):
                self.polling.add(view.id)
                self.tasks.spawn(self._poll_engine(view))
            await asyncio.sleep(ROUND_S)

    def due(self, polls: int) -> list[EndpointView]:
        """Chooses whom to ask in this round, as many as the budget allows."""
        views = {
            view.id: view
            for view in self.runtime.state.endpoints.values()
            if view.endpoint.kind is EndpointKind.ENGINE
        }
        known = set(self.turns)
        self.turns.extend(name for name in views if name not in known)
        in_use = [view for view in views.values() if view.own_attempts]
        chosen: dict[EndpointId, EndpointView] = {}
        for view in self.rng.sample(in_use, min(len(in_use), polls // 2)):
            chosen[view.id] = view
        for _ in range(len(self.turns)):
            if len(chosen) >= polls:
                break
            name = self.turns.popleft()
            if name in views:
                self.turns.append(name)
                chosen[name] = views[name]
        return [view for view in chosen.values() if view.id not in self.polling]

    async def _poll_engine(self, view: EndpointView) -> None:
        followed = self.positions.setdefault(view.id, _Followed())
        try:
            body = await self._get(
                f'{view.endpoint.address}/feed?life={followed.life}'
                f'&after={followed.position}')
            for event in _engine_events(view.id, followed, body,
                                        self.runtime.loop.time()):
                self.runtime.post(event)
        except POLL_ERRORS:
            # The view keeps its last report; requests show what is down.
            return
        finally:
            self.polling.discard(view.id)

    async def _get(self, url: str) -> Any:
        response = await self.client.get(f'http://{url}')
        if response.status_code != STATUS_OK:
            raise OSError(f'status {response.status_code}')
        data = await response.content()
        self.credit_bytes -= POLL_HEAD_BYTES + len(data)
        return json.loads(data)


def _engine_events(endpoint: EndpointId, followed: _Followed, body: Any,
                   now: float) -> Iterable[Event]:
    load = body['load']
    yield ev.LoadReported(endpoint, now - load['age_s'], load['running'],
                          load['waiting_tokens'], load['prefill_tokens_per_s'],
                          WeightVersion(load['version']))
    added = tuple(BlockKey(key) for key in body['added'])
    removed = tuple(BlockKey(key) for key in body['removed'])
    followed.position = body['position']
    if body['whole'] or body['life'] != followed.life:
        followed.life = body['life']
        followed.pieces += 1
        yield ev.CacheListed(endpoint, followed.pieces, added)
    elif added or removed:
        followed.pieces += 1
        yield ev.CacheChanged(endpoint, followed.pieces, added, removed)
