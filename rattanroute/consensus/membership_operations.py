"""Membership changes and leader transfer for operators."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from expression import Error
from expression import Ok
from expression import Result

from rattanroute.consensus.client_requests import ClientRequestQueue
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.membership_changes import MembershipError
from rattanroute.consensus.node_states import Role
from rattanroute.consensus.node_states import StepOutput
from rattanroute.consensus.proposals import build_not_accepted_error
from rattanroute.consensus.proposals import PendingProposals
from rattanroute.consensus.proposals import Proposal
from rattanroute.consensus.raft_nodes import ConsensusNode
from rattanroute.errors import RouterError

TRANSFER_POLL_SECONDS = 0.05


class OperationHost(Protocol):
    """Interface of the host that `MembershipOperations` uses."""

    vm_id: str
    node: ConsensusNode | None
    pending: PendingProposals
    requests: ClientRequestQueue
    clock: Callable[[], float]

    def execute(self, output: StepOutput, now: float) -> list[object]:
        """Persists and applies an output; returns the actions to send."""
        ...

    def dispatch(self, actions: list[object]) -> None:
        """Sends actions."""
        ...

    async def wait_for_result(
        self, proposal: Proposal, timeout_s: float
    ) -> Result[object, RouterError]:
        """Waits for the result of a proposal."""
        ...


class MembershipOperations:
    """Membership operations; a node that is not the leader refuses them."""

    def __init__(self, *, host: OperationHost) -> None:
        self.host = host

    async def add_learner(
        self, vm_id: str, timeout_s: float, *, promote: bool = True
    ) -> Result[object, RouterError]:
        """Adds a VM whose join request the leader received.

        Args:
            vm_id: The VM.
            timeout_s: Longest wait until the change is committed, in seconds.
            promote: Whether the VM becomes a voter once it has caught up.
        """
        return await self.change(
            lambda node, now: node.add_learner(vm_id, promote=promote, now=now),
            timeout_s,
        )

    async def promote(
        self, vm_id: str, timeout_s: float
    ) -> Result[object, RouterError]:
        """Turns a learner that has caught up into a voter."""
        return await self.change(
            lambda node, now: node.promote(vm_id, now=now), timeout_s
        )

    async def remove(
        self, vm_id: str, timeout_s: float
    ) -> Result[object, RouterError]:
        """Removes another member."""
        return await self.change(
            lambda node, now: node.remove(vm_id, now=now), timeout_s
        )

    async def change(
        self,
        change: Callable[[ConsensusNode, float], tuple[Entry, StepOutput]],
        timeout_s: float,
    ) -> Result[object, RouterError]:
        """Appends a membership change and waits until it is committed."""
        host = self.host
        if host.node is None:
            return Error(
                build_not_accepted_error("the storage failed", peer=host.vm_id)
            )
        now = host.clock()
        try:
            entry, output = change(host.node, now)
        except MembershipError as error:
            return Error(error)
        proposal = Proposal(
            request_id=host.requests.allocate_id(),
            data=entry.data,
            future=asyncio.get_running_loop().create_future(),
            sent_to=host.vm_id,
        )
        host.pending.add(index=entry.index, term=entry.term, proposal=proposal)
        host.dispatch(host.execute(output, now))
        return await host.wait_for_result(proposal, timeout_s)

    async def transfer_leadership(
        self, vm_id: str, timeout_s: float
    ) -> Result[None, RouterError]:
        """Transfers leadership to another voter before a planned stop."""
        host = self.host
        if host.node is None:
            return Error(
                build_not_accepted_error("the storage failed", peer=host.vm_id)
            )
        now = host.clock()
        try:
            output = host.node.transfer_leadership(vm_id, now=now)
        except MembershipError as error:
            return Error(error)
        host.dispatch(host.execute(output, now))
        try:
            async with asyncio.timeout(timeout_s):
                while host.node and host.node.state.role == Role.LEADER:
                    await asyncio.sleep(TRANSFER_POLL_SECONDS)
        except TimeoutError:
            return Error(
                build_not_accepted_error(
                    "the other voter did not take over in time"
                )
            )
        return Ok(None)
