"""Keys of cache blocks: chained hashes, salted by team and weights."""

import hashlib
from collections.abc import Iterator
from typing import Final

from plantainridge.ids import BlockKey, ModelId, TeamId, WeightVersion

BLOCK_TOKENS: Final = 1_000
BYTES_PER_TOKEN: Final = 4
BLOCK_BYTES: Final = BLOCK_TOKENS * BYTES_PER_TOKEN
KEY_BYTES: Final = 16


def salt(team: TeamId, model: ModelId, version: WeightVersion,
         adapter: str) -> bytes:
    """Return a chain's seed, unique to a team, model, version and adapter.

    Each part is prefixed with its length, which keeps the encoding unambiguous.
    """
    digest = hashlib.blake2b(digest_size=32)
    for part in (team, model, version, adapter):
        data = part.encode()
        digest.update(len(data).to_bytes(8, 'big'))
        digest.update(data)
    return digest.digest()


def chain(seed: bytes, text: bytes) -> Iterator[BlockKey]:
    """Yield the key of each complete block of `text`, in order."""
    previous = seed
    for start in range(0, len(text) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = text[start:start + BLOCK_BYTES]
        previous = hashlib.blake2b(block, digest_size=KEY_BYTES,
                                   key=previous).digest()
        yield BlockKey(previous.hex())


def count_tokens(text: bytes) -> int:
    """Estimate the number of tokens in a text from its bytes, rounding up."""
    return -(-len(text) // BYTES_PER_TOKEN)
