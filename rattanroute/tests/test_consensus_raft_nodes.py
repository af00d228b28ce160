"""Tests of the Raft node: edge cases and seeded runs under faults."""

import random
import unittest

from rattanroute.consensus.entries import build_first_membership
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import EntryKind
from rattanroute.consensus.entries import HardState
from rattanroute.consensus.entries import Member
from rattanroute.consensus.membership_changes import MembershipError
from rattanroute.consensus.node_states import MAX_BATCH_BYTES
from rattanroute.consensus.node_states import MAX_INFLIGHT_BYTES
from rattanroute.consensus.node_states import MAX_UNCOMMITTED_BYTES
from rattanroute.consensus.node_states import Role
from rattanroute.consensus.node_states import Timing
from rattanroute.consensus.raft_nodes import ConsensusNode
from rattanroute.messages.consensus import AppendRequest
from rattanroute.messages.consensus import AppendResponse
from rattanroute.messages.consensus import JoinRequest
from rattanroute.messages.consensus import SnapshotChunk
from rattanroute.messages.consensus import VoteRequest
from rattanroute.messages.consensus import VoteResponse
from rattanroute.tests.consensus_support import Cluster
from rattanroute.tests.consensus_support import STEP_SECONDS

CHAOS_SEEDS = 150
LOSS_SEEDS = 100
CHAOS_STEPS = 60


def is_fully_repaired(cluster: Cluster) -> bool:
    """Returns whether each member is a voter on its listed folder.

    The latest membership must also be committed. Only then may a test lose
    another folder.
    """
    leader = cluster.find_leader()
    if not leader:
        return False
    state = cluster.vms[leader].node.state
    membership = state.log.membership
    if state.log.membership_index > state.commit:
        return False
    return state.has_committed_in_term and all(
        member.voter
        and cluster.vms[member.vm_id].disk.storage_id == member.storage_id
        for member in membership.members
    )


def inject_fault(cluster: Cluster, rng: random.Random) -> None:
    """Causes one random fault that must not violate safety."""
    vm_id = rng.choice(sorted(cluster.vms))
    vm = cluster.vms[vm_id]
    fault = rng.randrange(9)
    if fault == 0:
        vm.writes_before_kill = rng.randrange(4)
    elif fault == 1 and vm.node is not None:
        cluster.crash(vm_id, rng.uniform(0, 4))
    elif fault == 2:
        leader = cluster.find_leader() or vm_id
        cluster.vms[leader].frozen_until = cluster.now + rng.uniform(1, 6)
    elif fault == 3:
        cluster.blocked_links.add((vm_id, rng.choice(sorted(cluster.vms))))
    elif fault == 4:
        cluster.blocked_links.clear()
    elif fault == 5:
        cluster.loss = rng.choice((0.0, 0.1, 0.3))
        cluster.max_delay = rng.choice((0.05, 0.5, 1.5))
    elif fault == 6:
        cluster.compact(vm_id)
    elif fault == 7:
        change_members(cluster, rng)
    elif fault == 8 and is_fully_repaired(cluster):
        cluster.lose_disk(vm_id, rng.uniform(0, 2))


def change_members(cluster: Cluster, rng: random.Random) -> None:
    """Tries a transfer, an addition or a removal at the leader."""
    leader = cluster.find_leader()
    if not leader or cluster.vms[leader].frozen_until > cluster.now:
        return
    node = cluster.vms[leader].node
    other = rng.choice(sorted(cluster.vms))
    change = rng.randrange(3)
    try:
        if change == 0:
            output = node.transfer_leadership(other, now=cluster.now)
        elif change == 1:
            _, output = node.add_learner(other, promote=True, now=cluster.now)
        elif len(node.state.log.membership.voters) > 3:
            _, output = node.remove(other, now=cluster.now)
        else:
            return
    except MembershipError:
        return
    cluster.execute(leader, output)


def propose_random_change(cluster: Cluster, rng: random.Random) -> None:
    """Proposes a random change of the register at the leader."""
    leader = cluster.find_leader()
    if leader:
        old = cluster.vms[leader].machine.value
        data = f"c:{old}:{rng.randrange(10**9)}".encode()
        cluster.propose(leader, data)


def run_chaos(seed: int) -> None:
    """Runs random faults, then checks that the log still makes progress."""
    rng = random.Random(seed)
    voters = rng.choice((1, 3, 3, 5))
    cluster = Cluster(seed=seed, voters=voters, non_voters=rng.choice((0, 1)))
    if voters == 1:
        cluster.lose_disk = lambda vm_id, seconds: None
    for _ in range(CHAOS_STEPS):
        cluster.run(rng.uniform(0.1, 0.6))
        propose_random_change(cluster, rng)
        if rng.random() < 0.4:
            inject_fault(cluster, rng)
    cluster.check_log_matching()
    check_progress(cluster)


def check_progress(cluster: Cluster) -> None:
    """Checks that all members agree after all faults have ended."""
    cluster.heal()
    cluster.run(25)
    leader = cluster.find_leader()
    assert leader, "no leader after healing"
    entry = cluster.propose(leader, b"final:x:y")
    cluster.run(3)
    assert cluster.committed.get(entry.index) == entry, "no progress"
    membership = cluster.vms[leader].node.state.log.membership
    assert all(m.voter for m in membership.members), "learner left over"
    for member in membership.members:
        assert cluster.vms[member.vm_id].applied >= entry.index
    cluster.check_log_matching()


class EdgeCaseTest(unittest.TestCase):
    """Guards against safety faults that random runs rarely reach."""

    def setUp(self) -> None:
        self.cluster = Cluster(seed=7, voters=3)
        self.now = self.cluster.now + 10

    def start(self, term: int, entries: list[Entry]) -> ConsensusNode:
        """Starts the first voter from a given log."""
        disk = self.cluster.vms["v0"].disk
        disk.entries.extend(entries)
        disk.hard_state = HardState(term=term, commit=1)
        self.cluster.start("v0")
        return self.cluster.vms["v0"].node

    def test_entry_of_an_earlier_term_is_not_committed_by_counting(
        self,
    ) -> None:
        node = self.start(2, [Entry(index=2, term=2, kind=EntryKind.NOOP)])
        node.tick(now=self.now)
        for pre_vote in (True, False):
            vote = VoteResponse(
                storage_id="v1-0", term=3, granted=True, pre_vote=pre_vote
            )
            node.step(peer="v1", message=vote, now=self.now)
        self.assertEqual(node.state.role, Role.LEADER)
        for index, commit in ((2, 1), (3, 3)):
            answer = AppendResponse(
                storage_id="v1-0", term=3, success=True, index=index
            )
            node.step(peer="v1", message=answer, now=self.now)
            self.assertEqual(node.state.commit, commit)

    def test_vote_is_persisted_and_not_given_twice(self) -> None:
        for number, granted in ((1, True), (2, False), (1, True)):
            node = self.cluster.vms["v0"].node
            request = VoteRequest(
                storage_id=f"v{number}-0",
                term=2,
                last_index=9,
                last_term=1,
                log_id=node.state.log.membership.log_id,
            )
            output = node.step(peer=f"v{number}", message=request, now=self.now)
            self.assertEqual(output.messages[0].message.granted, granted)
            self.cluster.vms["v0"].disk.save(output, 3)
            self.cluster.start("v0")

    def test_messages_of_another_log_are_ignored(self) -> None:
        node = self.cluster.vms["v0"].node
        other = build_first_membership({"v1": "v1-9"})
        entry = Entry(index=2, term=5, kind=EntryKind.NOOP)
        append = AppendRequest(
            storage_id="v1-9",
            term=5,
            prev_index=1,
            prev_term=1,
            commit=2,
            round=1,
            entries=(entry,),
            log_id=other.log_id,
        )
        vote = VoteRequest(
            storage_id="v1-9",
            term=5,
            last_index=9,
            last_term=4,
            log_id=other.log_id,
        )
        for message in (append, vote):
            output = node.step(peer="v1", message=message, now=self.now)
            self.assertEqual(output.messages, [])
        self.assertEqual((node.state.term, node.state.commit), (1, 1))

    def test_snapshot_does_not_drop_acknowledged_entries(self) -> None:
        entries = [
            Entry(index=index, term=2, kind=EntryKind.NOOP)
            for index in range(2, 6)
        ]
        node = self.start(2, entries)
        chunk = SnapshotChunk(
            storage_id="v1-0",
            term=2,
            index=3,
            snapshot_term=2,
            membership=node.state.log.membership,
            total=4,
            offset=0,
            data=b"data",
            round=1,
        )
        output = node.step(peer="v1", message=chunk, now=self.now)
        self.assertIsNone(output.snapshot)
        self.assertEqual(node.state.log.last_index, 5)
        self.assertEqual(node.state.commit, 3)


class ChaosTest(unittest.TestCase):
    """Guards against two leaders, lost entries and diverging state."""

    def test_random_faults(self) -> None:
        for seed in range(CHAOS_SEEDS):
            with self.subTest(seed=seed):
                run_chaos(seed)


class LostDiskTest(unittest.TestCase):
    """Guards against votes of a VM that lost the entries it acknowledged."""

    def test_second_loss_right_after_a_repair(self) -> None:
        for seed in range(LOSS_SEEDS):
            with self.subTest(seed=seed):
                self.run_losses(seed)

    def run_losses(self, seed: int) -> None:
        """Loses another folder each time the repair of the last one ends."""
        rng = random.Random(seed)
        cluster = Cluster(seed=seed, voters=3)
        cluster.max_delay = rng.choice((0.05, 0.3))
        cluster.loss = 0.05
        losses = 0
        for _ in range(400):
            cluster.run(STEP_SECONDS)
            if rng.random() < 0.3:
                propose_random_change(cluster, rng)
            if rng.random() < 0.02:
                cluster.compact(rng.choice(sorted(cluster.vms)))
            if is_fully_repaired(cluster):
                cluster.lose_disk(rng.choice(sorted(cluster.vms)), 0.1)
                losses += 1
        self.assertGreaterEqual(losses, 2)
        check_progress(cluster)

    def test_emptied_voters_cannot_elect_a_leader(self) -> None:
        cluster = Cluster(seed=1, voters=3)
        cluster.run(6)
        entry = cluster.propose(cluster.find_leader(), b"c:0:1")
        cluster.run(1)
        self.assertIn(entry.index, cluster.committed)
        terms = dict(cluster.leaders)
        for vm_id in ("v0", "v1"):
            cluster.lose_disk(vm_id, 0.1)
        cluster.run(30)
        self.assertEqual(cluster.find_leader(), "")
        self.assertEqual(cluster.leaders, terms)

    def test_late_join_request_does_not_remove_an_intact_voter(self) -> None:
        cluster = Cluster(seed=2, voters=3)
        cluster.run(6)
        leader = cluster.find_leader()
        other = next(v for v in cluster.vms if v != leader)
        stale = JoinRequest(vm_id=other, storage_id="from-before")
        for _ in range(20):
            cluster.post(other, leader, stale)
            cluster.run(0.5)
        membership = cluster.vms[leader].node.state.log.membership
        self.assertEqual(membership.find(other).storage_id, f"{other}-0")


class LeaderTest(unittest.TestCase):
    """Guards against leaders that act after their lease has ended."""

    def setUp(self) -> None:
        self.cluster = Cluster(seed=5, voters=3)
        self.cluster.run(6)
        self.leader = self.cluster.find_leader()
        self.node = self.cluster.vms[self.leader].node

    def test_frozen_leader_does_not_act_as_leader_when_it_resumes(self) -> None:
        vm = self.cluster.vms[self.leader]
        self.assertTrue(self.node.has_lease(now=self.cluster.now))
        vm.frozen_until = self.cluster.now + 60
        self.cluster.run(10)
        self.assertNotIn(self.cluster.find_leader(), ("", self.leader))
        now = self.cluster.now
        self.assertFalse(self.node.has_lease(now=now))
        output = self.node.read_index((7,), now=now)
        self.assertEqual(output.failed_reads, [7])
        self.assertEqual(output.messages, [])
        self.assertEqual(self.node.propose((b"c:0:1",), now=now)[0], [])
        self.assertEqual(self.node.tick(now=now).messages, [])

    def test_lease_ends_without_answers(self) -> None:
        now = self.cluster.now
        self.assertFalse(self.node.has_lease(now=now + Timing().lease_s))

    def test_leader_that_receives_nothing_steps_down(self) -> None:
        for peer in self.cluster.vms:
            self.cluster.blocked_links.add((peer, self.leader))
        self.cluster.run(8)
        self.assertNotEqual(self.node.state.role, Role.LEADER)
        self.assertNotIn(self.cluster.find_leader(), ("", self.leader))

    def test_follower_that_receives_nothing_does_not_depose_the_leader(
        self,
    ) -> None:
        follower = next(v for v in self.cluster.vms if v != self.leader)
        for peer in self.cluster.vms:
            self.cluster.blocked_links.add((peer, follower))
        term = self.node.state.term
        self.cluster.run(20)
        self.assertEqual(self.cluster.find_leader(), self.leader)
        self.assertEqual(self.node.state.term, term)

    def test_restarted_voter_does_not_break_a_lease(self) -> None:
        others = [v for v in self.cluster.vms if v != self.leader]
        for vm_id in others:
            self.cluster.blocked_links.add((self.leader, vm_id))
            self.cluster.crash(vm_id, 0)
        self.cluster.run(Timing().lease_s)
        self.assertEqual(self.cluster.find_leader(), self.leader)

    def test_restarting_voter_does_not_vote_within_a_lease(self) -> None:
        other, restarting = [v for v in self.cluster.vms if v != self.leader]
        self.cluster.blocked_links |= {
            (self.leader, other),
            (other, self.leader),
        }
        term = self.node.state.term
        self.cluster.run(6)
        for _ in range(40):
            self.cluster.crash(restarting, 0)
            self.cluster.run(0.7)
        self.assertEqual(self.cluster.find_leader(), self.leader)
        self.assertEqual(self.node.state.term, term)

    def test_read_waits_for_a_quorum(self) -> None:
        for vm_id in self.cluster.vms:
            self.cluster.blocked_links.add((vm_id, self.leader))
        output = self.node.read_index((7,), now=self.cluster.now)
        self.cluster.execute(self.leader, output)
        self.cluster.run(1)
        self.assertEqual(self.cluster.find_leader(), self.leader)
        self.assertEqual(self.cluster.reads, {})

    def test_planned_transfer_takes_less_than_an_election(self) -> None:
        target = next(v for v in self.cluster.vms if v != self.leader)
        output = self.node.transfer_leadership(target, now=self.cluster.now)
        self.cluster.execute(self.leader, output)
        self.assertFalse(self.node.has_lease(now=self.cluster.now))
        self.cluster.run(1)
        self.assertEqual(self.cluster.find_leader(), target)


class FlowControlTest(unittest.TestCase):
    """Guards against memory and links filled for a member that is behind."""

    def setUp(self) -> None:
        self.cluster = Cluster(seed=8, voters=3)
        self.cluster.run(6)
        self.leader = self.cluster.find_leader()
        self.node = self.cluster.vms[self.leader].node

    def propose(self, size: int) -> int:
        """Proposes commands of 10 kB; returns how many were appended."""
        data = b"c:0:" + b"1" * 10_000
        taken, output = self.node.propose(
            (data,) * (size // len(data)), now=self.cluster.now
        )
        self.cluster.execute(self.leader, output)
        return len(taken)

    def test_bytes_in_flight_are_bounded(self) -> None:
        for vm_id in self.cluster.vms:
            self.cluster.blocked_links.add((vm_id, self.leader))
        self.propose(2_000_000)
        size: dict[str, int] = {}
        for _, _, target, message in self.cluster.in_flight:
            if isinstance(message, AppendRequest):
                sent = sum(len(entry.data) for entry in message.entries)
                size[target] = size.get(target, 0) + sent
        self.assertEqual(len(size), 2)
        for sent in size.values():
            self.assertGreater(sent, 0)
            self.assertLess(sent, MAX_INFLIGHT_BYTES + MAX_BATCH_BYTES)
        self.cluster.blocked_links.clear()
        self.cluster.run(5)
        last = self.node.state.log.last_index
        self.assertEqual(self.node.state.commit, last)

    def test_uncommitted_proposals_are_bounded(self) -> None:
        for vm_id in self.cluster.vms:
            self.cluster.blocked_links.add((vm_id, self.leader))
        taken = self.propose(2 * MAX_UNCOMMITTED_BYTES)
        self.assertLess(taken * 10_000, MAX_UNCOMMITTED_BYTES)
        self.assertEqual(self.propose(20_000), 0)


class MembershipTest(unittest.TestCase):
    """Guards against membership changes that stop the log or skip a step."""

    def setUp(self) -> None:
        self.cluster = Cluster(seed=6, voters=3, non_voters=1)
        self.cluster.run(6)
        self.leader = self.cluster.find_leader()
        self.node = self.cluster.vms[self.leader].node

    def test_added_learner_becomes_a_voter(self) -> None:
        _, output = self.node.add_learner(
            "v3", promote=True, now=self.cluster.now
        )
        self.cluster.execute(self.leader, output)
        member = self.node.state.log.membership.find("v3")
        self.assertFalse(member.voter)
        self.cluster.run(4)
        member = self.node.state.log.membership.find("v3")
        self.assertEqual(
            member, Member(vm_id="v3", storage_id="v3-0", voter=True)
        )

    def test_second_change_waits_for_the_first(self) -> None:
        self.node.add_learner("v3", promote=False, now=self.cluster.now)
        with self.assertRaisesRegex(MembershipError, "in progress"):
            self.node.remove("v3", now=self.cluster.now)

    def test_learner_that_lacks_entries_is_not_promoted(self) -> None:
        _, output = self.node.add_learner(
            "v3", promote=False, now=self.cluster.now
        )
        self.cluster.blocked_links.add((self.leader, "v3"))
        self.cluster.execute(self.leader, output)
        self.cluster.run(1)
        with self.assertRaisesRegex(MembershipError, "caught up"):
            self.node.promote("v3", now=self.cluster.now)

    def test_unknown_vm_is_not_added(self) -> None:
        with self.assertRaisesRegex(MembershipError, "announced"):
            self.node.add_learner("v9", promote=True, now=self.cluster.now)

    def test_intact_voter_is_not_removed_while_another_is_down(self) -> None:
        down, kept = [v for v in ("v0", "v1", "v2") if v != self.leader]
        self.cluster.crash(down, 100)
        self.cluster.run(4)
        with self.assertRaisesRegex(MembershipError, "would be active"):
            self.node.remove(kept, now=self.cluster.now)

    def test_removed_voter_no_longer_counts(self) -> None:
        removed = next(v for v in ("v0", "v1", "v2") if v != self.leader)
        _, output = self.node.remove(removed, now=self.cluster.now)
        self.cluster.execute(self.leader, output)
        self.assertEqual(len(self.node.state.log.membership.voters), 2)
        kept = next(
            v for v in ("v0", "v1", "v2") if v not in (self.leader, removed)
        )
        self.cluster.blocked_links.add((kept, self.leader))
        entry = self.cluster.propose(self.leader, b"c:0:1")
        self.cluster.run(1)
        self.assertNotIn(entry.index, self.cluster.committed)
        self.cluster.blocked_links.clear()
        self.cluster.run(1)
        self.assertIn(entry.index, self.cluster.committed)

    def test_removed_voter_gets_its_removal_and_can_be_added_again(
        self,
    ) -> None:
        removed = next(v for v in ("v0", "v1", "v2") if v != self.leader)
        _, output = self.node.remove(removed, now=self.cluster.now)
        self.cluster.execute(self.leader, output)
        self.cluster.run(15)
        log = self.cluster.vms[removed].node.state.log
        self.assertIsNone(log.membership.find(removed))
        self.assertNotIn(removed, self.node.state.progress)
        _, output = self.node.add_learner(
            removed, promote=True, now=self.cluster.now
        )
        self.cluster.execute(self.leader, output)
        self.cluster.run(2)
        self.assertTrue(self.node.state.log.membership.find(removed).voter)
