"""Tests of the distribution of configurations to every VM."""

import dataclasses
import unittest

from rattanroute import codecs
from rattanroute.actions import SendMessage
from rattanroute.messages.distributions import SnapshotRequest
from rattanroute.messages.distributions import VersionAnswer
from rattanroute.messages.distributions import VersionQuery
from rattanroute.systems import snapshot_transfers
from rattanroute.systems import version_answers
from rattanroute.systems.snapshot_transfers import SnapshotReader
from rattanroute.tables import configuration_replicas
from rattanroute.tables.changes import Drain
from rattanroute.tables.changes import Operation
from rattanroute.tables.changes import PutNeighbour
from rattanroute.tables.configurations import DrainKind
from rattanroute.tables.configurations import Neighbour
from rattanroute.tests.distribution_support import FakeCluster
from rattanroute.tests.distribution_support import put_workspaces

# Stated goals: p99 of the time until a change is in force in one region, and
# the time to catch up after a partition heals.
IN_FORCE_SECONDS = 1.0
# Time in which a VM that starts together with all others serves, once a voter
# runs.
START_SECONDS = 0.5
CATCH_UP_SECONDS = 2.0


def drain(name: str = "t1", kind: DrainKind = DrainKind.TARGET) -> Operation:
    """Builds an operation that drains a target or VM."""
    return Drain(kind=kind, name=name)


class DistributionCase(unittest.TestCase):
    """Base class with clusters that have a first version in force."""

    def build_cluster(self, **values: int) -> FakeCluster:
        cluster = FakeCluster(**values)
        version = cluster.change(
            PutNeighbour(entity=Neighbour(name="n", share=0.5))
        )
        cluster.seconds_until(version)
        return cluster

    def check_equal(self, cluster: FakeCluster) -> None:
        """Checks that all running VMs hold the voters' configuration."""
        expected = next(iter(cluster.logs.values())).machine.replica
        for vm_id, system in cluster.vms.items():
            if vm_id not in cluster.down:
                self.assertEqual(
                    system.configuration, expected.configuration, vm_id
                )
                self.assertEqual(
                    configuration_replicas.hash_content(
                        system.replica.content()
                    ),
                    expected.content_hash,
                )


class PropagationTest(DistributionCase):
    """Guards against VMs that keep an old configuration."""

    def test_change_is_in_force_everywhere_in_time(self) -> None:
        cluster = self.build_cluster(data_centres=3, vms=8)
        times = []
        for number in range(100):
            version = cluster.change(drain(f"t{number}"))
            times.append(cluster.seconds_until(version))
        self.assertLess(max(times), IN_FORCE_SECONDS)
        self.check_equal(cluster)

    def test_network_that_loses_reorders_and_duplicates(self) -> None:
        for seed in range(5):
            cluster = self.build_cluster(seed=seed)
            cluster.loss = 0.2
            cluster.duplication = 0.2
            cluster.delay_ticks = 6
            for number in range(60):
                version = cluster.change(drain(f"t{number % 7}"))
                cluster.run(0.2)
            self.assertLess(cluster.seconds_until(version), 10.0)
            self.check_equal(cluster)

    def test_lost_push_is_detected(self) -> None:
        cluster = self.build_cluster()
        cluster.loss = 1.0
        version = cluster.change(drain())
        cluster.step()
        cluster.loss = 0.0
        self.assertLess(cluster.seconds_until(version), CATCH_UP_SECONDS)

    def test_dead_relay_is_bypassed_before_membership_detects_it(self) -> None:
        cluster = self.build_cluster()
        cluster.run(2.0)
        cluster.stop("dc1-0")
        version = cluster.change(drain())
        self.assertLess(cluster.seconds_until(version), 5.0)

    def test_next_vm_takes_over_from_a_dead_relay(self) -> None:
        cluster = self.build_cluster()
        cluster.stop("dc1-0")
        cluster.dead.add("dc1-0")
        cluster.run(1.0)
        version = cluster.change(drain())
        self.assertLess(cluster.seconds_until(version), IN_FORCE_SECONDS)

    def test_draining_vm_is_not_a_relay(self) -> None:
        cluster = self.build_cluster()
        system = cluster.vms["dc0-1"]
        drained = system.build_relay_selector().relays("dc1")[0]
        version = cluster.change(drain(drained, DrainKind.VM))
        cluster.seconds_until(version)
        others = {"dc1-0", "dc1-1", "dc1-2"} - {drained}
        relays = system.build_relay_selector().relays("dc1")
        self.assertEqual(set(relays), others)

    def test_relay_whose_log_is_cut_off_delays_no_versions(self) -> None:
        cluster = self.build_cluster(voter_number=0)
        cluster.run(2.0)
        cluster.logs["dc1-0"].connected = False
        version = cluster.change(drain())
        cluster.run(IN_FORCE_SECONDS)
        self.assertEqual(cluster.find_outdated(version), {"dc1-0"})
        cluster.run(5.0)
        cluster.loss = 1.0
        version = cluster.change(drain("t2"))
        cluster.step()
        cluster.loss = 0.0
        # Limit of the stated goal at design scale, here without the push.
        cluster.run(10.0)
        self.assertEqual(cluster.find_outdated(version), {"dc1-0"})

    def test_relay_that_only_the_voters_select_forwards(self) -> None:
        cluster = self.build_cluster()
        cluster.run(2.0)
        # The VMs of dc1 still see dc1-0 as alive; the voters know it as dead.
        cluster.stop("dc1-0")
        for vm_id in cluster.logs:
            cluster.vms[vm_id].peers.dead = {"dc1-0"}
        version = cluster.change(drain())
        self.assertLess(cluster.seconds_until(version), 0.5)


class PartitionTest(DistributionCase):
    """Guards against reverted or lost configurations in a partition."""

    def test_partitioned_data_centre_ages_and_catches_up(self) -> None:
        for seed in range(5):
            cluster = self.build_cluster(seed=seed)
            cluster.run(2.0)
            cluster.partition("dc2")
            for number in range(20):
                version = cluster.change(drain(f"t{number}"))
                cluster.run(0.5)
            for vm_id, system in cluster.vms.items():
                if vm_id.startswith("dc2"):
                    self.assertEqual(system.configuration.version, 1)
                    self.assertTrue(system.ready)
                    self.assertGreater(system.freshness.age_s(cluster.now), 9.0)
                else:
                    self.assertLess(system.freshness.age_s(cluster.now), 3.0)
            cluster.heal()
            self.assertLess(cluster.seconds_until(version), CATCH_UP_SECONDS)
            cluster.run(2.0)
            for system in cluster.vms.values():
                self.assertLess(system.freshness.age_s(cluster.now), 3.0)

    def test_data_centre_that_reaches_no_voter(self) -> None:
        """Guards against an old version where no voter is reachable.

        Connections to voters can fail while those to other VMs work.
        """
        for seed in range(5):
            cluster = self.build_cluster(seed=seed)
            cluster.run(2.0)
            cluster.cut_off_from_voters("dc2")
            for number in range(4):
                version = cluster.change(drain(f"t{number}"))
                seconds = cluster.seconds_until(version)
                self.assertLess(seconds, CATCH_UP_SECONDS)

    def test_vm_that_restarts_in_a_partition_gets_the_last_version(
        self,
    ) -> None:
        cluster = self.build_cluster()
        cluster.run(2.0)
        cluster.partition("dc2")
        # Without its voter the data centre only has the copies on other VMs.
        cluster.stop("dc2-3")
        cluster.run(5.0)
        system = cluster.start("dc2-0")
        self.assertFalse(system.ready)
        cluster.run(3.0)
        self.assertTrue(system.ready)
        self.assertEqual(system.configuration.version, 1)
        self.assertGreater(system.freshness.age_s(cluster.now), 7.0)

    def test_new_vm_in_a_partition_with_a_dead_relay(self) -> None:
        cluster = self.build_cluster()
        cluster.run(2.0)
        cluster.partition("dc2")
        cluster.stop("dc2-3")
        cluster.stop("dc2-0")
        system = cluster.start("dc2-2")
        cluster.run(5.0)
        self.assertTrue(system.ready)
        self.assertEqual(system.configuration.version, 1)

    def test_relay_queries_a_vm_with_a_newer_version(self) -> None:
        cluster = self.build_cluster()
        system = cluster.start("dc1-0")
        query = VersionQuery(version=1, content_hash=1)
        actions = system.receive(peer="dc1-1", message=query, now=0.0)
        self.assertEqual(actions[0].peer, "dc1-1")
        self.assertIsInstance(actions[0].message, VersionQuery)

    def test_vm_that_starts_isolated_is_not_ready(self) -> None:
        cluster = self.build_cluster()
        cluster.partition("dc2")
        for number in range(4):
            cluster.stop(f"dc2-{number}")
        system = cluster.start("dc2-1")
        cluster.run(10.0)
        self.assertFalse(system.ready)
        self.assertIsNone(system.freshness.age_s(cluster.now))
        cluster.heal()
        cluster.run(CATCH_UP_SECONDS)
        self.assertTrue(system.ready)

    def test_voter_without_a_majority_reports_its_age(self) -> None:
        cluster = self.build_cluster()
        cluster.run(1.0)
        cluster.partition("dc0")
        cluster.run(10.0)
        age = cluster.vms["dc0-3"].freshness.age_s(cluster.now)
        self.assertAlmostEqual(age, 10.0, delta=0.5)

    def test_observation_of_other_content_does_not_refresh(self) -> None:
        cluster = self.build_cluster()
        system = cluster.vms["dc1-1"]
        before = system.freshness.last_current_at
        for version in (1, 9):
            answer = VersionAnswer(version=version, content_hash=0, age_ms=0)
            now = cluster.now + 50.0
            system.queries.start("dc1-0", now)
            system.receive(peer="dc1-0", message=answer, now=now)
            self.assertEqual(system.freshness.last_current_at, before)


class CatchUpTest(DistributionCase):
    """Guards against VMs that fail to catch up."""

    def test_restarted_vm_catches_up(self) -> None:
        cluster = self.build_cluster()
        for number in range(20):
            cluster.change(drain(f"t{number}"))
        cluster.stop("dc1-2")
        cluster.run(2.0)
        cluster.start("dc1-2")
        self.assertLess(cluster.seconds_until(21), CATCH_UP_SECONDS)
        self.check_equal(cluster)

    def test_all_vms_start_before_the_voters(self) -> None:
        # Guards against VMs that serve nobody until a second query, half a
        # second after the first one, although voters could answer.
        for late_s in (0.05, 0.2, 0.35, 0.6):
            with self.subTest(late_s=late_s):
                cluster = self.build_cluster(vms=12, voters=2)
                for vm_id in cluster.vms:
                    cluster.stop(vm_id)
                cluster.run(1.0)
                for vm_id in cluster.vms:
                    if vm_id not in cluster.logs:
                        cluster.start(vm_id)
                cluster.run(late_s)
                for vm_id in cluster.logs:
                    cluster.start(vm_id)
                self.assertLess(cluster.seconds_until(1), START_SECONDS)

    def test_snapshot_of_many_parts_over_a_lossy_network(self) -> None:
        cluster = self.build_cluster()
        for first in range(0, 6000, 1000):
            version = cluster.change(*put_workspaces(first, 1000))
        cluster.seconds_until(version)
        replica = cluster.vms["dc1-0"].replica
        parts = len(replica.encode()) / snapshot_transfers.PART_BYTES
        self.assertGreater(parts, snapshot_transfers.WINDOW_PARTS)
        replica.drop_deltas()
        cluster.loss = 0.1
        cluster.delay_ticks = 4
        cluster.duplication = 0.1
        cluster.start("dc1-2")
        self.assertLess(cluster.seconds_until(version), 10.0)
        self.check_equal(cluster)

    def test_deltas_of_many_operations_come_in_several_answers(self) -> None:
        cluster = self.build_cluster()
        for first in range(0, 6000, 1000):
            version = cluster.change(*put_workspaces(first, 1000))
        cluster.seconds_until(version)
        for merges in (False, True):
            query = VersionQuery(version=0, content_hash=0, number=int(merges))
            answer = cluster.vms["dc1-0"].build_answer(query, cluster.now)
            size = len(codecs.encode(answer)[1])
            self.assertLess(size, 2 * version_answers.MAX_ANSWER_BYTES)
        cluster.start("dc1-2")
        cluster.seconds_until(version)
        self.assertIsNone(cluster.vms["dc1-2"].loader.reader)
        self.check_equal(cluster)

    def test_gap_is_not_treated_as_divergence(self) -> None:
        cluster = self.build_cluster()
        cluster.change(drain("t1"))
        version = cluster.change(drain("t2"))
        log = cluster.vms["dc1-3"]
        query = VersionQuery(version=version - 1, content_hash=0)
        answer = log.build_answer(query, cluster.now)
        actions = cluster.vms["dc1-0"].receive(
            peer="dc1-3", message=answer, now=cluster.now
        )
        self.assertIsInstance(actions[0].message, VersionQuery)

    def test_outdated_snapshot_does_not_revert(self) -> None:
        cluster = self.build_cluster()
        parts = cluster.vms["dc1-0"].writer.answer(SnapshotRequest(), 0.0)
        cluster.seconds_until(cluster.change(drain()))
        system = cluster.vms["dc1-1"]
        system.loader.reader = SnapshotReader(peer="dc1-3", requested_at=0.0)
        system.receive(peer="dc1-3", message=parts[0], now=cluster.now)
        self.assertIsNone(system.loader.reader)
        self.assertEqual(system.configuration.version, 2)

    def test_peer_that_dies_while_it_sends_a_snapshot(self) -> None:
        cluster = self.build_cluster()
        for first in range(0, 6000, 1000):
            version = cluster.change(*put_workspaces(first, 1000))
        cluster.seconds_until(version)
        for vm in cluster.vms.values():
            vm.replica.drop_deltas()
        system = cluster.start("dc1-2")
        while system.loader.reader is None:
            cluster.step()
        cluster.stop("dc1-0")
        self.assertLess(cluster.seconds_until(version), 10.0)

    def test_encoded_snapshot_is_dropped_after_a_while(self) -> None:
        cluster = self.build_cluster()
        cluster.vms["dc1-3"].replica.drop_deltas()
        cluster.start("dc1-2")
        cluster.seconds_until(1)
        writer = cluster.vms["dc1-3"].writer
        self.assertTrue(writer.data)
        cluster.run(snapshot_transfers.IDLE_SECONDS + 1.0)
        self.assertFalse(writer.data)

    def test_diverged_content_is_repaired_from_a_voter(self) -> None:
        # Wrong content on the relay, on another VM, or the same on both.
        for wrong in (["dc1-0"], ["dc1-1"], ["dc1-0", "dc1-1"]):
            cluster = self.build_cluster()
            for vm_id in wrong:
                replica = cluster.vms[vm_id].replica
                replica.configuration.drained_targets.add("wrong")
                replica.content_hash ^= 1
            cluster.run(5.0)
            self.check_equal(cluster)
            cluster.seconds_until(cluster.change(drain()))
            self.check_equal(cluster)

    def test_delta_with_a_wrong_hash_is_not_applied(self) -> None:
        cluster = self.build_cluster()
        system = cluster.vms["dc1-1"]
        version = cluster.change(drain())
        delta = cluster.logs["dc0-3"].machine.replica.deltas[-1]
        broken = dataclasses.replace(delta, content_hash=1)
        answer = VersionAnswer(
            version=version, content_hash=1, deltas=(broken,)
        )
        actions = system.receive(peer="dc1-0", message=answer, now=1.0)
        self.assertEqual(system.configuration.version, 1)
        queries = [x.peer for x in actions if isinstance(x, SendMessage)]
        self.assertEqual(queries, ["dc1-3"])

    def test_snapshot_of_another_release_is_finally_loaded(self) -> None:
        # Another release hashes entities differently, so its snapshot never
        # matches.
        cluster = self.build_cluster()
        cluster.vms["dc1-3"].replica.content_hash ^= 1
        for vm_id in ("dc1-0", "dc1-1", "dc1-2"):
            cluster.stop(vm_id)
        cluster.partition("dc1")
        cluster.vms["dc1-3"].replica.drop_deltas()
        system = cluster.start("dc1-0")
        cluster.run(2.0)
        self.assertEqual(system.configuration.version, 0)
        cluster.run(8.0)
        self.assertEqual(system.configuration.version, 1)

    def test_readers_keep_the_configuration_object(self) -> None:
        cluster = self.build_cluster()
        cluster.vms["dc1-0"].replica.drop_deltas()
        system = cluster.start("dc1-2")
        configuration = system.configuration
        cluster.seconds_until(1)
        self.assertIs(system.configuration, configuration)
        self.assertIn("n", configuration.neighbours)


class CostTest(DistributionCase):
    """Guards against idle traffic that grows with the cluster."""

    def test_idle_vm_sends_one_small_query_a_second(self) -> None:
        query = VersionQuery(version=2**31, content_hash=2**63)
        self.assertLessEqual(len(codecs.encode(query)[1]), 16)
        cluster = self.build_cluster(vms=8)
        cluster.run(5.0)
        cluster.sent_messages.clear()
        cluster.run(20.0)
        self.assertLessEqual(cluster.sent_messages["dc1-1"], 24)
        self.assertGreaterEqual(cluster.sent_messages["dc1-1"], 16)

    def test_voters_announce_to_one_vm_of_each_other_data_centre(
        self,
    ) -> None:
        cluster = self.build_cluster(data_centres=4, vms=8)
        cluster.run(1.0)
        cluster.change(*put_workspaces(0, 1000))
        actions = cluster.vms["dc0-7"].publish(cluster.now)
        receivers = [x.peer for x in actions]
        self.assertEqual(receivers[:7], [f"dc0-{x}" for x in range(7)])
        data_centres = [x.partition("-")[0] for x in receivers[7:]]
        self.assertEqual(data_centres, ["dc1", "dc2", "dc3"])
        # An announcement does not grow with the change.
        for action in actions:
            self.assertLess(len(codecs.encode(action.message)[1]), 32)

    def test_confirmations_of_many_requests_cost_few_queries(self) -> None:
        cluster = self.build_cluster()
        cluster.run(2.0)
        system = cluster.vms["dc1-1"]
        sent = 0
        for _ in range(20):
            for _ in range(100):
                actions = system.confirm(cluster.now)
                sent += len(actions)
                cluster.execute("dc1-1", actions)
            cluster.step()
        # One each 0.1 s.
        self.assertLessEqual(sent, 10)
        self.assertGreaterEqual(sent, 5)


class ConfirmationTest(DistributionCase):
    """Guards against an outdated configuration that counts as current."""

    def test_vm_that_missed_a_version_is_not_confirmed(self) -> None:
        cluster = self.build_cluster()
        cluster.run(3.0)
        system = cluster.vms["dc1-1"]
        self.assertTrue(system.freshness.is_confirmed(cluster.now, 2.0))
        for vm_id in cluster.vms:
            cluster.cut_vms.add(frozenset((vm_id, "dc1-1")))
        cluster.change(drain())
        cluster.run(2.0)
        self.assertFalse(system.freshness.is_confirmed(cluster.now, 2.0))
        self.assertEqual(system.configuration.version, 1)

    def test_vm_that_heard_of_a_newer_version_is_not_confirmed(self) -> None:
        cluster = self.build_cluster()
        cluster.run(3.0)
        system = cluster.vms["dc1-1"]
        announcement = VersionAnswer(
            version=2, content_hash=2, age_ms=0, announcement=True
        )
        system.receive(peer="dc1-3", message=announcement, now=cluster.now)
        self.assertFalse(system.freshness.is_confirmed(cluster.now, 2.0))

    def test_late_announcement_confirms_nothing(self) -> None:
        # It may have waited in a buffer while newer versions were accepted.
        cluster = self.build_cluster()
        cluster.run(3.0)
        system = cluster.vms["dc1-1"]
        confirmed_at = system.freshness.last_current_at
        announcement = VersionAnswer(
            version=1, content_hash=system.replica.content_hash, age_ms=0
        )
        later = cluster.now + 5.0
        system.receive(peer="dc1-3", message=announcement, now=later)
        self.assertLessEqual(system.freshness.last_current_at, cluster.now)
        self.assertGreaterEqual(system.freshness.last_current_at, confirmed_at)
