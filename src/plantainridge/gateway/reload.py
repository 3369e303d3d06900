"""Takes in settings that changed while the process runs."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

import attrs

from plantainridge.gateway.events import SettingsRead
from plantainridge.gateway.settings import InvalidSetting
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Changed only by a new process: it listens on these, or is named by them.
FIXED = ('vm', 'dc', 'host', 'callers_address', 'readiness_address',
         'peer_port', 'metrics_port', 'store_address')


def on_settings(state: 'GatewayState', event: SettingsRead,
                now: float) -> Iterator[Effect]:
    """Uses new bounds at once; keeps the old settings if these are bad."""
    del now
    if isinstance(event.settings, InvalidSetting):
        yield LogLine('settings_refused', (('reason', str(event.settings)),))
        return
    kept = {name: getattr(state.settings, name) for name in FIXED}
    wanted = {name: getattr(event.settings, name) for name in FIXED}
    state.settings = attrs.evolve(event.settings, **kept)
    state.retries.bounds = state.settings.bounds
    yield LogLine('settings_taken', (('needs_restart', ','.join(
        name for name in FIXED if kept[name] != wanted[name])),))
