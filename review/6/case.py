"""A zone is lost while workers of two software versions serve."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

# pylint: disable=wrong-import-position
import site2
import streams2

# 13 machines in three zones; the first zone is lost.
ZONES = {'za': 5, 'zb': 4, 'zc': 4}
LOST = 'za'
# With REMOVED=1: the 7 machines of lta-tpe, after six more were removed.
SMALL_ZONES, REMOVED = {'za': 3, 'zb': 2, 'zc': 2}, 6
RATES = {'za': 10.0, 'zb': 2.0, 'zc': 2.0}
WARM_S, AFTER_S = 8.0, 8.0


async def remove_machines(site):
    """Add machines and remove them for good."""
    gone = [site.add_vm(f'frontend-zc-{3 + number}', 'zc')
            for number in range(REMOVED)]
    for vm in gone:
        vm.start()
    await site.ready(gone)
    await asyncio.sleep(1.0)
    for vm in gone:
        vm.kill()
        site.vms.remove(vm)
    await asyncio.sleep(10.0)


async def case(site, trouble):
    is_small = os.environ.get('REMOVED') == '1'
    zones = SMALL_ZONES if is_small else ZONES
    await site2.standard(site, engines=6, ledgers=0, zones=zones.values(),
                         names=tuple(zones), builds=('v1', 'v2'))
    if is_small:
        await remove_machines(site)
    for worker in site.workers:
        worker.event_count, worker.gap_s = 30, 0.1
    await asyncio.sleep(4.0)
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
    await asyncio.gather(*traffic)
    await asyncio.sleep(6.0)
    return int(streams.is_broken())


site2.main(case)
