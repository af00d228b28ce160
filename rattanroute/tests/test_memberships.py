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
from rattanroute.systems.gossips import build_record
from rattanroute.systems.gossips import GossipQueue
from rattanroute.systems.memberships import MembershipSystem
from rattanroute.systems.synchronisations import SYNC_PIECE_BYTES
from rattanroute.tables.members import Member
from rattanroute.tables.members import MemberState
from rattanroute.tables.members import MemberTable
from rattanroute.tables.members import Reach
from rattanroute.tests.networks import MemoryNetwork
from rattanroute.tests.networks import TICK_SECONDS

WALL_MS = 1_700_000_000_000
DATA_CENTRES = 4
# The control budget of a VM is 24 KB/s; a third of it is left for others.
MAX_BYTES_PER_SECOND = 16_000
IDLE_BYTES_PER_SECOND = 1_000


class MemberWorld:
    """Members m0, m1 ...; m0 is the seed of all."""

    def __init__(
        self,
        count: int,
        seed: int = 1,
        loss: float = 0.0,
        voters: int = 0,
        neighbours: int = 0,
    ) -> None:
        """Starts all members and lets them connect to the seed."""
        self.voters = voters
        self.neighbours = neighbours
        self.pairs: dict[str, set[str]] = collections.defaultdict(set)
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
            incarnation=WALL_MS + int(self.network.now * 1000),
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
        """Hands a message to a member that is up."""
        self.pairs[sender].add(receiver)
        self.pairs[receiver].add(sender)
        system = self.systems.get(receiver)
        if system is not None:
            actions = system.receive(
                peer=sender, message=message, now=self.network.now
            )
            self.execute(receiver, actions)

    def execute(self, name: str, actions: list[Action]) -> None:
        """Sends messages and counts changes."""
        for action in self.network.take_actions(name, actions):
            if isinstance(action, MemberChanged):
                self.changes[name] += 1
                if action.member.state == MemberState.FAILED:
                    self.failures.append((name, action.member.vm_id))
                elif action.member.state == MemberState.SUSPECT:
                    member = action.member
                    self.suspicions.add((member.vm_id, member.incarnation))

    def run(self, seconds: float, frozen: str = "") -> None:
        """Lets time pass."""
        end = self.network.now + seconds
        while self.network.now < end - 1e-9:
            self.network.run_until(self.network.now + TICK_SECONDS)
            for name, system in list(self.systems.items()):
                if name != frozen:
                    actions = system.tick(now=self.network.now)
                    self.execute(name, actions)

    def view(self, name: str) -> set[str]:
        """Returns the members that a member counts as running."""
        return {member.vm_id for member in self.systems[name].alive()}

    def agree(self) -> bool:
        """Whether all members that are up see exactly each other."""
        up = set(self.systems)
        return all(self.view(name) == up for name in up)

    def settle(self, limit: float) -> float:
        """Lets time pass until all agree; returns the time it took."""
        start = self.network.now
        while not self.agree() and self.network.now - start < limit:
            self.run(0.1)
        return self.network.now - start

    def cut_off(self, side: set[str]) -> None:
        """Cuts some members off from the others."""
        self.network.cut(side, set(self.names) - side)

    def measure_bytes(self, seconds: float) -> float:
        """Returns the most bytes per second that a member sends."""
        self.network.bytes_sent.clear()
        self.run(seconds)
        return max(self.network.bytes_sent.values()) / seconds


def build_accusation(member: Member, state: MemberState) -> Gossip:
    """Builds gossip that calls a member suspect or failed."""
    accused = dataclasses.replace(member, state=state)
    return Gossip(records=(build_record(accused),))


class ConvergenceTest(unittest.TestCase):
    """Guards against members that never learn of each other."""

    def test_all_join_through_one_seed(self) -> None:
        for loss in (0.0, 0.2):
            world = MemberWorld(24, loss=loss)
            self.assertFalse(world.systems["m1"].joined)
            self.assertLess(world.settle(20.0), 10.0, loss)
            self.assertTrue(world.systems["m1"].joined)

    def test_own_only_seed_counts_as_joined(self) -> None:
        self.assertTrue(MemberWorld(1).systems["m0"].joined)

    def test_status_reaches_all(self) -> None:
        world = MemberWorld(12)
        world.settle(10.0)
        now = world.network.now
        actions = world.systems["m3"].set_status(
            ready=True, draining=False, now=now
        )
        world.execute("m3", actions)
        world.run(3.0)
        for system in world.systems.values():
            self.assertTrue(system.get("m3").ready)

    def test_restart_with_greater_incarnation_is_taken_over(self) -> None:
        world = MemberWorld(12)
        world.settle(10.0)
        old = world.systems["m0"].get("m5").incarnation
        world.run(1.0)
        world.start("m5")
        world.run(10.0)
        self.assertTrue(world.agree())
        for system in world.systems.values():
            self.assertGreater(system.get("m5").incarnation, old)

    def test_sync_comes_in_bounded_pieces(self) -> None:
        world = MemberWorld(150)
        world.settle(30.0)
        largest = 0
        deliver = world.network.deliver

        def inspect(sender: str, receiver: str, message: object) -> None:
            nonlocal largest
            if isinstance(message, SyncPiece):
                largest = max(largest, len(message.records))
            deliver(sender, receiver, message)

        world.network.deliver = inspect
        world.start("m149")
        self.assertLess(world.settle(20.0), 10.0)
        self.assertGreater(largest, 0)
        self.assertLess(largest * 40, 2 * SYNC_PIECE_BYTES)


class FailureTest(unittest.TestCase):
    """Guards against late, false or confused verdicts."""

    def test_dead_member_is_found(self) -> None:
        world = MemberWorld(24)
        world.settle(10.0)
        del world.systems["m7"]
        self.assertLess(world.settle(30.0), 15.0)
        self.assertEqual(
            world.systems["m0"].get("m7").state, MemberState.FAILED
        )

    def test_closed_link_speeds_up_the_verdict(self) -> None:
        world = MemberWorld(24)
        world.settle(10.0)
        del world.systems["m7"]
        for name in ("m0", "m1"):
            actions = world.systems[name].host_disconnected(
                peer="m7", now=world.network.now
            )
            world.execute(name, actions)
        self.assertLess(world.settle(30.0), 7.0)

    def test_leaving_is_told_apart_from_failing(self) -> None:
        world = MemberWorld(12)
        world.settle(10.0)
        actions = world.systems["m4"].leave(world.network.now)
        world.execute("m4", actions)
        world.run(1.0)
        del world.systems["m4"]
        self.assertEqual(world.settle(1.0), 0.0)
        world.run(10.0)
        self.assertEqual(world.failures, [])
        for system in world.systems.values():
            self.assertEqual(system.get("m4").state, MemberState.LEFT)

    @settings(derandomize=True, deadline=None, max_examples=5)
    @given(seed=strategies.integers(0, 1000))
    def test_nobody_is_failed_at_20_percent_loss(self, seed: int) -> None:
        world = MemberWorld(24, seed=seed, loss=0.2)
        world.settle(20.0)
        world.suspicions.clear()
        world.run(60.0)
        self.assertEqual(world.failures, [])
        # 24 members send 1440 probes, of which about one in a hundred fails;
        # each of these would be a suspicion if one failure were enough.
        self.assertLessEqual(len(world.suspicions), 3)
        self.assertTrue(world.agree())

    def test_suspicion_is_refuted_by_a_greater_incarnation(self) -> None:
        world = MemberWorld(8)
        world.settle(10.0)
        system = world.systems["m0"]
        member = system.get("m3")
        suspect = build_accusation(member, MemberState.SUSPECT)
        now = world.network.now
        system.receive(peer="m1", message=suspect, now=now)
        self.assertEqual(system.get("m3").state, MemberState.SUSPECT)
        self.assertIn("m3", world.view("m0"))
        world.run(3.0)
        self.assertEqual(system.get("m3").state, MemberState.ALIVE)
        self.assertGreater(system.get("m3").incarnation, member.incarnation)
        self.assertEqual(world.failures, [])

    def test_failed_verdict_of_another_vm_is_checked_first(self) -> None:
        world = MemberWorld(8)
        world.settle(10.0)
        system = world.systems["m0"]
        failed = build_accusation(system.get("m3"), MemberState.FAILED)
        system.receive(peer="m1", message=failed, now=world.network.now)
        self.assertIn("m3", world.view("m0"))
        world.run(5.0)
        self.assertEqual(world.failures, [])

    def test_one_way_cut_is_told_apart_from_death(self) -> None:
        world = MemberWorld(8)
        world.settle(10.0)
        world.network.cuts.add(("m2", "m5"))
        world.run(30.0)
        self.assertEqual(world.failures, [])
        self.assertEqual(world.systems["m5"].get("m2").reach, Reach.INDIRECT)
        self.assertEqual(world.systems["m4"].get("m2").reach, Reach.DIRECT)
        world.network.cuts.clear()
        world.run(10.0)
        self.assertEqual(world.systems["m5"].get("m2").reach, Reach.DIRECT)

    def test_frozen_vm_blames_nobody_when_it_wakes(self) -> None:
        world = MemberWorld(12)
        world.settle(10.0)
        world.run(2.0)
        system = world.systems["m6"]
        accusation = build_accusation(system.get("m3"), MemberState.SUSPECT)
        system.receive(peer="m1", message=accusation, now=world.network.now)
        world.network.cut({"m6"}, set(world.names) - {"m6"})
        world.run(20.0, frozen="m6")
        world.network.cuts.clear()
        world.run(5.0)
        blamed = [failure for failure in world.failures if failure[0] == "m6"]
        self.assertEqual(blamed, [])
        self.assertTrue(world.agree())

    def test_forgotten_members_do_not_pile_up(self) -> None:
        world = MemberWorld(4)
        world.settle(10.0)
        actions = world.systems["m3"].leave(world.network.now)
        world.execute("m3", actions)
        world.run(1.0)
        del world.systems["m3"]
        world.network.run_until(world.network.now + 700.0)
        world.run(15.0)
        self.assertIsNone(world.systems["m0"].get("m3"))


class PartitionTest(unittest.TestCase):
    """Guards against slow or stormy rejoining after a cut."""

    def play_cut(self, world: MemberWorld, side: set[str]) -> None:
        """Cuts a side off until both sides have noticed."""
        world.settle(30.0)
        world.cut_off(side)
        world.run(60.0)
        other = next(name for name in world.names if name not in side)
        self.assertEqual(world.view(other), set(world.names) - side)
        self.assertEqual(world.view(min(side)), side)
        world.network.cuts.clear()
        world.failures.clear()
        world.changes.clear()

    def test_healed_data_centre_rejoins_within_two_seconds(self) -> None:
        for count in (12, 40, 80):
            world = MemberWorld(count)
            side = set(world.names[1::DATA_CENTRES])
            self.play_cut(world, side)
            world.network.bytes_sent.clear()
            self.assertLessEqual(world.settle(10.0), 2.0, count)
            world.run(2.0)
            most = max(world.network.bytes_sent.values())
            self.assertLess(most / 4.0, MAX_BYTES_PER_SECOND)
            world.run(10.0)
            self.assertEqual(world.failures, [])
            self.assertTrue(world.agree())

    def test_member_that_died_during_the_cut_stays_dead(self) -> None:
        # The word of a peer from the other side must not bring it back for
        # longer than its own side needs to notice.
        world = MemberWorld(24)
        side = set(world.names[1::DATA_CENTRES])
        world.settle(30.0)
        world.cut_off(side)
        world.run(30.0)
        del world.systems["m5"]
        world.run(40.0)
        world.network.cuts.clear()
        self.assertLessEqual(world.settle(10.0), 2.0)
        world.run(10.0)
        self.assertTrue(world.agree())

    def test_word_of_a_peer_that_came_back(self) -> None:
        # With one contact after a heal, a VM takes back the other side, but
        # neither members that failed long before nor accusations.
        world = MemberWorld(24)
        world.settle(30.0)
        del world.systems["m9"]
        world.run(100.0)
        side = set(world.names[1::DATA_CENTRES]) - {"m9"}
        world.cut_off(side)
        world.run(60.0)
        system = world.systems["m0"]
        alive = [
            dataclasses.replace(system.get(name), state=MemberState.ALIVE)
            for name in (*side, "m9")
        ]
        now = world.network.now
        system.view.take_back(system.get("m1"), now)
        gossip = Gossip(records=tuple(build_record(m) for m in alive))
        system.receive(peer="m1", message=gossip, now=now)
        self.assertEqual(world.view("m0"), set(world.names) - {"m9"})
        for state in (MemberState.SUSPECT, MemberState.FAILED):
            accusation = build_accusation(system.get("m4"), state)
            system.receive(peer="m1", message=accusation, now=now)
        self.assertEqual(system.get("m4").state, MemberState.ALIVE)

    def test_short_cut_fails_nobody(self) -> None:
        world = MemberWorld(24)
        world.settle(30.0)
        world.cut_off(set(world.names[1::DATA_CENTRES]))
        world.run(1.5)
        world.network.cuts.clear()
        world.run(20.0)
        self.assertEqual(world.failures, [])


class TrafficTest(unittest.TestCase):
    """Guards against traffic that grows with the number of members."""

    def test_idle_traffic_does_not_depend_on_the_size(self) -> None:
        for count in (8, 64):
            world = MemberWorld(count)
            world.settle(30.0)
            world.run(60.0)
            sent = world.measure_bytes(20.0)
            self.assertLess(sent, IDLE_BYTES_PER_SECOND, count)

    def test_many_deaths_at_once_stay_within_the_budget(self) -> None:
        world = MemberWorld(80)
        world.settle(30.0)
        world.run(60.0)
        for name in world.names[1::DATA_CENTRES]:
            del world.systems[name]
        sent = world.measure_bytes(10.0)
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
    """Guards against a link between every pair of VMs."""

    voters = 8
    neighbours = 2

    def build(self, count: int) -> MemberWorld:
        """Builds members that talk to voters and neighbours only."""
        world = MemberWorld(
            count, voters=self.voters, neighbours=self.neighbours
        )
        world.settle(30.0)
        return world

    def count_links(self, world: MemberWorld) -> int:
        """Returns the most links of a member that is no voter."""
        world.run(20.0)
        world.pairs.clear()
        world.run(60.0)
        return max(len(world.pairs[x]) for x in world.names[self.voters :])

    def test_links_do_not_grow_with_the_size(self) -> None:
        """Guards against cost that grows with the square of the VMs."""
        few = self.count_links(self.build(40))
        many = self.count_links(self.build(160))
        self.assertLessEqual(few, self.voters + 2 * self.neighbours)
        self.assertLessEqual(many, self.voters + 2 * self.neighbours)

    def test_dead_member_is_found(self) -> None:
        """Guards against deaths that nobody notices."""
        world = self.build(60)
        del world.systems["m20"]
        self.assertLess(world.settle(40.0), 15.0)

    def test_voter_that_dies_is_found(self) -> None:
        """Guards against VMs that go on asking a voter that is gone."""
        world = self.build(60)
        del world.systems["m3"]
        self.assertLess(world.settle(40.0), 15.0)

    def test_healed_data_centre_rejoins(self) -> None:
        """Guards against a data centre that stays apart after a cut."""
        world = self.build(60)
        side = set(world.names[1::DATA_CENTRES])
        world.cut_off(side)
        world.run(60.0)
        self.assertEqual(world.view("m0"), set(world.names) - side)
        world.network.cuts.clear()
        self.assertLessEqual(world.settle(20.0), 4.0)

    def test_restart_of_all_voters(self) -> None:
        """Guards against VMs that never find the voters again."""
        world = self.build(40)
        for number in range(self.voters):
            del world.systems[f"m{number}"]
        world.run(5.0)
        for number in range(self.voters):
            world.start(f"m{number}")
        for name in world.names[self.voters :]:
            actions = world.systems[name].host_connected(
                peer="m0", now=world.network.now
            )
            world.execute(name, actions)
        self.assertLessEqual(world.settle(20.0), 10.0)


class MemberTableTest(unittest.TestCase):
    """Guards against digests that differ for equal tables."""

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
