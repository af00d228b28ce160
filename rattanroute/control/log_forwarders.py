"""Forwarding of operators' changes from other VMs to the voters.

A change is sent to one voter after another until one answers. A change that
arrives more than once is applied once; its command id identifies it.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import itertools
import random as randoms
import time
from typing import Protocol

from expression import Error
from expression import Ok
from expression import Result

from rattanroute.actions import Action
from rattanroute.errors import NotProposedError
from rattanroute.errors import RouterError
from rattanroute.messages.forwards import BarrierAnswer
from rattanroute.messages.forwards import BarrierForward
from rattanroute.messages.forwards import ChangeAnswer
from rattanroute.messages.forwards import ChangeForward
from rattanroute.servers.operator_sources import ConfigurationLog
from rattanroute.tables.changes import ChangeOutcome
from rattanroute.tables.changes import decode_outcome
from rattanroute.tables.changes import encode_outcome
from rattanroute.tables.configuration_replicas import ConfigurationReplica

# Time after which a call without an answer is sent again, to another voter if
# there is one; the first may be partitioned.
RESEND_INTERVAL_SECONDS = 1.0
BARRIER_POLL_SECONDS = 0.02
MAX_TIMEOUT_SECONDS = 30.0


class VoterView(Protocol):
    """What the forwarder reads of a live VM."""

    vm_id: str
    voter: bool


class LogForwarder:
    """Forwards changes and read barriers to voters, and serves them on one.

    Args:
        vm_id: Identifier of this VM.
        members: Returns the live VMs.
        send: Sends a message to a peer; False when it has no address.
        replica: Replica of the configuration on this VM.
        random: Random number generator for the choice of voters.
        log: The replicated log on a voter; None on other VMs.
    """

    message_types: tuple[type, ...] = (
        ChangeForward,
        ChangeAnswer,
        BarrierForward,
        BarrierAnswer,
    )

    def __init__(
        self,
        *,
        vm_id: str,
        members: Callable[[], Iterable[VoterView]],
        send: Callable[[str, object], bool],
        replica: ConfigurationReplica,
        random: randoms.Random,
        log: ConfigurationLog | None = None,
    ) -> None:
        self.vm_id = vm_id
        self.members = members
        self.send = send
        self.replica = replica
        self.random = random
        self.log = log
        self.call_numbers = itertools.count(1)
        self.pending_calls: dict[int, asyncio.Future[object]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def tick(self, *, now: float) -> list[Action]:
        """Does nothing; each call has its own timeout."""
        return []

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles an answer, or on a voter serves the call of another VM."""
        if isinstance(message, ChangeAnswer | BarrierAnswer):
            future = self.pending_calls.get(message.number)
            if future is not None and not future.done():
                future.set_result(message)
        elif self.log is not None:
            if isinstance(message, ChangeForward):
                self.start(self.serve_change(peer, message))
            else:
                self.start(self.serve_barrier(peer, message))
        return []

    def start(self, work: object) -> None:
        """Serves a call in a task."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def propose(
        self, data: bytes, timeout_s: float
    ) -> Result[ChangeOutcome, RouterError]:
        """Forwards a change to a voter and returns its outcome."""
        number = next(self.call_numbers)
        message = ChangeForward(number=number, data=data, timeout_s=timeout_s)
        answer, sent = await self.call(message, timeout_s)
        if answer is None:
            return Error(build_no_answer_error("propose", sent=sent))
        if answer.outcome:
            return Ok(decode_outcome(answer.outcome))
        # Only a single voter can rule the change out: after several sends, one
        # that did not answer may have proposed it.
        not_proposed = not answer.proposed and sent == 1
        kind = NotProposedError if not_proposed else RouterError
        return Error(kind(step="propose", message=answer.message))

    async def read_barrier(self, timeout_s: float) -> Result[None, RouterError]:
        """Waits until this VM has all changes accepted before the call."""
        deadline = time.monotonic() + timeout_s
        number = next(self.call_numbers)
        message = BarrierForward(number=number, timeout_s=timeout_s)
        answer, sent = await self.call(message, timeout_s)
        if answer is None or answer.version < 0:
            return Error(build_no_answer_error("read barrier", sent=sent))
        while self.replica.version < answer.version:
            if time.monotonic() > deadline:
                message = f"version {answer.version} has not arrived"
                return Error(RouterError(step="read barrier", message=message))
            await asyncio.sleep(BARRIER_POLL_SECONDS)
        return Ok(None)

    async def call(
        self, message: ChangeForward | BarrierForward, timeout_s: float
    ) -> tuple[object | None, int]:
        """Sends a call to one voter after another until one answers.

        Returns:
            The answer, or None on a timeout, and how often the call was sent.
        """
        future = asyncio.get_running_loop().create_future()
        self.pending_calls[message.number] = future
        deadline = time.monotonic() + timeout_s
        sent = 0
        tried_voters: set[str] = set()
        try:
            while (remaining_s := deadline - time.monotonic()) > 0:
                voter = self.choose_voter(tried_voters)
                if voter is not None:
                    sent += self.send(voter, message)
                    tried_voters.add(voter)
                wait = min(remaining_s, RESEND_INTERVAL_SECONDS)
                done, _ = await asyncio.wait([future], timeout=wait)
                if done:
                    return future.result(), sent
            return None, sent
        finally:
            del self.pending_calls[message.number]

    def choose_voter(self, tried_voters: set[str]) -> str | None:
        """Returns a random live voter, preferring voters not yet tried.

        Args:
            tried_voters: Voters tried so far; cleared once all of them were.
        """
        voters = [
            member.vm_id
            for member in self.members()
            if member.voter and member.vm_id != self.vm_id
        ]
        untried = [vm_id for vm_id in voters if vm_id not in tried_voters]
        if not untried:
            tried_voters.clear()
        choices = untried or voters
        return self.random.choice(choices) if choices else None

    async def serve_change(self, peer: str, message: ChangeForward) -> None:
        """Proposes the change of another VM and sends back its outcome."""
        timeout_s = min(message.timeout_s, MAX_TIMEOUT_SECONDS)
        result = await self.log.propose(message.data, timeout_s)
        if result.is_ok():
            outcome = result.ok
            if isinstance(outcome, ChangeOutcome):
                outcome = encode_outcome(outcome)
            answer = ChangeAnswer(number=message.number, outcome=outcome)
        else:
            answer = ChangeAnswer(
                number=message.number,
                proposed=not isinstance(result.error, NotProposedError),
                message=str(result.error),
            )
        self.send(peer, answer)

    async def serve_barrier(self, peer: str, message: BarrierForward) -> None:
        """Sends back the version that contains all changes accepted so far."""
        timeout_s = min(message.timeout_s, MAX_TIMEOUT_SECONDS)
        result = await self.log.read_barrier(timeout_s)
        version = self.replica.version if result.is_ok() else -1
        self.send(peer, BarrierAnswer(number=message.number, version=version))


def build_no_answer_error(step: str, *, sent: int) -> RouterError:
    """Returns the error of a call that no voter answered.

    Args:
        step: Step that failed.
        sent: How often the call was sent; an unsent change is not proposed.
    """
    if sent:
        return RouterError(step=step, message="no voter answered in time")
    return NotProposedError(step=step, message="no voter is known to be alive")
