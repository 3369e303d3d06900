"""Decodes the store's records and what stands in them."""

import base64
import json
from collections.abc import Iterator
from typing import Any

import attrs

from plantainridge.gateway.endpoints import EndpointEntry
from plantainridge.gateway.events import (EndpointRemoved, InvalidRecord,
                                          LeaseRecord, NamedVersion, RawRecord,
                                          View, ViewUpdate, VmEntry)
from plantainridge.gateway.settings import DEFAULT_LINK_MBPS
from plantainridge.ids import (DcId, EndpointId, Incarnation, ModelId,
                               ServiceId, VmId)
from plantainridge.platform import configuration, names
from plantainridge.platform.fields import InvalidField, get, get_list, get_or

RECORD_LENGTH_BYTES = 4
OFFSET_BYTES = 8


@attrs.frozen
class Page:
    """Records as the store returns them.

    Attributes:
        next: Offset from which to read on.
    """

    records: tuple[RawRecord, ...]
    next: int


def decode_log(data: bytes, start: int) -> Page:
    """Decodes records of a keyed topic that were read from an offset.

    Raises:
        InvalidField: The bytes end within a record.
    """
    if len(data) < 2 * OFFSET_BYTES:
        raise InvalidField('end', 'there')
    records = tuple(_records(data, 2 * OFFSET_BYTES))
    return Page(records, start + len(records))


def _records(data: bytes, at: int) -> Iterator[RawRecord]:
    while at < len(data):
        size = int.from_bytes(data[at:at + RECORD_LENGTH_BYTES], 'big')
        at += RECORD_LENGTH_BYTES
        content = data[at:at + size]
        if len(content) < size or not content:
            raise InvalidField('record', 'whole')
        at += size
        split = 1 + content[0]
        key = content[1:split].decode(errors='replace')
        yield RawRecord(key, content[split:] or None)


def encode_keyed(key: str, value: bytes) -> bytes:
    """Returns a record of a keyed topic as it is appended."""
    content = bytes([len(key.encode())]) + key.encode() + value
    return len(content).to_bytes(RECORD_LENGTH_BYTES, 'big') + content


def decode_newest(data: Any) -> tuple[Page, bool]:
    """Decodes a page of the newest records, and whether more follow.

    Raises:
        InvalidField: A field is missing or of another type.
    """
    records = tuple(
        RawRecord(get(each, 'key', str),
                  base64.b64decode(get_or(each, 'value', '')) or None)
        for each in get_list(data, 'items'))
    return Page(records, get(data, 'end', int)), get_or(data, 'has-more', False)


def decode_update(view: View, record: RawRecord) -> ViewUpdate:
    """Decodes one record of a view; a strange one names nothing."""
    try:
        if view is View.OPERATOR:
            return _operator_news(record)
        if view is View.REGISTRY:
            if record.value is None:
                return EndpointRemoved(EndpointId(record.key))
            return _endpoint(record.key, json.loads(record.value))
        return _vm(record)
    except (ValueError, InvalidField, AttributeError, TypeError) as error:
        return InvalidRecord(record.key, str(error))


def _operator_news(record: RawRecord) -> ViewUpdate:
    if record.value is None:
        return InvalidRecord(record.key, 'it was dropped')
    data = json.loads(record.value)
    if record.key == names.CONFIGURATION_KEY:
        return configuration.decode(data)
    if record.key.startswith(names.VERSION_KEY_PREFIX):
        return NamedVersion(ModelId(get(data, 'model', str)),
                            get(data, 'version', int))
    return InvalidRecord(record.key, 'the key is not known')


def _endpoint(key: str, data: Any) -> EndpointEntry:
    state = get(data, 'state', str)
    if state not in (names.STATE_READY, names.STATE_DRAINING):
        raise InvalidField('state', 'ready or draining')
    address = get(data, 'address', str)
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        raise InvalidField('address', 'IP:PORT')
    return EndpointEntry(id=EndpointId(key),
                         service=ServiceId(get(data, 'service', str)),
                         address=address,
                         dc=DcId(get(data, 'zone', str)),
                         slots=get(data, 'slots', int),
                         draining=state == names.STATE_DRAINING,
                         started_ms=get_or(data, 'born', 0),
                         orders=get_or(data, 'sequence', 0),
                         versions=decode_models(data))


def decode_models(data: Any) -> dict[ModelId, int]:
    """Returns the weight version of each model that an engine names.

    Raises:
        InvalidField: A field is missing or of another type.
    """
    return {
        ModelId(get(each, 'name', str)): get(each, 'version', int)
        for each in get_list(data, 'models')
    }


def _vm(record: RawRecord) -> ViewUpdate:
    if record.value is None:
        return InvalidRecord(record.key, 'it was dropped')
    data = json.loads(record.value)
    return VmEntry(VmId(record.key), get(data, 'dc', str),
                   get(data, 'address', str),
                   get_or(data, 'link_mbps', DEFAULT_LINK_MBPS))


def encode_vm(dc: str, address: str, link_mbps: float) -> bytes:
    """Returns a VM's own entry."""
    return json.dumps({
        'dc': dc,
        'address': address,
        'link_mbps': link_mbps
    }).encode()


def decode_lease(record: RawRecord) -> LeaseRecord:
    """Decodes the lease's record.

    Raises:
        InvalidField: A field is missing or of another type.
        ValueError: It is no JSON.
    """
    data = json.loads(record.value or b'')
    return LeaseRecord(VmId(get(data, 'holder', str)),
                       Incarnation(get(data, 'life', str)),
                       get(data, 'term', int))


def encode_lease(record: LeaseRecord) -> bytes:
    """Returns the lease's record as it is appended."""
    return json.dumps({
        'holder': record.holder,
        'life': record.incarnation,
        'term': record.term
    }).encode()
