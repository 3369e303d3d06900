"""Histograms of measurements by metric, team and class."""

from collections.abc import Iterator
from typing import Any, Final

from hdrh.histogram import HdrHistogram

# Histograms record integers: values are stored in millionths of their unit.
SCALE: Final = 1_000_000
MIN_SCALED_VALUE: Final = 1
MAX_SCALED_VALUE: Final = 3_600 * SCALE
SIGNIFICANT_DIGITS: Final = 2
COUNTER_BYTES: Final = 4
# A histogram takes about 14 kB, and a node serves more teams in a day than it
# has memory for.
MAX_HISTOGRAMS: Final = 1_500
PERCENTILES: Final = (50, 95, 99)

HistogramKey = tuple[str, str, str]


class Metrics:
    """Histograms of one process, by metric, team and class.

    If there are too many, the least recently used ones are evicted.

    Attributes:
        max_histograms: Limit of the number of histograms.
        histograms: The histograms, least recently used first.
        sums: Sum of each histogram's values, in the metric's unit.
        dropped: Number of histograms evicted so far.
    """

    def __init__(self, max_histograms: int = MAX_HISTOGRAMS) -> None:
        self.max_histograms = max_histograms
        self.histograms: dict[HistogramKey, Any] = {}
        self.sums: dict[HistogramKey, float] = {}
        self.dropped = 0

    def observe(self, metric: str, team: str, klass: str, value: float) -> None:
        """Record a value, in the metric's unit."""
        key = (metric, team, klass)
        histogram = self.histograms.pop(key, None)
        if histogram is None:
            histogram = HdrHistogram(MIN_SCALED_VALUE,
                                     MAX_SCALED_VALUE,
                                     SIGNIFICANT_DIGITS,
                                     word_size=COUNTER_BYTES)
            self.sums[key] = 0.0
            self._evict_histograms()
        self.histograms[key] = histogram
        scaled = min(MAX_SCALED_VALUE,
                     max(MIN_SCALED_VALUE, round(value * SCALE)))
        histogram.record_value(scaled)
        self.sums[key] += value

    def _evict_histograms(self) -> None:
        while len(self.histograms) >= self.max_histograms:
            oldest = next(iter(self.histograms))
            del self.histograms[oldest], self.sums[oldest]
            self.dropped += 1

    def count(self, metric: str, team: str, klass: str) -> int:
        """Return the number of values that a histogram has recorded."""
        histogram = self.histograms.get((metric, team, klass))
        return 0 if histogram is None else int(histogram.get_total_count())

    def rows(self) -> Iterator[dict[str, Any]]:
        """Yield a summary of each histogram, for JSON."""
        for key in sorted(self.histograms):
            row: dict[str, Any] = {
                'metric': key[0],
                'team': key[1],
                'class': key[2],
                'count': self.count(*key),
                'sum': self.sums[key],
            }
            for percent in PERCENTILES:
                row[f'p{percent}'] = self.percentile(*key, percent)
            yield row

    def percentile(self, metric: str, team: str, klass: str,
                   percent: float) -> float | None:
        """Return a percentile in the metric's unit, or None without values."""
        histogram = self.histograms.get((metric, team, klass))
        if histogram is None or histogram.get_total_count() == 0:
            return None
        return float(histogram.get_value_at_percentile(percent)) / SCALE

    def prometheus(self) -> Iterator[str]:
        """Yield lines of the Prometheus text format, as summaries."""
        metrics = sorted({key[0] for key in self.histograms})
        for metric in metrics:
            name = f'plantainridge_{metric}'
            yield f'# TYPE {name} summary'
            for key in sorted(self.histograms):
                if key[0] == metric:
                    yield from self._summary_lines(name, key)

    def _summary_lines(self, name: str, key: HistogramKey) -> Iterator[str]:
        labels = f'team="{_escape(key[1])}",class="{_escape(key[2])}"'
        for percent in PERCENTILES:
            value = self.percentile(*key, percent)
            yield f'{name}{{{labels},quantile="{percent / 100}"}} {value}'
        count = self.count(*key)
        yield f'{name}_count{{{labels}}} {count}'
        yield f'{name}_sum{{{labels}}} {self.sums[key]}'


def _escape(label: str) -> str:
    return label.replace('\\', r'\\').replace('"', r'\"').replace('\n', r'\n')
