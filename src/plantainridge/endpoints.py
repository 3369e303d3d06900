"""State of endpoints as seen from this VM."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs

from plantainridge.config import Endpoint, EndpointKind
from plantainridge.events import LoadReported
from plantainridge.ids import (AttemptId, DcId, EndpointId, ModelId,
                               WeightVersion)

# Prefill rate assumed for an endpoint without a load report.
DEFAULT_PREFILL_TOKENS_PER_S = 20_000.0
# Version of an engine that has not reported one.
UNKNOWN_VERSION = WeightVersion('')


@attrs.define
class EndpointView:
    """One endpoint as seen from this VM.

    Attributes:
        endpoint: The endpoint's entry in the configuration.
        report: The last load report, or None.
        own_attempts: Attempts of this VM that run on the endpoint.
        sent_tokens: Prompt tokens to compute that this VM sent since the last
            report was measured, as (loop time in s, tokens).
        cooldown_until: Loop time until which the endpoint gets no new work, in
            s.
        leaving: Whether the platform lists the endpoint as leaving.
        version: Weight version that the endpoint last reported.
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
        """Name of the endpoint."""
        return self.endpoint.id

    @property
    def prefill_tokens_per_s(self) -> float:
        """Rate of prompt computation by the last load report."""
        if self.report is None or self.report.prefill_tokens_per_s <= 0:
            return DEFAULT_PREFILL_TOKENS_PER_S
        return self.report.prefill_tokens_per_s

    @property
    def measured_at(self) -> float:
        """Loop time at which the last load report was measured, in s, or 0."""
        return self.report.measured_at if self.report is not None else 0.0

    def takes_work(self, now: float) -> bool:
        """Return whether new work may be sent to the endpoint."""
        if self.endpoint.leaving or self.leaving:
            return False
        return now >= self.cooldown_until

    def record_report(self, report: LoadReported) -> None:
        """Apply a load report unless it is older than the last one."""
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
            self._add_backlog(at, tokens)

    def record_sent(self, now: float, tokens: int) -> None:
        """Add prompt tokens that this VM sent to be computed."""
        if not self.backlog_tokens(now):
            self.sent_tokens.clear()
        self.sent_tokens.append((now, tokens))
        self._add_backlog(now, tokens)

    def _add_backlog(self, at: float, tokens: int) -> None:
        self.backlog = self.backlog_tokens(at) + tokens
        self.backlog_at = at

    def backlog_tokens(self, now: float) -> float:
        """Estimate the prompt tokens still to compute.

        Extrapolates from the last load report: adds the tokens that this VM
        sent since then and subtracts those computed at the reported rate.
        """
        drained = (now - self.backlog_at) * self.prefill_tokens_per_s
        return max(0.0, self.backlog - max(0.0, drained))

    def waiting_tokens(self) -> int:
        """Return the reported queued prompt tokens plus those sent since."""
        reported = self.report.waiting_tokens if self.report else 0
        return reported + sum(tokens for _, tokens in self.sent_tokens)


@attrs.frozen
class ModelEngines:
    """Engines of one model, in the order of the configuration.

    Attributes:
        by_id: All engines of the model.
        local: Those in this VM's data centre.
        remote: Those in other data centres.
    """

    by_id: Mapping[EndpointId, EndpointView]
    local: Sequence[EndpointView]
    remote: Sequence[EndpointView]


NO_ENGINES = ModelEngines({}, (), ())


class EngineIndex:
    """Index of engines by model.

    It is rebuilt only when a new configuration replaces the table of views.
    """

    def __init__(self) -> None:
        self.source: Mapping[EndpointId, EndpointView] | None = None
        self.models: dict[ModelId, ModelEngines] = {}

    def engines(self, views: Mapping[EndpointId, EndpointView], model: ModelId,
                dc: DcId) -> ModelEngines:
        """Return the engines of a model in a table of views."""
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
