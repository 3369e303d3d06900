"""State machines of the things that live for a while.

One `transitions` machine declares a kind; an instance keeps its phase in an
attribute. Most steps are looked up in a table made from the machine, since its
own dispatch takes longer than all else that a step of a request does.
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
        self._steps = {
            (trigger, source): dest for trigger, sources, dest in rows
            for source in sources
        }

    def fire(self, instance: Any, trigger: str) -> None:
        """Moves an instance on.

        Raises:
            transitions.MachineError: The phase does not allow it.
        """
        dest = self._steps.get((trigger, instance.phase))
        if dest is None:
            # Raises, and says what would have been allowed.
            self.machine.events[trigger].trigger(instance)
            return
        instance.phase = dest
