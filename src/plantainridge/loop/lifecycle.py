"""State machines for objects with a life cycle.

One `transitions` machine is declared per kind of object; each object stores its
phase in an attribute. Valid transitions are looked up in a table, as the
machine's own dispatch takes longer than all other work of a request's step.
"""

import enum
from typing import Any

import transitions


class LifeCycle:
    """State machine of objects with a `phase` attribute."""

    def __init__(
            self, phases: type[enum.Enum],
            transition_rows: list[tuple[str, list[enum.Enum],
                                        enum.Enum]]) -> None:
        self.machine = transitions.Machine(
            model=None,
            states=phases,
            initial=None,
            auto_transitions=False,
            model_attribute='phase',
            transitions=[{
                'trigger': trigger,
                'source': sources,
                'dest': dest
            } for trigger, sources, dest in transition_rows])
        self._transitions = {
            (trigger, source): dest
            for trigger, sources, dest in transition_rows for source in sources
        }

    def fire(self, instance: Any, trigger: str) -> None:
        """Apply a trigger to an object and change its phase.

        Raises:
            transitions.MachineError: The trigger is invalid in this phase.
        """
        dest = self._transitions.get((trigger, instance.phase))
        if dest is None:
            # Raises a MachineError that names the trigger and the phase.
            self.machine.events[trigger].trigger(instance)
            return
        instance.phase = dest
