"""Tests of the benchmark of returning prompts, at a small size."""

import unittest

from plantainridge import bench_returning


class SmallRunTest(unittest.TestCase):
    """Every policy gives complete answers, and figures are reproducible."""

    def test_runs_every_policy_without_a_violation(self) -> None:
        for deployment, days in (('luminar', 0), ('scordato', 1)):
            with self.subTest(deployment):
                result = bench_returning.run(deployment, 5, days, contexts=12)
                self.assertEqual(result['violations'], [])
                self.assertEqual(list(result['figures']),
                                 list(bench_returning.POLICIES))
                for figures in result['figures'].values():
                    self.assertGreater(figures['goodput_rps'], 0)
                    self.assertEqual(figures['refused'], 0)

    def test_a_seed_reproduces_the_figures(self) -> None:
        first, second = (
            bench_returning.run('scordato', 7, 0, 6) for _ in range(2))
        self.assertEqual(first, second)
