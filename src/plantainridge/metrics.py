"""Histograms per metric, team and class."""

from collections.abc import Iterator
from typing import Any, Final

from hdrh.histogram import HdrHistogram

# Histograms hold integers: readings are kept in millionths of their unit.
SCALE: Final = 1_000_000
LOWEST: Final = 1
HIGHEST: Final = 3_600 * SCALE
SIGNIFICANT_DIGITS: Final = 2
WORD_BYTES: Final = 4
# One takes about 14 kB; a node meets more teams in a day than it has room for.
MAX_HISTOGRAMS: Final = 1_500
PERCENTS: Final = (50, 95, 99)

Key = tuple[str, str, str]


class Metrics:
    """Histograms of one process, by metric, team and class.

    The least recently used go first where there are too many.

    Attributes:
        dropped: How many histograms were dropped.
    """

    def __init__(self, max_histograms: int = MAX_HISTOGRAMS) -> None:
        self.max_histograms = max_histograms
        self.histograms: dict[Key, Any] = {}
        self.sums: dict[Key, float] = {}
        self.dropped = 0

    def observe(self, metric: str, team: str, klass: str, value: float) -> None:
        """Counts a reading, in the metric's unit."""
        key = (metric, team, klass)
        histogram = self.histograms.pop(key, None)
        if histogram is None:
            histogram = HdrHistogram(LOWEST,
                                     HIGHEST,
                                     SIGNIFICANT_DIGITS,
                                     word_size=WORD_BYTES)
            self.sums[key] = 0.0
            self._make_room()
        self.histograms[key] = histogram
        scaled = min(HIGHEST, max(LOWEST, round(value * SCALE)))
        histogram.record_value(scaled)
        self.sums[key] += value

    def _make_room(self) -> None:
        while len(self.histograms) >= self.max_histograms:
            oldest = next(iter(self.histograms))
            del self.histograms[oldest], self.sums[oldest]
            self.dropped += 1

    def count(self, metric: str, team: str, klass: str) -> int:
        """Returns how many readings a histogram holds."""
        histogram = self.histograms.get((metric, team, klass))
        return 0 if histogram is None else int(histogram.get_total_count())

    def rows(self) -> Iterator[dict[str, Any]]:
        """Yields each histogram's figures, for JSON."""
        for key in sorted(self.histograms):
            row: dict[str, Any] = {
                'metric': key[0],
                'team': key[1],
                'class': key[2],
                'count': self.count(*key),
                'sum': self.sums[key],
            }
            for percent in PERCENTS:
                row[f'p{percent}'] = self.percentile(*key, percent)
            yield row

    def percentile(self, metric: str, team: str, klass: str,
                   percent: float) -> float | None:
        """Returns a percentile in the metric's unit, or None if unseen."""
        histogram = self.histograms.get((metric, team, klass))
        if histogram is None or histogram.get_total_count() == 0:
            return None
        return float(histogram.get_value_at_percentile(percent)) / SCALE

    def prometheus(self) -> Iterator[str]:
        """Yields lines of the Prometheus text format, as summaries."""
        metrics = sorted({key[0] for key in self.histograms})
        for metric in metrics:
            name = f'plantainridge_{metric}'
            yield f'# TYPE {name} summary'
            for key in sorted(self.histograms):
                if key[0] == metric:
                    yield from self._lines(name, key)

    def _lines(self, name: str, key: Key) -> Iterator[str]:
        labels = f'team="{_escape(key[1])}",class="{_escape(key[2])}"'
        for percent in PERCENTS:
            value = self.percentile(*key, percent)
            yield f'{name}{{{labels},quantile="{percent / 100}"}} {value}'
        count = self.count(*key)
        yield f'{name}_count{{{labels}}} {count}'
        yield f'{name}_sum{{{labels}}} {self.sums[key]}'


def _escape(label: str) -> str:
    return label.replace('\\', r'\\').replace('"', r'\"').replace('\n', r'\n')
