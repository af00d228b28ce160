"""Copying of claims: recovery after memory loss and handover before a stop.

`systems/claim_holders.py` proves that a recovered holder has all its claims.
"""

import dataclasses

from rattanroute.messages.claims import CopyPiece
from rattanroute.messages.claims import CopyRequest
from rattanroute.messages.claims import HandoverAck
from rattanroute.messages.claims import HandoverPiece
from rattanroute.systems.claim_holders import ClaimHolder
from rattanroute.systems.claim_holders import HolderStatus
from rattanroute.tables.claims import Claim

# Copies are rare and must be quick, because the holder abstains until they end;
# 5 MB of claims take 10 s.
COPY_BYTES_PER_SECOND = 512_000.0
COPY_PIECE_BYTES = 32_000
COPY_RETRY_SECONDS = 0.3
CLAIM_OVERHEAD_BYTES = 120
# Longest time that a planned stop waits for the handover.
HANDOVER_SECONDS = 10.0


@dataclasses.dataclass(kw_only=True, slots=True)
class CopyProgress:
    """Progress of a copy from another holder, or of a handover to it.

    Attributes:
        cursor: Number of keys copied.
        epoch: Epoch of the other holder at the first piece; -1 before that.
        done: Whether all keys are copied.
        next_send: Time of the next request or piece.
    """

    cursor: int = 0
    epoch: int = -1
    done: bool = False
    next_send: float = 0.0

    def restart(self) -> None:
        """Resets the progress so that the copy starts again."""
        self.cursor = 0
        self.epoch = -1
        self.done = False


class ClaimCopier:
    """Copies claims between this VM's holder of a home and its others.

    Attributes:
        holder: The holder of this VM.
        progress: Progress with each other holder, by position in the set.
        sessions: Keys to copy to each recovering holder, by its position.
        served_until: Time before which no further piece is sent, in seconds;
            limits the rate.
        handover_keys: Keys to hand over before a planned stop.
        handover_ends: Time at which a planned stop no longer waits.
    """

    def __init__(self, *, holder: ClaimHolder) -> None:
        """Initialises a copier with no copy in progress."""
        self.holder = holder
        self.progress = {
            index: CopyProgress()
            for index in range(len(holder.holder_set.holders))
            if index != holder.index
        }
        self.sessions: dict[int, list[bytes]] = {}
        self.served_until = 0.0
        self.handover_keys: list[bytes] = []
        self.handover_ends = 0.0

    def tick(self, now: float) -> list[tuple[int, object]]:
        """Returns due messages with the positions of their receivers."""
        if self.holder.status == HolderStatus.RECOVERING:
            return self.request_pieces(now)
        if self.holder.status == HolderStatus.LEAVING:
            return self.send_handover(now)
        return []

    def on_message(
        self, index: int, message: object, now: float, now_ms: int
    ) -> object | None:
        """Handles a message of another holder and returns the reply."""
        if isinstance(message, CopyRequest):
            return self.serve(index, message, now)
        if isinstance(message, CopyPiece):
            return self.on_piece(index, message, now, now_ms)
        if isinstance(message, HandoverPiece):
            return self.on_handover_piece(message, now_ms)
        self.on_handover_ack(index, message, now)
        return None

    def request_pieces(self, now: float) -> list[tuple[int, object]]:
        """Requests pieces from the holders whose copy is incomplete."""
        messages: list[tuple[int, object]] = []
        for index, progress in self.progress.items():
            if progress.done or now < progress.next_send:
                continue
            progress.next_send = now + COPY_RETRY_SECONDS
            messages.append((index, self.build_request(progress)))
        return messages

    def build_request(self, progress: CopyProgress) -> CopyRequest:
        """Builds the request for the next piece of a copy."""
        return CopyRequest(
            home=self.holder.holder_set.home,
            set_id=self.holder.holder_set.set_id,
            epoch=self.holder.epoch,
            cursor=progress.cursor,
        )

    def serve(
        self, index: int, message: CopyRequest, now: float
    ) -> CopyPiece | None:
        """Returns a piece, after recording the requester's new epoch.

        Returns:
            The piece; None if this holder cannot serve copies or the rate
            limit is reached.
        """
        holder = self.holder
        if holder.status not in (HolderStatus.INTACT, HolderStatus.LEAVING):
            return None
        outdated = message.epoch < holder.epochs[index]
        if message.epoch > holder.epochs[index]:
            holder.epochs[index] = message.epoch
            holder.save_holder()
        if message.cursor == 0:
            self.sessions[index] = list(holder.table.rows)
        keys = self.sessions.get(index)
        if outdated or keys is None:
            return self.build_piece(message, (), 0, done=False)
        if now < self.served_until:
            return None
        claims, next_cursor = self.collect(keys, message.cursor)
        size = sum(map(estimate_bytes, claims))
        self.served_until = now + size / COPY_BYTES_PER_SECOND
        done = next_cursor >= len(keys)
        return self.build_piece(message, claims, next_cursor, done=done)

    def build_piece(
        self,
        message: CopyRequest,
        claims: tuple[Claim, ...],
        next_cursor: int,
        *,
        done: bool,
    ) -> CopyPiece:
        """Builds the reply to a copy request."""
        return CopyPiece(
            home=message.home,
            set_id=message.set_id,
            epoch=message.epoch,
            epochs=tuple(self.holder.epochs),
            cursor=message.cursor,
            next_cursor=next_cursor,
            claims=claims,
            done=done,
        )

    def collect(
        self, keys: list[bytes], cursor: int
    ) -> tuple[tuple[Claim, ...], int]:
        """Returns the claims of one piece and the next cursor."""
        claims: list[Claim] = []
        size = 0
        while cursor < len(keys) and size < COPY_PIECE_BYTES:
            claim = self.holder.table.get(keys[cursor])
            cursor += 1
            if claim is not None:
                claims.append(claim)
                size += estimate_bytes(claim)
        return tuple(claims), cursor

    def on_piece(
        self, index: int, piece: CopyPiece, now: float, now_ms: int
    ) -> CopyRequest | None:
        """Merges a piece and returns the request for the next one."""
        holder = self.holder
        progress = self.progress[index]
        if (
            holder.status != HolderStatus.RECOVERING
            or piece.epoch != holder.epoch
            or piece.cursor != progress.cursor
            or progress.done
        ):
            return None
        if piece.epochs[holder.index] > holder.epoch:
            self.raise_epoch(piece.epochs[holder.index] + 1)
            return None
        holder.merge_epochs(piece.epochs)
        if progress.epoch not in (-1, piece.epochs[index]) or (
            not piece.done and piece.next_cursor <= piece.cursor
        ):
            progress.restart()
            return None
        progress.epoch = piece.epochs[index]
        for claim in piece.claims:
            holder.merge(claim, now_ms)
        progress.cursor = piece.next_cursor
        progress.done = piece.done
        if progress.done:
            self.check_complete()
            return None
        progress.next_send = now + COPY_RETRY_SECONDS
        return self.build_request(progress)

    def raise_epoch(self, epoch: int) -> None:
        """Restarts the recovery in an epoch that is certainly new.

        If the clock was set back, the epoch of this start can be smaller than
        that of an earlier one.
        """
        self.holder.epochs[self.holder.index] = epoch
        self.holder.save_holder()
        for progress in self.progress.values():
            progress.restart()

    def check_complete(self) -> None:
        """Ends the recovery once enough copies are complete and valid."""
        holder = self.holder
        valid = 0
        for index, progress in self.progress.items():
            if not progress.done:
                continue
            if progress.epoch == holder.epochs[index]:
                valid += 1
            else:
                progress.restart()
        if valid >= holder.holder_set.read_quorum:
            holder.mark_intact()

    def start_handover(self, now: float) -> None:
        """Stops granting and starts to send the claims to other holders."""
        if self.holder.status != HolderStatus.INTACT or not self.progress:
            return
        self.holder.status = HolderStatus.LEAVING
        self.handover_keys = list(self.holder.table.rows)
        self.handover_ends = now + HANDOVER_SECONDS
        for progress in self.progress.values():
            progress.restart()
            progress.next_send = now
            progress.done = not self.handover_keys

    def is_handover_finished(self, now: float) -> bool:
        """Whether a planned stop no longer has to wait for the handover."""
        return (
            self.holder.status != HolderStatus.LEAVING
            or now >= self.handover_ends
            or all(progress.done for progress in self.progress.values())
        )

    def send_handover(self, now: float) -> list[tuple[int, object]]:
        """Sends the next piece to each holder; resends unconfirmed ones."""
        messages: list[tuple[int, object]] = []
        for index, progress in self.progress.items():
            if progress.done or now < progress.next_send:
                continue
            progress.next_send = now + COPY_RETRY_SECONDS
            claims, _ = self.collect(self.handover_keys, progress.cursor)
            piece = HandoverPiece(
                home=self.holder.holder_set.home,
                set_id=self.holder.holder_set.set_id,
                cursor=progress.cursor,
                claims=claims,
            )
            messages.append((index, piece))
        return messages

    def on_handover_piece(
        self, message: HandoverPiece, now_ms: int
    ) -> HandoverAck | None:
        """Merges claims of a holder that is about to stop."""
        if self.holder.status in (HolderStatus.LEAVING, HolderStatus.FAILED):
            return None
        for claim in message.claims:
            self.holder.merge(claim, now_ms)
        return HandoverAck(
            home=message.home, set_id=message.set_id, cursor=message.cursor
        )

    def on_handover_ack(
        self, index: int, message: HandoverAck, now: float
    ) -> None:
        """Advances the handover to the next piece."""
        progress = self.progress[index]
        if (
            self.holder.status != HolderStatus.LEAVING
            or message.cursor != progress.cursor
        ):
            return
        _, progress.cursor = self.collect(self.handover_keys, progress.cursor)
        progress.done = progress.cursor >= len(self.handover_keys)
        progress.next_send = now


def estimate_bytes(claim: Claim) -> int:
    """Returns the encoded size of a claim, accurate to a few bytes."""
    answer = 0 if claim.answer is None else len(claim.answer)
    return CLAIM_OVERHEAD_BYTES + answer + 100 * len(claim.rivals)
