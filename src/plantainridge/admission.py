"""Decides at once whether a request is taken in."""

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

# Wait, as a part of the promised time, up to which an endpoint is not loaded.
IDLE_PART: Final = 0.1
# Part of the promised time that a team within its fair part may use up.
BUDGET: Final = 0.7
# The same for teams above it, by priority from 0; the last goes for the rest.
BUDGETS_ABOVE: Final = (0.3, 0.25, 0.25, 0.2)
# Added to the engine's rank of calls of teams above their fair part.
RANK_ABOVE: Final = 100
# Age up to which a load report tells what other VMs may have sent since, in s.
REPORT_MAX_AGE_S: Final = 1.0
# Bounds of Retry-After, in s.
RETRY_MIN_S: Final = 1.0
RETRY_SPREAD_S: Final = 4.0


@attrs.frozen
class Estimate:
    """What a choice is expected to bring, in s.

    Attributes:
        wait_s: Time until the endpoint begins with the prompt.
        first_token_s: Time to the first token.
    """

    wait_s: float
    first_token_s: float


def refuse_inadmissible(state: VmState, arrival: ModelCalled,
                        now: float) -> Refusal | None:
    """Returns why a model request is refused, or None if it may be taken."""
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
    """Returns the refusal of a call above its team's limit, or None."""
    if not limits.reached(state, team):
        return None
    state.limits.team_usage(team).limited.add(1.0, now)
    return _refusal(state, Reason.TEAM_LIMIT,
                    'the team has as many calls running as it may')


def refuse_late(state: VmState, call: Call, arrival: ModelCalled,
                expected: Estimate, now: float) -> Refusal | None:
    """Returns the refusal of a call that cannot start in time, or None.

    Counts what the team asks for and what of it is taken in.

    Args:
        state: The VM's state.
        call: The call; its terms are fixed.
        asked: What its caller asked.
        expected: What the best choice brings.
        now: Loop time in s.
    """
    usage = state.limits.team_usage(arrival.team)
    work = float(arrival.prompt.tokens + arrival.max_tokens)
    usage.offered.add(work, now)
    cap = state.fairness.caps.get(arrival.team)
    if cap is not None and usage.admitted.per_s(now) > cap:
        limits.record_refusal(state, now)
        return _refusal(state, Reason.OVERLOADED,
                        'the team asks for more than its part')
    if in_time(state, call, arrival.team, expected):
        usage.admitted.add(work, now)
        return None
    limits.record_refusal(state, now)
    return _refusal(state, Reason.OVERLOADED,
                    'the first token would come later than promised',
                    expected.wait_s)


def in_time(state: VmState, call: Call, team: TeamId,
            expected: Estimate) -> bool:
    """Whether a call may go where this is expected.

    One that is late by its own length, and not by the load, goes as well: it
    would be as late at any other time.
    """
    if expected.wait_s <= IDLE_PART * call.first_token_target_s:
        return True
    part = budget(state, call, team)
    return expected.first_token_s <= part * call.first_token_target_s


def budget(state: VmState, call: Call, team: TeamId) -> float:
    """Returns the part of the promised time that a call may use up."""
    if team not in state.fairness.caps:
        return BUDGET
    return BUDGETS_ABOVE[min(call.team_priority, len(BUDGETS_ABOVE) - 1)]


def engine_priority(state: VmState, team: Team) -> int:
    """Returns the engine's rank for a new call of a team."""
    if team.id in state.fairness.caps:
        return RANK_ABOVE + team.priority
    return team.priority


def estimate_choice(state: VmState, choice: Choice, now: float) -> Estimate:
    """Estimates the time to first token of a choice.

    The backlog is the last report carried on to now with what this VM sent
    since. Each other VM of the data centre is taken to have sent since then
    what this one sends in such a time.
    """
    view = state.endpoints[choice.endpoint]
    seen = state.health.endpoint_health(choice.endpoint)
    others = max(0, len(state.limits.sharing_vms) - 1)
    unseen_s = min(REPORT_MAX_AGE_S, now - view.measured_at)
    sent = others * unseen_s * seen.sent.per_s(now)
    speed = view.prefill_tokens_per_s / seen.slowness(now)
    wait_s = (view.backlog_tokens(now) + sent) / speed
    ready_s = max(wait_s, choice.fetch_s)
    return Estimate(wait_s, ready_s + choice.compute_tokens / speed)


def _refusal(state: VmState,
             reason: Reason,
             detail: str,
             wait_s: float = 0.0) -> Refusal:
    retry_s = RETRY_MIN_S + wait_s + state.rng.random() * RETRY_SPREAD_S
    return Refusal(reason, RanState.NOT_RUN, detail, retry_after_s=retry_s)
