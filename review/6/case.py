"""A zone is lost while workers of two software versions serve."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import site2  # pylint: disable=wrong-import-position

# 13 machines in three zones; the first zone is lost.
ZONES = {'za': 5, 'zb': 4, 'zc': 4}
LOST = 'za'
RATE = {'za': 6.0, 'zb': 2.0, 'zc': 2.0}
WARM_S, AFTER_S = 8.0, 8.0
# Two readiness checks, a second apart, take a machine out.
ROTATION_S = 2.2
DEADLINE_MS = 15_000
MIN_STREAMS = 12


class Streams:
    """Clients' streams: new ones, and those that are taken up again."""

    def __init__(self, site):
        self.site = site
        self.lost_at = self.leaves_at = None
        self.new, self.begun, self.again, self.gone_on = 0, 0, 0, 0

    def on_event(self, zone, vm, seen, data):
        """Receive the body so far; without trouble, clients leave then."""
        seen.append(data)
        if (self.leaves_at is not None and zone == LOST and
                self.site.now() >= self.leaves_at > self.site.now() - 0.3):
            raise OSError('the client has left')

    def machines(self, zone):
        """Return where the platform sends a client of a zone."""
        is_out = (self.lost_at is not None and
                  self.site.now() - self.lost_at >= ROTATION_S)
        if zone == LOST and is_out:
            return [vm for vm in self.site.vms if vm.zone != LOST]
        return [vm for vm in self.site.vms if vm.zone == zone]

    async def client(self, zone):
        site = self.site
        vm, attempt = random.choice(self.machines(zone)), site.attempt()
        fields = site2.prompt([('a1', 512), (f'b{random.randrange(144):x}', 900),
                               (f'c{random.randrange(16**8):x}', 300)])
        counts = (self.lost_at or self.leaves_at) and vm.zone != LOST
        self.new += bool(counts)
        sent_at, seen = site.now(), []
        _, _, data = await site.send(vm, '/report-llm/x', headers=fields,
                                     timeout_ms=DEADLINE_MS, attempt=attempt,
                                     on_event=lambda got: self.on_event(
                                         zone, vm, seen, got))
        self.begun += bool(counts and seen)
        if data is not None or not seen:
            return
        # The stream was cut off: the client takes it up once, elsewhere.
        text = seen[-1]
        text = text[:text.rfind(b'\n\n') + 2] if b'\n\n' in text else b''
        ids = [line[4:] for line in text.decode().split('\n')
               if line.startswith('id: ')]
        if not ids:
            return
        await asyncio.sleep(ROTATION_S + random.random() * 0.5)
        left_ms = int(DEADLINE_MS - (site.now() - sent_at) * 1_000)
        vm = random.choice(self.machines(zone))
        more = []
        self.again += 1
        await site.send(vm, '/report-llm/x', timeout_ms=left_ms,
                        headers={**fields, 'Last-Event-Id': ids[-1],
                                 'Resumes': attempt, 'X-Mark': 'again'},
                        on_event=lambda got: more.append(got))
        self.gone_on += bool(more)
        site.log('taken_up', request=attempt, vm=vm.name, after=ids[-1],
                 goes_on=bool(more))

    async def traffic(self, zone, until):
        while self.site.now() < until:
            self.site.spawn(self.client(zone))
            await asyncio.sleep(random.expovariate(RATE[zone]))


async def case(site, trouble):
    await site2.standard(site, engines=6, ledgers=0, zones=ZONES.values(),
                         names=tuple(ZONES))
    for number, worker in enumerate(site.workers):
        worker.event_count, worker.gap_s = 30, 0.1
        # Three workers of each version of the software.
        worker.build = f'v{1 + number % 2}'
        worker.write_entry()
    await asyncio.sleep(4.0)
    streams = Streams(site)
    until = site.now() + WARM_S + AFTER_S
    traffic = [site.spawn(streams.traffic(zone, until)) for zone in ZONES]
    await asyncio.sleep(WARM_S)
    if trouble:
        streams.lost_at = site.now()
        for vm in site.vms:
            if vm.zone == LOST:
                vm.kill()
    else:
        # The clients close their connections instead, and take the streams up.
        streams.leaves_at = site.now()
    await asyncio.gather(*traffic)
    await asyncio.sleep(6.0)
    share_new = streams.begun / max(1, streams.new)
    share_on = streams.gone_on / max(1, streams.again)
    serving = {worker.build for worker in site.workers if worker.id}
    print(f'new streams {streams.new}, begun {streams.begun}; taken up again '
          f'{streams.again}, going on {streams.gone_on}; versions {serving}')
    site.log('result', new=streams.new, begun=streams.begun,
             again=streams.again, gone_on=streams.gone_on)
    return int(streams.again >= MIN_STREAMS and share_on < share_new / 2)


site2.main(case)
