"""Reload of settings while the process runs."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

import attrs

from plantainridge.gateway.events import SettingsRead
from plantainridge.gateway.settings import InvalidSetting
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Settings that take effect only in a new process: it listens on these addresses
# or is identified by these names.
FIXED_SETTINGS = ('vm', 'dc', 'host', 'callers_address', 'readiness_address',
                  'peer_port', 'metrics_port', 'tunnel_port', 'store_address')


def on_settings(state: 'GatewayState', event: SettingsRead,
                now: float) -> Iterator[Effect]:
    """Apply new settings at once, except those that require a restart.

    Invalid settings are logged and change nothing.
    """
    del now
    if isinstance(event.settings, InvalidSetting):
        yield LogLine('settings_refused', (('reason', str(event.settings)),))
        return
    current = {name: getattr(state.settings, name) for name in FIXED_SETTINGS}
    requested = {name: getattr(event.settings, name) for name in FIXED_SETTINGS}
    state.settings = attrs.evolve(event.settings, **current)
    state.retries.bounds = state.settings.bounds
    yield LogLine('settings_taken', (('needs_restart', ','.join(
        name for name in FIXED_SETTINGS if current[name] != requested[name])),))
