"""Prompt parts that each engine probably has in its KV cache."""

import hashlib
from collections import OrderedDict
from typing import Final

import attrs

from plantainridge.gateway.config import Team
from plantainridge.gateway.events import Part
from plantainridge.ids import EndpointId, ModelId

# Parts recorded for one engine; the least recently used are dropped first.
MAX_PARTS_PER_ENGINE: Final = 4_096
SALT_BYTES: Final = 8


@attrs.define
class CacheState:
    """Prompt parts that engines computed for requests of this VM.

    Attributes:
        parts: Tokens of each salted part by engine, least recently used first.
    """

    parts: dict[EndpointId, OrderedDict[str, int]] = attrs.field(factory=dict)

    def record_prefill(self, endpoint: EndpointId, salt: str,
                       parts: tuple[Part, ...]) -> None:
        """Record that an engine has computed a prompt's parts."""
        cached = self.parts.setdefault(endpoint, OrderedDict())
        for part, key in zip(parts, part_keys(salt, parts)):
            cached[key] = part.tokens
            cached.move_to_end(key)
        while len(cached) > MAX_PARTS_PER_ENGINE:
            cached.popitem(last=False)

    def count_cached_parts(self, endpoint: EndpointId, keys: tuple[str,
                                                                   ...]) -> int:
        """Return the number of leading parts that an engine has computed."""
        cached = self.parts.get(endpoint)
        if cached is None:
            return 0
        for count, key in enumerate(keys):
            if key not in cached:
                return count
        return len(keys)

    def forget(self, endpoint: EndpointId) -> None:
        """Discard the state of an engine that was removed or restarted."""
        self.parts.pop(endpoint, None)


@attrs.frozen
class SaltFields:
    """Fields of a salt, which hold for all parts under it.

    Attributes:
        version: Weight version of the parts; 0 if unknown.
        model_digest: Digest of the model's name.
    """

    version: int
    model_digest: str


def make_salt(model: ModelId, version: int | None, team: Team | None) -> str:
    """Return the salt that separates prompts that must not share parts.

    Parts are shared within one weight version of a model, and within one team
    if it is isolated. The salt starts with version and model, so that parts of
    replaced weights can be recognized.
    """
    salt = f'{version or 0}.{model_digest(model)}'
    if team is not None and team.isolated:
        salt += f'.{_digest(team.name)}'
    return salt


def parse_salt(salt: str) -> SaltFields | None:
    """Return the fields of a salt, or None if it is of another form."""
    version, _, rest = salt.partition('.')
    if not version.isdecimal():
        return None
    return SaltFields(int(version), rest.partition('.')[0])


def model_digest(model: ModelId) -> str:
    """Return the digest by which salts name a model."""
    return _digest(model)


def _digest(name: str) -> str:
    return hashlib.blake2b(name.encode(), digest_size=SALT_BYTES).hexdigest()


def context_id(parts: tuple[Part, ...]) -> str:
    """Return the id of the last shared part, the last but one, or ''."""
    return parts[-2].id if len(parts) > 1 else ''


def affinity(endpoint: EndpointId, parts: tuple[Part, ...]) -> int:
    """Return a rendezvous hash of engine and prompt, the same on every VM."""
    text = f'{endpoint}/{context_id(parts)}'
    digest = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def part_keys(salt: str, parts: tuple[Part, ...]) -> tuple[str, ...]:
    """Return the cache keys of a prompt's parts under a salt."""
    return tuple(f'{salt}/{part.id}' for part in parts)
