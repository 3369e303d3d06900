"""Independent record of what ran and of who read each cache block."""

from collections import Counter

import attrs

from plantainridge.ids import BlockKey, RequestId


@attrs.frozen
class Owner:
    """Whose block it is: what must be equal for a read to be allowed.

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
    """A block read by a request that it does not belong to."""

    key: BlockKey
    computed_for: Owner
    read_by: Owner


@attrs.frozen
class RunOnceCall:
    """A call that must run at most once, as its caller names it."""

    team: str
    service: str
    key: str


@attrs.define
class Audit:
    """Shared by all stand-ins of one world.

    Attributes:
        started: Requests for which an endpoint did any work.
        runs: How often each marked call ran, over all requests for it.
        unsafe: Reads of blocks that were freed or not committed, in words.
        owners: Owner of each block at the time that it was last computed.
        foreign: Reads that no owner may make.
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
