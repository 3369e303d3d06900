"""Tests of the bench of returning prompts, at a small size."""

import unittest

from plantainridge import bench_returning


class SmallRunTest(unittest.TestCase):
    """Every policy gives whole answers, and a seed gives the same figures."""

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

    def test_a_seed_gives_the_same_figures_again(self) -> None:
        first, again = (
            bench_returning.run('scordato', 7, 0, 6) for _ in range(2))
        self.assertEqual(first, again)
