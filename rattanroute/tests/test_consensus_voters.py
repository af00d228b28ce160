"""Tests of a leader that maintains the number of voters by itself."""

import unittest

from rattanroute.tests.consensus_support import Cluster

DOWN_SECONDS = 1000.0
SEEDS = range(8)


def list_voters(cluster: Cluster) -> set[str]:
    """Returns the voters as the leader sees them."""
    leader = cluster.find_leader()
    membership = cluster.vms[leader].node.state.log.membership
    return {member.vm_id for member in membership.voters}


class VoterReplacementTest(unittest.TestCase):
    """Guards against a quorum that is lost after a voter was replaced."""

    def build(self, seed: int, non_voters: int) -> Cluster:
        """Builds a cluster of three voters that has a leader."""
        cluster = Cluster(
            seed=seed, voters=3, non_voters=non_voters, voter_target=3
        )
        cluster.run(6)
        self.assertTrue(cluster.find_leader())
        return cluster

    def test_new_member_replaces_a_stopped_voter(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.build(seed, non_voters=0)
                cluster.crash("v1", DOWN_SECONDS)
                cluster.run(8)
                self.add_unknown_vm(cluster)
                cluster.run(15)
                self.assertEqual(list_voters(cluster), {"v0", "v2", "v3"})

    def test_log_survives_a_second_loss_after_a_replacement(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.build(seed, non_voters=1)
                cluster.crash("v1", DOWN_SECONDS)
                cluster.run(15)
                cluster.crash("v2", DOWN_SECONDS)
                cluster.run(10)
                leader = cluster.find_leader()
                entry = cluster.propose(leader, b"c:0:1")
                cluster.run(2)
                self.assertIn(entry.index, cluster.committed)

    def test_learner_is_not_promoted_while_all_voters_answer(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.build(seed, non_voters=2)
                cluster.run(20)
                self.assertEqual(list_voters(cluster), {"v0", "v1", "v2"})

    def test_voter_that_restarts_quickly_is_kept(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.build(seed, non_voters=1)
                cluster.crash("v1", 1.0)
                cluster.run(15)
                self.assertEqual(list_voters(cluster), {"v0", "v1", "v2"})

    def test_voters_grow_to_the_target(self) -> None:
        cluster = Cluster(seed=1, voters=3, non_voters=2, voter_target=5)
        cluster.run(20)
        self.assertEqual(len(list_voters(cluster)), 5)

    def test_without_target_membership_stays(self) -> None:
        cluster = Cluster(seed=1, voters=3, non_voters=1)
        cluster.crash("v1", DOWN_SECONDS)
        cluster.run(20)
        self.assertEqual(list_voters(cluster), {"v0", "v1", "v2"})

    def add_unknown_vm(self, cluster: Cluster) -> None:
        """Starts a VM that the members do not know yet."""
        donor = Cluster(seed=99, voters=1, non_voters=3, voter_target=3)
        cluster.vms["v3"] = donor.vms["v3"]
        cluster.start("v3")
