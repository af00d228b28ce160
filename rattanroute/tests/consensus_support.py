"""Simulated cluster of consensus nodes with invariant checks."""

import dataclasses
import hashlib
import random

from rattanroute.consensus.entries import BOOTSTRAP_TERM
from rattanroute.consensus.entries import build_first_entry
from rattanroute.consensus.entries import build_first_membership
from rattanroute.consensus.entries import decode_membership
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import EntryKind
from rattanroute.consensus.entries import HardState
from rattanroute.consensus.entries import Membership
from rattanroute.consensus.entries import Snapshot
from rattanroute.consensus.entry_logs import EntryLog
from rattanroute.consensus.node_states import Role
from rattanroute.consensus.node_states import StepOutput
from rattanroute.consensus.raft_nodes import build_state
from rattanroute.consensus.raft_nodes import ConsensusNode
from rattanroute.messages.consensus import JoinRequest

STEP_SECONDS = 0.1
# Entries before a snapshot that stay in a log.
KEPT_ENTRIES = 3


class Register:
    """A compare-and-set register with a hash of all its commands.

    A command is `client:expected:new`; the register takes the new value if it
    holds the expected one.
    """

    def __init__(self) -> None:
        self.value = "0"
        self.digest = bytes(64)

    def apply(self, data: bytes) -> bool:
        """Applies a command; returns whether the register changed."""
        self.digest = hashlib.blake2b(self.digest + data).digest()
        _, expected, new = data.decode().split(":")
        if self.value != expected:
            return False
        self.value = new
        return True

    def snapshot(self) -> bytes:
        """Returns the state, padded so that it needs several chunks."""
        return self.digest + self.value.encode().ljust(70_000)

    def restore(self, data: bytes) -> None:
        """Replaces the state."""
        self.digest = data[:64]
        self.value = data[64:].decode().rstrip()


class SimulatedDisk:
    """Durable content of one data folder."""

    def __init__(self, storage_id: str, membership: Membership | None) -> None:
        self.storage_id = storage_id
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.base = (0, 0)
        self.entries: list[Entry] = []
        if membership is not None:
            self.hard_state = HardState(term=BOOTSTRAP_TERM, commit=1)
            self.entries = [build_first_entry(membership)]

    def save(self, output: StepOutput, writes: int) -> None:
        """Stores the first `writes` records in the order of `storages`."""
        if output.snapshot is not None and writes > 0:
            self.snapshot = output.snapshot
            self.base = (output.snapshot.index, output.snapshot.term)
            self.entries = []
        new = output.hard_state
        if new is not None and writes > 1:
            old = self.hard_state.commit
            self.hard_state = dataclasses.replace(new, commit=old)
        for entry in output.entries[: max(writes - 2, 0)]:
            del self.entries[entry.index - self.base[0] - 1 :]
            self.entries.append(entry)
        if new is not None and writes > 2 + len(output.entries):
            self.hard_state = new


@dataclasses.dataclass(kw_only=True)
class SimulatedVm:
    """A VM with its disk, node and state machine.

    Attributes:
        disk: Durable state.
        node: The node; None while it is stopped.
        machine: State machine.
        applied: Last applied index.
        frozen_until: Time until which the process is suspended, in seconds.
        restart_at: Time of the restart of a stopped node, in seconds.
        writes_before_kill: Number of records that the next output persists
            before the node is killed; -1 for no kill.
    """

    disk: SimulatedDisk
    node: ConsensusNode | None = None
    machine: Register = dataclasses.field(default_factory=Register)
    applied: int = 0
    frozen_until: float = 0.0
    restart_at: float = 0.0
    writes_before_kill: int = -1


class Cluster:
    """Simulated nodes and a network that loses, repeats and reorders messages.

    Attributes:
        now: Virtual time, in seconds.
        loss: Probability that a message is lost or repeated.
        max_delay: Longest delay of a message, in seconds.
        blocked_links: Pairs (sender, receiver) between which all messages are
            lost.
        in_flight: Delivery time, sender, receiver and message of each message
            that is not delivered yet.
        leaders: Leader of each term.
        committed: Committed entries by index.
        commit_terms: Term of the node that first applied an entry, by index.
        memberships: Committed memberships by index.
        digests: Hash of the applied commands by last applied index.
        reads: VM, index and register value of confirmed reads, by context.
        results: Result of a command by index, term and VM.
        losses: Number of data folders lost so far.
    """

    def __init__(
        self,
        *,
        seed: int,
        voters: int,
        non_voters: int = 0,
        voter_target: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.voter_target = voter_target
        self.now = 100.0
        self.loss = 0.0
        self.max_delay = 0.05
        self.blocked_links: set[tuple[str, str]] = set()
        self.in_flight: list[tuple[float, str, str, object]] = []
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, Entry] = {}
        self.commit_terms: dict[int, int] = {}
        self.memberships: dict[int, Membership] = {}
        self.digests: dict[int, bytes] = {}
        self.reads: dict[int, tuple[str, int, str]] = {}
        self.results: dict[tuple[int, int, str], bool] = {}
        ids = [f"v{number}" for number in range(voters + non_voters)]
        membership = build_first_membership(
            {vm_id: f"{vm_id}-0" for vm_id in ids[:voters]}
        )
        self.losses = 0
        self.vms: dict[str, SimulatedVm] = {}
        for vm_id in ids:
            known = membership if membership.find(vm_id) else None
            self.vms[vm_id] = SimulatedVm(
                disk=SimulatedDisk(f"{vm_id}-0", known)
            )
            self.start(vm_id)

    def start(self, vm_id: str) -> None:
        """Starts a node from its disk."""
        vm = self.vms[vm_id]
        disk = vm.disk
        log = EntryLog(
            snapshot=disk.snapshot,
            base_index=disk.base[0],
            base_term=disk.base[1],
            entries=disk.entries,
        )
        state = build_state(
            vm_id=vm_id,
            storage_id=disk.storage_id,
            log=log,
            hard_state=disk.hard_state,
            rng=random.Random(self.rng.random()),
            now=self.now,
            voter_target=self.voter_target,
        )
        vm.node = ConsensusNode(state)
        vm.machine = Register()
        vm.applied = disk.snapshot.index
        if disk.snapshot.data:
            vm.machine.restore(disk.snapshot.data)

    def crash(self, vm_id: str, seconds: float) -> None:
        """Kills a node and restarts it later."""
        self.vms[vm_id].node = None
        self.vms[vm_id].restart_at = self.now + seconds

    def lose_disk(self, vm_id: str, seconds: float) -> None:
        """Kills a node and empties its data folder."""
        self.losses += 1
        self.crash(vm_id, seconds)
        self.vms[vm_id].disk = SimulatedDisk(f"{vm_id}-{self.losses}", None)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.deliver()
            for vm_id, vm in self.vms.items():
                if vm.node is None and vm.restart_at <= self.now:
                    self.start(vm_id)
                if vm.node is not None and vm.frozen_until <= self.now:
                    self.execute(vm_id, vm.node.tick(now=self.now))
                    self.send_join_requests(vm_id)
            self.check_leases()

    def send_join_requests(self, vm_id: str) -> None:
        """Sends join requests if the node's folder is not a member."""
        vm = self.vms[vm_id]
        if vm.node is None:
            return
        member = vm.node.state.log.membership.find(vm_id)
        if member is None or member.storage_id != vm.disk.storage_id:
            join = JoinRequest(vm_id=vm_id, storage_id=vm.disk.storage_id)
            for peer in self.vms:
                self.post(vm_id, peer, join)

    def post(self, source: str, target: str, message: object) -> None:
        """Sends a message once, twice or not at all."""
        if (source, target) in self.blocked_links:
            return
        copies = 1
        if self.loss and self.rng.random() < self.loss:
            copies = self.rng.choice((0, 0, 2))
        for _ in range(copies):
            at = self.now + self.rng.uniform(0, self.max_delay)
            self.in_flight.append((at, source, target, message))

    def deliver(self) -> None:
        """Delivers due messages and the answers due in the same step."""
        for _ in range(40):
            due = [item for item in self.in_flight if item[0] <= self.now]
            if not due:
                return
            self.in_flight = [
                item for item in self.in_flight if item[0] > self.now
            ]
            for item in sorted(due, key=lambda item: item[0]):
                self.receive(item)

    def receive(self, item: tuple[float, str, str, object]) -> None:
        """Passes a message to its node, or delays it while that is frozen."""
        _, source, target, message = item
        vm = self.vms[target]
        if vm.frozen_until > self.now:
            self.in_flight.append((vm.frozen_until, source, target, message))
        elif vm.node is not None and source != target:
            output = vm.node.step(peer=source, message=message, now=self.now)
            self.execute(target, output)

    def execute(self, vm_id: str, output: StepOutput) -> None:
        """Persists, sends and applies an output, unless the node is killed."""
        vm = self.vms[vm_id]
        writes = vm.writes_before_kill
        if writes >= 0 and (output.entries or output.hard_state is not None):
            vm.writes_before_kill = -1
            vm.disk.save(output, writes)
            self.crash(vm_id, self.rng.uniform(0, 5))
            return
        vm.disk.save(output, 3 + len(output.entries))
        for action in output.messages:
            self.post(vm_id, action.peer, action.message)
        self.apply(vm_id, output)
        self.check_leader(vm_id)

    def apply(self, vm_id: str, output: StepOutput) -> None:
        """Applies committed entries and checks them against other nodes."""
        vm = self.vms[vm_id]
        if output.snapshot is not None:
            vm.machine.restore(output.snapshot.data)
            vm.applied = output.snapshot.index
        for entry in output.committed:
            known = self.committed.setdefault(entry.index, entry)
            self.commit_terms.setdefault(entry.index, self.term_of(vm_id))
            assert known == entry, f"{vm_id} replaced {known} by {entry}"
            assert entry.index == vm.applied + 1
            vm.applied = entry.index
            if entry.kind == EntryKind.MEMBERSHIP:
                self.check_membership(entry)
            if entry.kind == EntryKind.DATA:
                key = (entry.index, entry.term, vm_id)
                self.results[key] = vm.machine.apply(entry.data)
        digest = self.digests.setdefault(vm.applied, vm.machine.digest)
        assert digest == vm.machine.digest, f"{vm_id} differs at {vm.applied}"
        for context, index in output.reads:
            self.reads[context] = (vm_id, index, vm.machine.value)
            assert index <= vm.applied

    def check_membership(self, entry: Entry) -> None:
        """Checks that changes affect one voter and start with a learner."""
        if entry.index in self.memberships:
            return
        new = decode_membership(entry.data)
        if self.memberships:
            old = self.memberships[max(self.memberships)]
            before = {m.storage_id for m in old.voters}
            after = {m.storage_id for m in new.voters}
            assert len(before ^ after) <= 1, f"{old} then {new}"
            known = {m.storage_id for m in old.members}
            assert after <= known, f"voters without learning: {new}"
        self.memberships[entry.index] = new

    def check_leader(self, vm_id: str) -> None:
        """Checks election safety and leader completeness."""
        state = self.vms[vm_id].node.state
        if state.role != Role.LEADER:
            return
        if state.term in self.leaders:
            assert self.leaders[state.term] == vm_id, f"two in {state.term}"
            return
        self.leaders[state.term] = vm_id
        for index, entry in self.committed.items():
            # Leader completeness covers only entries committed in older terms.
            is_due = self.commit_terms[index] < state.term
            if is_due and index > state.log.base_index:
                assert state.log.term_at(index) == entry.term, f"lost {index}"

    def check_leases(self) -> None:
        """Checks that at most one node, even if frozen, claims the lease."""
        holders = [
            vm_id
            for vm_id, vm in self.vms.items()
            if vm.node is not None and vm.node.has_lease(now=self.now)
        ]
        assert len(holders) <= 1, f"leases of {holders}"

    def check_log_matching(self) -> None:
        """Checks that equal (index, term) means equal logs up to it."""
        logs = [vm.node.state.log for vm in self.vms.values() if vm.node]
        for number, log in enumerate(logs):
            for other in logs[:number]:
                index = min(log.last_index, other.last_index)
                first = max(log.base_index, other.base_index) + 1
                while index >= first and (
                    log.term_at(index) != other.term_at(index)
                ):
                    index -= 1
                assert log.entries_between(
                    first, index
                ) == other.entries_between(first, index)

    def find_leader(self) -> str:
        """Returns the running leader with the highest term, or ""."""
        best = ""
        for vm_id, vm in self.vms.items():
            if vm.node is None or vm.node.state.role != Role.LEADER:
                continue
            if not best or vm.node.state.term > self.term_of(best):
                best = vm_id
        return best

    def term_of(self, vm_id: str) -> int:
        """Returns the term of a running node."""
        return self.vms[vm_id].node.state.term

    def propose(self, vm_id: str, data: bytes) -> Entry | None:
        """Proposes at a node; returns the entry if it was appended."""
        node = self.vms[vm_id].node
        if node is None or self.vms[vm_id].frozen_until > self.now:
            return None
        entries, output = node.propose((data,), now=self.now)
        self.execute(vm_id, output)
        return entries[0] if entries else None

    def compact(self, vm_id: str) -> None:
        """Takes a snapshot at a node and compacts its log."""
        vm = self.vms[vm_id]
        if vm.node is None or vm.applied <= vm.disk.snapshot.index:
            return
        log = vm.node.state.log
        snapshot = Snapshot(
            index=vm.applied,
            term=log.term_at(vm.applied),
            membership=vm.node.membership_at(vm.applied),
            data=vm.machine.snapshot(),
        )
        vm.node.compact(snapshot, base_index=vm.applied - KEPT_ENTRIES)
        vm.disk.snapshot = snapshot
        vm.disk.base = (log.base_index, log.base_term)
        vm.disk.entries = list(log.entries)

    def heal(self) -> None:
        """Ends all faults of the network and resumes or restarts all nodes."""
        self.loss = 0.0
        self.max_delay = 0.05
        self.blocked_links.clear()
        for vm in self.vms.values():
            vm.frozen_until = 0.0
            vm.writes_before_kill = -1
            vm.restart_at = min(vm.restart_at, self.now)
