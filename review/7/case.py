"""Machines of a zone are lost; a worker of a new version starts after that."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

# pylint: disable=wrong-import-position
import site2
import streams2

# The machines of lta-tpe; those of the first zone are lost.
ZONES = {'za': 3, 'zb': 2, 'zc': 2}
LOST = 'za'
RATES = {'za': 10.0, 'zb': 2.0, 'zc': 2.0}
# The deployment has run for more than a minute, with workers of one version.
STEADY_S, WARM_S, AFTER_S = 62.0, 7.0, 8.0
# Time from the loss to the start of the first worker of the new version, in s.
RELEASE_S = 1.0


async def case(site, trouble):
    await site2.standard(site, engines=5, ledgers=0, zones=ZONES.values(),
                         names=tuple(ZONES))
    for worker in site.workers:
        worker.event_count, worker.gap_s = 30, 0.1
    await asyncio.sleep(STEADY_S)
    streams = streams2.Streams(site, LOST, RATES)
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
    await asyncio.sleep(RELEASE_S)
    # Planned work: the new worker starts first. All five others go on serving.
    new = site2.Worker(site, 'llm', 'zb', 'm0')
    new.build, new.event_count, new.gap_s = 'v2', 30, 0.1
    site.workers.append(new)
    await new.start()
    await asyncio.gather(*traffic)
    await asyncio.sleep(6.0)
    return int(streams.is_broken())


site2.main(case)
