"""What this VM knows of each endpoint."""

import attrs

from plantainridge.config import Endpoint
from plantainridge.events import LoadReported
from plantainridge.ids import AttemptId, EndpointId


@attrs.define
class EndpointView:
    """One endpoint as seen from this VM.

    Attributes:
        endpoint: Its row of the configuration.
        report: Its last load report, or None.
        own: Attempts of this VM that run on it now.
        sent_tokens: Prompt tokens sent since the last report was measured,
            as (loop time in s, tokens).
        down_until: Loop time until which it gets no new work, in s.
        leaving: Whether the platform's list says that it leaves.
    """

    endpoint: Endpoint
    report: LoadReported | None = None
    own: set[AttemptId] = attrs.field(factory=set)
    sent_tokens: list[tuple[float, int]] = attrs.field(factory=list)
    down_until: float = 0.0
    leaving: bool = False

    @property
    def id(self) -> EndpointId:
        """The endpoint's name."""
        return self.endpoint.id

    def takes_work(self, now: float) -> bool:
        """Whether new work may be sent to it."""
        if self.endpoint.leaving or self.leaving:
            return False
        return now >= self.down_until

    def note_report(self, report: LoadReported) -> None:
        """Takes in a load report; an older one than the last is dropped."""
        if self.report and report.measured_at <= self.report.measured_at:
            return
        self.report = report
        self.sent_tokens = [(at, tokens)
                            for at, tokens in self.sent_tokens
                            if at > report.measured_at]

    def waiting_tokens(self) -> int:
        """Prompt tokens queued, by the report and by what was sent since."""
        reported = self.report.waiting_tokens if self.report else 0
        return reported + sum(tokens for _, tokens in self.sent_tokens)
