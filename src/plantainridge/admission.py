"""Admission control: admits or refuses a request on arrival."""

from typing import Final

import attrs

from plantainridge import drain, limits
from plantainridge.calls import Call
from plantainridge.config import Team
from plantainridge.events import ModelCalled
from plantainridge.ids import TeamId
from plantainridge.refusals import RanState, Reason, Refusal
from plantainridge.routing import Choice
from plantainridge.state import VmState

# Expected wait, as a ratio of the first-token target, up to which an endpoint
# counts as idle.
IDLE_WAIT_RATIO: Final = 0.1
# Ratio of the first-token target that calls of a team within its fair share may
# use.
FIRST_TOKEN_BUDGET_RATIO: Final = 0.7
# The same for teams over their fair share, indexed by priority; the last value
# applies to all further priorities.
OVER_SHARE_BUDGET_RATIOS: Final = (0.3, 0.25, 0.25, 0.2)
# Added to the engine priority of calls of teams over their fair share; engines
# run lower values first.
OVER_SHARE_PRIORITY_OFFSET: Final = 100
# Longest time since a load report, in s, over which the work that other VMs
# have sent is estimated.
MAX_UNREPORTED_S: Final = 1.0
# Retry-After is the expected wait plus a minimum and uniform jitter, in s.
RETRY_MIN_S: Final = 1.0
RETRY_JITTER_S: Final = 4.0


@attrs.frozen
class Estimate:
    """Expected latency of a choice.

    Attributes:
        wait_s: Time until the endpoint starts to compute the prompt, in s.
        first_token_s: Time to first token, in s.
    """

    wait_s: float
    first_token_s: float


def refuse_inadmissible(state: VmState, arrival: ModelCalled,
                        now: float) -> Refusal | None:
    """Return the refusal of a model request that may not run here, or None."""
    if drain.refuses_new(state, now):
        return _refusal(state, Reason.STOPPING, 'this VM is shutting down')
    if state.config.revision < 0:
        return _refusal(state, Reason.NOT_READY,
                        'this VM has no configuration yet')
    team = state.config.teams.get(arrival.team)
    model = state.config.models.get(arrival.model)
    if team is None or model is None or arrival.model not in team.models:
        return Refusal(Reason.UNKNOWN_MODEL, RanState.NOT_RUN,
                       'the team has no such model')
    if arrival.prompt.tokens + arrival.max_tokens > model.max_context_tokens:
        return Refusal(
            Reason.CONTEXT_TOO_LONG, RanState.NOT_RUN,
            f'the context exceeds {model.max_context_tokens} tokens')
    return refuse_over_limit(state, arrival.team, now)


def refuse_over_limit(state: VmState, team: TeamId,
                      now: float) -> Refusal | None:
    """Return the refusal of a call over its team's limit, or None."""
    if not limits.reached(state, team):
        return None
    state.limits.team_usage(team).limited.add(1.0, now)
    return _refusal(state, Reason.TEAM_LIMIT,
                    'the team has as many calls running as it may')


def refuse_late(state: VmState, call: Call, arrival: ModelCalled,
                estimate: Estimate, now: float) -> Refusal | None:
    """Return the refusal of a call that cannot start in time, or None.

    Records the work that the team offers and the part of it that is admitted.

    Args:
        state: The VM's state.
        call: The call, with its priority and first-token target.
        arrival: The event that carried the request.
        estimate: Expected latency of the best choice.
        now: Loop time in s.
    """
    usage = state.limits.team_usage(arrival.team)
    requested_tokens = float(arrival.prompt.tokens + arrival.max_tokens)
    usage.offered.add(requested_tokens, now)
    cap = state.fairness.caps.get(arrival.team)
    if cap is not None and usage.admitted.per_s(now) > cap:
        limits.record_refusal(state, now)
        return _refusal(state, Reason.OVERLOADED,
                        'the team asks for more than its part')
    if in_time(state, call, arrival.team, estimate):
        usage.admitted.add(requested_tokens, now)
        return None
    limits.record_refusal(state, now)
    return _refusal(state, Reason.OVERLOADED,
                    'the first token would come later than promised',
                    estimate.wait_s)


def in_time(state: VmState, call: Call, team: TeamId,
            estimate: Estimate) -> bool:
    """Return whether a choice with this estimate is fast enough for a call.

    A call that misses its target because of its own length, rather than because
    of load, is admitted as well: it would be just as late at any other time.
    """
    if estimate.wait_s <= IDLE_WAIT_RATIO * call.first_token_target_s:
        return True
    ratio = first_token_budget_ratio(state, call, team)
    return estimate.first_token_s <= ratio * call.first_token_target_s


def first_token_budget_ratio(state: VmState, call: Call, team: TeamId) -> float:
    """Return the ratio of its first-token target that a call may use."""
    if team not in state.fairness.caps:
        return FIRST_TOKEN_BUDGET_RATIO
    return OVER_SHARE_BUDGET_RATIOS[min(call.team_priority,
                                        len(OVER_SHARE_BUDGET_RATIOS) - 1)]


def engine_priority(state: VmState, team: Team) -> int:
    """Return the engine priority of a new call of a team; 0 runs first."""
    if team.id in state.fairness.caps:
        return OVER_SHARE_PRIORITY_OFFSET + team.priority
    return team.priority


def estimate_choice(state: VmState, choice: Choice, now: float) -> Estimate:
    """Estimate the time to first token of a choice.

    The backlog is extrapolated from the last load report and the work that this
    VM sent since. Each other VM of the data centre is assumed to have sent as
    much since then, for at most `MAX_UNREPORTED_S`, as this one sends in the
    same time.
    """
    view = state.endpoints[choice.endpoint]
    health = state.health.endpoint_health(choice.endpoint)
    peer_count = max(0, len(state.limits.sharing_vms) - 1)
    unreported_s = min(MAX_UNREPORTED_S, now - view.measured_at)
    unreported_tokens = peer_count * unreported_s * health.sent.per_s(now)
    tokens_per_s = view.prefill_tokens_per_s / health.slowness(now)
    wait_s = (view.backlog_tokens(now) + unreported_tokens) / tokens_per_s
    prefill_start_s = max(wait_s, choice.fetch_s)
    return Estimate(wait_s,
                    prefill_start_s + choice.compute_tokens / tokens_per_s)


def _refusal(state: VmState,
             reason: Reason,
             detail: str,
             wait_s: float = 0.0) -> Refusal:
    retry_s = RETRY_MIN_S + wait_s + state.rng.random() * RETRY_JITTER_S
    return Refusal(reason, RanState.NOT_RUN, detail, retry_after_s=retry_s)
