"""Proposals and reads that wait for their outcome."""

import asyncio
import collections
import dataclasses
import enum

from expression import Error
from expression import Ok
from expression import Result

from rattanroute.consensus.entries import Entry
from rattanroute.errors import RouterError

# Number of results kept for forwarded proposals whose log position becomes
# known only after this node has applied them; messages are rarely later than
# that many entries.
MAX_REMEMBERED_RESULTS = 1024


class Outcome(enum.StrEnum):
    """Whether a proposal without a result may take effect."""

    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"


@dataclasses.dataclass(kw_only=True)
class ProposalError(RouterError):
    """A proposal ended without a result.

    Attributes:
        outcome: NOT_ACCEPTED only if the proposal can never take effect.
    """

    outcome: Outcome


def build_not_accepted_error(message: str, *, peer: str = "") -> ProposalError:
    """Returns the error for a proposal that cannot take effect."""
    return ProposalError(
        step="propose",
        peer=peer,
        message=message,
        outcome=Outcome.NOT_ACCEPTED,
    )


def build_unknown_outcome_error(
    message: str, *, peer: str = ""
) -> ProposalError:
    """Returns the error for a proposal that may or may not take effect."""
    return ProposalError(
        step="propose", peer=peer, message=message, outcome=Outcome.UNKNOWN
    )


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class Proposal:
    """A proposal of a client on this VM.

    Attributes:
        request_id: Request number when it is forwarded.
        data: Encoded proposal.
        future: Receives the result.
        sent_to: VM that may have appended it; "" while none can have.
    """

    request_id: int
    data: bytes
    future: asyncio.Future[Result[object, RouterError]]
    sent_to: str = ""

    def finish(self, result: Result[object, RouterError]) -> None:
        """Gives the result to the client if it still waits."""
        if not self.future.done():
            self.future.set_result(result)


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class Read:
    """A linearizable read of a client on this VM.

    Attributes:
        request_id: Request number when it is forwarded.
        future: Receives the read index once it is applied.
        index: Read index; -1 until it is known.
        sent_at: Time when it was last sent to a leader, in seconds.
    """

    request_id: int
    future: asyncio.Future[Result[int, RouterError]]
    index: int = -1
    sent_at: float = float("-inf")


class PendingProposals:
    """Proposals with a known log position that wait to be applied.

    Attributes:
        waiting: Proposals and the terms of their entries, by log index.
        recent_results: Term and result of the latest applied entries, by log
            index.
        applied: Last applied index.
    """

    def __init__(self) -> None:
        self.waiting: dict[int, list[tuple[int, Proposal]]] = {}
        self.recent_results: collections.OrderedDict[
            int, tuple[int, object]
        ] = collections.OrderedDict()
        self.applied = 0

    def add(self, *, index: int, term: int, proposal: Proposal) -> None:
        """Adds a proposal, or finishes it if its index is already applied."""
        if index > self.applied:
            self.waiting.setdefault(index, []).append((term, proposal))
            return
        known = self.recent_results.get(index)
        if known is None:
            proposal.finish(
                Error(build_unknown_outcome_error("its result is not held"))
            )
        else:
            finish_applied(proposal, term=term, applied=known)

    def apply(self, entry: Entry, result: object) -> None:
        """Finishes the proposals at the index of an applied entry."""
        self.applied = entry.index
        self.recent_results[entry.index] = (entry.term, result)
        if len(self.recent_results) > MAX_REMEMBERED_RESULTS:
            self.recent_results.popitem(last=False)
        for term, proposal in self.waiting.pop(entry.index, ()):
            finish_applied(proposal, term=term, applied=(entry.term, result))

    def restore(self, index: int) -> None:
        """Fails the proposals whose entries a snapshot replaced."""
        self.applied = index
        self.recent_results.clear()
        for passed in [i for i in self.waiting if i <= index]:
            for _, proposal in self.waiting.pop(passed):
                proposal.finish(
                    Error(
                        build_unknown_outcome_error(
                            "a snapshot replaced its entry"
                        )
                    )
                )

    def fail_all(self, message: str) -> None:
        """Fails all proposals with an unknown outcome."""
        for proposals in self.waiting.values():
            for _, proposal in proposals:
                proposal.finish(Error(build_unknown_outcome_error(message)))
        self.waiting.clear()


def finish_applied(
    proposal: Proposal, *, term: int, applied: tuple[int, object]
) -> None:
    """Finishes a proposal whose index has been applied.

    An entry of another term at that index means that the proposal's entry
    was replaced before it was committed, so that it can never be committed.
    """
    if applied[0] == term:
        proposal.finish(Ok(applied[1]))
    else:
        proposal.finish(
            Error(build_not_accepted_error("another leader replaced its entry"))
        )
