"""Engine that crashes on marked prompts."""

import asyncio
from typing import Any, Final

from plantainridge.standins.engine import EngineModel, Job

# A prompt that contains this text crashes each engine that computes it.
CRASH_MARK: Final = 'crashes the engine'
RESTART_S: Final = 3.0


class CrashingEngine(EngineModel):
    """Engine that crashes when the prefill of a marked prompt is done.

    Attributes:
        crashed_by: The prompts that crashed it.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.crashed_by: list[str] = []

    def on_prefilled(self, job: Job) -> None:
        """Crash on a marked prompt and restart after `RESTART_S`."""
        if CRASH_MARK not in job.prompt:
            return
        self.crashed_by.append(job.prompt)
        self.crash()
        asyncio.get_running_loop().call_later(RESTART_S, self._restart)

    def _restart(self) -> None:
        self.alive = True
