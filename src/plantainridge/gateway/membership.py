"""Registration of this VM in the metadata store, where peers find it.

The VM's entry is written once and does not expire. A write that failed or was
not answered is repeated; it is idempotent.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import TimerKind, VmEntryWritten
from plantainridge.loop.effects import Effect, LogLine, SetTimer
from plantainridge.loop.events import TimerFired, TimerKey

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Delay before a failed write is retried, in s: an outage of the metadata store
# lasts for seconds, and every call to it is charged for.
RETRY_DELAY_S: Final = 1.0

_VM_ENTRY: Final = TimerKey(TimerKind.VM_ENTRY)


def write_vm_entry(state: 'GatewayState') -> Iterator[Effect]:
    """Write this VM's entry."""
    settings = state.settings
    yield fx.WriteVmEntry(settings.dc, f'{settings.host}:{settings.peer_port}',
                          settings.link_mbps)


def on_vm_entry_written(state: 'GatewayState', event: VmEntryWritten,
                        now: float) -> Iterator[Effect]:
    """Schedule a retry after a write that failed."""
    del state
    if event.reason is None:
        yield LogLine('vm_announced', ())
        return
    yield LogLine('announce_failed', (('reason', event.reason),))
    yield SetTimer(_VM_ENTRY, now + RETRY_DELAY_S)


def on_timer(state: 'GatewayState', event: TimerFired,
             now: float) -> Iterator[Effect]:
    """Write this VM's entry again."""
    del event, now
    yield from write_vm_entry(state)
