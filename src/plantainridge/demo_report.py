"""Table of the demo: outcomes of each team."""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Final

from plantainridge.demo_callers import Outcome
from plantainridge.standins.site import Site

_HEADER: Final = (f'{"team":<18}{"requests":>9}{"whole":>7}{"refused":>9}'
                  f'{"p50 s":>8}{"p95 s":>8}{"recomputed":>12}  reasons')


def recomputed_share(outcomes: Sequence[Outcome]) -> float:
    """Return the share of prompt tokens that were recomputed."""
    total = sum(outcome.prompt_tokens for outcome in outcomes)
    cached = sum(outcome.cached_tokens for outcome in outcomes)
    return 1 - cached / total if total else 0.0


def _percentile(values: Sequence[float], fraction: float) -> str:
    if not values:
        return '-'
    ranked = sorted(values)
    return f'{ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]:.3f}'


def table(name: str, outcomes: Sequence[Outcome], site: Site) -> Iterator[str]:
    """Yield the lines of one deployment's table."""
    yield ''
    yield f'{name}: recomputed counts prompts on their return'
    yield _HEADER
    for team in site.config.teams:
        yield _row(team,
                   [outcome for outcome in outcomes if outcome.team == team])
    for store in site.stores.values():
        rate = store.link.bytes_per_s
        yield (f'link of {store.name}: {store.link.moved_bytes / 1e6:.0f} MB '
               f'moved, {store.link.moved_bytes / rate:.2f} s of its time')


def _row(team: str, outcomes: Sequence[Outcome]) -> str:
    reasons = Counter(outcome.reason for outcome in outcomes if outcome.reason)
    first_token_times_s = [
        outcome.first_token_s
        for outcome in outcomes
        if outcome.first_token_s is not None
    ]
    returned = [
        outcome for outcome in outcomes if outcome.visit and outcome.prompt
    ]
    return (
        f'{team:<18}{len(outcomes):>9}'
        f'{sum(outcome.whole for outcome in outcomes):>7}'
        f'{sum(reasons.values()):>9}{_percentile(first_token_times_s, 0.5):>8}'
        f'{_percentile(first_token_times_s, 0.95):>8}'
        f'{recomputed_share(returned):>12.2f}  '
        f'{", ".join(f"{n} {r}" for r, n in reasons.items())}')
