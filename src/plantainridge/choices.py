"""Choice of an endpoint by the policy in force."""

from plantainridge import retries
from plantainridge.calls import Call
from plantainridge.events import ModelCalled
from plantainridge.ids import EndpointId
from plantainridge.routing import Choice, NoEndpoint, Query, RoutingInputs
from plantainridge.state import VmState


def choose(
    state: VmState,
    call: Call,
    arrival: ModelCalled,
    now: float,
    excluded_endpoints: frozenset[EndpointId] = frozenset()
) -> Choice | NoEndpoint:
    """Return the endpoint for a request and the blocks to fetch first.

    Excludes slow endpoints and, for a retry, those whose retry budget is
    exhausted. An endpoint on which the request failed is the last resort.
    """
    avoided = state.health.slow | excluded_endpoints
    if call.attempt_count:
        avoided |= retries.exhausted_endpoints(state)
    choice = _choose_excluding(state, arrival, avoided | call.failed_endpoints,
                               now)
    if isinstance(choice, NoEndpoint) and call.failed_endpoints:
        choice = _choose_excluding(state, arrival, avoided, now)
    return choice


def _choose_excluding(state: VmState, arrival: ModelCalled,
                      excluded: frozenset[EndpointId],
                      now: float) -> Choice | NoEndpoint:
    query = Query(prompt=arrival.prompt,
                  team=arrival.team,
                  dc=state.dc,
                  excluded=excluded,
                  recompute_weight=state.config.deployment.recompute_weight,
                  now=now,
                  version=arrival.version)
    engines = state.index.engines(state.endpoints, arrival.model, state.dc)
    state.links.add_configured(state.config.stores)
    return state.policy.choose(
        query, RoutingInputs(engines, state.directory, state.links, state.rng))
