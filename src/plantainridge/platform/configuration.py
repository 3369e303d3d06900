"""Decoder of the operators' configuration."""

from typing import Any

from plantainridge.gateway import config
from plantainridge.gateway.config import RequestKind
from plantainridge.ids import ModelId, ServiceId, TeamId
from plantainridge.platform import names
from plantainridge.platform.fields import InvalidField, get, get_list, get_or

MS_PER_S = 1_000.0

_KINDS = {
    names.KIND_IDEMPOTENT: RequestKind.IDEMPOTENT,
    names.KIND_ONCE: RequestKind.ONCE,
    names.KIND_STREAM: RequestKind.STREAM,
}


def decode(data: Any) -> config.Configuration:
    """Decode a configuration.

    Raises:
        InvalidField: A field is missing or has the wrong type.
    """
    teams = None
    if isinstance(data, dict) and data.get('tenants') is not None:
        teams = [_decode_team(entry) for entry in get_list(data, 'tenants')]
    return config.build(
        version=get(data, 'version', int),
        routes=[_decode_route(entry) for entry in get_list(data, 'routes')],
        services=[
            _decode_service(entry) for entry in get_list(data, 'services')
        ],
        teams=teams,
        limits=_decode_limits(data.get('limits') or {}))


def _decode_route(data: Any) -> config.Route:
    kind = _KINDS.get(get(data, 'kind', str))
    if kind is None:
        raise InvalidField('kind', f'one of {sorted(_KINDS)}')
    shares = tuple(
        config.Share(ServiceId(get(entry, 'service', str)),
                     get(entry, 'weight', float))
        for entry in get_list(data, 'traffic-split'))
    if not shares:
        shares = (config.Share(ServiceId(get(data, 'service', str)), 1.0),)
    target_ms = get(data, 'target-latency-ms', float)
    return config.Route(name=get(data, 'name', str),
                        host=get(data, 'host', str),
                        prefix=get(data, 'path-prefix', str),
                        kind=kind,
                        shares=shares,
                        target_s=target_ms / MS_PER_S,
                        timeout_s=get(data, 'timeout-ms', float) / MS_PER_S,
                        gap_s=get_or(data, 'target-gap-ms', 0.0) / MS_PER_S,
                        attempts=get_or(data, 'attempts', 1),
                        priority=get_or(data, 'priority', 0),
                        public=get_or(data, 'public', False),
                        resumable=get_or(data, 'resumable', False))


def _decode_service(data: Any) -> config.Service:
    address = get_or(data, 'cache-store-address', '')
    engine = data.get('engine')
    return config.Service(
        name=ServiceId(get(data, 'name', str)),
        engine=_decode_engine(engine) if engine is not None else None,
        store=_decode_store(data, address) if address else None,
        cold_start_s=get_or(data, 'cold-start-s', 0.0),
        cold_requests_per_s=get_or(data, 'cold-per-s', 0.0))


def _decode_engine(data: Any) -> config.EngineSpec:
    return config.EngineSpec(slots=get_or(data, 'slots', 1),
                             cache_tokens=get_or(data, 'cache-capacity-tokens',
                                                 0),
                             token_bytes=get_or(data, 'token-size-bytes', 0),
                             link_mbps=get_or(data, 'link-mbps', 0.0),
                             models=tuple(
                                 ModelId(get(entry, 'name', str))
                                 for entry in get_list(data, 'models')))


def _decode_store(data: Any, address: str) -> config.StoreSpec:
    return config.StoreSpec(address=address,
                            dc=get_or(data, 'zone', ''),
                            capacity_tokens=get_or(data,
                                                   'cache-capacity-tokens', 0),
                            link_mbps=get_or(data, 'link-mbps', 0.0),
                            setup_s=get_or(data, 'first_ms', 0.0) / MS_PER_S)


def _decode_team(data: Any) -> config.Team:
    return config.Team(name=TeamId(get(data, 'name', str)),
                       keys=frozenset(
                           str(entry) for entry in get_list(data, 'api-keys')),
                       priority=data.get('priority'),
                       isolated=get_or(data, 'isolated', False))


def _decode_limits(data: Any) -> config.CallerLimits:
    default_idle_ms = config.DEFAULT_IDLE_TIMEOUT_S * MS_PER_S
    default_head_ms = config.DEFAULT_HEAD_TIMEOUT_S * MS_PER_S
    return config.CallerLimits(
        head_bytes=get_or(data, 'max-header-bytes', config.DEFAULT_HEAD_BYTES),
        body_bytes=get_or(data, 'max-body-bytes', config.DEFAULT_BODY_BYTES),
        head_timeout_s=get_or(data, 'header-timeout-ms', default_head_ms) /
        MS_PER_S,
        idle_timeout_s=get_or(data, 'idle-timeout-ms', default_idle_ms) /
        MS_PER_S)
