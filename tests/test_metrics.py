"""Tests of the histograms."""

import unittest

from plantainridge.metrics import Metrics


class EvictionTest(unittest.TestCase):
    """The number of histograms is bounded."""

    def test_evicts_the_least_recently_used(self) -> None:
        metrics = Metrics(max_histograms=2)
        for team in ('a', 'b', 'a', 'c'):
            metrics.observe('first_token_s', team, '', 0.5)
        self.assertEqual(metrics.count('first_token_s', 'a', ''), 2)
        self.assertEqual(metrics.count('first_token_s', 'b', ''), 0)
        self.assertEqual(metrics.dropped, 1)


class PrometheusTest(unittest.TestCase):
    """The Prometheus text format shows the recorded values."""

    def test_escapes_labels_and_counts(self) -> None:
        metrics = Metrics()
        metrics.observe('first_token_s', 'a"b\\', 'x', 0.25)
        lines = list(metrics.prometheus())
        self.assertIn(
            r'plantainridge_first_token_s_count'
            r'{team="a\"b\\",class="x"} 1', lines)
        self.assertAlmostEqual(
            metrics.percentile('first_token_s', 'a"b\\', 'x', 50) or 0.0,
            0.25,
            delta=0.25 / 100)
