"""Replies queued for callers, in a bounded mailbox for each request."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from plantainridge import effects as fx
from plantainridge.ids import RequestId
from plantainridge.ports import CallerPort

# A caller that reads so slowly that more tokens are queued is disconnected.
MAX_BACKLOG_TOKENS: Final = 2_048


@attrs.frozen
class Disconnected:
    """End of the replies: the caller or its mailbox is closed."""


Reply = (fx.SendTokens | fx.FinishAnswer | fx.SendServiceAnswer | fx.Refuse |
         Disconnected)


class Mailbox:
    """Queue of replies to one request that its handler has not read yet.

    Attributes:
        replies: Queued replies, oldest first.
        backlog_tokens: Number of tokens in the queued replies.
        overflowed: Whether the backlog has passed its limit.
    """

    def __init__(self, on_overflow: Callable[[], None]) -> None:
        """Open an empty mailbox.

        Args:
            on_overflow: Called once, when the backlog exceeds
                `MAX_BACKLOG_TOKENS`.
        """
        self.replies: deque[Reply] = deque()
        self.backlog_tokens = 0
        self.overflowed = False
        self._on_overflow = on_overflow
        self._filled = asyncio.Event()

    def put(self, reply: Reply) -> None:
        """Queue a reply.

        On overflow, `Disconnected` replaces all queued replies, and later ones
        are dropped.
        """
        if self.overflowed:
            return
        if isinstance(reply, fx.SendTokens):
            self.backlog_tokens += len(reply.tokens)
            if self.backlog_tokens > MAX_BACKLOG_TOKENS:
                self.overflowed = True
                self.replies.clear()
                self._on_overflow()
                reply = Disconnected()
        self.replies.append(reply)
        self._filled.set()

    async def next(self) -> Reply:
        """Wait for the next reply; queued tokens come as one reply."""
        while not self.replies:
            self._filled.clear()
            await self._filled.wait()
        reply = self.replies.popleft()
        if not isinstance(reply, fx.SendTokens):
            return reply
        tokens = reply.tokens
        while self.replies:
            more = self.replies[0]
            if not isinstance(more, fx.SendTokens):
                break
            tokens += more.tokens
            self.replies.popleft()
        self.backlog_tokens -= len(tokens)
        if tokens is reply.tokens:
            return reply
        return fx.SendTokens(reply.request, tokens)


def _ignore_overflow() -> None:
    """Do nothing; for handlers that read every reply at once."""


class Mailboxes(CallerPort):
    """The mailboxes of all requests in flight."""

    def __init__(self) -> None:
        self.open_mailboxes: dict[RequestId, Mailbox] = {}

    def open(self,
             request: RequestId,
             on_overflow: Callable[[], None] = _ignore_overflow) -> Mailbox:
        """Open the mailbox of a new request.

        Args:
            request: The request.
            on_overflow: Called once, when the backlog exceeds
                `MAX_BACKLOG_TOKENS`.
        """
        mailbox = Mailbox(on_overflow)
        self.open_mailboxes[request] = mailbox
        return mailbox

    def close(self, request: RequestId) -> None:
        """Remove the mailbox of a request."""
        self.open_mailboxes.pop(request, None)

    def _put(self, request: RequestId, reply: Reply) -> None:
        mailbox = self.open_mailboxes.get(request)
        if mailbox is not None:
            mailbox.put(reply)

    def send_tokens(self, effect: fx.SendTokens) -> None:
        self._put(effect.request, effect)

    def finish(self, effect: fx.FinishAnswer) -> None:
        self._put(effect.request, effect)

    def answer(self, effect: fx.SendServiceAnswer) -> None:
        self._put(effect.request, effect)

    def refuse(self, effect: fx.Refuse) -> None:
        self._put(effect.request, effect)
