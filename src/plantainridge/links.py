"""What this VM knows of each store's limited link."""

from collections.abc import Mapping
from typing import Final

import attrs

from plantainridge.config import Store
from plantainridge.events import StoreLoadReported
from plantainridge.ids import StoreId, TransferId

# Weight of the newest observed rate against the earlier ones.
RATE_WEIGHT: Final = 0.3
# Time before the first byte of a transfer, in s.
START_S: Final = 0.005
# How long a store that failed a transfer is left alone, in s.
DOWN_S: Final = 10.0


@attrs.define
class LinkView:
    """One store's link as seen from this VM.

    Attributes:
        bytes_per_s: Rate that it is believed to move now.
        transfers: Transfers on it, of all VMs, as last reported.
        queued_bytes: Bytes of these that had yet to move.
        queued_at: Loop time of that report, in s.
        own: Bytes yet to move of this VM's transfers.
        down_until: Loop time until which no transfer is started, in s.
    """

    bytes_per_s: float
    transfers: int = 0
    queued_bytes: float = 0.0
    queued_at: float = 0.0
    own: dict[TransferId, int] = attrs.field(factory=dict)
    down_until: float = 0.0

    def record_report(self, report: StoreLoadReported) -> None:
        """Takes in a store's report; it counts this VM's transfers too."""
        if report.measured_at < self.queued_at:
            return
        self.queued_at = report.measured_at
        self.transfers = report.transfers
        self.queued_bytes = float(report.queued_bytes)
        if report.bytes_per_s > 0:
            self.bytes_per_s = report.bytes_per_s

    def note_moved(self, moved_bytes: int, took_s: float) -> None:
        """Learns the rate from a transfer of this VM that had it alone."""
        if took_s <= 0 or moved_bytes <= 0:
            return
        self.bytes_per_s += RATE_WEIGHT * (moved_bytes / took_s -
                                           self.bytes_per_s)

    def waiting_bytes(self, now: float) -> float:
        """Estimates the bytes that a new transfer shares the link with."""
        drained = (now - self.queued_at) * self.bytes_per_s
        reported = max(0.0, self.queued_bytes - drained)
        return max(reported, float(sum(self.own.values())))

    def estimate_transfer_s(self, size_bytes: int, now: float) -> float:
        """Estimates how long a new transfer takes, in s.

        Running transfers share the link evenly, so that each other one delays
        a new one by no more than the new one's own size.
        """
        others = max(self.transfers, len(self.own))
        shared = min(self.waiting_bytes(now), float(size_bytes) * others)
        return START_S + (size_bytes + shared) / self.bytes_per_s


class LinkTable:
    """Links by store.

    Attributes:
        block_bytes: Size of a stored block, as last seen; 0 if unknown.
    """

    def __init__(self) -> None:
        self.links: dict[StoreId, LinkView] = {}
        self.source: Mapping[StoreId, Store] | None = None
        self.block_bytes = 0

    def add_configured(self, stores: Mapping[StoreId, Store]) -> None:
        """Adds the links of all configured stores when these change."""
        if stores is self.source:
            return
        self.source = stores
        for store in stores.values():
            self.add(store.id, store.link_bytes_per_s)

    def add(self, store: StoreId, bytes_per_s: float) -> None:
        """Adds a store's link with its configured rate, once."""
        self.links.setdefault(store, LinkView(bytes_per_s))

    def usable(self, store: StoreId, now: float) -> LinkView | None:
        """Returns a link on which transfers may start, if it is one."""
        link = self.links.get(store)
        if link is None or now < link.down_until:
            return None
        return link
