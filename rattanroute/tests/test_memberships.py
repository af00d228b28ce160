"""Tests of the membership system."""

import collections
import dataclasses
from random import Random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from rattanroute.actions import Action
from rattanroute.actions import MemberChanged
from rattanroute.messages.memberships import Gossip
from rattanroute.messages.memberships import SyncPiece
from rattanroute.systems.gossip_queues import build_record
from rattanroute.systems.gossip_queues import GossipQueue
from rattanroute.systems.member_synchronisers import SYNC_PIECE_BYTES
from rattanroute.systems.memberships import MembershipSystem
from rattanroute.tables.members import Member
from rattanroute.tables.members import MemberState
from rattanroute.tables.members import MemberTable
from rattanroute.tables.members import Reach
from rattanroute.tests.memory_networks import MemoryNetwork
from rattanroute.tests.memory_networks import TICK_SECONDS

START_WALL_CLOCK_MS = 1_700_000_000_000
DATA_CENTRES = 4
# Two thirds of a VM's control budget of 24 KB/s; the rest is for other
# subsystems.
MAX_BYTES_PER_SECOND = 16_000
IDLE_BYTES_PER_SECOND = 1_000
# Time to reach a seed and get an answer; a fifth of that in which a VM that
# starts with all others should serve.
JOIN_SECONDS = 0.1


class MemberCluster:
    """Simulated cluster of members m0, m1 ...; m0 is the only seed.

    Attributes:
        contacts: Members that each member exchanged messages with.
        failures: Pairs of a member and another one that it marked as failed.
        suspicions: Identifiers and incarnations of members that were suspect.
        changes: Number of reported member changes, by member.
    """

    def __init__(
        self,
        count: int,
        seed: int = 1,
        loss: float = 0.0,
        voters: int = 0,
        neighbours: int = 0,
    ) -> None:
        """Starts all members and connects them to the seed."""
        self.voters = voters
        self.neighbours = neighbours
        self.contacts: dict[str, set[str]] = collections.defaultdict(set)
        self.random = Random(seed)
        self.network = MemoryNetwork(
            random=self.random, deliver=self.deliver, loss=loss
        )
        self.names = [f"m{i}" for i in range(count)]
        self.systems: dict[str, MembershipSystem] = {}
        self.failures: list[tuple[str, str]] = []
        self.suspicions: set[tuple[str, int]] = set()
        self.changes: collections.Counter[str] = collections.Counter()
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts a member and connects it to the seed."""
        number = int(name[1:])
        self.systems[name] = MembershipSystem(
            vm_id=name,
            address=f"127.0.0.1:{number}",
            data_centre=f"dc-{number % DATA_CENTRES}",
            region="r",
            voter=number < self.voters,
            incarnation=START_WALL_CLOCK_MS + int(self.network.now * 1000),
            random=Random(number),
            seeds=("127.0.0.1:0",),
            neighbours=self.neighbours,
        )
        if name != "m0":
            actions = self.systems[name].host_connected(
                peer="m0", now=self.network.now
            )
            self.execute(name, actions)

    def deliver(self, sender: str, receiver: str, message: object) -> None:
        """Delivers a message to a member if it is running."""
        self.contacts[sender].add(receiver)
        self.contacts[receiver].add(sender)
        system = self.systems.get(receiver)
        if system is not None:
            actions = system.receive(
                peer=sender, message=message, now=self.network.now
            )
            self.execute(receiver, actions)

    def execute(self, name: str, actions: list[Action]) -> None:
        """Sends the messages and records the member changes."""
        for action in self.network.take_actions(name, actions):
            if isinstance(action, MemberChanged):
                self.changes[name] += 1
                if action.member.state == MemberState.FAILED:
                    self.failures.append((name, action.member.vm_id))
                elif action.member.state == MemberState.SUSPECT:
                    member = action.member
                    self.suspicions.add((member.vm_id, member.incarnation))

    def run(self, seconds: float, frozen: str = "") -> None:
        """Runs for a number of seconds; a frozen member does not tick."""
        end = self.network.now + seconds
        while self.network.now < end - 1e-9:
            self.network.run_until(self.network.now + TICK_SECONDS)
            for name, system in list(self.systems.items()):
                if name != frozen:
                    actions = system.tick(now=self.network.now)
                    self.execute(name, actions)

    def view(self, name: str) -> set[str]:
        """Returns the members that a member considers running."""
        return {member.vm_id for member in self.systems[name].alive()}

    def views_agree(self) -> bool:
        """Whether each running member sees exactly the running members."""
        up = set(self.systems)
        return all(self.view(name) == up for name in up)

    def run_until_agreed(self, limit: float) -> float:
        """Runs until all views agree or for `limit`; returns the seconds."""
        start = self.network.now
        while not self.views_agree() and self.network.now - start < limit:
            self.run(0.1)
        return self.network.now - start

    def cut_off(self, side: set[str]) -> None:
        """Partitions some members from the others."""
        self.network.cut(side, set(self.names) - side)

    def measure_bytes(self, seconds: float) -> float:
        """Returns the highest number of bytes per second of any member."""
        self.network.bytes_sent.clear()
        self.run(seconds)
        return max(self.network.bytes_sent.values()) / seconds


def build_accusation(member: Member, state: MemberState) -> Gossip:
    """Builds gossip that reports a member as suspect or failed."""
    accused = dataclasses.replace(member, state=state)
    return Gossip(records=(build_record(accused),))


class ConvergenceTest(unittest.TestCase):
    """Guards against members that do not discover each other."""

    def test_all_join_through_one_seed(self) -> None:
        for loss in (0.0, 0.2):
            cluster = MemberCluster(24, loss=loss)
            self.assertFalse(cluster.systems["m1"].joined)
            self.assertLess(cluster.run_until_agreed(20.0), 10.0, loss)
            self.assertTrue(cluster.systems["m1"].joined)

    def test_own_only_seed_counts_as_joined(self) -> None:
        self.assertTrue(MemberCluster(1).systems["m0"].joined)

    def test_status_reaches_all(self) -> None:
        cluster = MemberCluster(12)
        cluster.run_until_agreed(10.0)
        now = cluster.network.now
        actions = cluster.systems["m3"].set_status(
            ready=True, draining=False, now=now
        )
        cluster.execute("m3", actions)
        cluster.run(3.0)
        for system in cluster.systems.values():
            self.assertTrue(system.get("m3").ready)

    def test_record_of_a_restarted_member_replaces_the_old_one(self) -> None:
        cluster = MemberCluster(12)
        cluster.run_until_agreed(10.0)
        old = cluster.systems["m0"].get("m5").incarnation
        cluster.run(1.0)
        cluster.start("m5")
        cluster.run(10.0)
        self.assertTrue(cluster.views_agree())
        for system in cluster.systems.values():
            self.assertGreater(system.get("m5").incarnation, old)

    def test_sync_comes_in_bounded_pieces(self) -> None:
        cluster = MemberCluster(150)
        cluster.run_until_agreed(30.0)
        largest = 0
        deliver = cluster.network.deliver

        def inspect(sender: str, receiver: str, message: object) -> None:
            nonlocal largest
            if isinstance(message, SyncPiece):
                largest = max(largest, len(message.records))
            deliver(sender, receiver, message)

        cluster.network.deliver = inspect
        cluster.start("m149")
        self.assertLess(cluster.run_until_agreed(20.0), 10.0)
        self.assertGreater(largest, 0)
        self.assertLess(largest * 40, 2 * SYNC_PIECE_BYTES)

    def test_all_members_start_at_once(self) -> None:
        """Guards against members that know no voter for a second.

        The answers to new members have a budget, and without a voter a member
        has no configuration.
        """
        for seed in range(5):
            cluster = MemberCluster(110, seed=seed, voters=3)
            cluster.run(JOIN_SECONDS)
            without = [
                name
                for name, system in cluster.systems.items()
                if not any(x.voter for x in system.alive())
            ]
            self.assertEqual(without, [])


class FailureTest(unittest.TestCase):
    """Guards against late or false failure detection."""

    def test_dead_member_is_detected(self) -> None:
        cluster = MemberCluster(24)
        cluster.run_until_agreed(10.0)
        del cluster.systems["m7"]
        self.assertLess(cluster.run_until_agreed(30.0), 15.0)
        self.assertEqual(
            cluster.systems["m0"].get("m7").state, MemberState.FAILED
        )

    def test_closed_connection_speeds_up_detection(self) -> None:
        cluster = MemberCluster(24)
        cluster.run_until_agreed(10.0)
        del cluster.systems["m7"]
        for name in ("m0", "m1"):
            actions = cluster.systems[name].host_disconnected(
                peer="m7", now=cluster.network.now
            )
            cluster.execute(name, actions)
        self.assertLess(cluster.run_until_agreed(30.0), 7.0)

    def test_leaving_is_distinguished_from_failing(self) -> None:
        cluster = MemberCluster(12)
        cluster.run_until_agreed(10.0)
        actions = cluster.systems["m4"].leave(cluster.network.now)
        cluster.execute("m4", actions)
        cluster.run(1.0)
        del cluster.systems["m4"]
        self.assertEqual(cluster.run_until_agreed(1.0), 0.0)
        cluster.run(10.0)
        self.assertEqual(cluster.failures, [])
        for system in cluster.systems.values():
            self.assertEqual(system.get("m4").state, MemberState.LEFT)

    @settings(derandomize=True, deadline=None, max_examples=5)
    @given(seed=strategies.integers(0, 1000))
    def test_no_false_failures_at_20_percent_loss(self, seed: int) -> None:
        cluster = MemberCluster(24, seed=seed, loss=0.2)
        cluster.run_until_agreed(20.0)
        cluster.suspicions.clear()
        cluster.run(60.0)
        self.assertEqual(cluster.failures, [])
        # 24 members send 1440 probes, of which about one in a hundred fails.
        # If one failed probe were enough, each would raise a suspicion.
        self.assertLessEqual(len(cluster.suspicions), 3)
        self.assertTrue(cluster.views_agree())

    def test_suspicion_is_refuted_by_a_greater_incarnation(self) -> None:
        cluster = MemberCluster(8)
        cluster.run_until_agreed(10.0)
        system = cluster.systems["m0"]
        member = system.get("m3")
        suspect = build_accusation(member, MemberState.SUSPECT)
        now = cluster.network.now
        system.receive(peer="m1", message=suspect, now=now)
        self.assertEqual(system.get("m3").state, MemberState.SUSPECT)
        self.assertIn("m3", cluster.view("m0"))
        cluster.run(3.0)
        self.assertEqual(system.get("m3").state, MemberState.ALIVE)
        self.assertGreater(system.get("m3").incarnation, member.incarnation)
        self.assertEqual(cluster.failures, [])

    def test_failure_report_of_another_vm_is_checked_first(self) -> None:
        cluster = MemberCluster(8)
        cluster.run_until_agreed(10.0)
        system = cluster.systems["m0"]
        failed = build_accusation(system.get("m3"), MemberState.FAILED)
        system.receive(peer="m1", message=failed, now=cluster.network.now)
        self.assertIn("m3", cluster.view("m0"))
        cluster.run(5.0)
        self.assertEqual(cluster.failures, [])

    def test_one_way_cut_is_distinguished_from_a_failure(self) -> None:
        cluster = MemberCluster(8)
        cluster.run_until_agreed(10.0)
        cluster.network.cuts.add(("m2", "m5"))
        cluster.run(30.0)
        self.assertEqual(cluster.failures, [])
        self.assertEqual(cluster.systems["m5"].get("m2").reach, Reach.INDIRECT)
        self.assertEqual(cluster.systems["m4"].get("m2").reach, Reach.DIRECT)
        cluster.network.cuts.clear()
        cluster.run(10.0)
        self.assertEqual(cluster.systems["m5"].get("m2").reach, Reach.DIRECT)

    def test_vm_that_was_frozen_reports_no_failures(self) -> None:
        cluster = MemberCluster(12)
        cluster.run_until_agreed(10.0)
        cluster.run(2.0)
        system = cluster.systems["m6"]
        accusation = build_accusation(system.get("m3"), MemberState.SUSPECT)
        system.receive(peer="m1", message=accusation, now=cluster.network.now)
        cluster.network.cut({"m6"}, set(cluster.names) - {"m6"})
        cluster.run(20.0, frozen="m6")
        cluster.network.cuts.clear()
        cluster.run(5.0)
        reported = [
            failure for failure in cluster.failures if failure[0] == "m6"
        ]
        self.assertEqual(reported, [])
        self.assertTrue(cluster.views_agree())

    def test_departed_member_is_finally_removed(self) -> None:
        cluster = MemberCluster(4)
        cluster.run_until_agreed(10.0)
        actions = cluster.systems["m3"].leave(cluster.network.now)
        cluster.execute("m3", actions)
        cluster.run(1.0)
        del cluster.systems["m3"]
        cluster.network.run_until(cluster.network.now + 700.0)
        cluster.run(15.0)
        self.assertIsNone(cluster.systems["m0"].get("m3"))


class PartitionTest(unittest.TestCase):
    """Guards against slow rejoining and bursts of traffic after a cut."""

    def run_partition(self, cluster: MemberCluster, side: set[str]) -> None:
        """Partitions a side until both have detected it, then heals."""
        cluster.run_until_agreed(30.0)
        cluster.cut_off(side)
        cluster.run(60.0)
        other = next(name for name in cluster.names if name not in side)
        self.assertEqual(cluster.view(other), set(cluster.names) - side)
        self.assertEqual(cluster.view(min(side)), side)
        cluster.network.cuts.clear()
        cluster.failures.clear()
        cluster.changes.clear()

    def test_healed_data_centre_rejoins_within_two_seconds(self) -> None:
        for count in (12, 40, 80):
            cluster = MemberCluster(count)
            side = set(cluster.names[1::DATA_CENTRES])
            self.run_partition(cluster, side)
            cluster.network.bytes_sent.clear()
            self.assertLessEqual(cluster.run_until_agreed(10.0), 2.0, count)
            cluster.run(2.0)
            most = max(cluster.network.bytes_sent.values())
            self.assertLess(most / 4.0, MAX_BYTES_PER_SECOND)
            cluster.run(10.0)
            self.assertEqual(cluster.failures, [])
            self.assertTrue(cluster.views_agree())

    def test_member_that_died_during_the_cut_stays_failed(self) -> None:
        # A report of a peer from the other side must not reinstate it for
        # longer than its own side needs to detect the failure.
        cluster = MemberCluster(24)
        side = set(cluster.names[1::DATA_CENTRES])
        cluster.run_until_agreed(30.0)
        cluster.cut_off(side)
        cluster.run(30.0)
        del cluster.systems["m5"]
        cluster.run(40.0)
        cluster.network.cuts.clear()
        self.assertLessEqual(cluster.run_until_agreed(10.0), 2.0)
        cluster.run(10.0)
        self.assertTrue(cluster.views_agree())

    def test_reports_of_a_rejoined_peer(self) -> None:
        # After contact with one peer of the other side, a VM reinstates the
        # members of that side on its report. It accepts neither members that
        # failed long before nor reports of suspect or failed members.
        cluster = MemberCluster(24)
        cluster.run_until_agreed(30.0)
        del cluster.systems["m9"]
        cluster.run(100.0)
        side = set(cluster.names[1::DATA_CENTRES]) - {"m9"}
        cluster.cut_off(side)
        cluster.run(60.0)
        system = cluster.systems["m0"]
        alive = [
            dataclasses.replace(system.get(name), state=MemberState.ALIVE)
            for name in (*side, "m9")
        ]
        now = cluster.network.now
        system.view.reinstate(system.get("m1"), now)
        gossip = Gossip(records=tuple(build_record(m) for m in alive))
        system.receive(peer="m1", message=gossip, now=now)
        self.assertEqual(cluster.view("m0"), set(cluster.names) - {"m9"})
        for state in (MemberState.SUSPECT, MemberState.FAILED):
            accusation = build_accusation(system.get("m4"), state)
            system.receive(peer="m1", message=accusation, now=now)
        self.assertEqual(system.get("m4").state, MemberState.ALIVE)

    def test_short_cut_causes_no_failures(self) -> None:
        cluster = MemberCluster(24)
        cluster.run_until_agreed(30.0)
        cluster.cut_off(set(cluster.names[1::DATA_CENTRES]))
        cluster.run(1.5)
        cluster.network.cuts.clear()
        cluster.run(20.0)
        self.assertEqual(cluster.failures, [])


class TrafficTest(unittest.TestCase):
    """Guards against traffic that grows with the number of members."""

    def test_idle_traffic_does_not_depend_on_the_size(self) -> None:
        for count in (8, 64):
            cluster = MemberCluster(count)
            cluster.run_until_agreed(30.0)
            cluster.run(60.0)
            sent = cluster.measure_bytes(20.0)
            self.assertLess(sent, IDLE_BYTES_PER_SECOND, count)

    def test_many_failures_at_once_stay_within_the_budget(self) -> None:
        cluster = MemberCluster(80)
        cluster.run_until_agreed(30.0)
        cluster.run(60.0)
        for name in cluster.names[1::DATA_CENTRES]:
            del cluster.systems[name]
        sent = cluster.measure_bytes(10.0)
        self.assertLess(sent, MAX_BYTES_PER_SECOND)

    def test_queue_keeps_to_its_byte_budget(self) -> None:
        queue = GossipQueue()
        member = Member(
            vm_id="m", address="127.0.0.1:1", data_centre="d", region="r"
        )
        for number in range(2000):
            renamed = dataclasses.replace(member, vm_id=f"m{number}")
            queue.put(build_record(renamed))
        taken = 0
        for tick in range(100):
            payload = queue.take(max_bytes=1000.0, members=400, now=tick * 0.01)
            taken += sum(len(r.address) + 30 for r in payload.records)
        self.assertLess(taken, 12_000)


class PartnerTest(unittest.TestCase):
    """Guards against a connection between every pair of VMs."""

    voters = 8
    neighbours = 2

    def build(self, count: int) -> MemberCluster:
        """Builds members that only contact voters and ring partners."""
        cluster = MemberCluster(
            count, voters=self.voters, neighbours=self.neighbours
        )
        cluster.run_until_agreed(30.0)
        return cluster

    def count_links(self, cluster: MemberCluster) -> int:
        """Returns the most contacts of any member that is not a voter."""
        cluster.run(20.0)
        cluster.contacts.clear()
        cluster.run(60.0)
        return max(
            len(cluster.contacts[x]) for x in cluster.names[self.voters :]
        )

    def test_links_do_not_grow_with_the_size(self) -> None:
        """Guards against cost that grows with the square of the members."""
        few = self.count_links(self.build(40))
        many = self.count_links(self.build(160))
        self.assertLessEqual(few, self.voters + 2 * self.neighbours)
        self.assertLessEqual(many, self.voters + 2 * self.neighbours)

    def test_dead_member_is_detected(self) -> None:
        """Guards against failures that no member detects."""
        cluster = self.build(60)
        del cluster.systems["m20"]
        self.assertLess(cluster.run_until_agreed(40.0), 15.0)

    def test_dead_voter_is_detected(self) -> None:
        """Guards against VMs that keep contacting a dead voter."""
        cluster = self.build(60)
        del cluster.systems["m3"]
        self.assertLess(cluster.run_until_agreed(40.0), 15.0)

    def test_healed_data_centre_rejoins(self) -> None:
        """Guards against a data centre that does not rejoin after a cut."""
        cluster = self.build(60)
        side = set(cluster.names[1::DATA_CENTRES])
        cluster.cut_off(side)
        cluster.run(60.0)
        self.assertEqual(cluster.view("m0"), set(cluster.names) - side)
        cluster.network.cuts.clear()
        self.assertLessEqual(cluster.run_until_agreed(20.0), 4.0)

    def test_restart_of_all_voters(self) -> None:
        """Guards against VMs that do not reconnect to restarted voters."""
        cluster = self.build(40)
        for number in range(self.voters):
            del cluster.systems[f"m{number}"]
        cluster.run(5.0)
        for number in range(self.voters):
            cluster.start(f"m{number}")
        for name in cluster.names[self.voters :]:
            actions = cluster.systems[name].host_connected(
                peer="m0", now=cluster.network.now
            )
            cluster.execute(name, actions)
        self.assertLessEqual(cluster.run_until_agreed(20.0), 10.0)


class MemberTableTest(unittest.TestCase):
    """Guards against different digests of equal tables."""

    @settings(derandomize=True, deadline=None)
    @given(
        changes=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5),
                strategies.sampled_from(MemberState),
                strategies.integers(0, 3),
                strategies.sampled_from(("a", "b")),
            )
        )
    )
    def test_digest_depends_only_on_present_members(
        self, changes: list[tuple[int, MemberState, int, str]]
    ) -> None:
        table, rebuilt = MemberTable(), MemberTable()
        for number, state, incarnation, data_centre in changes:
            table.put(
                Member(
                    vm_id=f"m{number}",
                    address="127.0.0.1:1",
                    data_centre=data_centre,
                    region="r",
                    state=state,
                    incarnation=incarnation,
                )
            )
        for member in table.present():
            rebuilt.put(member)
        self.assertEqual(table.digests, rebuilt.digests)
        self.assertEqual(table.digest, rebuilt.digest)
        for name in ("a", "b"):
            local_ids = {m.vm_id for m in table if m.present}
            local_ids &= {m.vm_id for m in table if m.data_centre == name}
            self.assertEqual(set(table.local_ids(name)), local_ids)
