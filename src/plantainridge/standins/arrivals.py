"""Synthetic workload: prompts whose contexts return after minutes to days."""

import hashlib
import random
from collections.abc import Iterator
from typing import Final

import attrs

from plantainridge import blocks
from plantainridge.blocks import BLOCK_TOKENS
from plantainridge.ids import BlockKey, ModelId, TeamId, WeightVersion

DAY_S: Final = 86_400.0
# Morning peak, relative to the start of each day of the run.
PEAK_START_S: Final = 3_600.0
PEAK_LENGTH_S: Final = 480.0
MIN_GAP_S: Final = 120.0
MAX_GAP_S: Final = 2 * DAY_S
GAP_PARETO_SHAPE: Final = 0.6
NEXT_MORNING_PROBABILITY: Final = 0.45
FIRST_IN_PEAK_PROBABILITY: Final = 0.5
QUESTION_TOKENS: Final = 180
GROWTH_PROBABILITY: Final = 0.5
# Teams' shares of the contexts; a few teams hold most of them.
TEAM_SHARES: Final = (0.3, 0.2, 0.15, 0.1, 0.07, 0.06, 0.04, 0.04, 0.02, 0.02)


@attrs.frozen
class Workload:
    """Parameters of a deployment's workload.

    Attributes:
        contexts: Number of contexts.
        mean_blocks: Median length of a context, in blocks.
        max_blocks: Maximum length of a context, in blocks.
        answer_tokens: Minimum and maximum length of an answer, in tokens.
    """

    contexts: int
    mean_blocks: float
    max_blocks: int
    answer_tokens: tuple[int, int]


@attrs.frozen
class Visit:
    """One request whose prompt contains a context.

    Attributes:
        at: Time from the start of the run, in s.
        context: Number of the context.
        visit_index: Index of the visit to the context, from 0.
        tokens: Length of the prompt, in tokens.
        blocks: Keys of the prompt's complete blocks.
        vm: Random number in [0, 1) by which the balancer picks a VM.
    """

    at: float
    team: TeamId
    context: int
    visit_index: int
    tokens: int
    blocks: tuple[BlockKey, ...]
    answer_tokens: int
    vm: float

    @property
    def text(self) -> str:
        """Short unique text that stands in for the prompt."""
        return f'{self.team}/{self.context}/{self.visit_index}'


def team_name(number: int) -> TeamId:
    """Return the name of a team of the workload."""
    return TeamId(f'team-{number}')


def visits(workload: Workload, model: ModelId, version: WeightVersion,
           horizon_s: float, seed: int) -> list[Visit]:
    """Return all visits of a run, ordered by time."""
    rng = random.Random(seed)
    result: list[Visit] = []
    for context in range(workload.contexts):
        number = rng.choices(range(len(TEAM_SHARES)), TEAM_SHARES)[0]
        result += _of_context(workload, context, team_name(number), model,
                              version, horizon_s, rng)
    return sorted(result, key=lambda visit: visit.at)


def _of_context(workload: Workload, context: int, team: TeamId, model: ModelId,
                version: WeightVersion, horizon_s: float,
                rng: random.Random) -> Iterator[Visit]:
    length = min(
        workload.max_blocks,
        max(4, round(rng.lognormvariate(0, 0.6) * workload.mean_blocks)))
    seed = blocks.salt(team, model, version, '')
    keys = list(_chain(seed, context, length))
    at = _first_visit(rng)
    visit_index = 0
    while at < horizon_s:
        yield Visit(at, team, context, visit_index,
                    len(keys) * BLOCK_TOKENS + QUESTION_TOKENS, tuple(keys),
                    rng.randint(*workload.answer_tokens), rng.random())
        visit_index += 1
        at = _next_visit(at, rng)
        if rng.random() < GROWTH_PROBABILITY and len(
                keys) < workload.max_blocks:
            keys = list(_chain(seed, context, len(keys) + 1))


def _first_visit(rng: random.Random) -> float:
    if rng.random() < FIRST_IN_PEAK_PROBABILITY:
        return PEAK_START_S + rng.random() * PEAK_LENGTH_S
    return rng.random() * DAY_S


def _next_visit(at: float, rng: random.Random) -> float:
    if rng.random() < NEXT_MORNING_PROBABILITY:
        day = int(at // DAY_S) + 1
        return day * DAY_S + PEAK_START_S + rng.random() * PEAK_LENGTH_S
    gap = MIN_GAP_S * rng.paretovariate(GAP_PARETO_SHAPE)
    return at + min(gap, MAX_GAP_S)


def _chain(seed: bytes, context: int, length: int) -> Iterator[BlockKey]:
    previous = seed
    for index in range(length):
        previous = hashlib.blake2b(f'{context}/{index}'.encode(),
                                   digest_size=blocks.KEY_BYTES,
                                   key=previous).digest()
        yield BlockKey(previous.hex())
