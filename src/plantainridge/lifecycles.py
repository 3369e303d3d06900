"""State machines of requests and transfers."""

import enum
from typing import Final

from plantainridge.loop.lifecycle import LifeCycle


class RequestPhase(enum.Enum):
    """Phases of a request."""

    ADMITTED = 'admitted'
    CLAIMING = 'claiming'
    WAITING = 'waiting'
    DISPATCHED = 'dispatched'
    STREAMING = 'streaming'
    DONE = 'done'
    REFUSED = 'refused'


class TransferPhase(enum.Enum):
    """Phases of a transfer of blocks."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


_ACTIVE: Final[list[enum.Enum]] = [
    RequestPhase.ADMITTED, RequestPhase.CLAIMING, RequestPhase.WAITING,
    RequestPhase.DISPATCHED, RequestPhase.STREAMING
]

REQUEST: Final = LifeCycle(RequestPhase, [
    ('claim', [RequestPhase.ADMITTED], RequestPhase.CLAIMING),
    ('dispatch', [
        RequestPhase.ADMITTED, RequestPhase.CLAIMING, RequestPhase.WAITING,
        RequestPhase.DISPATCHED, RequestPhase.STREAMING
    ], RequestPhase.DISPATCHED),
    ('wait', [
        RequestPhase.ADMITTED, RequestPhase.WAITING, RequestPhase.DISPATCHED,
        RequestPhase.STREAMING
    ], RequestPhase.WAITING),
    ('stream', [RequestPhase.DISPATCHED, RequestPhase.STREAMING
               ], RequestPhase.STREAMING),
    ('finish', [RequestPhase.DISPATCHED, RequestPhase.STREAMING
               ], RequestPhase.DONE),
    ('refuse', _ACTIVE, RequestPhase.REFUSED),
])

TRANSFER: Final = LifeCycle(TransferPhase, [
    ('start', [TransferPhase.QUEUED], TransferPhase.RUNNING),
    ('finish', [TransferPhase.RUNNING], TransferPhase.DONE),
    ('fail', [TransferPhase.QUEUED, TransferPhase.RUNNING
             ], TransferPhase.FAILED),
    ('cancel', [TransferPhase.QUEUED, TransferPhase.RUNNING
               ], TransferPhase.CANCELLED),
])
