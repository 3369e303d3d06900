"""Tests of the bench of run-once calls."""

import unittest

from plantainridge import bench_claims
from plantainridge.standins.claim_world import ClaimPolicy


class BenchClaimsTest(unittest.TestCase):
    """The bench detects the repeated runs that claims in the log prevent."""

    def test_log_policy_prevents_repeated_runs_under_all_faults(self) -> None:
        result = bench_claims.run(seed=5, faults=60, calls_per_s=5.0)
        self.assertEqual(result['violations'], [])
        self.assertEqual(result['figures']['faults_injected'], 60)
        self.assertGreater(result['figures']['ran_once'], 100)

    def test_local_claims_allow_repeated_runs(self) -> None:
        result = bench_claims.run(seed=5,
                                  policy=ClaimPolicy.LOCAL_ONLY,
                                  faults=20,
                                  calls_per_s=5.0)
        self.assertGreater(result['figures']['ran_twice'], 0)

    def test_no_unknown_without_faults(self) -> None:
        figures = bench_claims.run(seed=5, faults=0, calls_per_s=5.0)['figures']
        self.assertEqual(figures['unknown'], 0)
        self.assertEqual(figures['ran_once'], figures['marked'])
