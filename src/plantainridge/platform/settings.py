"""Reader of the settings file that the platform writes for a process."""

import math
import tomllib
from collections.abc import Mapping
from typing import Any

import attrs

from plantainridge.gateway.settings import (DEFAULT_LINK_MBPS, Bounds,
                                            GatewaySettings, InvalidSetting)
from plantainridge.ids import DcId, VmId
from plantainridge.platform import names
from plantainridge.platform.fields import InvalidField, get, get_or

SETTINGS_PATH_VARIABLE = 'PLANTAINRIDGE_CONFIG'
MS_PER_S = 1_000.0


def read(path: str) -> GatewaySettings | InvalidSetting:
    """Read the settings file and check its fields."""
    try:
        with open(path, 'rb') as file:
            data = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        return InvalidSetting(path, str(error), 'a readable TOML file')
    try:
        return _decode(data)
    except InvalidField as invalid:
        return InvalidSetting(invalid.field, str(data.get(invalid.field)),
                              invalid.expected)


def _decode(data: Mapping[str, Any]) -> GatewaySettings:
    platform = get(data, 'platform', dict)
    listen_addresses = get(data, 'listen-addresses', dict)
    ports = get(data, 'internal-port-range', list)
    if len(ports) != 2 or not all(isinstance(each, int) for each in ports):
        raise InvalidField('internal-port-range', 'two port numbers')
    return GatewaySettings(
        vm=VmId(get(data, 'node-name', str)),
        dc=DcId(get(data, 'zone', str)),
        host=get(data, 'ip-address', str),
        callers_address=_get_address(listen_addresses, 'frontend'),
        readiness_address=_get_address(listen_addresses, 'readiness'),
        peer_port=ports[0],
        metrics_port=ports[1],
        store_address=_get_address(platform, 'address'),
        bounds=_decode_bounds(get_or(data, 'bounds', {})),
        link_mbps=get_or(get_or(data, 'limits', {}), 'link-mbps',
                         DEFAULT_LINK_MBPS),
        store_reads_per_s=_reads_per_s(platform),
        tunnel_port=_tunnel_port(*ports),
        has_memory_pressure=(names.CONTRACT_PRESSURE
                             in get_or(data, 'contracts', [])),
        is_first_start=get_or(data, 'bootstrap', False))


def _reads_per_s(platform: Mapping[str, Any]) -> float:
    """Return the store's limit on reads, or inf if none is stated."""
    reads_per_s = get_or(platform, 'reads-per-s', math.inf)
    if not reads_per_s > 0.0:
        raise InvalidField('reads-per-s', 'above 0')
    return reads_per_s


def _tunnel_port(first: int, last: int) -> int:
    """Return the port between that of peers and that of metrics, or 0."""
    return first + 1 if first + 1 < last else 0


def _decode_bounds(data: Mapping[str, Any]) -> Bounds:
    default = Bounds()
    values = {
        'drain_s':
            get_or(data, 'drain-ms', default.drain_s * MS_PER_S) / MS_PER_S,
        'grace_s':
            get_or(data, 'grace-period-s', default.grace_s),
        'apply_s':
            get_or(data, 'configuration-apply-ms', default.apply_s * MS_PER_S) /
            MS_PER_S,
        'version_s':
            get_or(data, 'version-ms', default.version_s * MS_PER_S) / MS_PER_S,
        'lease_s':
            get_or(data, 'lease-ms', default.lease_s * MS_PER_S) / MS_PER_S,
        'retry_ratio':
            get_or(data, 'retry-budget-ratio', default.retry_ratio),
        'retry_slack':
            get_or(data, 'retry-budget-slack', default.retry_slack),
        'retry_window_s':
            get_or(data, 'budget-window-s', default.retry_window_s),
        'cold_overrun':
            get_or(data, 'cold-overrun', default.cold_overrun),
        'cold_slack':
            get_or(data, 'cold-slack', default.cold_slack),
        'evacuation_s':
            get_or(data, 'evacuation-ms', default.evacuation_s * MS_PER_S) /
            MS_PER_S,
    }
    return attrs.evolve(default, **values)


def _get_address(data: Mapping[str, Any], field: str) -> str:
    address = get(data, field, str)
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        raise InvalidField(field, 'IP:PORT')
    return address
