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
    """What this VM sent to each engine.

    Attributes:
        read: Salted parts by engine, least recently used first.
    """

    read: dict[EndpointId, OrderedDict[str, int]] = attrs.field(factory=dict)

    def note_sent(self, endpoint: EndpointId, salt: str,
                  parts: tuple[Part, ...]) -> None:
        """Remembers that an engine reads a prompt's parts."""
        known = self.read.setdefault(endpoint, OrderedDict())
        for part in parts:
            known[_key(salt, part)] = part.tokens
            known.move_to_end(_key(salt, part))
        while len(known) > MAX_PARTS:
            known.popitem(last=False)

    def held_tokens(self, endpoint: EndpointId, salt: str,
                    parts: tuple[Part, ...]) -> int:
        """Returns the tokens of the leading parts that an engine read."""
        known = self.read.get(endpoint)
        tokens = 0
        for part in parts if known else ():
            if known is None or _key(salt, part) not in known:
                break
            tokens += part.tokens
        return tokens

    def forget(self, endpoint: EndpointId) -> None:
        """Forgets an engine that is gone or begins anew."""
        self.read.pop(endpoint, None)


def salt_of(model: ModelId, version: int | None, team: Team | None) -> str:
    """Names who may share parts: one version, and one team if isolated.

    The version stands in front so that parts of replaced weights are known.
    """
    owner = team.name if team is not None and team.isolated else ''
    digest = hashlib.blake2b(f'{model}/{owner}'.encode(),
                             digest_size=SALT_BYTES)
    return f'{version or 0}.{digest.hexdigest()}'


def version_of(salt: str) -> int | None:
    """Returns the version that a salt names, or None if it names none."""
    version = salt.partition('.')[0]
    return int(version) if version.isdecimal() else None


def affinity(endpoint: EndpointId, parts: tuple[Part, ...]) -> int:
    """Ranks engines for a prompt, the same way on every VM."""
    shared = parts[-2].id if len(parts) > 1 else ''.join(p.id for p in parts)
    digest = hashlib.blake2b(f'{endpoint}/{shared}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def _key(salt: str, part: Part) -> str:
    return f'{salt}/{part.id}'
