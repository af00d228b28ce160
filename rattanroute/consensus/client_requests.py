"""Queue of proposals and reads from local clients and from other VMs.

The leader appends proposals and confirms read indexes; other nodes forward
the requests of their own clients to the leader.
"""

import asyncio
import collections
import dataclasses
import random
from typing import Protocol

from expression import Error
from expression import Ok

from rattanroute.actions import SendMessage
from rattanroute.consensus.node_states import StepOutput
from rattanroute.consensus.proposals import build_not_accepted_error
from rattanroute.consensus.proposals import build_unknown_outcome_error
from rattanroute.consensus.proposals import PendingProposals
from rattanroute.consensus.proposals import Proposal
from rattanroute.consensus.proposals import Read
from rattanroute.consensus.raft_nodes import ConsensusNode
from rattanroute.errors import RouterError
from rattanroute.messages.consensus import ProposeRequest
from rattanroute.messages.consensus import ProposeResponse
from rattanroute.messages.consensus import ReadRequest
from rattanroute.messages.consensus import ReadResponse

# A forwarded proposal that arrives twice is answered from the remembered
# answers, so that it is not appended twice.
MAX_REMEMBERED_ANSWERS = 4096
# A forwarded read without an answer is sent again after this time.
READ_RETRY_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedProposal:
    """A proposal that another VM forwarded to this one."""

    peer: str
    request_id: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedRead:
    """A read that another VM forwarded to this one."""

    peer: str
    request_id: int


class RequestQueueHost(Protocol):
    """Interface of the host that `ClientRequestQueue` uses."""

    vm_id: str
    node: ConsensusNode | None
    pending: PendingProposals

    def execute(self, output: StepOutput, now: float) -> list[object]:
        """Persists and applies an output; returns the actions to send."""
        ...


class ClientRequestQueue:
    """Requests that wait for a leader, a log position or a read index.

    Attributes:
        host: Owner of the node.
        proposals: Proposals to append or forward at the next flush.
        reads: Reads without a confirmed index.
        waiting_reads: Reads whose index is confirmed but not applied yet.
        forwarded: Local proposals sent to the leader whose log position is
            not known yet, by request number.
        contexts: Reads that the node is confirming, by context number.
        remembered_answers: Answers to proposals that other VMs forwarded, by
            VM and request number; None until the proposal is answered.
        next_id: Latest number that was allocated.
    """

    def __init__(self, *, host: RequestQueueHost, rng: random.Random) -> None:
        self.host = host
        self.proposals: list[Proposal | ForwardedProposal] = []
        self.reads: list[Read | ForwardedRead] = []
        self.waiting_reads: list[Read] = []
        self.forwarded: dict[int, Proposal] = {}
        self.contexts: dict[int, Read | ForwardedRead] = {}
        self.remembered_answers: collections.OrderedDict[
            tuple[str, int], ProposeResponse | None
        ] = collections.OrderedDict()
        # Starts at a random number, so that a late answer to a request from
        # before a restart does not match a new request.
        self.next_id = rng.getrandbits(62)

    def allocate_id(self) -> int:
        """Returns a new number for a request or a read context."""
        self.next_id += 1
        return self.next_id

    def add_proposal(self, data: bytes) -> Proposal:
        """Queues a proposal of a client on this VM."""
        proposal = Proposal(
            request_id=self.allocate_id(),
            data=data,
            future=asyncio.get_running_loop().create_future(),
        )
        self.proposals.append(proposal)
        return proposal

    def add_read(self) -> Read:
        """Queues a read of a client on this VM."""
        read = Read(
            request_id=self.allocate_id(),
            future=asyncio.get_running_loop().create_future(),
        )
        self.reads.append(read)
        return read

    def drop_proposal(self, proposal: Proposal) -> None:
        """Removes a proposal whose client no longer waits."""
        if proposal in self.proposals:
            self.proposals.remove(proposal)
        self.forwarded.pop(proposal.request_id, None)

    def drop_read(self, read: Read) -> None:
        """Removes a read whose client no longer waits."""
        if read in self.reads:
            self.reads.remove(read)
        if read in self.waiting_reads:
            self.waiting_reads.remove(read)

    def receive(self, peer: str, message: object) -> list[object]:
        """Handles a request or an answer from another VM."""
        match message:
            case ProposeRequest():
                return self.receive_proposal(peer, message)
            case ProposeResponse():
                self.receive_position(message)
            case ReadRequest():
                read = ForwardedRead(peer=peer, request_id=message.request_id)
                self.reads.append(read)
            case ReadResponse():
                self.receive_read_index(message)
        return []

    def receive_proposal(
        self, peer: str, message: ProposeRequest
    ) -> list[object]:
        """Queues a forwarded proposal, or repeats the earlier answer."""
        key = (peer, message.request_id)
        if key in self.remembered_answers:
            answer = self.remembered_answers[key]
            if answer is None:
                return []
            return [SendMessage(peer=peer, message=answer)]
        self.remembered_answers[key] = None
        if len(self.remembered_answers) > MAX_REMEMBERED_ANSWERS:
            self.remembered_answers.popitem(last=False)
        self.proposals.append(
            ForwardedProposal(
                peer=peer, request_id=message.request_id, data=message.data
            )
        )
        return []

    def receive_position(self, message: ProposeResponse) -> None:
        """Records the log position of a forwarded proposal.

        Index 0 means that the receiver did not append it, and it is queued
        again.
        """
        proposal = self.forwarded.pop(message.request_id, None)
        if proposal is None:
            return
        if message.index == 0:
            proposal.sent_to = ""
            proposal.request_id = self.allocate_id()
            self.proposals.append(proposal)
            return
        self.host.pending.add(
            index=message.index, term=message.term, proposal=proposal
        )

    def receive_read_index(self, message: ReadResponse) -> None:
        """Records the confirmed index of a forwarded read."""
        for read in self.reads:
            if read.request_id != message.request_id or message.index < 0:
                continue
            if isinstance(read, Read):
                self.reads.remove(read)
                self.await_index(read, message.index)
                return

    def await_index(self, read: Read, index: int) -> None:
        """Makes a read wait until its confirmed index is applied."""
        read.index = index
        self.waiting_reads.append(read)
        self.finish_reads()

    def finish_reads(self) -> None:
        """Gives a result to the reads whose index is applied."""
        applied = self.host.pending.applied
        for read in [r for r in self.waiting_reads if r.index <= applied]:
            self.waiting_reads.remove(read)
            if not read.future.done():
                read.future.set_result(Ok(read.index))

    def flush(self, now: float) -> list[object]:
        """Hands queued requests to this leader, or forwards them."""
        node = self.host.node
        if node is None or not (self.proposals or self.reads):
            return []
        leader_id = node.state.leader_id
        if leader_id == self.host.vm_id:
            return [
                *self.append(node, now),
                *self.start_confirmations(node, now),
            ]
        return self.forward(leader_id, now)

    def append(self, node: ConsensusNode, now: float) -> list[object]:
        """Appends the queued proposals as one batch."""
        queued, self.proposals = self.proposals, []
        if not queued:
            return []
        entries, output = node.propose(
            tuple(proposal.data for proposal in queued), now=now
        )
        answers: list[object] = []
        for proposal, entry in zip(queued, entries, strict=False):
            if isinstance(proposal, Proposal):
                proposal.sent_to = self.host.vm_id
                self.host.pending.add(
                    index=entry.index, term=entry.term, proposal=proposal
                )
            else:
                answers.append(self.answer(proposal, entry.index, entry.term))
        actions = self.host.execute(output, now)
        if self.host.node is not node:
            return []
        for proposal in queued[len(entries) :]:
            answers.extend(self.reject(proposal))
        return [*actions, *answers]

    def reject(self, proposal: Proposal | ForwardedProposal) -> list[object]:
        """Handles a proposal that this leader did not append."""
        if isinstance(proposal, Proposal):
            error = build_not_accepted_error(
                "the leader does not accept proposals now"
            )
            proposal.finish(Error(error))
            return []
        return [self.answer(proposal, 0, 0)]

    def answer(
        self, proposal: ForwardedProposal, index: int, term: int
    ) -> SendMessage:
        """Builds and remembers the answer to a forwarded proposal."""
        response = ProposeResponse(
            request_id=proposal.request_id, index=index, term=term
        )
        self.remembered_answers[(proposal.peer, proposal.request_id)] = response
        return SendMessage(peer=proposal.peer, message=response)

    def start_confirmations(
        self, node: ConsensusNode, now: float
    ) -> list[object]:
        """Starts to confirm the queued reads as one batch."""
        queued, self.reads = self.reads, []
        if not queued:
            return []
        contexts = []
        for read in queued:
            context = self.allocate_id()
            contexts.append(context)
            self.contexts[context] = read
        output = node.read_index(tuple(contexts), now=now)
        return self.host.execute(output, now)

    def finish_confirmations(self, output: StepOutput) -> list[object]:
        """Handles the reads that the node confirmed or failed to confirm."""
        actions: list[object] = []
        results = [*output.reads, *((c, -1) for c in output.failed_reads)]
        for context, index in results:
            read = self.contexts.pop(context, None)
            if isinstance(read, ForwardedRead):
                response = ReadResponse(request_id=read.request_id, index=index)
                actions.append(SendMessage(peer=read.peer, message=response))
            elif read is not None and index >= 0:
                self.await_index(read, index)
            elif read is not None:
                self.reads.append(read)
        return actions

    def forward(self, leader_id: str, now: float) -> list[object]:
        """Sends queued requests to the leader, if it is known."""
        actions: list[object] = []
        kept: list[Proposal] = []
        for proposal in self.proposals:
            if isinstance(proposal, ForwardedProposal):
                actions.append(self.answer(proposal, 0, 0))
            elif not leader_id:
                kept.append(proposal)
            else:
                proposal.sent_to = leader_id
                self.forwarded[proposal.request_id] = proposal
                request = ProposeRequest(
                    request_id=proposal.request_id, data=proposal.data
                )
                actions.append(SendMessage(peer=leader_id, message=request))
        self.proposals = list(kept)
        return [*actions, *self.forward_reads(leader_id, now)]

    def forward_reads(self, leader_id: str, now: float) -> list[object]:
        """Sends reads to the leader, and repeats those without an answer."""
        actions: list[object] = []
        for read in list(self.reads):
            if isinstance(read, ForwardedRead):
                self.reads.remove(read)
                response = ReadResponse(request_id=read.request_id, index=-1)
                actions.append(SendMessage(peer=read.peer, message=response))
            elif leader_id and now - read.sent_at >= READ_RETRY_SECONDS:
                read.sent_at = now
                request = ReadRequest(request_id=read.request_id)
                actions.append(SendMessage(peer=leader_id, message=request))
        return actions

    def fail_all(self, error: RouterError) -> None:
        """Fails all requests after the storage failed."""
        for proposal in self.proposals:
            if isinstance(proposal, Proposal):
                proposal.finish(Error(build_not_accepted_error(str(error))))
        for proposal in self.forwarded.values():
            proposal.finish(Error(build_unknown_outcome_error(str(error))))
        pending = [*self.reads, *self.waiting_reads, *self.contexts.values()]
        for read in pending:
            if isinstance(read, Read) and not read.future.done():
                read.future.set_result(Error(error))
        self.proposals.clear()
        self.forwarded.clear()
        self.reads.clear()
        self.waiting_reads.clear()
        self.contexts.clear()
