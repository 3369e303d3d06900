"""Independent record of what ran and which requests read which blocks."""

from collections import Counter

import attrs

from plantainridge.ids import BlockKey, RequestId


@attrs.frozen
class Owner:
    """Owner of a block; a read requires an equal owner.

    Attributes:
        text: The prompt's text up to the end of the block.
    """

    team: str
    model: str
    version: str
    adapter: str
    text: str = attrs.field(repr=False)


@attrs.frozen
class ForeignRead:
    """Read of a block by a request with another owner."""

    key: BlockKey
    computed_for: Owner
    read_by: Owner


@attrs.frozen
class RunOnceCall:
    """Call that must run at most once, as its caller identifies it."""

    team: str
    service: str
    key: str


@attrs.define
class Audit:
    """Record shared by all stand-ins of one world.

    Attributes:
        started: Requests for which an endpoint did any work.
        runs: Number of runs of each run-once call, over all its requests.
        unsafe_reads: Descriptions of reads of freed or uncommitted blocks.
        owners: Owner for which each block was last computed.
        foreign_reads: Reads of blocks by requests with another owner.
    """

    started: set[RequestId] = attrs.field(factory=set)
    runs: Counter[RunOnceCall] = attrs.field(factory=Counter)
    unsafe_reads: list[str] = attrs.field(factory=list)
    owners: dict[BlockKey, Owner] = attrs.field(factory=dict)
    foreign_reads: list[ForeignRead] = attrs.field(factory=list)

    def computed(self, key: BlockKey, owner: Owner) -> None:
        """Record that a block was computed for an owner."""
        self.owners[key] = owner

    def read(self, key: BlockKey, reader: Owner) -> None:
        """Record that a request used a block from a cache."""
        owner = self.owners.get(key)
        if owner is not None and owner != reader:
            self.foreign_reads.append(ForeignRead(key, owner, reader))
