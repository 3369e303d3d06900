"""Callers that send and resend calls under idempotency keys."""

import asyncio
import random
from typing import Final

import attrs

from plantainridge.ids import ServiceId
from plantainridge.refusals import Refusal
from plantainridge.standins.claim_world import BOOKING, ClaimWorld
from plantainridge.standins.world import LEDGER, SentRequest, Vm

BOOKING_RATIO: Final = 0.2
MAX_ATTEMPTS: Final = 6
INTERRUPTION_POLL_INTERVAL_S: Final = 0.5
# A paused clock does not advance by less than its own step, so that shorter
# waits would never end.
MIN_WAIT_S: Final = 0.001
# Ratios of callers with a special behavior.
DUPLICATE_RATIO: Final = 0.1
LATE_RESEND_RATIO: Final = 0.03
CONFLICT_RATIO: Final = 0.03
OTHER_BODY: Final = b'{"other": 1}'


@attrs.define(eq=False)
class Operation:
    """One operation that a caller wants to run once.

    Attributes:
        attempts: All requests that the caller sent for it, in order.
        final_request: The last request with a final response, or None.
    """

    service: ServiceId
    key: str
    attempts: list[SentRequest] = attrs.field(factory=list)
    final_request: SentRequest | None = None

    @property
    def refusal(self) -> Refusal | None:
        """The refusal with which the operation ended, or None."""
        return (self.final_request.reply.refusal
                if self.final_request is not None else None)


class Callers:
    """All callers of a run.

    Attributes:
        operations: Operations that they started.
    """

    def __init__(self, world: ClaimWorld, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.operations: list[Operation] = []

    async def run_operation(self) -> None:
        """Send one operation until a final answer or the last attempt."""
        rng = self.rng
        service = BOOKING if rng.random() < BOOKING_RATIO else LEDGER
        operation = Operation(service, self.world.new_key())
        self.operations.append(operation)
        behavior = rng.random()
        if behavior < DUPLICATE_RATIO:
            for _ in range(rng.randint(1, 2)):
                self._send(operation, resend=True)
        elif behavior < DUPLICATE_RATIO + CONFLICT_RATIO:
            self._send(operation, resend=True, body=OTHER_BODY)
        for number in range(MAX_ATTEMPTS):
            sent = self._send(operation, resend=bool(operation.attempts))
            await self._wait(sent, caller_timeout_s=rng.uniform(1.0, 15.0))
            if sent.reply.final_count:
                operation.final_request = sent
            if _is_final(sent):
                break
            await asyncio.sleep(rng.uniform(0.0, 2.0) * (number + 1))
        if rng.random() < LATE_RESEND_RATIO:
            await asyncio.sleep(rng.uniform(20.0, 120.0))
            await self._wait(self._send(operation, resend=True),
                             caller_timeout_s=20.0)

    def _send(self,
              operation: Operation,
              resend: bool,
              body: bytes = b'{}') -> SentRequest:
        self.world.call_service(self._pick_vm(),
                                operation.service,
                                operation.key,
                                body,
                                resend=resend)
        sent = self.world.sent_requests[-1]
        operation.attempts.append(sent)
        return sent

    def _pick_vm(self) -> Vm:
        """Return a VM as the balancer does, which knows of no paused VM."""
        return self.rng.choice(self.world.vms)

    async def _wait(self, sent: SentRequest, caller_timeout_s: float) -> None:
        until = asyncio.get_running_loop().time() + caller_timeout_s
        while not sent.reply.final_count and not sent.interrupted:
            left = until - asyncio.get_running_loop().time()
            if left <= MIN_WAIT_S:
                self.world.disconnect_caller(sent)
                return
            try:
                await asyncio.wait_for(sent.reply.done.wait(),
                                       min(left, INTERRUPTION_POLL_INTERVAL_S))
            except TimeoutError:
                continue


def _is_final(sent: SentRequest) -> bool:
    """Whether a resend would be pointless."""
    if sent.reply.status is not None:
        return True
    refusal = sent.reply.refusal
    return refusal is not None and refusal.retry_after_s is None
