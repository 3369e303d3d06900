"""Interface of the gateway's I/O to a message format."""

import abc

import attrs

from plantainridge.gateway.effects import Send
from plantainridge.gateway.events import AnswerHead, Headers, Request
from plantainridge.gateway.runs import StatedRun
from plantainridge.ids import RequestId


@attrs.frozen
class RawRequest:
    """An HTTP request, not decoded."""

    method: bytes
    target: bytes
    headers: Headers = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class BadRequest:
    """The refusal of a request that cannot be decoded.

    Attributes:
        status: HTTP status of the answer.
        reason: Why it was refused, for the caller.
    """

    status: int
    reason: str


class RequestWire(abc.ABC):
    """Encoder and decoder of requests and answers."""

    @abc.abstractmethod
    def read_request(self, request_id: RequestId,
                     raw: RawRequest) -> Request | BadRequest:
        """Decode a caller's request."""

    @abc.abstractmethod
    def write_request(self, send: Send, elapsed_s: float) -> RawRequest:
        """Encode a send, `elapsed_s` after it was decided."""

    @abc.abstractmethod
    def read_answer_head(self, send: Send, status: int, headers: Headers,
                         now: float) -> AnswerHead | None:
        """Decode an answer's head; None if it answers another request."""

    @abc.abstractmethod
    def write_run_request(self, send: Send) -> RawRequest:
        """Encode the question which run of a send's endpoint answers."""

    @abc.abstractmethod
    def read_run(self, status: int, headers: Headers, body: bytes) -> StatedRun:
        """Decode the answer to that question."""

    @abc.abstractmethod
    def refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer with this system's own status.

        Args:
            retry_after_s: When the caller may try again, in s, or None.
        """
