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

# Results are kept for forwarded proposals whose position becomes known only
# after this node has applied them; messages are rarely that late.
MAX_REMEMBERED_RESULTS = 1024


class Outcome(enum.StrEnum):
    """What is known about a proposal without a result."""

    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"


@dataclasses.dataclass(kw_only=True)
class ProposalError(RouterError):
    """A proposal has no result.

    Attributes:
        outcome: NOT_ACCEPTED only if it can never take effect.
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
    """A proposal of a caller of this node.

    Attributes:
        request_id: Number under which it is forwarded.
        data: The proposal.
        future: Receives the result.
        sent_to: VM that may have appended it; "" while it cannot have been.
    """

    request_id: int
    data: bytes
    future: asyncio.Future[Result[object, RouterError]]
    sent_to: str = ""

    def finish(self, result: Result[object, RouterError]) -> None:
        """Gives the result to the caller if it still waits."""
        if not self.future.done():
            self.future.set_result(result)


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class Read:
    """A caller of this node that waits for a linearizable read index.

    Attributes:
        request_id: Number under which it is forwarded.
        future: Receives the applied index.
        index: Read index; -1 until it is known.
        sent_at: When it was last sent to a leader.
    """

    request_id: int
    future: asyncio.Future[Result[int, RouterError]]
    index: int = -1
    sent_at: float = float("-inf")


class PendingProposals:
    """Proposals with a known position that wait to be applied.

    Attributes:
        waiting: Proposals by index, each with the term of its entry.
        recent: Term and result of the latest applied entries, by index.
        applied: Last applied index.
    """

    def __init__(self) -> None:
        self.waiting: dict[int, list[tuple[int, Proposal]]] = {}
        self.recent: collections.OrderedDict[int, tuple[int, object]] = (
            collections.OrderedDict()
        )
        self.applied = 0

    def add(self, *, index: int, term: int, proposal: Proposal) -> None:
        """Adds a proposal, or finishes it if its index has been applied."""
        if index > self.applied:
            self.waiting.setdefault(index, []).append((term, proposal))
            return
        known = self.recent.get(index)
        if known is None:
            proposal.finish(
                Error(build_unknown_outcome_error("its result is not held"))
            )
        else:
            finish_applied(proposal, term=term, applied=known)

    def apply(self, entry: Entry, result: object) -> None:
        """Finishes the proposals at the index of an applied entry."""
        self.applied = entry.index
        self.recent[entry.index] = (entry.term, result)
        if len(self.recent) > MAX_REMEMBERED_RESULTS:
            self.recent.popitem(last=False)
        for term, proposal in self.waiting.pop(entry.index, ()):
            finish_applied(proposal, term=term, applied=(entry.term, result))

    def restore(self, index: int) -> None:
        """Gives up the proposals that a snapshot has passed over."""
        self.applied = index
        self.recent.clear()
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
        """Gives up all proposals; each may still take effect."""
        for proposals in self.waiting.values():
            for _, proposal in proposals:
                proposal.finish(Error(build_unknown_outcome_error(message)))
        self.waiting.clear()


def finish_applied(
    proposal: Proposal, *, term: int, applied: tuple[int, object]
) -> None:
    """Finishes a proposal whose index has been applied.

    An entry of another term at that index means that the proposal's entry
    was replaced before it was committed, and never will be.
    """
    if applied[0] == term:
        proposal.finish(Ok(applied[1]))
    else:
        proposal.finish(
            Error(build_not_accepted_error("another leader replaced its entry"))
        )
