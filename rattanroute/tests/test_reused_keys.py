"""Tests of idempotency keys that are used again after their retention."""

import unittest

from rattanroute.actions import Execution
from rattanroute.systems.claim_holders import KEY_RETENTION_SECONDS
from rattanroute.tests.test_claims import answer_of
from rattanroute.tests.test_claims import ClaimCluster

KEY = "dc-a/k"
# Claims expire once in ten seconds, at another moment on each holder.
EXPIRY_DELAY_SECONDS = 8.0


class ReusedKeyTest(unittest.TestCase):
    """Guards against a claim that one holder keeps longer than the others."""

    def build_cluster(self) -> ClaimCluster:
        """Builds holders of which only h2 still has the answer to a key."""
        cluster = ClaimCluster()
        cluster.ask("e0", KEY, "old")
        cluster.network.run_until(KEY_RETENTION_SECONDS + 5.0)
        late = cluster.systems["h2"]
        late.next_cleanup = cluster.network.now + EXPIRY_DELAY_SECONDS
        cluster.run(0.1)
        sizes = [
            len(cluster.systems[name].holders["dc-a"].table)
            for name in ("h0", "h1", "h2")
        ]
        self.assertEqual(sizes, [0, 0, 1])
        return cluster

    def test_refusal_of_a_repeat_is_true(self) -> None:
        """Guards against `not_run` for a call that ran under a reused key."""
        cluster = self.build_cluster()
        cluster.network.cut({"h2"}, {"e0"})
        self.assertTrue(cluster.ask("e0", KEY, "new").granted)
        cluster.network.cut({"h0", "h1"}, {"e1"})
        refusal = cluster.ask("e1", KEY, "new").refusal
        self.assertEqual(refusal.execution, Execution.UNKNOWN)
        self.assertEqual(cluster.violations, [])

    def test_repeat_gets_the_answer_of_its_content(self) -> None:
        """Guards against a refusal that depends on which holder is first."""
        cluster = self.build_cluster()
        cluster.network.cut({"h2"}, {"e0"})
        self.assertTrue(cluster.ask("e0", KEY, "new").granted)
        cluster.network.cuts.clear()
        for _ in range(2):
            decision = cluster.ask("h2", KEY, "new")
            self.assertEqual(decision.answer, answer_of(("w" + KEY, "new")))
        self.assertEqual(cluster.violations, [])


if __name__ == "__main__":
    unittest.main()
