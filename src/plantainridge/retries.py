"""What follows a failed attempt, within budgets.

A retry that repeats no work is free. One that may repeat work takes from the
budgets of its team and of the endpoint that it goes to. A budget refills with
a part of the first attempts, so that retries stay a part of the load, and
holds enough that all calls on one crashed endpoint can be resumed.
"""

from typing import TYPE_CHECKING, Final, TypeVar

import attrs

from plantainridge.calls import Call
from plantainridge.events import Failure
from plantainridge.ids import EndpointId, TeamId
from plantainridge.refusals import Reason, Refusal

if TYPE_CHECKING:
    from plantainridge.state import VmState

Owner = TypeVar('Owner', TeamId, EndpointId)

MAX_ATTEMPTS: Final = 6
# Retries that refill a budget for each first attempt.
REFILL: Final = 0.1
# Retries that an endpoint takes at once.
ENDPOINT_BURST: Final = 64.0
# How long a call waits for an endpoint to come back, in s.
ENDPOINT_WAIT_TIMEOUT_S: Final = 10.0
# Time between looks for an endpoint while a call waits, in s.
RETRY_INTERVAL_S: Final = 0.25
RETRY_AFTER_S: Final = 2.0

NOT_RUN_FAILURES: Final = frozenset({Failure.CONNECT_REFUSED, Failure.REJECTED})


@attrs.define
class Budget:
    """Retries that may still be made.

    Attributes:
        burst: Most that it holds.
        left: What it holds now.
    """

    burst: float
    available: float

    def refill(self) -> None:
        """Counts a first attempt."""
        self.available = min(self.burst, self.available + REFILL)

    def take(self) -> bool:
        """Takes one retry out; False if there is none."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


@attrs.define
class RetriesState:
    """Budgets that are not full, by team and by endpoint."""

    teams: dict[TeamId, Budget] = attrs.field(factory=dict)
    endpoints: dict[EndpointId, Budget] = attrs.field(factory=dict)


@attrs.frozen
class GiveUp:
    """Says that a call gets its final word now."""

    refusal: Refusal


@attrs.frozen
class Retry:
    """Says that a call may be dispatched again."""


def after_failure(state: 'VmState', call: Call,
                  failure: Failure) -> Retry | GiveUp:
    """Decides what follows a failed attempt of a model's call."""
    if call.attempt_count >= MAX_ATTEMPTS:
        return GiveUp(
            Refusal(Reason.ENDPOINT_FAILED,
                    call.ran,
                    f'{call.attempt_count} attempts failed',
                    retry_after_s=RETRY_AFTER_S))
    if failure in NOT_RUN_FAILURES:
        return Retry()
    if not _team_budget(state, call.arrival.team).take():
        return GiveUp(
            Refusal(Reason.ENDPOINT_FAILED,
                    call.ran,
                    'the team has used up its retries',
                    retry_after_s=RETRY_AFTER_S))
    return Retry()


def exhausted_endpoints(state: 'VmState') -> frozenset[EndpointId]:
    """Returns the endpoints whose budget has no room for a retry."""
    return frozenset(
        endpoint for endpoint, budget in state.retries.endpoints.items()
        if budget.available < 1.0)


def record_retry(state: 'VmState', endpoint: EndpointId) -> None:
    """Takes a retry out of the budget of the endpoint that it goes to."""
    budgets = state.retries.endpoints
    if endpoint not in budgets:
        budgets[endpoint] = Budget(ENDPOINT_BURST, ENDPOINT_BURST)
    budgets[endpoint].take()


def record_first_attempt(state: 'VmState', team: TeamId,
                         endpoint: EndpointId) -> None:
    """Refills the budgets by one first attempt; full ones are forgotten."""
    _refill(state.retries.teams, team)
    _refill(state.retries.endpoints, endpoint)


def _refill(budgets: dict[Owner, Budget], owner: Owner) -> None:
    budget = budgets.get(owner)
    if budget is None:
        return
    budget.refill()
    if budget.available >= budget.burst:
        del budgets[owner]


def _team_budget(state: 'VmState', team: TeamId) -> Budget:
    budget = state.retries.teams.get(team)
    if budget is None:
        terms = state.config.teams.get(team)
        burst = float(terms.max_running) if terms else 1.0
        budget = Budget(burst, burst)
        state.retries.teams[team] = budget
    return budget
