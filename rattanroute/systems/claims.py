"""At-most-once execution by claims of idempotency keys.

The claim of a key is granted by a majority of the holders of its home data
centre before the request is dispatched (`systems/holders.py`). A grant is
taken back only when its request was certainly not dispatched. A claimant that
dies leaves the key claimed, and a repeat is told that the result is unknown.
What refusals say is documented in `systems/claimants.py`.
"""

from collections.abc import Mapping

from rattanroute.actions import Action
from rattanroute.actions import AnswerStored
from rattanroute.actions import ClaimDecision
from rattanroute.actions import PersistClaims
from rattanroute.actions import SendMessage
from rattanroute.messages.claims import ClaimAck
from rattanroute.messages.claims import ClaimRelease
from rattanroute.messages.claims import ClaimReply
from rattanroute.messages.claims import ClaimRequest
from rattanroute.messages.claims import ClaimResult
from rattanroute.messages.claims import CopyPiece
from rattanroute.messages.claims import CopyRequest
from rattanroute.messages.claims import HandoverAck
from rattanroute.messages.claims import HandoverPiece
from rattanroute.systems.claimants import Claimant
from rattanroute.systems.claimants import ClaimantPhase
from rattanroute.systems.claimants import INVALID_KEY_REFUSAL
from rattanroute.systems.claimants import NO_HOLDERS_REFUSAL
from rattanroute.systems.claimants import refuse_at_once
from rattanroute.systems.holder_sets import choose_home
from rattanroute.systems.holder_sets import HolderSet
from rattanroute.systems.holders import ClaimHolder
from rattanroute.systems.holders import HolderStatus
from rattanroute.systems.holders import MAX_ANSWER_BYTES
from rattanroute.systems.holders import MAX_CLAIMS
from rattanroute.systems.holders import restore_holders
from rattanroute.systems.recoveries import ClaimCopier
from rattanroute.tables.claims import ClaimState
from rattanroute.tables.claims import hash_key
from rattanroute.tables.requests import Request

MAX_KEY_BYTES = 255
CLAIM_TIMEOUT_SECONDS = 2.0
STORE_TIMEOUT_SECONDS = 2.0
RESEND_SECONDS = 0.3
# Releases and results are resent this long to holders that do not confirm.
RESEND_LIMIT_SECONDS = 30.0
# A claim without a result this long after its deadline is marked as unknown.
HELD_GRACE_SECONDS = 600.0
CLEANUP_PERIOD_SECONDS = 10.0


class ClaimSystem:
    """Claims keys for this VM's requests and holds claims for other VMs.

    Attributes:
        vm_id: This VM.
        sets: Holder set of each home data centre.
        holders: Claims held by this VM, by home.
        claimants: Claims of this VM's requests, by request.
        mismatches: Messages refused because of another holder set.
    """

    message_types: tuple[type, ...] = (
        ClaimRequest,
        ClaimReply,
        ClaimRelease,
        ClaimResult,
        ClaimAck,
        CopyRequest,
        CopyPiece,
        HandoverPiece,
        HandoverAck,
    )

    def __init__(
        self,
        *,
        vm_id: str,
        data_centres: tuple[str, ...],
        claim_holders: Mapping[str, tuple[str, ...]],
        created_ms: Mapping[str, int],
        started_ms: int,
        now: float,
        durable: bool = False,
        restored: list[bytes] | None = None,
        max_claims: int = MAX_CLAIMS,
    ) -> None:
        """Initialises the holders of this VM.

        Args:
            vm_id: This VM.
            data_centres: Names of all data centres.
            claim_holders: VM identifiers of the holders of each data centre.
            created_ms: Wall clock from which each holder set is in force, in
                milliseconds, as declared by operators.
            started_ms: Wall clock at the start of this process, in
                milliseconds; also makes grant identifiers unique.
            now: The host's monotonic clock at the same moment, in seconds.
            durable: Whether the host keeps the claims in a file.
            restored: Records of that file; None when there is none.
            max_claims: Claims held at most for each home.

        Raises:
            ValueError: If a holder set has a size that is not allowed.
            msgspec.DecodeError: If a restored record is not valid.
        """
        self.vm_id = vm_id
        self.data_centres = data_centres or tuple(sorted(claim_holders))
        self.started_ms = started_ms
        self.started_at = now
        self.sets = {
            home: HolderSet(
                home=home,
                holders=tuple(holders),
                created_ms=created_ms.get(home, 0),
            )
            for home, holders in claim_holders.items()
        }
        states = restore_holders(restored or [])
        self.holders = {
            home: ClaimHolder(
                vm_id=vm_id,
                holder_set=holder_set,
                started_ms=started_ms,
                durable=durable,
                restored=states.get(home),
                max_claims=max_claims,
            )
            for home, holder_set in self.sets.items()
            if vm_id in holder_set.holders
        }
        self.copiers = {
            home: ClaimCopier(holder=holder)
            for home, holder in self.holders.items()
        }
        self.claimants: dict[str, Claimant] = {}
        self.active: dict[str, Claimant] = {}
        self.grant_count = 0
        self.ticket = 0
        self.waiting: dict[int, list[SendMessage]] = {}
        self.mismatches = 0
        self.next_cleanup = now

    def to_wall_ms(self, now: float) -> int:
        """Returns the wall clock in milliseconds."""
        return self.started_ms + int((now - self.started_at) * 1000)

    # Interface for the host.

    def claim(
        self, *, request: Request, content_hash: str, now: float
    ) -> list[Action]:
        """Asks for the claim of a request's idempotency key.

        Args:
            request: The request; its model is the service name.
            content_hash: Hash of operation and body.
            now: The host's monotonic clock, in seconds.

        Returns:
            Messages to the holders, and `ClaimDecision` when it is decided at once.
            Otherwise a later call returns `ClaimDecision`.
        """
        request_id = request.request_id
        key = request.idempotency_key
        if request_id in self.claimants:
            return []
        if not key or len(key.encode()) > MAX_KEY_BYTES:
            return [refuse_at_once(request_id, INVALID_KEY_REFUSAL)]
        home = choose_home(key, self.data_centres)
        holder_set = self.sets.get(home)
        if holder_set is None:
            return [refuse_at_once(request_id, NO_HOLDERS_REFUSAL)]
        self.grant_count += 1
        claimant = Claimant(
            request_id=request_id,
            holder_set=holder_set,
            key_id=hash_key(
                workspace=request.workspace, service=request.model, key=key
            ),
            grant_id=f"{self.vm_id}/{self.started_ms}/{self.grant_count}",
            content_hash=content_hash,
            deadline=request.deadline,
            ends_at=min(now + CLAIM_TIMEOUT_SECONDS, request.deadline),
        )
        self.claimants[request_id] = claimant
        self.active[claimant.grant_id] = claimant
        return self.send_all(claimant, now)

    def released(self, request_id: str, now: float) -> list[Action]:
        """Gives a claim back whose request was certainly not dispatched."""
        claimant = self.get_held(request_id)
        if claimant is None:
            return []
        return self.release(claimant, now)

    def completed(
        self, request_id: str, answer: bytes, now: float
    ) -> list[Action]:
        """Stores the answer of a claimed request; `AnswerStored` follows."""
        claimant = self.get_held(request_id)
        if claimant is None:
            return [AnswerStored(request_id=request_id, stored=False)]
        kept = answer if len(answer) <= MAX_ANSWER_BYTES else None
        return self.store(claimant, ClaimState.DONE, kept, now)

    def unknown(self, request_id: str, now: float) -> list[Action]:
        """Records that the result of a claimed request is unknown."""
        claimant = self.get_held(request_id)
        if claimant is None:
            return []
        claimant.reported = True
        return self.store(claimant, ClaimState.UNKNOWN, None, now)

    def persisted(self, *, ticket: int, now: float) -> list[Action]:
        """Sends the replies that waited for a sync of the claims file."""
        actions: list[Action] = []
        for number in [n for n in self.waiting if n <= ticket]:
            for reply in self.waiting.pop(number):
                actions += self.deliver(reply.peer, reply.message, now)
        return actions

    def storage_failed(self) -> None:
        """Stops holding claims after the claims file could not be synced.

        The file is then older than the memory, and a restart would take it
        for complete; answering on would make that a loss.
        """
        self.waiting.clear()
        for holder in self.holders.values():
            holder.status = HolderStatus.FAILED
            holder.unsaved.clear()

    def snapshot(self) -> list[bytes]:
        """Returns the records of a new claims file."""
        return [
            record
            for holder in self.holders.values()
            for record in holder.snapshot()
        ]

    def leave(self, now: float) -> list[Action]:
        """Starts to hand the claims over before a planned stop."""
        for copier in self.copiers.values():
            copier.leave(now)
        return self.tick(now=now)

    def handed_over(self, now: float) -> bool:
        """Whether a planned stop need not wait for the handover."""
        return all(c.handed_over(now) for c in self.copiers.values())

    def get_status(self) -> dict[str, HolderStatus]:
        """Returns the status of each holder of this VM, by home."""
        return {home: h.status for home, h in self.holders.items()}

    # Subsystem.

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a message of a claimant or another holder."""
        holder_set = self.sets.get(message.home)
        if holder_set is None or holder_set.set_id != message.set_id:
            self.mismatches += 1
            return []
        if isinstance(message, ClaimReply | ClaimAck):
            return self.on_answer(peer, holder_set, message, now)
        holder = self.holders.get(message.home)
        if holder is None or holder.status == HolderStatus.FAILED:
            return []
        now_ms = self.to_wall_ms(now)
        if isinstance(message, ClaimRequest):
            reply = holder.on_request(message, now_ms)
        elif isinstance(message, ClaimResult):
            reply = holder.on_result(message, now_ms)
        elif isinstance(message, ClaimRelease):
            reply = holder.on_release(message, now_ms)
        else:
            reply = self.copy(peer, holder, message, now)
        return self.answer(holder, peer, reply, now)

    def tick(self, *, now: float) -> list[Action]:
        """Resends what is due, ends waits and copies claims."""
        actions: list[Action] = []
        for claimant in list(self.active.values()):
            actions += self.advance(claimant, now)
        for home, copier in self.copiers.items():
            for index, message in copier.tick(now):
                peer = self.sets[home].holders[index]
                actions += self.answer(copier.holder, peer, message, now)
        if now >= self.next_cleanup or self.founding:
            self.next_cleanup = now + CLEANUP_PERIOD_SECONDS
            actions += self.clean_up(now)
        return actions

    @property
    def founding(self) -> bool:
        """Whether a holder waits for its set to come into force."""
        return any(
            holder.status == HolderStatus.FOUNDING
            for holder in self.holders.values()
        )

    def clean_up(self, now: float) -> list[Action]:
        """Drops expired claims, and held ones that the host forgot."""
        actions: list[Action] = []
        for holder in self.holders.values():
            if holder.status == HolderStatus.FAILED:
                continue
            holder.tick(self.to_wall_ms(now))
            actions += self.save(holder, [])
        for claimant in list(self.claimants.values()):
            forgotten = claimant.deadline + HELD_GRACE_SECONDS
            if claimant.phase == ClaimantPhase.HELD and now > forgotten:
                actions += self.unknown(claimant.request_id, now)
        return actions

    # Holder's side.

    def copy(
        self, peer: str, holder: ClaimHolder, message: object, now: float
    ) -> object | None:
        """Handles a message between holders; returns the reply."""
        holders = holder.holder_set.holders
        if peer not in holders or peer == self.vm_id:
            return None
        return self.copiers[message.home].on_message(
            holders.index(peer), message, now, self.to_wall_ms(now)
        )

    def answer(
        self,
        holder: ClaimHolder,
        peer: str,
        reply: object | None,
        now: float,
    ) -> list[Action]:
        """Sends a holder's message once the changes before it are durable."""
        if reply is None:
            return self.save(holder, [])
        if holder.unsaved or self.waiting:
            return self.save(holder, [SendMessage(peer=peer, message=reply)])
        return self.deliver(peer, reply, now)

    def save(
        self, holder: ClaimHolder, replies: list[SendMessage]
    ) -> list[Action]:
        """Returns the order to write a holder's changes, if there are any."""
        if not holder.unsaved and not replies:
            return []
        records = tuple(holder.unsaved)
        holder.unsaved.clear()
        self.ticket += 1
        self.waiting[self.ticket] = replies
        return [PersistClaims(records=records, ticket=self.ticket)]

    def deliver(self, peer: str, message: object, now: float) -> list[Action]:
        """Sends a message, or handles it at once when it is for this VM."""
        if peer == self.vm_id:
            return self.receive(peer=peer, message=message, now=now)
        return [SendMessage(peer=peer, message=message)]

    # Claimant's side.

    def get_held(self, request_id: str) -> Claimant | None:
        """Returns a granted claim without a result."""
        claimant = self.claimants.get(request_id)
        if claimant is None or claimant.phase != ClaimantPhase.HELD:
            return None
        return claimant

    def on_answer(
        self,
        peer: str,
        holder_set: HolderSet,
        message: ClaimReply | ClaimAck,
        now: float,
    ) -> list[Action]:
        """Handles a holder's reply or confirmation."""
        claimant = self.active.get(message.grant_id)
        if claimant is None or peer not in holder_set.holders:
            return []
        index = holder_set.holders.index(peer)
        if isinstance(message, ClaimAck):
            return self.on_ack(claimant, index, message)
        if claimant.phase != ClaimantPhase.CLAIMING:
            return []
        claimant.add_reply(index, message)
        verdict = claimant.decide()
        return [] if verdict is None else self.conclude(claimant, verdict, now)

    def conclude(
        self, claimant: Claimant, verdict: ClaimDecision, now: float
    ) -> list[Action]:
        """Reports a verdict; a claim that was not granted is given back."""
        if verdict.granted:
            claimant.phase = ClaimantPhase.HELD
            del self.active[claimant.grant_id]
            return [verdict]
        return [verdict, *self.release(claimant, now)]

    def release(self, claimant: Claimant, now: float) -> list[Action]:
        """Starts to give a claim back."""
        claimant.phase = ClaimantPhase.RELEASING
        return self.start_resending(claimant, now)

    def store(
        self,
        claimant: Claimant,
        state: ClaimState,
        answer: bytes | None,
        now: float,
    ) -> list[Action]:
        """Starts to store the result of a claim."""
        claimant.phase = ClaimantPhase.STORING
        claimant.result = ClaimResult(
            home=claimant.holder_set.home,
            set_id=claimant.holder_set.set_id,
            key_id=claimant.key_id,
            grant_id=claimant.grant_id,
            content_hash=claimant.content_hash,
            state=state,
            answer=answer,
        )
        return self.start_resending(claimant, now)

    def start_resending(self, claimant: Claimant, now: float) -> list[Action]:
        """Sends a release or result now and until it is confirmed."""
        claimant.acks.clear()
        claimant.ends_at = now + RESEND_LIMIT_SECONDS
        claimant.report_at = now + STORE_TIMEOUT_SECONDS
        self.active[claimant.grant_id] = claimant
        return self.send_all(claimant, now)

    def on_ack(
        self, claimant: Claimant, index: int, message: ClaimAck
    ) -> list[Action]:
        """Counts a confirmation of a release or result."""
        if not claimant.expects(message):
            return []
        claimant.acks[index] = message.epochs
        actions = self.report_stored(claimant)
        if len(claimant.acks) == len(claimant.holder_set.holders):
            self.forget(claimant)
        return actions

    def report_stored(self, claimant: Claimant) -> list[Action]:
        """Reports once that a majority has the answer."""
        if (
            not claimant.awaits_report
            or claimant.count_stored() < claimant.holder_set.majority
        ):
            return []
        claimant.reported = True
        stored = claimant.result.answer is not None
        return [AnswerStored(request_id=claimant.request_id, stored=stored)]

    def advance(self, claimant: Claimant, now: float) -> list[Action]:
        """Ends a claimant's wait or resends its messages."""
        if now >= claimant.ends_at:
            return self.end_wait(claimant, now)
        actions: list[Action] = []
        if claimant.awaits_report and now >= claimant.report_at:
            claimant.reported = True
            actions.append(
                AnswerStored(request_id=claimant.request_id, stored=False)
            )
        if now >= claimant.next_send:
            actions += self.send_all(claimant, now)
        return actions

    def end_wait(self, claimant: Claimant, now: float) -> list[Action]:
        """Concludes an undecided claim, or stops resending."""
        if claimant.phase == ClaimantPhase.CLAIMING:
            verdict = claimant.conclude_timeout()
            return self.conclude(claimant, verdict, now)
        self.forget(claimant)
        return []

    def forget(self, claimant: Claimant) -> None:
        """Removes a claimant that has nothing left to do."""
        self.active.pop(claimant.grant_id, None)
        self.claimants.pop(claimant.request_id, None)

    def send_all(self, claimant: Claimant, now: float) -> list[Action]:
        """Sends the message of the claimant's phase to silent holders."""
        claimant.next_send = now + RESEND_SECONDS
        message = claimant.build_message(now)
        phase = claimant.phase
        actions: list[Action] = []
        for index, peer in enumerate(claimant.holder_set.holders):
            if claimant.phase != phase:
                # This VM's own holder decided the claim.
                break
            if not claimant.has_answered(index):
                actions += self.deliver(peer, message, now)
        return actions
