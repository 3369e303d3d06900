"""Retries of failed attempts, within budgets.

A retry that repeats no work is free. One that may repeat work is charged to the
budgets of its team and of the endpoint that it goes to. A budget refills by a
ratio of the first attempts, which bounds the share of retries in the load, and
is large enough for all calls on one crashed endpoint to be resumed.
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
# Retries added to a budget per first attempt.
REFILL_RATIO: Final = 0.1
# Retries that an endpoint accepts at once.
ENDPOINT_BURST: Final = 64.0
# How long a call waits for an available endpoint, in s.
ENDPOINT_WAIT_TIMEOUT_S: Final = 10.0
# Interval at which a waiting call looks for an endpoint, in s.
RETRY_INTERVAL_S: Final = 0.25
RETRY_AFTER_S: Final = 2.0

NOT_RUN_FAILURES: Final = frozenset({Failure.CONNECT_REFUSED, Failure.REJECTED})


@attrs.define
class Budget:
    """Budget of retries.

    Attributes:
        burst: Capacity, in retries.
        available: Retries available now.
    """

    burst: float
    available: float

    def refill(self) -> None:
        """Add the refill for one first attempt."""
        self.available = min(self.burst, self.available + REFILL_RATIO)

    def take(self) -> bool:
        """Spend one retry; return False if none is available."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


@attrs.define
class RetriesState:
    """Budgets that are not full, by team and by endpoint.

    A team or endpoint without an entry has a full budget.
    """

    teams: dict[TeamId, Budget] = attrs.field(factory=dict)
    endpoints: dict[EndpointId, Budget] = attrs.field(factory=dict)


@attrs.frozen
class GiveUp:
    """The call ends with a refusal."""

    refusal: Refusal


@attrs.frozen
class Retry:
    """The call may be dispatched again."""


def after_failure(state: 'VmState', call: Call,
                  failure: Failure) -> Retry | GiveUp:
    """Decide whether a model call is retried after a failed attempt."""
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
    """Return the endpoints whose retry budget is exhausted."""
    return frozenset(
        endpoint for endpoint, budget in state.retries.endpoints.items()
        if budget.available < 1.0)


def record_retry(state: 'VmState', endpoint: EndpointId) -> None:
    """Charge a retry to the budget of the endpoint that it goes to."""
    budgets = state.retries.endpoints
    if endpoint not in budgets:
        budgets[endpoint] = Budget(ENDPOINT_BURST, ENDPOINT_BURST)
    budgets[endpoint].take()


def record_first_attempt(state: 'VmState', team: TeamId,
                         endpoint: EndpointId) -> None:
    """Refill the budgets for one first attempt; full ones are removed."""
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
        team_config = state.config.teams.get(team)
        burst = float(team_config.max_running) if team_config else 1.0
        budget = Budget(burst, burst)
        state.retries.teams[team] = budget
    return budget
