"""Which weight version a new request is bound to while engines change over.

A request stays bound to one version for life, so no block crosses versions.
While some engines still run an old version, contexts move to the new one in
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

# Length of the head of a context by which it is told from others, in bytes.
HEAD_BYTES = 256
_HASH_RANGE = 1 << 32


def bind(state: 'VmState', model: Model, team: TeamId, text: bytes,
         now: float) -> Model:
    """Returns a model with the version that a new request is bound to.

    Args:
        state: The VM's state.
        model: The model as the configuration has it.
        team: The asking team.
        text: The prompt; its head tells the context.
        now: Loop time in s.
    """
    running = _running(state, model.id, now)
    new = running.pop(model.version, 0)
    if not running:
        return model
    old, count = max(running.items(), key=lambda each: (each[1], each[0]))
    if _place(team, text) * (new + count) < new:
        return model
    return attrs.evolve(model, version=old)


def _running(state: 'VmState', model: ModelId,
             now: float) -> Counter[WeightVersion]:
    engines = state.index.engines(state.endpoints, model, state.dc)
    return Counter(view.version
                   for view in engines.by_id.values()
                   if view.version != UNKNOWN_VERSION and view.takes_work(now))


def _place(team: TeamId, text: bytes) -> float:
    """Returns a context's place from 0 to 1, alike on every VM."""
    digest = hashlib.blake2b(text[:HEAD_BYTES],
                             digest_size=4,
                             key=team.encode()[:64]).digest()
    return int.from_bytes(digest, 'big') / _HASH_RANGE


def rebind_if_needed(state: 'VmState', call: Call, arrival: ModelCalled,
                     now: float) -> ModelCalled:
    """Returns a request, bound anew if no engine left may run its version.

    Only a request of which nothing was delivered can be bound anew.
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
    """Takes in that an engine runs another version than the one asked for."""
    call.failed_endpoints.add(endpoint)
    view = state.endpoints.get(endpoint)
    if view is not None:
        view.version = version
