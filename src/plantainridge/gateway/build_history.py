"""Builds that services had lately, as kept in the metadata store.

The load pattern: all VMs are killed within a second or two while, or shortly
after, engines of two builds served. What VMs know of builds is lost with them,
and those that start may find engines of one build only. The builds that each
service had lately are therefore kept as one record in the metadata store. It
changes when a build appears and when one is forgotten, so that it is written a
few times for each release.

The record holds ages, not times of day, since clocks of VMs differ and jump. An
age is true at the moment of the write and is a lower bound for every reader: a
build may be taken for more recent than it is, never for older.

Nothing here does input or output.
"""

import math
from collections.abc import Collection, Mapping
from typing import Final

import attrs

from plantainridge.gateway.builds import ORIGIN_RETENTION_S
from plantainridge.gateway.events import BuildRecord
from plantainridge.gateway.record_log import RecordLog
from plantainridge.ids import ServiceId

# Era of a record that could not be decoded; no era of a store is negative.
UNREADABLE_ERA: Final = -1

# Loop time in s at which each build of each service was last listed.
SeenBuilds = Mapping[ServiceId, Mapping[str, float]]


@attrs.define
class BuildHistory(RecordLog):
    """What this VM knows of the record.

    Attributes:
        known: Whether this VM knows all builds of the last time, from a record
            that was valid and from the registry since then.
        record: The newest record that was read or written, or None.
        first_read_at: Loop time of the first successful read, in s.
        pending: The record that the pending call writes, or None.
    """

    known: bool = False
    record: BuildRecord | None = None
    first_read_at: float = math.inf
    pending: BuildRecord | None = None


def is_valid(record: BuildRecord | None, era: int) -> bool:
    """Return whether a record that was read has all changes written to it.

    A record of an older era comes from an older copy of the store, which may
    lack a change. The topic is empty before the first start of a deployment:
    nothing has begun then.

    Args:
        record: The record, or None if the topic is empty.
        era: The metadata store's era in which it was read.
    """
    return record is None or record.era == era


def last_listed(record: BuildRecord | None,
                now: float) -> dict[ServiceId, dict[str, float]]:
    """Return the latest times at which a record's builds may have been listed.

    Args:
        record: The record, or None.
        now: Loop time of the read, in s.

    Returns:
        For each service and build, the loop time in s.
    """
    if record is None:
        return {}
    found = {
        service: {
            build: now - max(0.0, age_s)
            for build, age_s in ages.items()
            if not age_s > ORIGIN_RETENTION_S
        } for service, ages in record.services.items()
    }
    return {service: seen for service, seen in found.items() if seen}


def differs(record: BuildRecord | None, seen: SeenBuilds,
            services: Collection[ServiceId], era: int) -> bool:
    """Return whether a record must be written anew.

    Args:
        record: The newest record, or None.
        seen: Builds that this VM has seen.
        services: Services whose streams may be resumed.
        era: The metadata store's present era.
    """
    if record is None:
        return any(seen.get(service) for service in services)
    if record.era != era:
        return True
    return any(
        seen.get(service, {}).keys() != record.services.get(service, {}).keys()
        for service in services)


def next_record(record: BuildRecord | None, seen: SeenBuilds,
                services: Collection[ServiceId], era: int,
                now: float) -> BuildRecord:
    """Return the record to write.

    Services that this VM's configuration does not name are retained.

    Args:
        record: The newest record, whose builds are all in `seen`, or None.
        seen: Builds that this VM has seen.
        services: Services whose streams may be resumed.
        era: The metadata store's present era.
        now: Loop time in s.
    """
    kept = dict(record.services) if record is not None else {}
    for service in services:
        kept.pop(service, None)
        if seen.get(service):
            kept[service] = {
                # Rounded down: an age must not be too high.
                build: math.floor(max(0.0, now - at))
                for build, at in seen[service].items()
            }
    return BuildRecord(kept, era)
