"""State machines of the things that live for a while.

One `transitions` machine serves all instances of a kind; an instance keeps
its phase in its own attribute, so that no machine is built per request.
"""

import enum
from typing import Any

import transitions


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
