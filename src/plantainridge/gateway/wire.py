"""What the gateway's I/O needs of a message format, as abstract classes."""

import abc

import attrs

from plantainridge.gateway.effects import Send
from plantainridge.gateway.events import AnswerHead, Headers, Request
from plantainridge.ids import RequestId


@attrs.frozen
class RawRequest:
    """A request as it stands on the wire."""

    method: bytes
    target: bytes
    headers: Headers = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class BadRequest:
    """Says why a request cannot be taken in."""

    status: int
    reason: str


class RequestWire(abc.ABC):
    """Translates requests and answers."""

    @abc.abstractmethod
    def read_request(self, name: RequestId,
                     raw: RawRequest) -> Request | BadRequest:
        """Reads a caller's request."""

    @abc.abstractmethod
    def write_request(self, send: Send, elapsed_s: float) -> RawRequest:
        """Returns what an endpoint is sent, `spent_s` after the decision."""

    @abc.abstractmethod
    def read_answer_head(self, send: Send, status: int, headers: Headers,
                         now: float) -> AnswerHead | None:
        """Reads an answer's head; None if it answers another request."""

    @abc.abstractmethod
    def refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Returns headers of this system's own refusals."""
