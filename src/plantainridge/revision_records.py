"""Encoding of the configuration stream's records.

A record has a head, one line of JSON, and a body, zlib-compressed JSON. A
change or a checkpoint that is too large for one record is split into parts,
which are appended at consecutive offsets.
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
                                       Table, item_key, items)

PART_ITEMS: Final = 1_000
MAX_BODY_BYTES: Final = 16 << 20
# Longest change or checkpoint that readers assemble, in parts.
MAX_PARTS: Final = 1_000
COMPRESSION_LEVEL: Final = 1

_CONVERTER: Final = make_converter()
_DECODE_ERRORS: Final = (ValueError, KeyError, TypeError, zlib.error,
                         RecursionError, cattrs.BaseValidationError)


@attrs.frozen
class ChangeHead:
    """Head of one part of a proposed revision.

    Attributes:
        group: Id of the proposal, shared by its parts and by resends.
        part: Index of this part, from 0.
        parts: Number of parts of the proposal.
        base: Revision that the proposal was made from.
        whole: Whether the proposal replaces the entire configuration.
    """

    group: str
    part: int
    parts: int
    base: int
    whole: bool = False


@attrs.frozen
class CheckpointHead:
    """Head of one part of a checkpoint, a complete configuration.

    Attributes:
        group: Id of the checkpoint, shared by its parts.
        part: Index of this part, from 0.
        parts: Number of parts of the checkpoint.
        revision: The revision in force.
        next: Offset of the first record that the checkpoint does not cover.
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
    """A record that no reader can decode and that has no effect.

    Attributes:
        offset: The record's offset in the log.
        detail: Type of the error.
    """

    offset: int
    detail: str


class InvalidRecord(Exception):
    """A head or body that cannot be decoded; the text names the error type."""


def encode_change(group: str,
                  base: int,
                  difference: Difference,
                  whole: bool = False,
                  part_items: int = PART_ITEMS) -> tuple[bytes, ...]:
    """Return the payloads of a proposal, to be appended in one call.

    Args:
        group: Id of the proposal.
        base: Revision that the proposal was made from.
        difference: Items to put and to drop.
        whole: Whether the proposal replaces the entire configuration.
        part_items: Most items put by one part.
    """
    bodies = list(_bodies(difference.puts, difference.drops, part_items))
    return tuple(
        _payload(ChangeHead(group, part, len(bodies), base, whole), body)
        for part, body in enumerate(bodies))


def encode_checkpoint(group: str, config: Config,
                      next_offset: int) -> Iterator[bytes]:
    """Yield the payloads of a checkpoint, to be appended in one call.

    Args:
        group: Id of the checkpoint.
        config: The configuration in force.
        next_offset: Offset of the first record not covered.
    """
    for part, parts, body in encode_config_parts(config):
        yield _payload(
            CheckpointHead(group, part, parts, config.revision, next_offset),
            body)


def encode_config_parts(config: Config) -> Iterator[tuple[int, int, bytes]]:
    """Yield each part of a configuration: index, number of parts, body."""
    count = sum(1 for _ in items(config))
    parts = max(1, -(-count // PART_ITEMS))
    for part, body in enumerate(_bodies(items(config), (), PART_ITEMS)):
        yield part, parts, body


def _bodies(puts: Iterable[Item], drops: tuple[ItemKey, ...],
            part_items: int) -> Iterator[bytes]:
    remaining = iter(puts)
    chunk = list(islice(remaining, part_items))
    while True:
        next_chunk = list(islice(remaining, part_items))
        yield _body(chunk, () if next_chunk else drops)
        if not next_chunk:
            return
        chunk = next_chunk


def _body(puts: list[Item], drops: tuple[ItemKey, ...]) -> bytes:
    raw = {
        'put': [[item_key(item).table.value,
                 _CONVERTER.unstructure(item)] for item in puts],
        'drop': [[key.table.value, key.name] for key in drops],
    }
    text = json.dumps(raw, separators=(',', ':'))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def _payload(head: Head, body: bytes) -> bytes:
    raw = {'kind': _HEAD_KINDS[type(head)]} | _CONVERTER.unstructure(head)
    return json.dumps(raw, separators=(',', ':')).encode() + b'\n' + body


def decode_head(payload: bytes) -> Head:
    """Decode the head of a record.

    Raises:
        InvalidRecord: The head is malformed or its part number out of range.
    """
    try:
        raw = json.loads(payload.partition(b'\n')[0])
        head: Head = _CONVERTER.structure(raw, _HEADS[raw['kind']])
    except _DECODE_ERRORS as error:
        raise InvalidRecord(type(error).__name__) from error
    if not 0 <= head.part < head.parts <= MAX_PARTS:
        raise InvalidRecord('PartNumber')
    return head


def decode_body(body: bytes) -> Difference:
    """Decode the body of a record.

    Raises:
        InvalidRecord: The body is malformed, or longer than `MAX_BODY_BYTES`
            when decompressed.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(body, MAX_BODY_BYTES)
        if not decompressor.eof:
            raise InvalidRecord('TooLarge')
        raw = json.loads(text)
        puts = tuple(
            _CONVERTER.structure(value, ITEM_TYPES[Table(table)])
            for table, value in raw['put'])
        drops = tuple(
            ItemKey(Table(table), str(name)) for table, name in raw['drop'])
    except _DECODE_ERRORS as error:
        raise InvalidRecord(type(error).__name__) from error
    return Difference(puts, drops)


def body_bytes(payload: bytes) -> bytes:
    """Return the body of a record, still encoded."""
    return payload.partition(b'\n')[2]
