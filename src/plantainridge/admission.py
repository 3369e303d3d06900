"""Decides at once whether a request is taken in."""

from plantainridge.events import ModelCalled
from plantainridge.refusals import RanState, Reason, Refusal
from plantainridge.state import VmState


def refuse_now(state: VmState, asked: ModelCalled) -> Refusal | None:
    """Returns why a model request is refused, or None if it is taken."""
    if state.stopping:
        return Refusal(Reason.STOPPING,
                       RanState.NOT_RUN,
                       'this VM is shutting down',
                       retry_after_s=1.0)
    if not state.ready:
        return Refusal(Reason.NOT_READY,
                       RanState.NOT_RUN,
                       'this VM has no configuration yet',
                       retry_after_s=1.0)
    team = state.config.teams.get(asked.team)
    model = state.config.models.get(asked.model)
    if team is None or model is None or asked.model not in team.models:
        return Refusal(Reason.UNKNOWN_MODEL, RanState.NOT_RUN,
                       'the team has no such model')
    if asked.prompt.tokens + asked.max_tokens > model.max_context_tokens:
        return Refusal(
            Reason.CONTEXT_TOO_LONG, RanState.NOT_RUN,
            f'the context exceeds {model.max_context_tokens} tokens')
    return None
