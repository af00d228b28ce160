"""Holder of claims: grants each key once and recovers after memory loss.

Grants. A holder grants a key to the first request that claims it and refuses
the others. A request may be dispatched after `majority` grants. Any two
majorities have a holder in common, so at most one request per key gets one.

Memory loss. Each holder has an epoch, which is new at each start without
restored state. A holder that lost its memory abstains until it has copied
the claims of `read_quorum` = n - majority + 1 other holders that are intact.

Proof that no granted majority is lost. Let Q be the majority that granted g,
and let h, a member of Q, lose its memory and copy from the set R. Both Q
without h (at least majority - 1 holders) and R (n - majority + 1 holders) are
subsets of the n - 1 other holders. Their sizes add up to n, so they share a
holder x. The copy request carries h's new epoch, and x records it before it
sends the first piece. If x granted g before that, the copy contains g, and h
holds g again. If x granted g afterwards, x's reply reports h's new epoch, and
the requester does not count the grant that h gave in its old epoch; then Q is
not a majority. By the same argument, an answer that a majority stored is
recovered.

x itself may lose its memory, and with it h's new epoch, between the copy and
its grant. To become intact again, x needs `read_quorum` intact holders, and h
is not one of them. With 3 holders, x cannot recover before h does. With 5, x
needs all of the other 3, and h needs one of these besides x. Let z be such a
holder. If h's request reached z before the last piece for x was sent, x has
received h's epoch again from z. If it reached z after x's request, z reports
x's new epoch to h. Then h does not count its copy from x, because at the end
of copying it compares the epoch of each source with the latest known one.

Copies can disagree: a key may have the winning grant at one source and a
losing one at another. The holder then keeps both and does not grant the key
until all of them are released.

First start. A set that was never in force cannot be told from one that lost
its memory everywhere, for example in a power failure. Operators therefore
declare the time from which a set is in force. A holder whose process started
before this time founds the set: it is intact and empty, and grants from
FOUNDING_MARGIN_MS after that time. Any start without state after this time
counts as memory loss. Each holder compares only its own clock with the
declared time, so the rule needs no synchronised clocks; the margin covers a
clock that is set back across a restart. When more holders have lost their
memory than copying can repair, operators either declare a new set, which
loses all earlier keys, or wait until the retention of all lost keys has
passed.
"""

import dataclasses
import enum

import msgspec

from rattanroute.messages.claims import ClaimAck
from rattanroute.messages.claims import ClaimRelease
from rattanroute.messages.claims import ClaimReply
from rattanroute.messages.claims import ClaimRequest
from rattanroute.messages.claims import ClaimResult
from rattanroute.messages.claims import Outcome
from rattanroute.systems.holder_sets import HolderSet
from rattanroute.tables.claims import Claim
from rattanroute.tables.claims import ClaimState
from rattanroute.tables.claims import ClaimTable
from rattanroute.tables.claims import Grant

# 48 h, so that a caller may resend an order after an outage of a weekend.
KEY_RETENTION_SECONDS = 48 * 3600
# About 400 bytes each without the answer: 100 MB of the 256 MB memory budget.
MAX_CLAIMS = 250_000
MAX_ANSWERS_BYTES = 64_000_000
MAX_ANSWER_BYTES = 16_384
FOUNDING_MARGIN_MS = 1_000
# Longer than a claim request is resent. A release may overtake its request.
RELEASE_MEMORY_MS = 120_000
MAX_RELEASES = 20_000


class HolderStatus(enum.StrEnum):
    """Status of a holder; it grants only while `INTACT`.

    Attributes:
        FOUNDING: Waits for the declared time of a new set.
        RECOVERING: Has lost its memory and copies claims from other holders.
        INTACT: Has all its claims.
        LEAVING: Copies its claims to other holders before a planned stop.
        FAILED: Its file could not be synced.
    """

    FOUNDING = "founding"
    RECOVERING = "recovering"
    INTACT = "intact"
    LEAVING = "leaving"
    FAILED = "failed"


class ClaimSaved(
    msgspec.Struct, tag="claim", array_like=True, frozen=True, kw_only=True
):
    """File record: a claim was added or changed."""

    home: str
    claim: Claim


class ClaimDropped(
    msgspec.Struct, tag="drop", array_like=True, frozen=True, kw_only=True
):
    """File record: a claim was released."""

    home: str
    key_id: bytes


class HolderSaved(
    msgspec.Struct, tag="holder", array_like=True, frozen=True, kw_only=True
):
    """File record: state of the holder.

    Attributes:
        home: The data centre.
        set_id: Identifier of the holder set.
        intact: Whether the holder has all its claims.
        epochs: Epoch of each holder, in the order of the set.
    """

    home: str
    set_id: int
    intact: bool
    epochs: tuple[int, ...]


FileRecord = ClaimSaved | ClaimDropped | HolderSaved
RECORD_ENCODER = msgspec.msgpack.Encoder()
RECORD_DECODER = msgspec.msgpack.Decoder(FileRecord)


@dataclasses.dataclass(kw_only=True, slots=True)
class HolderState:
    """State of one home restored from the holder's file."""

    saved: HolderSaved | None = None
    claims: dict[bytes, Claim] = dataclasses.field(default_factory=dict)


def restore_holders(records: list[bytes]) -> dict[str, HolderState]:
    """Replays the records of a claims file.

    Args:
        records: The encoded records, oldest first.

    Returns:
        The state of each home data centre.

    Raises:
        msgspec.DecodeError: If a record is not valid.
    """
    states: dict[str, HolderState] = {}
    for data in records:
        record = RECORD_DECODER.decode(data)
        state = states.setdefault(record.home, HolderState())
        if isinstance(record, HolderSaved):
            state.saved = record
        elif isinstance(record, ClaimSaved):
            state.claims[record.claim.key_id] = record.claim
        else:
            state.claims.pop(record.key_id, None)
    return states


class ClaimHolder:
    """Claims of one home data centre, held by this VM.

    All times are wall-clock milliseconds, because claims outlive the process
    when they are copied to other holders or restored from a file.

    Attributes:
        holder_set: The holder set.
        index: Position of this VM in the set.
        status: Whether the holder may grant.
        epochs: Latest known epoch of each holder; this holder's is exact.
        table: The claims.
        durable: Whether changes are written to a file.
        unsaved: File records that are not yet passed to the host.
        releases: Time of recent releases, by grant, oldest first.
        started_ms: Start time of this process.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        holder_set: HolderSet,
        started_ms: int,
        durable: bool = False,
        restored: HolderState | None = None,
        max_claims: int = MAX_CLAIMS,
    ) -> None:
        """Restores the state of a file, founds a new set or recovers."""
        self.holder_set = holder_set
        self.index = holder_set.holders.index(vm_id)
        self.epochs = [0] * len(holder_set.holders)
        self.epochs[self.index] = started_ms
        self.table = ClaimTable(
            max_claims=max_claims, max_answers_bytes=MAX_ANSWERS_BYTES
        )
        self.durable = durable
        self.unsaved: list[bytes] = []
        self.releases: dict[str, int] = {}
        self.started_ms = started_ms
        self.status = HolderStatus.RECOVERING
        if started_ms < holder_set.created_ms:
            self.status = HolderStatus.FOUNDING
        if restored is not None:
            self.restore(restored)
        self.save_holder()

    @property
    def epoch(self) -> int:
        """Epoch of this holder, which changes when it loses its memory."""
        return self.epochs[self.index]

    def restore(self, state: HolderState) -> None:
        """Loads the state that was read from the file."""
        for claim in sorted(state.claims.values(), key=lambda c: c.created_ms):
            self.table.put(claim)
        saved = state.saved
        if saved is None or saved.set_id != self.holder_set.set_id:
            return
        if saved.intact:
            self.status = HolderStatus.INTACT
            self.epochs = list(saved.epochs)
            return
        known = [*saved.epochs]
        known[self.index] = max(self.epoch, known[self.index] + 1)
        self.epochs = known

    def tick(self, now_ms: int) -> None:
        """Updates the status and drops expired claims and releases."""
        founded_ms = self.holder_set.created_ms + FOUNDING_MARGIN_MS
        if self.status == HolderStatus.FOUNDING and now_ms >= founded_ms:
            self.mark_intact()
        retention_ms = KEY_RETENTION_SECONDS * 1000
        if (
            self.status == HolderStatus.RECOVERING
            and now_ms - self.started_ms >= retention_ms
        ):
            # All claims granted before the memory loss have expired.
            self.mark_intact()
        removed = self.table.remove_before(now_ms - retention_ms)
        for key_id in removed:
            self.save_drop(key_id)
        for grant_id, released_ms in list(self.releases.items()):
            if now_ms - released_ms < RELEASE_MEMORY_MS:
                break
            del self.releases[grant_id]

    def mark_intact(self) -> None:
        """Marks the holder as having all its claims; it then grants keys."""
        self.status = HolderStatus.INTACT
        self.save_holder()

    def merge_epochs(self, epochs: tuple[int, ...]) -> None:
        """Updates the known epochs of other holders to later ones."""
        known = [max(pair) for pair in zip(self.epochs, epochs, strict=True)]
        known[self.index] = self.epoch
        if known != self.epochs:
            self.epochs = known
            self.save_holder()

    def on_request(self, message: ClaimRequest, now_ms: int) -> ClaimReply:
        """Grants a key that has no claim; refuses or abstains otherwise."""
        claim = self.table.get(message.key_id)
        if self.status != HolderStatus.INTACT:
            return self.reply(message, Outcome.ABSTAINED)
        if claim is not None:
            return self.reply_taken(message, claim, now_ms)
        if message.grant_id in self.releases:
            return self.reply(message, Outcome.ABSTAINED)
        if self.table.full:
            return self.reply(message, Outcome.FULL)
        self.put(
            Claim(
                key_id=message.key_id,
                grant_id=message.grant_id,
                content_hash=message.content_hash,
                created_ms=now_ms,
                deadline_ms=now_ms + message.remaining_ms,
            )
        )
        return self.reply(message, Outcome.GRANTED)

    def reply_taken(
        self, message: ClaimRequest, claim: Claim, now_ms: int
    ) -> ClaimReply:
        """Builds the reply for a key that already has a claim."""
        if claim.grant_id == message.grant_id and not claim.rivals:
            return self.reply(message, Outcome.GRANTED)
        state = claim.state
        if state == ClaimState.GRANTED and now_ms > claim.deadline_ms:
            state = ClaimState.UNKNOWN
        contents = {claim.content_hash}
        contents.update(rival.content_hash for rival in claim.rivals)
        same = message.content_hash in contents
        return ClaimReply(
            home=message.home,
            set_id=message.set_id,
            grant_id=message.grant_id,
            outcome=Outcome.TAKEN,
            epochs=tuple(self.epochs),
            state=state,
            same_content=same,
            answer=claim.answer if same else None,
        )

    def reply(self, message: ClaimRequest, outcome: Outcome) -> ClaimReply:
        """Builds a reply that describes no existing claim."""
        return ClaimReply(
            home=message.home,
            set_id=message.set_id,
            grant_id=message.grant_id,
            outcome=outcome,
            epochs=tuple(self.epochs),
        )

    def on_release(self, message: ClaimRelease, now_ms: int) -> ClaimAck:
        """Removes the grant of a request that was certainly not dispatched."""
        self.remember_release(message.grant_id, now_ms)
        claim = self.table.get(message.key_id)
        if (
            claim is not None
            and claim.state != ClaimState.DONE
            and claim.has_grant(message.grant_id)
        ):
            self.drop_grant(claim, message.grant_id)
        return ClaimAck(
            home=message.home,
            set_id=message.set_id,
            grant_id=message.grant_id,
            epochs=tuple(self.epochs),
        )

    def remember_release(self, grant_id: str, now_ms: int) -> None:
        """Records a release so that its request is not granted afterwards."""
        self.releases[grant_id] = now_ms
        if len(self.releases) > MAX_RELEASES:
            del self.releases[next(iter(self.releases))]

    def drop_grant(self, claim: Claim, grant_id: str) -> None:
        """Removes a grant from a claim, and the claim if it has no other."""
        grants = [
            Grant(grant_id=claim.grant_id, content_hash=claim.content_hash),
            *claim.rivals,
        ]
        left = [grant for grant in grants if grant.grant_id != grant_id]
        if not left:
            self.table.remove(claim.key_id)
            self.save_drop(claim.key_id)
            return
        changed = msgspec.structs.replace(
            claim,
            grant_id=left[0].grant_id,
            content_hash=left[0].content_hash,
            rivals=tuple(left[1:]),
        )
        self.put(changed)

    def on_result(self, message: ClaimResult, now_ms: int) -> ClaimAck | None:
        """Stores the result of a granted request.

        The sender had a majority of the grants. Its result therefore replaces
        the grant of any other request, which cannot have a majority. A stored
        answer is never replaced.

        Returns:
            The confirmation, or None if the result cannot be stored.
        """
        if self.status in (HolderStatus.LEAVING, HolderStatus.FAILED):
            return None
        claim = self.table.get(message.key_id)
        if claim is None and self.table.full:
            return None
        if claim is None or claim.state != ClaimState.DONE:
            created_ms = now_ms if claim is None else claim.created_ms
            self.put(
                Claim(
                    key_id=message.key_id,
                    grant_id=message.grant_id,
                    content_hash=message.content_hash,
                    created_ms=created_ms,
                    deadline_ms=created_ms,
                    state=message.state,
                    answer=message.answer,
                )
            )
        return ClaimAck(
            home=message.home,
            set_id=message.set_id,
            grant_id=message.grant_id,
            epochs=tuple(self.epochs),
            state=self.table.rows[message.key_id].state,
        )

    def merge(self, claim: Claim, now_ms: int) -> None:
        """Merges a claim that was copied from another holder."""
        if claim.created_ms < now_ms - KEY_RETENTION_SECONDS * 1000:
            return
        known = self.table.get(claim.key_id)
        if known is None:
            self.merge_new(claim)
        elif known.state != ClaimState.DONE:
            self.merge_known(known, claim)

    def merge_new(self, claim: Claim) -> None:
        """Adds a copied claim of a new key, without its released grants.

        The table may exceed its limit here, because dropping a claim that
        another holder granted could let its request run twice.
        """
        if claim.state == ClaimState.DONE or not self.releases:
            self.put(claim)
            return
        self.table.put(claim)
        released = [
            grant_id for grant_id in self.releases if claim.has_grant(grant_id)
        ]
        for grant_id in released:
            current = self.table.get(claim.key_id)
            if current is not None:
                self.drop_grant(current, grant_id)
        if not released:
            self.save_claim(claim)

    def merge_known(self, known: Claim, claim: Claim) -> None:
        """Merges a copied claim into the claim that the table has."""
        if claim.state == ClaimState.DONE:
            self.put(
                msgspec.structs.replace(claim, created_ms=known.created_ms)
            )
            return
        grants = {known.grant_id: known.content_hash}
        grants.update((r.grant_id, r.content_hash) for r in known.rivals)
        size = len(grants)
        for grant in (claim, *claim.rivals):
            if grant.grant_id not in self.releases:
                grants.setdefault(grant.grant_id, grant.content_hash)
        state = max(known.state, claim.state)
        if len(grants) == size and state == known.state:
            return
        del grants[known.grant_id]
        rivals = tuple(
            Grant(grant_id=grant_id, content_hash=content_hash)
            for grant_id, content_hash in grants.items()
        )
        self.put(msgspec.structs.replace(known, state=state, rivals=rivals))

    def put(self, claim: Claim) -> None:
        """Stores a claim in the table and queues it for the file."""
        self.table.put(claim)
        self.save_claim(claim)

    def save_claim(self, claim: Claim) -> None:
        """Queues a claim for the file."""
        if self.durable:
            record = ClaimSaved(home=self.holder_set.home, claim=claim)
            self.unsaved.append(RECORD_ENCODER.encode(record))

    def save_drop(self, key_id: bytes) -> None:
        """Queues the removal of a claim for the file."""
        if self.durable:
            record = ClaimDropped(home=self.holder_set.home, key_id=key_id)
            self.unsaved.append(RECORD_ENCODER.encode(record))

    def save_holder(self) -> None:
        """Queues the state of the holder for the file."""
        if self.durable:
            self.unsaved.append(RECORD_ENCODER.encode(self.build_saved()))

    def build_saved(self) -> HolderSaved:
        """Builds the file record of the holder's state."""
        intact = self.status in (HolderStatus.INTACT, HolderStatus.LEAVING)
        return HolderSaved(
            home=self.holder_set.home,
            set_id=self.holder_set.set_id,
            intact=intact,
            epochs=tuple(self.epochs),
        )

    def snapshot(self) -> list[bytes]:
        """Returns file records of the complete state of this holder."""
        home = self.holder_set.home
        records = [RECORD_ENCODER.encode(self.build_saved())]
        records += [
            RECORD_ENCODER.encode(ClaimSaved(home=home, claim=claim))
            for claim in self.table
        ]
        return records
