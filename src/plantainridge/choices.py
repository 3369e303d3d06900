"""Asks the policy in force where a request should run."""

from plantainridge import retries
from plantainridge.calls import Call
from plantainridge.events import ModelCalled
from plantainridge.ids import EndpointId
from plantainridge.routing import Choice, RoutingInputs, NoEndpoint, Query
from plantainridge.state import VmState


def choose(
    state: VmState,
    call: Call,
    arrival: ModelCalled,
    now: float,
    besides: frozenset[EndpointId] = frozenset()
) -> Choice | NoEndpoint:
    """Returns the endpoint for a request and what to fetch before.

    Leaves out slow endpoints, and for a retry those without room in their
    budget; one that failed the request comes only after all others.
    """
    avoided = state.health.slow | besides
    if call.attempt_count:
        avoided |= retries.exhausted_endpoints(state)
    choice = _ask(state, arrival, avoided | call.failed_endpoints, now)
    if isinstance(choice, NoEndpoint) and call.failed_endpoints:
        choice = _ask(state, arrival, avoided, now)
    return choice


def _ask(state: VmState, arrival: ModelCalled, excluded: frozenset[EndpointId],
         now: float) -> Choice | NoEndpoint:
    query = Query(prompt=arrival.prompt,
                  team=arrival.team,
                  dc=state.dc,
                  excluded=excluded,
                  recompute_weight=state.config.deployment.recompute_weight,
                  now=now,
                  version=arrival.version)
    engines = state.index.engines(state.endpoints, arrival.model, state.dc)
    state.links.follow(state.config.stores)
    return state.policy.choose(
        query, RoutingInputs(engines, state.directory, state.links, state.rng))
