"""Connects a consensus node to its data folder, state machine and peers.

Everything that a step produces is durable before any of its messages is
returned for sending and before any of its entries is applied. When the
storage fails, the node is dropped without sending anything, and a new one is
built from the folder after `STORAGE_RETRY_SECONDS`.

The first voters agree on their storage identities as `bootstraps` describes.
A VM whose folder is not in the membership sends join requests to the members
that it knows. The leader replaces a listed voter that lost its folder by a
learner and promotes the learner once it has caught up.

The folders of all first voters must not be emptied while other members hold
the log: the first voters would start a second log, whose messages the other
members ignore. With a single first voter, emptying one folder is enough for
this, so its `bootstrap_voters` must be removed once other voters exist.
"""

import asyncio
from collections.abc import Callable
import pathlib
import random
import time

from expression import Error
from expression import Result

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.consensus.bootstraps import Bootstrap
from rattanroute.consensus.client_requests import ClientRequestQueue
from rattanroute.consensus.entries import BOOTSTRAP_TERM
from rattanroute.consensus.entries import build_first_entry
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import EntryKind
from rattanroute.consensus.entries import HardState
from rattanroute.consensus.entries import Membership
from rattanroute.consensus.entries import Snapshot
from rattanroute.consensus.membership_operations import MembershipOperations
from rattanroute.consensus.node_states import DEFAULT_TIMING
from rattanroute.consensus.node_states import StepOutput
from rattanroute.consensus.node_states import Timing
from rattanroute.consensus.proposals import build_not_accepted_error
from rattanroute.consensus.proposals import build_unknown_outcome_error
from rattanroute.consensus.proposals import PendingProposals
from rattanroute.consensus.proposals import Proposal
from rattanroute.consensus.raft_nodes import build_state
from rattanroute.consensus.raft_nodes import ConsensusNode
from rattanroute.consensus.state_machines import StateMachine
from rattanroute.consensus.storages import ConsensusStorage
from rattanroute.consensus.storages import KEEP_BYTES
from rattanroute.consensus.storages import KEEP_ENTRIES
from rattanroute.errors import RouterError
from rattanroute.errors import StorageError
from rattanroute.logs import get_logger
from rattanroute.messages.consensus import BootstrapReport
from rattanroute.messages.consensus import JoinRequest
from rattanroute.messages.consensus import KINDS
from rattanroute.messages.consensus import ProposeRequest
from rattanroute.messages.consensus import ProposeResponse
from rattanroute.messages.consensus import ReadRequest
from rattanroute.messages.consensus import ReadResponse
from rattanroute.storage.records import FileAccess

JOIN_REQUEST_INTERVAL_SECONDS = 1.0
STORAGE_RETRY_SECONDS = 1.0
# On a full disk every snapshot fails; retrying after each applied entry would
# stall the log.
SNAPSHOT_RETRY_SECONDS = 30.0
MAX_PROPOSAL_BYTES = 1024 * 1024
CLIENT_MESSAGE_TYPES = (
    ProposeRequest,
    ProposeResponse,
    ReadRequest,
    ReadResponse,
)

logger = get_logger(__name__)


class ConsensusHost:
    """Runs the consensus subsystem of a voter VM.

    Attributes:
        message_types: Message classes that `receive` accepts.
        vm_id: This VM.
        machine: The state machine.
        storage: Data folder.
        node: The Raft node; None after the storage failed.
        bootstrap: Bootstrap in progress; None if there is none.
        pending: Proposals of this VM whose log position is known.
        requests: Other requests of this VM and of its peers.
        operations: Membership changes and leader transfer.
        on_applied: Called with the current time after entries were applied,
            before their proposers get the results.
    """

    message_types: tuple[type, ...] = tuple(KINDS.values())

    def __init__(
        self,
        *,
        vm_id: str,
        folder: pathlib.Path,
        machine: StateMachine,
        rng: random.Random,
        now: float,
        bootstrap_voters: tuple[str, ...] = (),
        files: FileAccess | None = None,
        clock: Callable[[], float] = time.monotonic,
        send: Callable[[list[Action]], None] | None = None,
        voter_target: int = 0,
        timing: Timing = DEFAULT_TIMING,
    ) -> None:
        """Opens the data folder.

        Args:
            vm_id: This VM.
            folder: Data folder; created with a new identity if empty.
            machine: State machine in its initial state.
            rng: Generator of identities and election timeouts.
            now: The host's monotonic clock, in seconds.
            bootstrap_voters: First voters; used while the folder is empty,
                and as receivers of join requests.
            files: File access; the operating system's by default.
            clock: The same clock as `now`.
            send: Sends actions that arise between calls of `receive` and
                `tick`; without it they wait for the next tick.
            voter_target: Number of voters that the leader maintains by
                itself; 0 leaves membership changes to operators.
            timing: Timeouts, equal on all voters.

        Raises:
            StorageError: If the folder is unusable or its state is damaged.
        """
        self.vm_id = vm_id
        self.folder = folder
        self.machine = machine
        self.rng = rng
        self.bootstrap_voters = bootstrap_voters
        self.files = files
        self.clock = clock
        self.send = send
        self.voter_target = voter_target
        self.timing = timing
        self.pending = PendingProposals()
        self.requests = ClientRequestQueue(host=self, rng=rng)
        self.operations = MembershipOperations(host=self)
        self.node: ConsensusNode | None = None
        self.bootstrap: Bootstrap | None = None
        self.delayed_actions: list[Action] = []
        self.is_flush_scheduled = False
        self.next_join_request_at = now
        self.reopen_at = now
        self.next_snapshot_at = now
        self.on_applied: Callable[[float], None] | None = None
        self.open(now)

    def open(self, now: float) -> None:
        """Opens the data folder and builds the node from it.

        Raises:
            StorageError: If the folder is unusable or its state is damaged.
        """
        self.storage = ConsensusStorage(
            self.folder, rng=self.rng, files=self.files
        )
        stored = self.storage.state
        self.restore(stored.snapshot)
        self.node = self.build_node(stored.hard_state, now)
        is_empty = not self.membership.members
        if is_empty and self.vm_id in self.bootstrap_voters:
            own = {self.vm_id: stored.storage_id}
            self.bootstrap = Bootstrap(
                vm_id=self.vm_id,
                storage_id=stored.storage_id,
                voters=self.bootstrap_voters,
                ids={**stored.bootstrap_ids, **own},
            )
            self.complete_bootstrap(now)

    def build_node(self, hard_state: HardState, now: float) -> ConsensusNode:
        """Returns a node that starts from the stored state."""
        state = build_state(
            vm_id=self.vm_id,
            storage_id=self.storage.state.storage_id,
            log=self.storage.state.build_log(),
            hard_state=hard_state,
            rng=self.rng,
            now=now,
            voter_target=self.voter_target,
            timing=self.timing,
        )
        return ConsensusNode(state)

    @property
    def membership(self) -> Membership:
        """Latest known membership, even if not committed."""
        if self.node is None:
            return Membership()
        return self.node.state.log.membership

    @property
    def leader_id(self) -> str:
        """VM of the known leader; "" for none."""
        return self.node.state.leader_id if self.node is not None else ""

    @property
    def term(self) -> int:
        """The current term; 0 after the storage failed."""
        return self.node.state.term if self.node is not None else 0

    @property
    def applied_index(self) -> int:
        """Index of the last applied entry."""
        return self.pending.applied

    def is_leader_with_lease(self, now: float) -> bool:
        """Returns whether this VM is the only possible leader at `now`."""
        return self.node is not None and self.node.has_lease(now=now)

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a message from a peer; returns the actions to send."""
        node = self.node
        if node is None:
            return []
        if isinstance(message, BootstrapReport):
            return self.receive_report(peer, message, now)
        if self.bootstrap is not None:
            return []
        if isinstance(message, CLIENT_MESSAGE_TYPES):
            actions = self.requests.receive(peer, message)
            self.schedule_flush()
            return actions
        output = node.step(peer=peer, message=message, now=now)
        return self.execute(output, now)

    def tick(self, *, now: float) -> list[Action]:
        """Does the periodic work that is due; returns the actions to send."""
        if self.node is None and now >= self.reopen_at:
            self.reopen(now)
        node = self.node
        if node is None:
            return []
        actions, self.delayed_actions = self.delayed_actions, []
        if self.bootstrap is not None:
            return [*actions, *self.bootstrap.build_due_reports(now)]
        actions.extend(self.execute(node.tick(now=now), now))
        actions.extend(self.requests.flush(now))
        actions.extend(self.send_join_requests(now))
        return actions

    def execute(self, output: StepOutput, now: float) -> list[Action]:
        """Persists and applies an output; returns the actions to send."""
        try:
            self.persist(output)
        except StorageError as error:
            self.handle_storage_failure(error, now)
            return []
        if output.snapshot is not None:
            self.restore(output.snapshot)
        for entry in output.committed:
            self.apply(entry)
        if output.committed and self.on_applied is not None:
            self.on_applied(now)
        self.requests.finish_reads()
        actions: list[Action] = list(output.messages)
        actions.extend(self.requests.finish_confirmations(output))
        if output.committed and self.storage.needs_snapshot:
            self.take_snapshot(now)
        return actions

    def persist(self, output: StepOutput) -> None:
        """Makes the snapshot, hard state and entries durable.

        Raises:
            StorageError: If they are not durable.
        """
        snapshot = output.snapshot
        if snapshot is not None and output.hard_state is not None:
            self.storage.save_snapshot(
                snapshot=snapshot,
                hard_state=output.hard_state,
                base_index=snapshot.index,
                base_term=snapshot.term,
                entries=output.entries,
            )
        elif output.entries or output.hard_state is not None:
            self.storage.save(
                hard_state=output.hard_state, entries=output.entries
            )

    def apply(self, entry: Entry) -> None:
        """Applies a committed entry unless it was applied before.

        A node that was rebuilt from its folder returns entries again.
        """
        if entry.index <= self.pending.applied:
            return
        result = None
        if entry.kind == EntryKind.DATA:
            result = self.machine.apply(entry.index, entry.data)
        self.pending.apply(entry, result)

    def restore(self, snapshot: Snapshot) -> None:
        """Loads a snapshot that is newer than the applied state."""
        if snapshot.index > self.pending.applied:
            self.machine.restore(snapshot.data)
            self.pending.restore(snapshot.index)

    def take_snapshot(self, now: float) -> None:
        """Makes a snapshot durable and compacts the log."""
        node = self.node
        if node is None or now < self.next_snapshot_at:
            return
        log = node.state.log
        index = self.pending.applied
        base = log.find_base(
            index, max_entries=KEEP_ENTRIES, max_bytes=KEEP_BYTES
        )
        snapshot = Snapshot(
            index=index,
            term=log.term_at(index) or 0,
            membership=node.membership_at(index),
            data=self.machine.snapshot(),
        )
        try:
            self.storage.save_snapshot(
                snapshot=snapshot,
                hard_state=node.state.hard_state,
                base_index=base,
                base_term=log.term_at(base) or 0,
                entries=log.entries_between(base + 1, log.last_index),
            )
        except StorageError as error:
            self.next_snapshot_at = now + SNAPSHOT_RETRY_SECONDS
            logger.warning("snapshot failed", error=error)
            if self.storage.needs_reopen:
                self.handle_storage_failure(error, now)
            return
        node.compact(snapshot, base_index=base)

    def handle_storage_failure(self, error: StorageError, now: float) -> None:
        """Drops the node after its storage failed."""
        logger.error("consensus storage failed", error=error)
        self.node = None
        self.reopen_at = now + STORAGE_RETRY_SECONDS
        self.storage.close()
        self.pending.fail_all(str(error))
        self.requests.fail_all(error)

    def reopen(self, now: float) -> None:
        """Tries to rebuild the node after a storage failure."""
        try:
            self.open(now)
        except StorageError as error:
            self.reopen_at = now + STORAGE_RETRY_SECONDS
            logger.warning("consensus storage unusable", error=error)

    def receive_report(
        self, peer: str, report: BootstrapReport, now: float
    ) -> list[Action]:
        """Handles a bootstrap report from another first voter."""
        bootstrap = self.bootstrap
        if bootstrap is None:
            return self.answer_report(peer, report)
        try:
            if bootstrap.record_report(peer, report):
                self.storage.save_bootstrap_ids(bootstrap.ids)
            if bootstrap.is_excluded:
                self.bootstrap = None
                return []
            self.complete_bootstrap(now)
        except StorageError as error:
            self.bootstrap = None
            self.handle_storage_failure(error, now)
            return []
        return list(bootstrap.build_due_reports(now))

    def answer_report(self, peer: str, report: BootstrapReport) -> list[Action]:
        """Answers a first voter that has not completed the bootstrap."""
        if report.final or not self.membership.members:
            return []
        stored = self.storage.state
        answer = BootstrapReport(
            storage_id=stored.storage_id,
            ids=stored.bootstrap_ids,
            final=True,
        )
        return [SendMessage(peer=peer, message=answer)]

    def complete_bootstrap(self, now: float) -> None:
        """Stores the first membership once all first voters agree.

        Raises:
            StorageError: If the membership is not durable.
        """
        bootstrap = self.bootstrap
        membership = (
            bootstrap.build_membership() if bootstrap is not None else None
        )
        if bootstrap is None or membership is None:
            return
        if bootstrap.ids != self.storage.state.bootstrap_ids:
            self.storage.save_bootstrap_ids(bootstrap.ids)
        entry = build_first_entry(membership)
        hard_state = HardState(term=BOOTSTRAP_TERM, commit=entry.index)
        self.storage.save(hard_state=hard_state, entries=[entry])
        self.storage.state.entries = [entry]
        self.node = self.build_node(hard_state, now)
        self.bootstrap = None

    def send_join_requests(self, now: float) -> list[Action]:
        """Sends join requests while this folder is not a member."""
        if now < self.next_join_request_at:
            return []
        self.next_join_request_at = now + JOIN_REQUEST_INTERVAL_SECONDS
        storage_id = self.storage.state.storage_id
        member = self.membership.find(self.vm_id)
        if member is not None and member.storage_id == storage_id:
            return []
        known = {m.vm_id for m in self.membership.members}
        known.update(self.bootstrap_voters)
        known.discard(self.vm_id)
        message = JoinRequest(vm_id=self.vm_id, storage_id=storage_id)
        return [
            SendMessage(peer=peer, message=message) for peer in sorted(known)
        ]

    def schedule_flush(self) -> None:
        """Schedules a flush after the current events, for one batch."""
        if self.send is None or self.is_flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self.is_flush_scheduled = True
        loop.call_soon(self.flush)

    def flush(self) -> None:
        """Sends or appends the queued requests."""
        self.is_flush_scheduled = False
        self.dispatch(self.requests.flush(self.clock()))

    def dispatch(self, actions: list[Action]) -> None:
        """Sends actions immediately, or keeps them for the next tick."""
        if self.send is None:
            self.delayed_actions.extend(actions)
        elif actions:
            self.send(actions)

    async def propose(
        self, data: bytes, timeout_s: float
    ) -> Result[object, RouterError]:
        """Appends a proposal to the log and applies it.

        Returns:
            The result of `StateMachine.apply`, or a `ProposalError` whose
            outcome says whether the proposal may still take effect.
        """
        if len(data) > MAX_PROPOSAL_BYTES:
            return Error(
                build_not_accepted_error(f"{len(data)} bytes are too long")
            )
        if self.node is None:
            return Error(
                build_not_accepted_error("the storage failed", peer=self.vm_id)
            )
        proposal = self.requests.add_proposal(data)
        self.schedule_flush()
        return await self.wait_for_result(proposal, timeout_s)

    async def wait_for_result(
        self, proposal: Proposal, timeout_s: float
    ) -> Result[object, RouterError]:
        """Waits for the result of a proposal."""
        try:
            async with asyncio.timeout(timeout_s):
                return await proposal.future
        except TimeoutError:
            if proposal.sent_to:
                text = f"no result within {timeout_s} s"
                return Error(
                    build_unknown_outcome_error(text, peer=proposal.sent_to)
                )
            return Error(
                build_not_accepted_error(f"no leader within {timeout_s} s")
            )
        finally:
            self.requests.drop_proposal(proposal)

    async def read_barrier(self, timeout_s: float) -> Result[int, RouterError]:
        """Waits until all changes accepted before the call are applied.

        Returns:
            Read index that the state machine has reached, or an error if no
            leader confirmed one in time.
        """
        if self.node is None:
            return Error(
                build_not_accepted_error("the storage failed", peer=self.vm_id)
            )
        read = self.requests.add_read()
        self.schedule_flush()
        try:
            async with asyncio.timeout(timeout_s):
                return await read.future
        except TimeoutError:
            return Error(
                RouterError(
                    step="read barrier",
                    peer=self.leader_id,
                    message=f"not confirmed within {timeout_s} s",
                )
            )
        finally:
            self.requests.drop_read(read)

    def close(self) -> None:
        """Closes the data folder; the host is not used afterwards."""
        self.node = None
        self.storage.close()
