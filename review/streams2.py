"""Clients whose streams are cut, and who take them up once."""

import asyncio
import random

import site2

# Two readiness checks, a second apart, take a machine out.
ROTATION_S = 2.2
DEADLINE_MS = 15_000
MIN_STREAMS = 12


class Streams:
    """Clients' streams: new ones, and those that are taken up again.

    Attributes:
        lost_at: Time at which the machines of the zone were lost, or None.
        leaves_at: Time at which its clients close their connections, or None.
    """

    def __init__(self, site, lost_zone, rates):
        self.site, self.lost_zone, self.rates = site, lost_zone, rates
        self.lost_at = self.leaves_at = None
        self.new, self.begun, self.again, self.gone_on = 0, 0, 0, 0

    def on_event(self, zone, vm, seen, data):
        """Receive the body so far; without trouble, clients leave then."""
        seen.append(data)
        if (self.leaves_at is not None and zone == self.lost_zone and
                self.site.now() >= self.leaves_at > self.site.now() - 0.3):
            raise OSError('the client has left')

    def machines(self, zone):
        """Return where the platform sends a client of a zone."""
        is_out = (self.lost_at is not None and
                  self.site.now() - self.lost_at >= ROTATION_S)
        if zone == self.lost_zone and is_out:
            return [vm for vm in self.site.vms if vm.zone != self.lost_zone]
        return [vm for vm in self.site.vms if vm.zone == zone]

    async def client(self, zone):
        site = self.site
        vm, attempt = random.choice(self.machines(zone)), site.attempt()
        fields = site2.prompt([('a1', 512), (f'b{random.randrange(144):x}', 900),
                               (f'c{random.randrange(16**8):x}', 300)])
        counts = (self.lost_at or self.leaves_at) and vm.zone != self.lost_zone
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
            await asyncio.sleep(random.expovariate(self.rates[zone]))

    def is_broken(self):
        """Return whether the rule LOST on streams taken up is broken."""
        share_new = self.begun / max(1, self.new)
        share_on = self.gone_on / max(1, self.again)
        print(f'new streams {self.new}, begun {self.begun}; taken up again '
              f'{self.again}, going on {self.gone_on}')
        self.site.log('result', new=self.new, begun=self.begun,
                      again=self.again, gone_on=self.gone_on)
        return self.again >= MIN_STREAMS and share_on < share_new / 2
