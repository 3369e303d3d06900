"""State machines of the things that live for a while.

One `transitions` machine serves all instances of a kind; an instance keeps
its phase in its own attribute, so that no machine is built per request.
"""

import enum
from typing import Any, Final

import transitions


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


class LifeCycle:
    """A kind's machine, applied to instances with a `phase` attribute."""

    def __init__(self, phases: type[enum.Enum],
                 rows: list[tuple[str, list[enum.Enum], enum.Enum]]) -> None:
        self.machine = transitions.Machine(model=None,
                                           states=phases,
                                           initial=None,
                                           auto_transitions=False,
                                           model_attribute='phase',
                                           transitions=[{
                                               'trigger': trigger,
                                               'source': sources,
                                               'dest': dest
                                           } for trigger, sources, dest in rows
                                                       ])

    def fire(self, instance: Any, trigger: str) -> None:
        """Moves an instance on.

        Raises:
            transitions.MachineError: The phase does not allow it.
        """
        self.machine.events[trigger].trigger(instance)


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
