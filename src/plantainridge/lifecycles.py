"""Life cycles of requests and transfers."""

import enum
from typing import Final

from plantainridge.loop.lifecycle import LifeCycle


class RequestPhase(enum.Enum):
    """Where a request stands."""

    ADMITTED = 'admitted'
    CLAIMING = 'claiming'
    WAITING = 'waiting'
    DISPATCHED = 'dispatched'
    STREAMING = 'streaming'
    DONE = 'done'
    REFUSED = 'refused'


class TransferPhase(enum.Enum):
    """Where a movement of blocks stands."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


_LIVE: Final[list[enum.Enum]] = [
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
    ('refuse', _LIVE, RequestPhase.REFUSED),
])

TRANSFER: Final = LifeCycle(TransferPhase, [
    ('start', [TransferPhase.QUEUED], TransferPhase.RUNNING),
    ('finish', [TransferPhase.RUNNING], TransferPhase.DONE),
    ('fail', [TransferPhase.QUEUED, TransferPhase.RUNNING
             ], TransferPhase.FAILED),
    ('cancel', [TransferPhase.QUEUED, TransferPhase.RUNNING
               ], TransferPhase.CANCELLED),
])
