"""Requests, load balancer and load reports for an in-memory world."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

import attrs

from plantainridge import config
from plantainridge import events as ev
from plantainridge.ids import TeamId
from plantainridge.loop.events import Event
from plantainridge.standins.engine import PREFILL_TOKENS_PER_S
from plantainridge.standins.memory import Reply
from plantainridge.standins.world import MODEL, Vm, World, sample_config

REPORT_INTERVAL_S: Final = 0.25
REPORT_LAG_S: Final = 0.1
PROBE_INTERVAL_S: Final = 0.5


@attrs.frozen
class RequestSpec:
    """Specification of one request.

    Attributes:
        text: The prompt; unique.
        resends: Maximum number of resends after a refusal or a broken
            connection.
    """

    team: TeamId
    text: str = attrs.field(repr=False)
    max_tokens: int
    resends: int = 0


def config_with_teams(teams: list[config.Team], engines: int) -> config.Config:
    """Return the sample configuration with the given teams."""
    return attrs.evolve(sample_config(engines),
                        teams={team.id: team for team in teams})


def new_team(name: str,
             priority: int = 1,
             first_token_s: float = 1.5,
             max_running: int = 1_000) -> config.Team:
    """Return a team that may call the sample model."""
    return config.Team(TeamId(name), 'ab' * 32, priority, first_token_s,
                       max_running, frozenset([MODEL]))


class Platform:
    """Load reports and load balancer of the platform.

    Attributes:
        ready: VMs to which the balancer sends requests, by its last probe.
    """

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.rng = random.Random(seed)
        self.ready: list[Vm] = []
        self.tasks = [
            asyncio.create_task(self._repeat(act, period_s))
            for act, period_s in ((self.report_loads, REPORT_INTERVAL_S),
                                  (self.probe, PROBE_INTERVAL_S))
        ]

    def stop(self) -> None:
        """Cancel the periodic tasks."""
        for task in self.tasks:
            task.cancel()

    def pick(self) -> Vm | None:
        """Return a ready VM chosen by the balancer, or None."""
        return self.rng.choice(self.ready) if self.ready else None

    def report_loads(self) -> None:
        """Send each live engine's load report, which arrives after a lag."""
        loop = asyncio.get_running_loop()
        for engine in self.world.engines.values():
            if not engine.alive:
                continue
            report = ev.LoadReported(engine.name, loop.time(),
                                     len(engine.running),
                                     engine.waiting_tokens(),
                                     PREFILL_TOKENS_PER_S, engine.version)
            loop.call_later(REPORT_LAG_S, self._post_all, report)

    def probe(self) -> None:
        """Update the set of ready VMs."""
        self.ready = [vm for vm in self.live() if vm.state.ready]

    def live(self) -> list[Vm]:
        """List the VMs whose process is running."""
        return [vm for vm in self.world.vms if not vm.runtime.halted]

    def _post_all(self, event: Event) -> None:
        for vm in self.live():
            vm.runtime.post(event)

    async def _repeat(self, act: Callable[[], None], period_s: float) -> None:
        while True:
            act()
            await asyncio.sleep(period_s)


@attrs.define
class Outcome:
    """Outcome of one request over all its sends.

    Attributes:
        spec: The request.
        replies: What the caller received for each send.
    """

    spec: RequestSpec
    replies: list[Reply] = attrs.field(factory=list)

    @property
    def complete(self) -> bool:
        """Whether the last send got a complete answer."""
        return bool(self.replies) and self.replies[-1].ended is not None

    @property
    def first_token_s(self) -> float:
        """Time to first token of the last send, in s; infinite without one."""
        last = self.replies[-1]
        if last.first_token_at is None:
            return float('inf')
        return last.first_token_at - last.sent_at
