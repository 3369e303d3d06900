"""Histograms per metric, team and class."""

from collections.abc import Iterator
from typing import Any, Final

from hdrh.histogram import HdrHistogram

# Histograms hold integers: readings are kept in millionths of their unit.
SCALE: Final = 1_000_000
LOWEST: Final = 1
HIGHEST: Final = 3_600 * SCALE
SIGNIFICANT_DIGITS: Final = 2

Key = tuple[str, str, str]


class Metrics:
    """All histograms of one process, by metric, team and class."""

    def __init__(self) -> None:
        self.histograms: dict[Key, Any] = {}
        self.sums: dict[Key, float] = {}

    def observe(self, metric: str, team: str, klass: str, value: float) -> None:
        """Counts a reading, in the metric's unit."""
        key = (metric, team, klass)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST, HIGHEST, SIGNIFICANT_DIGITS)
            self.histograms[key] = histogram
            self.sums[key] = 0.0
        scaled = min(HIGHEST, max(LOWEST, round(value * SCALE)))
        histogram.record_value(scaled)
        self.sums[key] += value

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
        labels = f'team="{key[1]}",class="{key[2]}"'
        for percent in (50, 95, 99):
            value = self.percentile(*key, percent)
            yield f'{name}{{{labels},quantile="{percent / 100}"}} {value}'
        count = self.histograms[key].get_total_count()
        yield f'{name}_count{{{labels}}} {count}'
        yield f'{name}_sum{{{labels}}} {self.sums[key]}'
