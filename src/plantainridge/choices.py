"""Asks the policy in force where a request should run."""

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
                  excluded=frozenset(call.tried),
                  recompute_weight=state.config.deployment.recompute_weight,
                  now=now)
    engines = state.index.engines(state.endpoints, asked.model, state.dc)
    state.links.follow(state.config.stores)
    return state.policy.choose(
        query, Knowledge(engines, state.directory, state.links, state.rng))
