"""Encoder and decoder of the metadata store's records."""

import base64
import json
import math
from collections.abc import Iterator
from typing import Any

import attrs

from plantainridge import json_values
from plantainridge.gateway.build_history import UNREADABLE_ERA
from plantainridge.gateway.crash_attribution import Suspect
from plantainridge.gateway.endpoints import EndpointEntry
from plantainridge.gateway.events import (BuildRecord, EndpointRemoved,
                                          EvacuationChanged, InvalidRecord,
                                          LeaseRecord, NamedVersion, RawRecord,
                                          RecordedCrash, RecordedQuarantine,
                                          SuspectRecord, View, ViewUpdate,
                                          VmEntry)
from plantainridge.gateway.settings import DEFAULT_LINK_MBPS
from plantainridge.ids import (DcId, EndpointId, Incarnation, ModelId,
                               ServiceId, VmId)
from plantainridge.platform import configuration, names
from plantainridge.platform.fields import (InvalidField, get, get_in_range,
                                           get_list, get_or)

MS_PER_S = 1_000.0
RECORD_LENGTH_BYTES = 4
OFFSET_BYTES = 8
MAX_PORT = 65_535
# Largest numbers that fields of messages between VMs hold.
MAX_INT32 = 2**31 - 1
MAX_INT64 = 2**63 - 1
MAX_UINT32 = 2**32 - 1


@attrs.frozen
class Page:
    """Records that the store returned.

    Attributes:
        next_offset: Offset from which to read on.
        offsets: Offset of each record; empty for records read from the log.
        is_complete: Whether the log ended at `next_offset`.
    """

    records: tuple[RawRecord, ...]
    next_offset: int
    offsets: tuple[int, ...] = ()
    is_complete: bool = True


def decode_log(data: bytes, start: int) -> Page:
    """Decode records of a keyed topic, read from the offset `start`.

    Raises:
        InvalidField: The bytes end within the header or a record.
    """
    if len(data) < 2 * OFFSET_BYTES:
        raise InvalidField('end', 'there')
    records = tuple(_decode_records(data, 2 * OFFSET_BYTES))
    next_offset = start + len(records)
    end = int.from_bytes(data[:OFFSET_BYTES], 'big')
    return Page(records, next_offset, is_complete=next_offset >= end)


def _decode_records(data: bytes, position: int) -> Iterator[RawRecord]:
    while position < len(data):
        length = int.from_bytes(data[position:position + RECORD_LENGTH_BYTES],
                                'big')
        position += RECORD_LENGTH_BYTES
        content = data[position:position + length]
        if len(content) < length or not content:
            raise InvalidField('record', 'whole')
        position += length
        key_end = 1 + content[0]
        key = content[1:key_end].decode(errors='replace')
        yield RawRecord(key, content[key_end:] or None)


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed topic, as it is appended."""
    content = bytes([len(key.encode())]) + key.encode() + value
    return len(content).to_bytes(RECORD_LENGTH_BYTES, 'big') + content


def decode_newest(data: Any) -> tuple[Page, bool]:
    """Decode a page of the newest records of each key.

    Returns:
        The page, and whether more pages follow.

    Raises:
        InvalidField: A field is missing or has the wrong type.
        ValueError: A value is not Base64.
    """
    items = get_list(data, 'items')
    records = tuple(
        RawRecord(get(entry, 'key', str),
                  base64.b64decode(get_or(entry, 'value', '')) or None)
        for entry in items)
    offsets = tuple(get(entry, 'offset', int) for entry in items)
    page = Page(records, get(data, 'end', int), offsets)
    return page, get_or(data, 'has-more', False)


def decode_update(view: View, record: RawRecord) -> ViewUpdate:
    """Decode a record of a view; return `InvalidRecord` if it is not valid."""
    try:
        if view is View.OPERATOR:
            return _decode_operator_record(record)
        if view is View.REGISTRY:
            if record.value is None:
                return EndpointRemoved(EndpointId(record.key))
            return _decode_endpoint(record.key,
                                    json_values.decode(record.value))
        return _decode_vm_entry(record)
    except (ValueError, InvalidField, AttributeError, TypeError,
            ArithmeticError) as error:
        return InvalidRecord(record.key, str(error))


def _decode_operator_record(record: RawRecord) -> ViewUpdate:
    if record.key.startswith(names.EVACUATION_KEY_PREFIX):
        # The value holds nothing; a deleted key withdraws the request.
        dc = DcId(record.key.removeprefix(names.EVACUATION_KEY_PREFIX))
        return EvacuationChanged(dc, record.value is not None)
    if record.value is None:
        return InvalidRecord(record.key, 'the key was deleted')
    data = json_values.decode(record.value)
    if record.key == names.CONFIGURATION_KEY:
        return configuration.decode(data)
    if record.key.startswith(names.VERSION_KEY_PREFIX):
        return NamedVersion(ModelId(get(data, 'model', str)),
                            get(data, 'version', int))
    return InvalidRecord(record.key, 'the key is unknown')


def _decode_endpoint(key: str, data: Any) -> EndpointEntry:
    state = get(data, 'state', str)
    if state not in (names.STATE_READY, names.STATE_DRAINING):
        raise InvalidField('state', 'ready or draining')
    cold_ms = get_or(data, 'cold-remaining-ms', 0.0)
    if not math.isfinite(cold_ms):
        raise InvalidField('cold-remaining-ms', 'finite')
    return EndpointEntry(id=EndpointId(key),
                         service=ServiceId(get(data, 'service', str)),
                         address=_decode_address(data),
                         dc=DcId(get(data, 'zone', str)),
                         slots=get_in_range(data, 'slots', MAX_INT32),
                         draining=state == names.STATE_DRAINING,
                         started_ms=decode_start(data),
                         orders=get_in_range(data, 'sequence', MAX_INT64, 0),
                         versions=decode_models(data),
                         build=get_or(data, 'version', ''),
                         cold_remaining_s=max(0.0, cold_ms) / MS_PER_S)


def _decode_address(data: Any) -> str:
    """Return the address of an entry if connections to it are possible."""
    address = get(data, 'address', str)
    host, _, port = address.rpartition(':')
    is_port = port.isascii() and port.isdecimal() and len(port) <= 5
    if not host or not is_port or not 0 < int(port) <= MAX_PORT:
        raise InvalidField('address', 'IP:PORT')
    return address


def decode_models(data: Any) -> dict[ModelId, int]:
    """Return the weight version of each model of an engine's entry or report.

    Raises:
        InvalidField: A field is missing or has the wrong type.
    """
    return {
        ModelId(get(entry, 'name', str)):
            get_in_range(entry, 'version', MAX_UINT32)
        for entry in get_list(data, 'models')
    }


def decode_start(data: Any) -> int:
    """Return the Unix time of an engine's start, in ms; 0 if not stated.

    Raises:
        InvalidField: It is no whole number, or out of range.
    """
    return get_in_range(data, 'born', MAX_INT64, 0)


def _decode_vm_entry(record: RawRecord) -> ViewUpdate:
    if record.value is None:
        return InvalidRecord(record.key, 'the key was deleted')
    data = json_values.decode(record.value)
    return VmEntry(VmId(record.key), get(data, 'dc', str),
                   get(data, 'address', str),
                   get_or(data, 'link_mbps', DEFAULT_LINK_MBPS))


def encode_vm_entry(dc: str, address: str, link_mbps: float) -> bytes:
    """Encode a VM's own entry."""
    return json.dumps({
        'dc': dc,
        'address': address,
        'link_mbps': link_mbps
    }).encode()


def decode_lease(record: RawRecord) -> LeaseRecord:
    """Decode the lease's record.

    Raises:
        InvalidField: A field is missing or has the wrong type.
        ValueError: The record is not JSON.
    """
    data = json_values.decode(record.value or b'')
    return LeaseRecord(VmId(get(data, 'holder', str)),
                       Incarnation(get(data, 'life', str)),
                       get(data, 'term', int))


def encode_lease(record: LeaseRecord) -> bytes:
    """Encode the lease's record, as it is appended."""
    return json.dumps({
        'holder': record.holder,
        'life': record.incarnation,
        'term': record.term
    }).encode()


def decode_builds(record: RawRecord) -> BuildRecord:
    """Decode the record of builds; return one that is never valid if it is not.

    No VM would replace a record that it takes for a failure of the store.
    """
    try:
        data = json_values.decode(record.value or b'')
        services = {
            ServiceId(service): {
                build: get(ages, build, float) for build in ages
            } for service, ages in get(data, 'services', dict).items()
        }
        return BuildRecord(services, get(data, 'era', int))
    except (ValueError, InvalidField, TypeError):
        return BuildRecord({}, UNREADABLE_ERA)


def encode_builds(record: BuildRecord) -> bytes:
    """Encode the record of builds, as it is appended."""
    return json.dumps({'era': record.era, 'services': record.services}).encode()


def decode_suspects(record: RawRecord) -> SuspectRecord:
    """Decode the record of suspects; return an empty one if it is not valid."""
    try:
        data = json_values.decode(record.value or b'')
        rows = get(data, 'quarantine', dict)
        quarantine = {
            Suspect(suspect):
                RecordedQuarantine(
                    get(row, 'idle_s', float),
                    get_in_range(row, 'failed_probes', MAX_INT32, 0))
            for suspect, row in rows.items()
        }
        crashes = tuple(_decode_crash(row) for row in get_list(data, 'crashes'))
        return SuspectRecord(crashes, quarantine, get(data, 'era', int))
    except (ValueError, InvalidField, TypeError):
        return SuspectRecord((), {}, UNREADABLE_ERA)


def _decode_crash(row: Any) -> RecordedCrash:
    requests = get(row, 'requests', dict)
    sent_before_s = get(row, 'sent_before_s', dict)
    return RecordedCrash(
        EndpointId(get(row, 'endpoint', str)), get(row, 'age_s', float), {
            Suspect(request):
                tuple(
                    Suspect(str(part)) for part in get_list(requests, request))
            for request in requests
        }, {
            Suspect(suspect): get(sent_before_s, suspect, float)
            for suspect in sent_before_s
        })


def encode_suspects(record: SuspectRecord) -> bytes:
    """Encode the record of suspects, as it is appended."""
    crashes = [{
        'endpoint': each.endpoint,
        'age_s': round(each.age_s, 3),
        'requests': each.parts_of,
        'sent_before_s': {
            suspect: round(before_s, 3)
            for suspect, before_s in each.sent_before_s.items()
        },
    }
               for each in record.crashes]
    quarantine = {
        suspect: {
            'idle_s': round(each.idle_s, 3),
            'failed_probes': each.failed_probes
        } for suspect, each in record.quarantine.items()
    }
    return json.dumps({
        'era': record.era,
        'crashes': crashes,
        'quarantine': quarantine
    }).encode()
