"""Asks the policy in force where a request should run."""

from plantainridge import retries
from plantainridge.calls import Call
from plantainridge.events import ModelCalled
from plantainridge.ids import EndpointId
from plantainridge.routing import Choice, Knowledge, NoEndpoint, Query
from plantainridge.state import VmState


def choose(
    state: VmState,
    call: Call,
    asked: ModelCalled,
    now: float,
    besides: frozenset[EndpointId] = frozenset()
) -> Choice | NoEndpoint:
    """Returns the endpoint for a request and what to fetch before.

    Leaves out slow endpoints, and for a retry those without room in their
    budget; one that failed the request comes only after all others.
    """
    avoided = state.health.slow | besides
    if call.tries:
        avoided |= retries.spent(state)
    choice = _ask(state, asked, avoided | call.tried, now)
    if isinstance(choice, NoEndpoint) and call.tried:
        choice = _ask(state, asked, avoided, now)
    return choice


def _ask(state: VmState, asked: ModelCalled, excluded: frozenset[EndpointId],
         now: float) -> Choice | NoEndpoint:
    query = Query(prompt=asked.prompt,
                  team=asked.team,
                  dc=state.dc,
                  excluded=excluded,
                  recompute_weight=state.config.deployment.recompute_weight,
                  now=now,
                  version=asked.version)
    engines = state.index.engines(state.endpoints, asked.model, state.dc)
    state.links.follow(state.config.stores)
    return state.policy.choose(
        query, Knowledge(engines, state.directory, state.links, state.rng))
