"""Bytes of the configuration stream's records.

A record is one line of JSON, its head, and compressed JSON, its body. A
change or a checkpoint that is too large for one record is cut into parts,
which stand at consecutive offsets.
"""

import json
import zlib
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any, Final

import attrs
import cattrs
from cattrs.preconf.json import make_converter

from plantainridge.config import Config
from plantainridge.differences import (ITEM_TYPES, Difference, Item, ItemKey,
                                       Table, items, key_of)

PART_ITEMS: Final = 1_000
MAX_BODY_BYTES: Final = 16 << 20
# Longest group that is put together, in parts.
MAX_PARTS: Final = 1_000
COMPRESSION_LEVEL: Final = 1

_CONVERTER: Final = make_converter()
_UNREADABLE: Final = (ValueError, KeyError, TypeError, zlib.error,
                      RecursionError, cattrs.BaseValidationError)


@attrs.frozen
class ChangeHead:
    """Head of a part of a proposed revision.

    Attributes:
        group: Names the proposal; its parts and resends share it.
        base: Revision that it was made from.
        whole: Whether everything else is dropped first.
    """

    group: str
    part: int
    parts: int
    base: int
    whole: bool = False


@attrs.frozen
class CheckpointHead:
    """Head of a part of a whole configuration.

    Attributes:
        revision: The revision in force.
        next: Offset up to which records were taken in; read on from there.
    """

    group: str
    part: int
    parts: int
    revision: int
    next: int


Head = ChangeHead | CheckpointHead
_HEADS: Final[dict[str, type[Any]]] = {
    'change': ChangeHead,
    'checkpoint': CheckpointHead,
}
_HEAD_KINDS: Final = {kind: name for name, kind in _HEADS.items()}


@attrs.frozen
class SkippedRecord:
    """Says why a record of the log is no revision."""

    offset: int
    detail: str


class InvalidRecord(Exception):
    """Bytes that are no head or no body; the text says of what type."""


def encode_change(group: str,
                  base: int,
                  difference: Difference,
                  whole: bool = False,
                  part_items: int = PART_ITEMS) -> tuple[bytes, ...]:
    """Returns the payloads of a proposal, to be appended together."""
    bodies = list(_bodies(difference.puts, difference.drops, part_items))
    return tuple(
        _payload(ChangeHead(group, part, len(bodies), base, whole), body)
        for part, body in enumerate(bodies))


def encode_checkpoint(group: str, config: Config,
                      read_on: int) -> Iterator[bytes]:
    """Yields the payloads of a checkpoint, to be appended together."""
    for part, parts, body in encode_config_parts(config):
        yield _payload(
            CheckpointHead(group, part, parts, config.revision, read_on), body)


def encode_config_parts(config: Config) -> Iterator[tuple[int, int, bytes]]:
    """Yields part, number of parts and body of a whole configuration."""
    count = sum(1 for _ in items(config))
    parts = max(1, -(-count // PART_ITEMS))
    for part, body in enumerate(_bodies(items(config), (), PART_ITEMS)):
        yield part, parts, body


def _bodies(puts: Iterable[Item], drops: tuple[ItemKey, ...],
            part_items: int) -> Iterator[bytes]:
    rest = iter(puts)
    chunk = list(islice(rest, part_items))
    while True:
        following = list(islice(rest, part_items))
        yield _body(chunk, () if following else drops)
        if not following:
            return
        chunk = following


def _body(puts: list[Item], drops: tuple[ItemKey, ...]) -> bytes:
    raw = {
        'put': [[key_of(item).table.value,
                 _CONVERTER.unstructure(item)] for item in puts],
        'drop': [[key.table.value, key.name] for key in drops],
    }
    text = json.dumps(raw, separators=(',', ':'))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def _payload(head: Head, body: bytes) -> bytes:
    raw = {'kind': _HEAD_KINDS[type(head)]} | _CONVERTER.unstructure(head)
    return json.dumps(raw, separators=(',', ':')).encode() + b'\n' + body


def decode_head(payload: bytes) -> Head:
    """Reads a record's head.

    Raises:
        Unreadable: There is none.
    """
    try:
        raw = json.loads(payload.partition(b'\n')[0])
        head: Head = _CONVERTER.structure(raw, _HEADS[raw['kind']])
    except _UNREADABLE as error:
        raise InvalidRecord(type(error).__name__) from error
    if not 0 <= head.part < head.parts <= MAX_PARTS:
        raise InvalidRecord('PartNumber')
    return head


def decode_body(body: bytes) -> Difference:
    """Reads a body.

    Raises:
        Unreadable: It is none, or too large.
    """
    try:
        inflater = zlib.decompressobj()
        text = inflater.decompress(body, MAX_BODY_BYTES)
        if not inflater.eof:
            raise InvalidRecord('TooLarge')
        raw = json.loads(text)
        puts = tuple(
            _CONVERTER.structure(value, ITEM_TYPES[Table(table)])
            for table, value in raw['put'])
        drops = tuple(
            ItemKey(Table(table), str(name)) for table, name in raw['drop'])
    except _UNREADABLE as error:
        raise InvalidRecord(type(error).__name__) from error
    return Difference(puts, drops)


def body_bytes(payload: bytes) -> bytes:
    """Returns the body's bytes of a record."""
    return payload.partition(b'\n')[2]
