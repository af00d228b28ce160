"""At-most-once execution by claiming idempotency keys.

A request is dispatched only after a majority of the holders of the key's home
data centre has granted its claim (`systems/claim_holders.py`). A grant is
released only if its request was certainly not dispatched. If the requesting
VM crashes, the key stays claimed and a repeated request is refused, because
the result is unknown. `systems/claimants.py` documents the refusals.
"""

from collections.abc import Mapping

from rattanroute.actions import Action
from rattanroute.actions import AnswerStored
from rattanroute.actions import Claimed
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
from rattanroute.systems.claim_copiers import ClaimCopier
from rattanroute.systems.claim_holders import ClaimHolder
from rattanroute.systems.claim_holders import HolderStatus
from rattanroute.systems.claim_holders import MAX_ANSWER_BYTES
from rattanroute.systems.claim_holders import MAX_CLAIMS
from rattanroute.systems.claim_holders import restore_holders
from rattanroute.systems.claimants import Claimant
from rattanroute.systems.claimants import ClaimantPhase
from rattanroute.systems.claimants import INVALID_KEY_REFUSAL
from rattanroute.systems.claimants import NO_HOLDERS_REFUSAL
from rattanroute.systems.claimants import refuse_immediately
from rattanroute.systems.holder_sets import choose_home
from rattanroute.systems.holder_sets import HolderSet
from rattanroute.tables.claims import ClaimState
from rattanroute.tables.claims import hash_key
from rattanroute.tables.requests import Request

MAX_KEY_BYTES = 255
CLAIM_TIMEOUT_SECONDS = 2.0
STORE_TIMEOUT_SECONDS = 2.0
RESEND_SECONDS = 0.3
# Releases and results are resent to unconfirming holders for this time.
RESEND_LIMIT_SECONDS = 30.0
# A granted claim that has no result this long after the request's deadline is
# marked as unknown.
HELD_GRACE_SECONDS = 600.0
CLEANUP_PERIOD_SECONDS = 10.0


class ClaimSystem:
    """Claims keys for this VM's requests and holds claims of all VMs.

    Attributes:
        vm_id: Identifier of this VM.
        data_centres: Names of all data centres.
        holder_sets: Holder set of each home data centre.
        holders: Claims held by this VM, by home data centre.
        copiers: Transfer of claims to and from other holders, by home.
        claimants: Claims of this VM's requests, by request.
        active: Claimants that still send or resend messages, by grant.
        ticket: Number of the latest write that the host was asked for.
        unsynced_messages: Messages that wait for the sync of a write, by its
            ticket.
        mismatches: Messages ignored because the sender has another holder
            set.
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
            vm_id: Identifier of this VM.
            data_centres: Names of all data centres.
            claim_holders: VM identifiers of the holders of each data centre.
            created_ms: Wall-clock time from which each holder set is in
                force, in milliseconds, as declared by operators.
            started_ms: Wall-clock time at the start of this process, in
                milliseconds; also makes grant identifiers unique.
            now: The host's monotonic clock at the same moment, in seconds.
            durable: Whether the host writes the claims to a file.
            restored: Records of that file; None if there is no file.
            max_claims: Maximum number of claims held for each home.

        Raises:
            ValueError: If a holder set names a VM twice or does not have
                an allowed size.
            msgspec.DecodeError: If a restored record is not valid.
        """
        self.vm_id = vm_id
        self.data_centres = data_centres or tuple(sorted(claim_holders))
        self.started_ms = started_ms
        self.started_at = now
        self.holder_sets = {
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
            for home, holder_set in self.holder_sets.items()
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
        self.unsynced_messages: dict[int, list[SendMessage]] = {}
        self.mismatches = 0
        self.next_cleanup = now

    def to_wall_ms(self, now: float) -> int:
        """Converts a monotonic time to wall-clock milliseconds."""
        return self.started_ms + int((now - self.started_at) * 1000)

    # Interface for the host.

    def claim(
        self, *, request: Request, content_hash: str, now: float
    ) -> list[Action]:
        """Starts to claim a request's idempotency key.

        Args:
            request: The request; its model is the service name.
            content_hash: Hash of operation and body.
            now: The host's monotonic clock, in seconds.

        Returns:
            Messages to the holders, and `Claimed` if the claim is decided
            immediately. Otherwise a later call returns `Claimed`.
        """
        request_id = request.request_id
        key = request.idempotency_key
        if request_id in self.claimants:
            return []
        if not key or len(key.encode()) > MAX_KEY_BYTES:
            return [refuse_immediately(request_id, INVALID_KEY_REFUSAL)]
        home = choose_home(key, self.data_centres)
        holder_set = self.holder_sets.get(home)
        if holder_set is None:
            return [refuse_immediately(request_id, NO_HOLDERS_REFUSAL)]
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

    def release_request(self, request_id: str, now: float) -> list[Action]:
        """Releases the claim of a request that was certainly not dispatched."""
        claimant = self.get_granted(request_id)
        if claimant is None:
            return []
        return self.release(claimant, now)

    def store_answer(
        self, request_id: str, answer: bytes, now: float
    ) -> list[Action]:
        """Stores the answer of a claimed request; `AnswerStored` follows."""
        claimant = self.get_granted(request_id)
        if claimant is None:
            return [AnswerStored(request_id=request_id, stored=False)]
        kept = answer if len(answer) <= MAX_ANSWER_BYTES else None
        return self.store(claimant, ClaimState.DONE, kept, now)

    def mark_unknown(self, request_id: str, now: float) -> list[Action]:
        """Records that the result of a claimed request is unknown."""
        claimant = self.get_granted(request_id)
        if claimant is None:
            return []
        claimant.reported = True
        return self.store(claimant, ClaimState.UNKNOWN, None, now)

    def persisted(self, *, ticket: int, now: float) -> list[Action]:
        """Sends the messages that waited for a sync of the claims file.

        Args:
            ticket: Ticket of the latest write that is durable.
            now: The host's monotonic clock, in seconds.
        """
        actions: list[Action] = []
        for number in [n for n in self.unsynced_messages if n <= ticket]:
            for reply in self.unsynced_messages.pop(number):
                actions += self.deliver(reply.peer, reply.message, now)
        return actions

    def storage_failed(self) -> None:
        """Stops the holders after the claims file could not be synced.

        The file may then lack claims that are in memory, and a restart would
        treat it as complete. Granting further claims would lose them at that
        restart.
        """
        self.unsynced_messages.clear()
        for holder in self.holders.values():
            holder.status = HolderStatus.FAILED
            holder.unsaved.clear()

    def snapshot(self) -> list[bytes]:
        """Returns the records of a compacted claims file."""
        return [
            record
            for holder in self.holders.values()
            for record in holder.snapshot()
        ]

    def start_handover(self, now: float) -> list[Action]:
        """Starts to copy claims to other holders before a planned stop."""
        for copier in self.copiers.values():
            copier.start_handover(now)
        return self.tick(now=now)

    def is_handover_finished(self, now: float) -> bool:
        """Whether a planned stop no longer has to wait for the handover."""
        return all(c.is_handover_finished(now) for c in self.copiers.values())

    def get_status(self) -> dict[str, HolderStatus]:
        """Returns the status of each holder of this VM, by home."""
        return {home: h.status for home, h in self.holders.items()}

    # Subsystem interface.

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a message of a requesting VM or of another holder."""
        holder_set = self.holder_sets.get(message.home)
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
            reply = self.handle_copy_message(peer, holder, message, now)
        return self.send_after_sync(holder, peer, reply, now)

    def tick(self, *, now: float) -> list[Action]:
        """Resends messages, handles timeouts, copies and expires claims."""
        actions: list[Action] = []
        for claimant in list(self.active.values()):
            actions += self.advance(claimant, now)
        for home, copier in self.copiers.items():
            for index, message in copier.tick(now):
                peer = self.holder_sets[home].holders[index]
                actions += self.send_after_sync(
                    copier.holder, peer, message, now
                )
        if now >= self.next_cleanup or self.founding:
            self.next_cleanup = now + CLEANUP_PERIOD_SECONDS
            actions += self.clean_up(now)
        return actions

    @property
    def founding(self) -> bool:
        """Whether a holder of this VM waits for its set to come into force."""
        return any(
            holder.status == HolderStatus.FOUNDING
            for holder in self.holders.values()
        )

    def clean_up(self, now: float) -> list[Action]:
        """Drops expired claims; marks claims without a result as unknown."""
        actions: list[Action] = []
        for holder in self.holders.values():
            if holder.status == HolderStatus.FAILED:
                continue
            holder.tick(self.to_wall_ms(now))
            actions += self.persist(holder, [])
        for claimant in list(self.claimants.values()):
            expires_at = claimant.deadline + HELD_GRACE_SECONDS
            if claimant.phase == ClaimantPhase.HELD and now > expires_at:
                actions += self.mark_unknown(claimant.request_id, now)
        return actions

    # Holder side.

    def handle_copy_message(
        self, peer: str, holder: ClaimHolder, message: object, now: float
    ) -> object | None:
        """Handles a message between holders and returns the reply."""
        holders = holder.holder_set.holders
        if peer not in holders or peer == self.vm_id:
            return None
        return self.copiers[message.home].on_message(
            holders.index(peer), message, now, self.to_wall_ms(now)
        )

    def send_after_sync(
        self,
        holder: ClaimHolder,
        peer: str,
        reply: object | None,
        now: float,
    ) -> list[Action]:
        """Sends a message once the holder's earlier changes are durable."""
        if reply is None:
            return self.persist(holder, [])
        if holder.unsaved or self.unsynced_messages:
            return self.persist(holder, [SendMessage(peer=peer, message=reply)])
        return self.deliver(peer, reply, now)

    def persist(
        self, holder: ClaimHolder, replies: list[SendMessage]
    ) -> list[Action]:
        """Returns the action that writes a holder's changes to the file.

        Args:
            holder: The holder.
            replies: Messages to send after the sync.

        Returns:
            One `PersistClaims`, or nothing if there is nothing to write or
            send.
        """
        if not holder.unsaved and not replies:
            return []
        records = tuple(holder.unsaved)
        holder.unsaved.clear()
        self.ticket += 1
        self.unsynced_messages[self.ticket] = replies
        return [PersistClaims(records=records, ticket=self.ticket)]

    def deliver(self, peer: str, message: object, now: float) -> list[Action]:
        """Sends a message, or handles it directly if it is for this VM."""
        if peer == self.vm_id:
            return self.receive(peer=peer, message=message, now=now)
        return [SendMessage(peer=peer, message=message)]

    # Requester side.

    def get_granted(self, request_id: str) -> Claimant | None:
        """Returns the granted claim of a request, or None if it has none."""
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
        decision = claimant.decide()
        return (
            [] if decision is None else self.conclude(claimant, decision, now)
        )

    def conclude(
        self, claimant: Claimant, decision: Claimed, now: float
    ) -> list[Action]:
        """Reports a decision and releases a claim that was not granted."""
        if decision.granted:
            claimant.phase = ClaimantPhase.HELD
            del self.active[claimant.grant_id]
            return [decision]
        return [decision, *self.release(claimant, now)]

    def release(self, claimant: Claimant, now: float) -> list[Action]:
        """Starts to release a claim."""
        claimant.phase = ClaimantPhase.RELEASING
        return self.send_until_acked(claimant, now)

    def store(
        self,
        claimant: Claimant,
        state: ClaimState,
        answer: bytes | None,
        now: float,
    ) -> list[Action]:
        """Starts to store the result of a claim at the holders."""
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
        return self.send_until_acked(claimant, now)

    def send_until_acked(self, claimant: Claimant, now: float) -> list[Action]:
        """Sends a release or result, and resends it until it is confirmed."""
        claimant.acks.clear()
        claimant.ends_at = now + RESEND_LIMIT_SECONDS
        claimant.report_at = now + STORE_TIMEOUT_SECONDS
        self.active[claimant.grant_id] = claimant
        return self.send_all(claimant, now)

    def on_ack(
        self, claimant: Claimant, index: int, message: ClaimAck
    ) -> list[Action]:
        """Records a holder's confirmation of a release or result."""
        if not claimant.expects(message):
            return []
        claimant.acks[index] = message.epochs
        actions = self.report_stored(claimant)
        if len(claimant.acks) == len(claimant.holder_set.holders):
            self.remove_claimant(claimant)
        return actions

    def report_stored(self, claimant: Claimant) -> list[Action]:
        """Tells the host, once, that a majority has stored the answer."""
        if (
            not claimant.awaits_report
            or claimant.count_stored() < claimant.holder_set.majority
        ):
            return []
        claimant.reported = True
        stored = claimant.result.answer is not None
        return [AnswerStored(request_id=claimant.request_id, stored=stored)]

    def advance(self, claimant: Claimant, now: float) -> list[Action]:
        """Handles a claimant's timeouts and resends its messages."""
        if now >= claimant.ends_at:
            return self.on_timeout(claimant, now)
        actions: list[Action] = []
        if claimant.awaits_report and now >= claimant.report_at:
            claimant.reported = True
            actions.append(
                AnswerStored(request_id=claimant.request_id, stored=False)
            )
        if now >= claimant.next_send:
            actions += self.send_all(claimant, now)
        return actions

    def on_timeout(self, claimant: Claimant, now: float) -> list[Action]:
        """Decides a claim that timed out, or stops resending."""
        if claimant.phase == ClaimantPhase.CLAIMING:
            decision = claimant.conclude_timeout()
            return self.conclude(claimant, decision, now)
        self.remove_claimant(claimant)
        return []

    def remove_claimant(self, claimant: Claimant) -> None:
        """Removes a claimant that is finished."""
        self.active.pop(claimant.grant_id, None)
        self.claimants.pop(claimant.request_id, None)

    def send_all(self, claimant: Claimant, now: float) -> list[Action]:
        """Sends the phase's message to the holders that have not answered."""
        claimant.next_send = now + RESEND_SECONDS
        message = claimant.build_message(now)
        phase = claimant.phase
        actions: list[Action] = []
        for index, peer in enumerate(claimant.holder_set.holders):
            if claimant.phase != phase:
                # The reply of this VM's own holder has changed the phase.
                break
            if not claimant.has_answered(index):
                actions += self.deliver(peer, message, now)
        return actions
