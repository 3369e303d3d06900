"""Which engines read which parts of prompts, as far as this VM knows."""

import hashlib
from collections import OrderedDict
from typing import Final

import attrs

from plantainridge.gateway.config import Team
from plantainridge.gateway.events import Part
from plantainridge.ids import EndpointId, ModelId

# Parts remembered for one engine; the least recently used go first.
MAX_PARTS: Final = 4_096
SALT_BYTES: Final = 8


@attrs.define
class CacheState:
    """What this VM knows that each engine read.

    Attributes:
        read: Salted parts by engine, least recently used first.
    """

    read: dict[EndpointId, OrderedDict[str, int]] = attrs.field(factory=dict)

    def record_prefill(self, endpoint: EndpointId, salt: str,
                       parts: tuple[Part, ...]) -> None:
        """Remembers that an engine has read a prompt's parts."""
        known = self.read.setdefault(endpoint, OrderedDict())
        for part, key in zip(parts, part_keys(salt, parts)):
            known[key] = part.tokens
            known.move_to_end(key)
        while len(known) > MAX_PARTS:
            known.popitem(last=False)

    def count_cached_parts(self, endpoint: EndpointId, keys: tuple[str,
                                                                   ...]) -> int:
        """Returns how many leading parts an engine has read, by their keys."""
        known = self.read.get(endpoint)
        if known is None:
            return 0
        for count, key in enumerate(keys):
            if key not in known:
                return count
        return len(keys)

    def forget(self, endpoint: EndpointId) -> None:
        """Forgets an engine that is gone or begins anew."""
        self.read.pop(endpoint, None)


def make_salt(model: ModelId, version: int | None, team: Team | None) -> str:
    """Names who may share parts: one version, and one team if isolated.

    The version stands in front so that parts of replaced weights are known.
    """
    owner = team.name if team is not None and team.isolated else ''
    digest = hashlib.blake2b(f'{model}/{owner}'.encode(),
                             digest_size=SALT_BYTES)
    return f'{version or 0}.{digest.hexdigest()}'


def salt_version(salt: str) -> int | None:
    """Returns the version that a salt names, or None if it names none."""
    version = salt.partition('.')[0]
    return int(version) if version.isdecimal() else None


def context_id(parts: tuple[Part, ...]) -> str:
    """Names what a prompt shares with others: its last part but one."""
    return parts[-2].id if len(parts) > 1 else ''


def affinity(endpoint: EndpointId, parts: tuple[Part, ...]) -> int:
    """Ranks engines for a prompt, the same way on every VM."""
    text = f'{endpoint}/{context_id(parts)}'
    digest = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def part_keys(salt: str, parts: tuple[Part, ...]) -> tuple[str, ...]:
    """Names a prompt's parts under a salt."""
    return tuple(f'{salt}/{part.id}' for part in parts)
