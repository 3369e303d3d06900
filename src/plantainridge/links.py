"""Load and rate of each store's network link, as this VM knows them."""

from collections.abc import Mapping
from typing import Final

import attrs

from plantainridge.config import Store
from plantainridge.events import StoreLoadReported
from plantainridge.ids import StoreId, TransferId

# Weight of the newest rate in the exponentially weighted average.
SAMPLE_WEIGHT: Final = 0.3
# Time until a transfer moves its first byte, in s.
TRANSFER_SETUP_S: Final = 0.005
# Time without new transfers after a store was unreachable, in s.
COOLDOWN_S: Final = 10.0


@attrs.define
class LinkView:
    """One store's link as seen from this VM.

    Attributes:
        bytes_per_s: Estimated rate of the link.
        transfers: Transfers of all VMs in progress, as last reported.
        queued_bytes: Bytes of these that remained to be sent.
        queued_at: Loop time of that report's measurement, in s.
        own_bytes: Size of each of this VM's running transfers.
        cooldown_until: Loop time until which no transfer is started, in s.
    """

    bytes_per_s: float
    transfers: int = 0
    queued_bytes: float = 0.0
    queued_at: float = 0.0
    own_bytes: dict[TransferId, int] = attrs.field(factory=dict)
    cooldown_until: float = 0.0

    def record_report(self, report: StoreLoadReported) -> None:
        """Apply a store's report, which includes this VM's transfers.

        A report measured before the last one is ignored.
        """
        if report.measured_at < self.queued_at:
            return
        self.queued_at = report.measured_at
        self.transfers = report.transfers
        self.queued_bytes = float(report.queued_bytes)
        if report.bytes_per_s > 0:
            self.bytes_per_s = report.bytes_per_s

    def record_transfer(self, moved_bytes: int, duration_s: float) -> None:
        """Update the rate from a transfer that had the link to itself."""
        if duration_s <= 0 or moved_bytes <= 0:
            return
        self.bytes_per_s += SAMPLE_WEIGHT * (moved_bytes / duration_s -
                                             self.bytes_per_s)

    def pending_bytes(self, now: float) -> float:
        """Estimate the bytes that running transfers have yet to move."""
        moved_since_report = (now - self.queued_at) * self.bytes_per_s
        reported = max(0.0, self.queued_bytes - moved_since_report)
        return max(reported, float(sum(self.own_bytes.values())))

    def estimate_transfer_s(self, size_bytes: int, now: float) -> float:
        """Estimate the duration of a new transfer, in s.

        Transfers share the link evenly, so each running one delays a new one
        by at most the time to move the new one's own size.
        """
        other_transfers = max(self.transfers, len(self.own_bytes))
        competing_bytes = min(self.pending_bytes(now),
                              float(size_bytes) * other_transfers)
        return TRANSFER_SETUP_S + (size_bytes +
                                   competing_bytes) / self.bytes_per_s


class LinkTable:
    """Links of all stores.

    Attributes:
        links: Link of each store.
        configured: Stores whose links were added last.
        block_bytes: Size of a stored block in the last transfer; 0 if unknown.
    """

    def __init__(self) -> None:
        self.links: dict[StoreId, LinkView] = {}
        self.configured: Mapping[StoreId, Store] | None = None
        self.block_bytes = 0

    def add_configured(self, stores: Mapping[StoreId, Store]) -> None:
        """Add the links of the configured stores if these have changed."""
        if stores is self.configured:
            return
        self.configured = stores
        for store in stores.values():
            self.add(store.id, store.link_bytes_per_s)

    def add(self, store: StoreId, bytes_per_s: float) -> None:
        """Add a store's link with its configured rate unless it is known."""
        self.links.setdefault(store, LinkView(bytes_per_s))

    def usable(self, store: StoreId, now: float) -> LinkView | None:
        """Return a store's link if transfers may start on it, or None."""
        link = self.links.get(store)
        if link is None or now < link.cooldown_until:
            return None
        return link
