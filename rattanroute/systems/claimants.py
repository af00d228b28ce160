"""Requester's side of a claim: collects the holders' replies and decides.

Execution status of refusals. A refusal carries `not_run` only if neither this
request nor an earlier one with the same key and content has run:
- The key is missing or too long, so it was never accepted.
- The key has a stored answer for other content, and `read_quorum` holders have
  nothing but that answer or no claim of the key. A claim with this content that
  had a majority would be stored at one of them. One holder with such an answer
  is no proof: holders drop a key at different times after its retention, so
  that the others may have granted it again.
- `read_quorum` holders replied that they do not have the key and have no room
  for it. An earlier claim with a majority would be stored at one of them.
Every other refusal carries `unknown`: this request was not dispatched, but
the holders did not rule out that an earlier one was.
"""

import dataclasses
import enum

from rattanroute.actions import ClaimDecision
from rattanroute.actions import Execution
from rattanroute.actions import Refusal
from rattanroute.messages.claims import ClaimAck
from rattanroute.messages.claims import ClaimRelease
from rattanroute.messages.claims import ClaimReply
from rattanroute.messages.claims import ClaimRequest
from rattanroute.messages.claims import ClaimResult
from rattanroute.messages.claims import Outcome
from rattanroute.systems.holder_sets import HolderSet
from rattanroute.tables.claims import ClaimState

RETRY_IN_PROGRESS_SECONDS = 1.0
RETRY_UNREACHABLE_SECONDS = 5.0
RETRY_FULL_SECONDS = 60.0


class ClaimantPhase(enum.StrEnum):
    """Phase of a claim at the requesting VM.

    Attributes:
        CLAIMING: Waits for the holders to grant the claim.
        HELD: The claim is granted; the request has no result yet.
        RELEASING: Waits for the holders to confirm the release.
        STORING: Waits for the holders to confirm the result.
    """

    CLAIMING = "claiming"
    HELD = "held"
    RELEASING = "releasing"
    STORING = "storing"


@dataclasses.dataclass(kw_only=True, slots=True)
class Claimant:
    """State of one request of this VM that claims an idempotency key.

    Attributes:
        request_id: The request.
        holder_set: Holders of the key's home data centre.
        key_id: Identifier of the key.
        grant_id: Identifier of the requested grant.
        content_hash: Hash of the request's content.
        deadline: Deadline of the request on the monotonic clock, in seconds.
        phase: Phase of the claim.
        ends_at: Time at which the phase times out.
        report_at: Time at which the host is told that the answer is not
            stored, if no majority has confirmed it.
        next_send: Time of the next resend.
        replies: Latest reply of each holder, by position in the set.
        acks: Epochs in each holder's confirmation, by position in the set.
        result: The result to store.
        reported: Whether the host has been told the outcome of `STORING`.
    """

    request_id: str
    holder_set: HolderSet
    key_id: bytes
    grant_id: str
    content_hash: str
    deadline: float
    phase: ClaimantPhase = ClaimantPhase.CLAIMING
    ends_at: float = 0.0
    report_at: float = 0.0
    next_send: float = 0.0
    replies: dict[int, ClaimReply] = dataclasses.field(default_factory=dict)
    acks: dict[int, tuple[int, ...]] = dataclasses.field(default_factory=dict)
    result: ClaimResult | None = None
    reported: bool = False

    @property
    def awaits_report(self) -> bool:
        """Whether the host still waits for `AnswerStored`."""
        return self.phase == ClaimantPhase.STORING and not self.reported

    def build_message(self, now: float) -> object:
        """Builds the message that this phase sends to the holders."""
        if self.phase == ClaimantPhase.STORING:
            return self.result
        if self.phase == ClaimantPhase.RELEASING:
            return ClaimRelease(
                home=self.holder_set.home,
                set_id=self.holder_set.set_id,
                key_id=self.key_id,
                grant_id=self.grant_id,
            )
        remaining = max(0.0, self.deadline - now)
        return ClaimRequest(
            home=self.holder_set.home,
            set_id=self.holder_set.set_id,
            key_id=self.key_id,
            grant_id=self.grant_id,
            content_hash=self.content_hash,
            remaining_ms=int(remaining * 1000),
        )

    def has_answered(self, index: int) -> bool:
        """Whether a holder has answered and needs no resend in this phase."""
        if self.phase == ClaimantPhase.CLAIMING:
            reply = self.replies.get(index)
            return reply is not None and reply.outcome != Outcome.ABSTAINED
        return index in self.acks

    def expects(self, ack: ClaimAck) -> bool:
        """Whether a confirmation belongs to this phase."""
        if self.phase == ClaimantPhase.STORING:
            return ack.state is not None
        return self.phase == ClaimantPhase.RELEASING and ack.state is None

    def add_reply(self, index: int, reply: ClaimReply) -> None:
        """Stores a holder's reply unless a newer or definite one is stored.

        A reply of a later epoch is newer. Within one epoch an abstention
        does not replace another reply.
        """
        known = self.replies.get(index)
        if known is not None and known.epochs[index] > reply.epochs[index]:
            return
        if (
            known is not None
            and known.epochs[index] == reply.epochs[index]
            and reply.outcome == Outcome.ABSTAINED
        ):
            return
        self.replies[index] = reply

    def drop_outdated(self) -> None:
        """Drops replies that a holder sent before it lost its memory."""
        for index in find_outdated(
            {i: reply.epochs for i, reply in self.replies.items()}
        ):
            del self.replies[index]

    def count_stored(self) -> int:
        """Drops outdated confirmations and counts the holders of the result."""
        for index in find_outdated(self.acks):
            del self.acks[index]
        return len(self.acks)

    def decide(self) -> ClaimDecision | None:
        """Returns the decision, or None while more replies are needed."""
        self.drop_outdated()
        replies = list(self.replies.values())
        taken = [r for r in replies if r.outcome == Outcome.TAKEN]
        for reply in taken:
            if reply.state == ClaimState.DONE and reply.same_content:
                return self.conclude_completed(reply)
        granted = count_outcomes(replies, Outcome.GRANTED)
        full = count_outcomes(replies, Outcome.FULL)
        reused = sum(has_other_answer(reply) for reply in taken)
        if reused and granted + full + reused >= self.holder_set.read_quorum:
            return self.refuse(REUSED_DONE_REFUSAL)
        if granted >= self.holder_set.majority:
            return ClaimDecision(request_id=self.request_id, granted=True)
        left = len(self.holder_set.holders) - len(taken) - full
        if left >= self.holder_set.majority:
            return None
        return self.refuse_without_majority(taken, granted + full)

    def refuse_without_majority(
        self, taken: list[ClaimReply], unclaimed: int
    ) -> ClaimDecision | None:
        """Returns the decision on a claim that cannot get a majority.

        Args:
            taken: Replies of holders at which the key has a claim.
            unclaimed: Number of holders at which it had none.
        """
        if taken:
            return self.refuse_taken(taken)
        if unclaimed >= self.holder_set.read_quorum:
            return self.refuse(FULL_REFUSAL)
        return None

    def conclude_completed(self, reply: ClaimReply) -> ClaimDecision:
        """Returns the decision on a completed request with this content."""
        if reply.answer is None:
            return self.refuse(NOT_KEPT_REFUSAL)
        return ClaimDecision(
            request_id=self.request_id, granted=False, answer=reply.answer
        )

    def refuse(self, refusal: Refusal) -> ClaimDecision:
        """Returns the decision that refuses the request."""
        return ClaimDecision(
            request_id=self.request_id, granted=False, refusal=refusal
        )

    def refuse_taken(self, taken: list[ClaimReply]) -> ClaimDecision:
        """Returns the decision on a key that other requests have claimed."""
        other_content = sum(not reply.same_content for reply in taken)
        if other_content >= self.holder_set.majority:
            return self.refuse(REUSED_REFUSAL)
        if other_content == len(taken) and any(map(has_other_answer, taken)):
            return self.refuse(REUSED_REFUSAL)
        if any(reply.state == ClaimState.UNKNOWN for reply in taken):
            return self.refuse(UNKNOWN_REFUSAL)
        return self.refuse(IN_PROGRESS_REFUSAL)

    def conclude_timeout(self) -> ClaimDecision:
        """Returns the decision after too few holders replied in time."""
        taken = [
            reply
            for reply in self.replies.values()
            if reply.outcome == Outcome.TAKEN
        ]
        if taken:
            return self.refuse_taken(taken)
        return self.refuse(UNREACHABLE_REFUSAL)


def refuse_immediately(request_id: str, refusal: Refusal) -> ClaimDecision:
    """Returns the decision on a request whose key cannot be claimed."""
    return ClaimDecision(request_id=request_id, granted=False, refusal=refusal)


def count_outcomes(replies: list[ClaimReply], outcome: Outcome) -> int:
    """Returns the number of replies with an outcome."""
    return sum(reply.outcome == outcome for reply in replies)


def has_other_answer(reply: ClaimReply) -> bool:
    """Whether a holder of a taken key has the answer to other content."""
    return reply.state == ClaimState.DONE and not reply.same_content


def find_outdated(epochs_by_index: dict[int, tuple[int, ...]]) -> list[int]:
    """Returns the holders whose message predates their latest known epoch.

    Args:
        epochs_by_index: The epochs in each holder's message, by the holder's
            position in the set.

    Returns:
        Positions of the holders that have lost their memory since.
    """
    if not epochs_by_index:
        return []
    rows = epochs_by_index.values()
    latest = [max(column) for column in zip(*rows, strict=True)]
    return [
        index
        for index, epochs in epochs_by_index.items()
        if epochs[index] < latest[index]
    ]


REUSED_DONE_REFUSAL = Refusal(
    type="idempotency_key_reused",
    message="The idempotency key was used for a request with other content.",
    status=422,
    execution=Execution.NOT_RUN,
)
# An open claim with other content may still be released, after which a request
# with this content may run.
REUSED_REFUSAL = dataclasses.replace(
    REUSED_DONE_REFUSAL, execution=Execution.UNKNOWN
)
IN_PROGRESS_REFUSAL = Refusal(
    type="in_progress",
    message=(
        "Another request with this idempotency key has claimed it and has "
        "no result yet."
    ),
    status=409,
    execution=Execution.UNKNOWN,
    retry_after_s=RETRY_IN_PROGRESS_SECONDS,
)
UNKNOWN_REFUSAL = Refusal(
    type="outcome_unknown",
    message=(
        "An earlier request with this idempotency key was dispatched, or "
        "may have been, and its result is unknown; it is not run again."
    ),
    status=409,
    execution=Execution.UNKNOWN,
    retry_after_s=RETRY_UNREACHABLE_SECONDS,
)
NOT_KEPT_REFUSAL = Refusal(
    type="answer_not_kept",
    message=(
        "An earlier request with this idempotency key ran to completion, "
        "but its answer was too large to keep."
    ),
    status=409,
    execution=Execution.UNKNOWN,
)
UNREACHABLE_REFUSAL = Refusal(
    type="claim_unreachable",
    message=(
        "This request was not dispatched, because too few holders of the "
        "idempotency key answered; whether an earlier request with the key "
        "ran is unknown."
    ),
    status=503,
    execution=Execution.UNKNOWN,
    retry_after_s=RETRY_UNREACHABLE_SECONDS,
)
FULL_REFUSAL = Refusal(
    type="claims_full",
    message="The holders of the idempotency key have no room for new keys.",
    status=503,
    execution=Execution.NOT_RUN,
    retry_after_s=RETRY_FULL_SECONDS,
)
INVALID_KEY_REFUSAL = Refusal(
    type="invalid_idempotency_key",
    message="The idempotency key is missing or too long.",
    status=400,
    execution=Execution.NOT_RUN,
)
NO_HOLDERS_REFUSAL = Refusal(
    type="claim_unreachable",
    message=(
        "This request was not dispatched, because no claim holders are "
        "configured for the home data centre of the idempotency key; "
        "whether an earlier request with the key ran is unknown."
    ),
    status=503,
    execution=Execution.UNKNOWN,
)
