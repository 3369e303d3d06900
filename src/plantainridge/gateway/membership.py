"""Makes this VM known to its peers.

Its entry is written once and kept by the metadata store; a write that failed or
had no answer is repeated, which changes nothing if it took effect.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import TimerKind, VmEntryWritten
from plantainridge.loop.effects import Effect, LogLine, SetTimer
from plantainridge.loop.events import TimerFired, TimerKey

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Pause before an entry that was not written is written again, in s: a store
# that is down stays so for seconds, and every call to it is paid for.
RETRY_S: Final = 1.0

_VM_ENTRY: Final = TimerKey(TimerKind.VM_ENTRY)


def write_vm_entry(state: 'GatewayState') -> Iterator[Effect]:
    """Writes this VM's entry."""
    settings = state.settings
    yield fx.WriteVmEntry(settings.dc, f'{settings.host}:{settings.peer_port}',
                          settings.link_mbps)


def on_vm_entry_written(state: 'GatewayState', event: VmEntryWritten,
                        now: float) -> Iterator[Effect]:
    """Tries again after a write that failed."""
    del state
    if event.reason is None:
        yield LogLine('vm_announced', ())
        return
    yield LogLine('announce_failed', (('reason', event.reason),))
    yield SetTimer(_VM_ENTRY, now + RETRY_S)


def on_timer(state: 'GatewayState', event: TimerFired,
             now: float) -> Iterator[Effect]:
    """Writes this VM's entry again."""
    del event, now
    yield from write_vm_entry(state)
