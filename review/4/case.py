"""All gateways are killed while prompts with a part that crashes workers come.

Two gateways, four model workers, and clients whose prompts share their first
part. Every few seconds a prompt with a bad part comes, no two alike.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

# pylint: disable=wrong-import-position
from engines import Engine, configuration, headers_of
from standins import (RNG, SUBNET, TROUBLE, Gateway, Platform, Record, Request,
                      call, run_case)

# pylint: enable=wrong-import-position

FOLDER = pathlib.Path(__file__).resolve().parent
STABLE_S = 3.0
# Time until a crashed worker is back.
DOWN_S = 2.0
# A prompt with the bad part comes at each turn; sound ones at a rate per s.
BAD_INTERVAL_S, SOUND_RATE = 5.0, 8.0
# All gateways are killed after these turns.
KILLS_AFTER = (4, 8)
TURNS = 13
MAX_REQUESTS = 3


class Judge:
    """The rule BUDGET on requests with a part that crashes workers.

    Attributes:
        crashes: Times of the crashes.
        started_at: Time of the start of each gateway.
        counted: Requests that reached workers after the fifth crash.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.crashes: list[float] = []
        self.started_at: dict[str, float] = {}
        self.counted = 0
        self.sent_to: dict[str, str] = {}

    def reached(self, attempt: str, worker: str) -> None:
        now, gateway = time.monotonic(), self.sent_to[attempt]
        in_touch = now - self.started_at[gateway] > STABLE_S + 0.2
        late = (len(self.crashes) >= 5 and now > self.crashes[4] + STABLE_S)
        self.record.write(f'bad {attempt} reaches {worker} from {gateway}, '
                          f'in touch: {in_touch}, counts: {in_touch and late}')
        self.counted += in_touch and late
        if self.counted == MAX_REQUESTS + 1:
            self.record.break_rule(
                f'BUDGET: {self.counted} requests with the bad part reached '
                'workers later than stable-window-ms after the fifth crash')


async def send(gateway: Gateway, record: Record, attempt: str,
               part: str) -> None:
    number = attempt[:6]
    parts = f'opening:400,{part}:1600,own{number}:500'
    try:
        async with asyncio.timeout(15.0):
            answer = await call(gateway.address, 'POST', '/report/x',
                                headers_of(attempt, parts, 2_500), b'{}')
        record.write(f'client: {attempt} ({part}) got {answer.status}, whole: '
                     f'{answer.is_whole}')
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.write(f'client: {attempt} ({part}) got no answer: {error!r}')


async def sound_clients(gateways: list[Gateway], record: Record,
                        tasks: set[asyncio.Task]) -> None:
    while True:
        await asyncio.sleep(RNG.expovariate(SOUND_RATE))
        task = asyncio.ensure_future(
            send(RNG.choice(gateways), record, f'{RNG.getrandbits(64):016x}',
                 f'sound{RNG.randrange(6)}'))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def case(record: Record, folder: pathlib.Path) -> None:
    platform = Platform(f'{SUBNET}.9.1')
    await platform.server.start()
    platform.put('keyed.op', 'config', configuration(attempts=1))
    platform.put('keyed.op', 'version/m', {'model': 'm', 'version': 1})
    judge = Judge(record)
    tasks: set[asyncio.Task] = set()

    def on_begin(engine: Engine, request: Request) -> None:
        if 'bad:' not in request.headers['x-prompt-prefix']:
            return
        judge.reached(request.headers['x-attempt-id'], engine.name)
        judge.crashes.append(time.monotonic())
        crash = asyncio.ensure_future(engine.crash(DOWN_S))
        tasks.add(crash)
        crash.add_done_callback(tasks.discard)
        raise ConnectionResetError

    for at in range(4):
        engine = Engine(f'i-{at}', f'{SUBNET}.8.{at + 1}', f'z{at % 2 + 1}',
                        platform, record)
        engine.on_begin = on_begin
        await engine.start()
        tasks.add(asyncio.ensure_future(engine.beat()))
    gateways = [
        Gateway(folder, f'gateway-{at}', f'{SUBNET}.1.{at}', f'z{at}',
                platform.server.address) for at in (1, 2)
    ]

    async def start_all() -> None:
        for gateway in gateways:
            await gateway.start()
            judge.started_at[gateway.name] = time.monotonic()

    try:
        await start_all()
        async with asyncio.timeout(20.0):
            for gateway in gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.1)
        await asyncio.sleep(STABLE_S + 1.0)
        tasks.add(asyncio.ensure_future(sound_clients(gateways, record, tasks)))
        await asyncio.sleep(2.0)
        for turn in range(1, TURNS + 1):
            attempt = f'{RNG.getrandbits(64):016x}'
            gateway = RNG.choice(gateways)
            judge.sent_to[attempt] = gateway.name
            record.write(f'client: sends bad {attempt} to {gateway.name}')
            sent = asyncio.ensure_future(send(gateway, record, attempt, 'bad'))
            await asyncio.sleep(0.3)
            if TROUBLE and turn in KILLS_AFTER:
                record.write('all gateways: killed, and started again')
                await asyncio.gather(*(each.kill() for each in gateways))
                await start_all()
            await asyncio.sleep(BAD_INTERVAL_S - 0.3)
            await sent
            if record.broken:
                break
        record.write(f'{len(judge.crashes)} crashes, {judge.counted} counted')
    finally:
        for gateway in gateways:
            await gateway.kill()


if __name__ == '__main__':
    sys.exit(run_case(case, FOLDER))
