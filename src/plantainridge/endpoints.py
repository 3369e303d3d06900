"""What this VM knows of each endpoint."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs

from plantainridge.config import Endpoint, EndpointKind
from plantainridge.events import LoadReported
from plantainridge.ids import (AttemptId, DcId, EndpointId, ModelId,
                               WeightVersion)

# Rate assumed of an endpoint that has not reported, in prompt tokens per s.
DEFAULT_PREFILL_TOKENS_PER_S = 20_000.0
# Version of an engine that has not said which it runs.
UNKNOWN_VERSION = WeightVersion('')


@attrs.define
class EndpointView:
    """One endpoint as seen from this VM.

    Attributes:
        endpoint: Its row of the configuration.
        report: Its last load report, or None.
        own: Attempts of this VM that run on it now.
        sent_tokens: Prompt tokens to compute that were sent since the last
            report was measured, as (loop time in s, tokens).
        down_until: Loop time until which it gets no new work, in s.
        leaving: Whether the platform's list says that it leaves.
        version: Weight version that it last said it runs.
        backlog: Prompt tokens to compute as of `backlog_at`.
        backlog_at: Loop time of `backlog`, in s.
    """

    endpoint: Endpoint
    report: LoadReported | None = None
    own_attempts: set[AttemptId] = attrs.field(factory=set)
    sent_tokens: list[tuple[float, int]] = attrs.field(factory=list)
    cooldown_until: float = 0.0
    leaving: bool = False
    version: WeightVersion = UNKNOWN_VERSION
    backlog: float = 0.0
    backlog_at: float = 0.0

    @property
    def id(self) -> EndpointId:
        """The endpoint's name."""
        return self.endpoint.id

    @property
    def prefill_tokens_per_s(self) -> float:
        """Rate at which it computes prompt tokens, by its last report."""
        if self.report is None or self.report.prefill_tokens_per_s <= 0:
            return DEFAULT_PREFILL_TOKENS_PER_S
        return self.report.prefill_tokens_per_s

    @property
    def measured_at(self) -> float:
        """Loop time of the last load report's reading, in s; 0 for none."""
        return self.report.measured_at if self.report is not None else 0.0

    def takes_work(self, now: float) -> bool:
        """Whether new work may be sent to it."""
        if self.endpoint.leaving or self.leaving:
            return False
        return now >= self.cooldown_until

    def record_report(self, report: LoadReported) -> None:
        """Takes in a load report; an older one than the last is dropped."""
        if self.report and report.measured_at <= self.report.measured_at:
            return
        self.report = report
        self.version = report.version
        self.sent_tokens = [(at, tokens)
                            for at, tokens in self.sent_tokens
                            if at > report.measured_at]
        self.backlog = float(report.waiting_tokens)
        self.backlog_at = report.measured_at
        for at, tokens in self.sent_tokens:
            self._add(at, tokens)

    def record_sent(self, now: float, tokens: int) -> None:
        """Counts prompt tokens that this VM sent it to compute."""
        if not self.backlog_tokens(now):
            self.sent_tokens.clear()
        self.sent_tokens.append((now, tokens))
        self._add(now, tokens)

    def _add(self, at: float, tokens: int) -> None:
        self.backlog = self.backlog_tokens(at) + tokens
        self.backlog_at = at

    def backlog_tokens(self, now: float) -> float:
        """Estimates the prompt tokens still to compute.

        Starts from the last report, adds what this VM sent since, and drains
        at the reported rate.
        """
        drained = (now - self.backlog_at) * self.prefill_tokens_per_s
        return max(0.0, self.backlog - max(0.0, drained))

    def waiting_tokens(self) -> int:
        """Prompt tokens queued, by the report and by what was sent since."""
        reported = self.report.waiting_tokens if self.report else 0
        return reported + sum(tokens for _, tokens in self.sent_tokens)


@attrs.frozen
class ModelEngines:
    """The engines of one model, in the configuration's order."""

    by_id: Mapping[EndpointId, EndpointView]
    local: Sequence[EndpointView]
    remote: Sequence[EndpointView]


NO_ENGINES = ModelEngines({}, (), ())


class EngineIndex:
    """Engines by model, those of this VM's data centre first.

    It follows the table of views that a configuration makes and is built anew
    only when another table is in force.
    """

    def __init__(self) -> None:
        self.source: Mapping[EndpointId, EndpointView] | None = None
        self.models: dict[ModelId, ModelEngines] = {}

    def engines(self, views: Mapping[EndpointId, EndpointView], model: ModelId,
                dc: DcId) -> ModelEngines:
        """Returns a model's engines, out of a table of views."""
        if views is not self.source:
            self.source = views
            self.models = dict(_by_model(views.values(), dc))
        return self.models.get(model, NO_ENGINES)


def _by_model(views: Iterable[EndpointView],
              dc: DcId) -> Iterator[tuple[ModelId, ModelEngines]]:
    groups: dict[ModelId, list[EndpointView]] = {}
    for view in views:
        if view.endpoint.kind is EndpointKind.ENGINE:
            groups.setdefault(ModelId(view.endpoint.serves), []).append(view)
    for model, group in groups.items():
        yield model, ModelEngines(
            {view.id: view for view in group},
            tuple(view for view in group if view.endpoint.dc == dc),
            tuple(view for view in group if view.endpoint.dc != dc))
