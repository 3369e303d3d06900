"""Asks the policy in force where a request should run."""

from plantainridge import versions
from plantainridge.calls import Call
from plantainridge.events import ModelCalled
from plantainridge.routing import Choice, Knowledge, NoEndpoint, Query
from plantainridge.state import VmState


def choose(state: VmState, call: Call, asked: ModelCalled,
           now: float) -> Choice | NoEndpoint:
    """Returns the endpoint for a request and what to fetch before."""
    query = Query(prompt=asked.prompt,
                  team=asked.team,
                  dc=state.dc,
                  excluded=versions.others(state, asked.model,
                                           asked.version).union(call.tried),
                  recompute_weight=state.config.deployment.recompute_weight,
                  now=now)
    engines = state.index.engines(state.endpoints, asked.model, state.dc)
    for store in state.config.stores.values():
        state.links.add(store.id, store.link_bytes_per_s)
    return state.policy.choose(
        query, Knowledge(engines, state.directory, state.links, state.rng))
