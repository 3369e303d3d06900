"""Binding of requests to a weight version during a rollout.

All blocks of a request belong to the one version that it is bound to. While
some engines still run an old version, contexts move to the new one in
proportion to the engines that run it, each context once.
"""

import hashlib
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from plantainridge import blocks
from plantainridge.calls import Call
from plantainridge.config import Model
from plantainridge.endpoints import UNKNOWN_VERSION
from plantainridge.events import ModelCalled
from plantainridge.ids import EndpointId, ModelId, TeamId, WeightVersion

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Contexts are identified by the first bytes of their prompts.
CONTEXT_PREFIX_BYTES = 256
_HASH_RANGE = 1 << 32


def bind(state: 'VmState', model: Model, team: TeamId, text: bytes,
         now: float) -> Model:
    """Return a model with the version that a new request is bound to.

    Args:
        state: State of the VM.
        model: The model as configured.
        team: Team of the caller.
        text: The prompt; its first bytes identify the context.
        now: Loop time in s.
    """
    engine_counts = _count_running_versions(state, model.id, now)
    new_count = engine_counts.pop(model.version, 0)
    if not engine_counts:
        return model
    old_version, old_count = max(engine_counts.items(),
                                 key=lambda each: (each[1], each[0]))
    if _rollout_position(team, text) * (new_count + old_count) < new_count:
        return model
    return attrs.evolve(model, version=old_version)


def _count_running_versions(state: 'VmState', model: ModelId,
                            now: float) -> Counter[WeightVersion]:
    engines = state.index.engines(state.endpoints, model, state.dc)
    return Counter(view.version
                   for view in engines.by_id.values()
                   if view.version != UNKNOWN_VERSION and view.takes_work(now))


def _rollout_position(team: TeamId, text: bytes) -> float:
    """Return a context's position in a rollout, 0 to 1, equal on every VM."""
    digest = hashlib.blake2b(text[:CONTEXT_PREFIX_BYTES],
                             digest_size=4,
                             key=team.encode()[:64]).digest()
    return int.from_bytes(digest, 'big') / _HASH_RANGE


def rebind_if_needed(state: 'VmState', call: Call, arrival: ModelCalled,
                     now: float) -> ModelCalled:
    """Rebind a request if no remaining engine may run its version.

    Only a request without delivered tokens can be rebound.

    Args:
        state: State of the VM.
        call: The call of the request; updated if the request is rebound.
        arrival: The request.
        now: Loop time in s.

    Returns:
        The request, rebound or unchanged.
    """
    model = state.config.models.get(arrival.model)
    if model is None or call.delivered:
        return arrival
    engines = state.index.engines(state.endpoints, arrival.model, state.dc)
    if any(
            view.takes_work(now) and view.id not in call.failed_endpoints and
            view.version in (arrival.version, UNKNOWN_VERSION)
            for view in engines.by_id.values()):
        return arrival
    text = arrival.prompt.text.encode()
    bound = bind(state, model, arrival.team, text, now)
    if bound.version == arrival.version:
        return arrival
    seed = blocks.salt(arrival.team, model.id, bound.version, bound.adapter)
    rebound = attrs.evolve(arrival,
                           version=bound.version,
                           adapter=bound.adapter,
                           prompt=attrs.evolve(arrival.prompt,
                                               blocks=tuple(
                                                   blocks.chain(seed, text))))
    call.arrival = rebound
    call.failed_endpoints.clear()
    return rebound


def on_version_mismatch(state: 'VmState', call: Call, endpoint: EndpointId,
                        version: WeightVersion) -> None:
    """Record that an engine runs another version than the requested one."""
    call.failed_endpoints.add(endpoint)
    view = state.endpoints.get(endpoint)
    if view is not None:
        view.version = version
