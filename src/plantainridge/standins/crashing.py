"""Engine that some prompts crash."""

import asyncio
from typing import Any, Final

from plantainridge.standins.engine import EngineModel, Job

# A prompt that holds this text crashes each engine that computes it.
CRASH_MARK: Final = 'crashes the engine'
RESTART_S: Final = 3.0


class CrashingEngine(EngineModel):
    """An engine that marked prompts crash as their prefill is done.

    Attributes:
        crashed_by: The prompts that crashed it.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.crashed_by: list[str] = []

    def on_prefilled(self, job: Job) -> None:
        """Crash under a marked prompt and starts again after a while."""
        if CRASH_MARK not in job.prompt:
            return
        self.crashed_by.append(job.prompt)
        self.crash()
        asyncio.get_running_loop().call_later(RESTART_S, self._restart)

    def _restart(self) -> None:
        self.alive = True
