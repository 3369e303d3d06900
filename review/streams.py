"""Clients whose streams go on after they broke."""

import abc
import asyncio
import time
from collections.abc import Sequence

from engines import headers_of
from standins import RNG, Gateway, Record, read_head, reset

DEADLINE_S = 60.0
STABLE_S = 3.0


class Judge(abc.ABC):
    """What the tries of clients show of a rule.

    Attributes:
        started_at: Time of the start of each gateway.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.started_at: dict[str, float] = {}

    def is_in_touch(self, gateway: Gateway) -> bool:
        return (time.monotonic() - self.started_at[gateway.name]
                > STABLE_S + 0.2)

    @abc.abstractmethod
    def on_try(self, stream: 'Stream', in_touch: bool, is_resumed: bool,
               went_on: bool) -> None:
        """Record the end of a try."""


class Stream:
    """One stream of a client, over all of its tries.

    Attributes:
        number: What makes its prompt differ from all others.
        first: Attempt that brought the first event, or ''.
        last_id: Id of the last event, or 0.
        told_s: `Retry-After` of the latest refusal, in s.
        versions: Software versions whose events it holds.
    """

    def __init__(self, judge: Judge, gateways: list[Gateway],
                 pauses_s: Sequence[float]) -> None:
        self.judge, self.gateways = judge, gateways
        self.pauses_s = pauses_s
        self.number = f'{RNG.getrandbits(32):08x}'
        self.first, self.last_id, self.versions = '', 0, set()
        self.told_s = 0.0
        self.expires_at = time.monotonic() + DEADLINE_S

    async def run(self) -> None:
        """Try until the stream is complete, or no pause is left.

        The pauses begin anew once a try has brought events.
        """
        pauses_s = list(self.pauses_s)
        while True:
            before = self.last_id
            if await self._try():
                return
            if self.last_id > before:
                pauses_s = list(self.pauses_s)
            if not pauses_s:
                return
            pause_s = pauses_s.pop(0) * RNG.uniform(0.8, 1.2)
            left_s = self.expires_at - time.monotonic()
            # Clients wait as told, up to a third of the time that they have.
            await asyncio.sleep(max(pause_s, min(self.told_s, left_s / 3)))

    async def _try(self) -> bool:
        """Return whether the client tries no more."""
        gateway = RNG.choice(self.gateways)
        attempt, record = f'{RNG.getrandbits(64):016x}', self.judge.record
        in_touch = self.judge.is_in_touch(gateway)
        headers = headers_of(attempt, f'opening:400,own{self.number}:500', 900)
        remaining_s = self.expires_at - time.monotonic()
        headers['X-Deadline-Milliseconds'] = str(round(remaining_s * 1_000))
        if self.first:
            headers['Resumes'] = self.first
            headers['Last-Event-Id'] = str(self.last_id)
        record.write(f'client: {attempt} sent to {gateway.name}, resumes '
                     f'{self.first or "nothing"} after {self.last_id}, in '
                     f'touch: {in_touch}')
        before, self.told_s = self.last_id, 0.0
        outcome = await self._exchange(gateway, attempt, headers)
        self.judge.on_try(self, in_touch, 'Resumes' in headers, self.last_id
                          > before)
        record.write(f'client: {attempt} {outcome}, last event {self.last_id}, '
                     f'versions {sorted(self.versions)}')
        return outcome == 'complete' or not self.first

    async def _exchange(self, gateway: Gateway, attempt: str,
                        headers: dict) -> str:
        try:
            reader, writer = await asyncio.open_connection(gateway.host, 8749)
        except OSError as error:
            return f'no connection: {error!r}'
        try:
            lines = ['POST /report/x HTTP/1.1']
            lines += [f'{key}: {value}' for key, value in headers.items()]
            body = f'{{"prompt":"{self.number}"}}'.encode()
            lines.append(f'content-length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            first, fields = await read_head(reader)
            self.told_s = float(fields.get('retry-after', 0))
            if not first.startswith('HTTP/1.1 200'):
                return (f'answer {first.split(" ")[1]}, retry after '
                        f'{fields.get("retry-after")}')
            data = b''
            while size := int(await reader.readline(), 16):
                data += await reader.readexactly(size)
                await reader.readexactly(2)
                *events, data = data.split(b'\n\n')
                for event in events:
                    self._take(attempt, event.decode())
            return 'complete'
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return 'broken off'
        finally:
            reset(writer)

    def _take(self, attempt: str, event: str) -> None:
        id_line, data_line = event.split('\n')[-2:]
        self.last_id = int(id_line.removeprefix('id: '))
        self.versions.add(data_line.removeprefix('data: ').split(' ')[0])
        self.first = self.first or attempt
