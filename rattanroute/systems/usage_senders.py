"""Sending of usage reports and statements to the ledger holders.

Each VM numbers its items in one stream. An item is kept until a majority of
the holders has synced it; a holder recognises duplicates by their numbers.
When the buffer is full, new items are dropped and counted. The target's
statement, which another VM may have received, then replaces a dropped report.
"""

from collections.abc import Iterable
import dataclasses
import zlib

import msgspec
import xxhash

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.ledgers import UsageAck
from rattanroute.messages.ledgers import UsageBatch
from rattanroute.tables.usages import AccountTag
from rattanroute.tables.usages import UsageReport
from rattanroute.tables.usages import UsageStatement

FLUSH_SECONDS = 0.5
MAX_BATCH_ITEMS = 100
MAX_PENDING_ITEMS = 50_000
ACK_TIMEOUT_SECONDS = 2.0
# A holder that does not confirm a batch is replaced by another for this time.
HOLDER_BACKOFF_SECONDS = 10.0
# Level 1 compresses a batch, whose tags and names repeat, to about a third.
COMPRESSION_LEVEL = 1
MAX_BATCH_BYTES = 1_000_000


class ReportItem(
    msgspec.Struct, tag="r", array_like=True, frozen=True, kw_only=True
):
    """Item of a stream: an entry VM's report."""

    report: UsageReport


class StatementItem(
    msgspec.Struct, tag="s", array_like=True, frozen=True, kw_only=True
):
    """Item of a stream: a target's statement and its parsed account tag."""

    account: AccountTag
    statement: UsageStatement


Item = ReportItem | StatementItem
ITEM_ENCODER = msgspec.msgpack.Encoder()
ITEM_DECODER = msgspec.msgpack.Decoder(Item)
PACK_DECODER = msgspec.msgpack.Decoder(list[bytes])


def pack_items(items: Iterable[bytes]) -> bytes:
    """Packs encoded items into the compressed form of a batch."""
    return zlib.compress(ITEM_ENCODER.encode(list(items)), COMPRESSION_LEVEL)


def unpack_items(data: bytes) -> list[bytes]:
    """Unpacks the encoded items of a batch.

    Raises:
        ValueError: If the data is damaged or unpacks to more than
            MAX_BATCH_BYTES.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_BATCH_BYTES)
        if not decompressor.eof:
            raise ValueError("usage batch is truncated or too large")
        return PACK_DECODER.decode(plain)
    except (zlib.error, msgspec.DecodeError) as error:
        raise ValueError(f"usage batch cannot be decoded: {error}") from error


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingItem:
    """An item that a majority of the holders has not confirmed.

    Attributes:
        data: The encoded item.
        holders: Holders that confirmed it.
    """

    data: bytes
    holders: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(kw_only=True, slots=True)
class HolderLink:
    """State of sending to one holder.

    Attributes:
        sent_at: Time of the unconfirmed batch, in seconds; -1 if there is
            none.
        backoff_until: Time before which other holders are preferred.
    """

    sent_at: float = -1.0
    backoff_until: float = 0.0


class UsageSender:
    """Sends this VM's items until a majority has confirmed them.

    Attributes:
        vm_id: Identifier of this VM.
        stream: Name of this VM's stream.
        holders: The ledger holders in order of preference.
        links: State of sending to each holder.
        pending: Unconfirmed items by number.
        sequence: Number of the latest item.
        dropped: Number of items dropped because the buffer was full.
        next_flush: Time of the next sending, in seconds.
    """

    def __init__(
        self, *, vm_id: str, stream: str, holders: tuple[str, ...]
    ) -> None:
        """Initialises a sender without items."""
        self.vm_id = vm_id
        self.stream = stream
        self.holders: tuple[str, ...] = ()
        self.links: dict[str, HolderLink] = {}
        self.pending: dict[int, PendingItem] = {}
        self.sequence = 0
        self.dropped = 0
        self.next_flush = 0.0
        self.set_holders(holders)

    def set_holders(self, holders: tuple[str, ...]) -> None:
        """Changes the holders.

        A holder prefers itself; the hash of VM and holder spreads the other
        preferences over the holders.
        """
        self.holders = tuple(
            sorted(
                holders,
                key=lambda holder: (
                    holder != self.vm_id,
                    xxhash.xxh3_64_intdigest(f"{self.vm_id}/{holder}".encode()),
                ),
            )
        )
        self.links = {
            holder: self.links.get(holder, HolderLink())
            for holder in self.holders
        }
        for item in self.pending.values():
            item.holders.intersection_update(self.holders)

    @property
    def majority(self) -> int:
        """Number of holders that must confirm an item."""
        return len(self.holders) // 2 + 1

    def put(self, item: Item) -> bool:
        """Queues an item; returns False if the buffer is full."""
        if len(self.pending) >= MAX_PENDING_ITEMS:
            self.dropped += 1
            return False
        self.sequence += 1
        data = ITEM_ENCODER.encode(item)
        self.pending[self.sequence] = PendingItem(data=data)
        return True

    def tick(self, now: float) -> list[Action]:
        """Sends a batch to each chosen holder without an unconfirmed one."""
        if now < self.next_flush or not self.pending or not self.holders:
            return []
        self.next_flush = now + FLUSH_SECONDS
        actions: list[Action] = []
        for holder in self.choose_holders(now):
            link = self.links[holder]
            if link.sent_at >= 0:
                continue
            batch = self.build_batch(holder)
            if batch is not None:
                link.sent_at = now
                actions.append(SendMessage(peer=holder, message=batch))
        return actions

    def choose_holders(self, now: float) -> list[str]:
        """Returns a majority of preferred holders that confirm batches.

        If fewer than a majority do, all holders are returned.
        """
        for link in self.links.values():
            if 0 <= link.sent_at <= now - ACK_TIMEOUT_SECONDS:
                link.sent_at = -1.0
                link.backoff_until = now + HOLDER_BACKOFF_SECONDS
        answering = [
            holder
            for holder in self.holders
            if self.links[holder].backoff_until <= now
        ]
        if len(answering) < self.majority:
            return list(self.holders)
        return answering[: self.majority]

    def build_batch(self, holder: str) -> UsageBatch | None:
        """Builds a batch of the oldest items a holder has not confirmed."""
        sequences: list[int] = []
        for sequence, item in self.pending.items():
            if holder not in item.holders:
                sequences.append(sequence)
                if len(sequences) == MAX_BATCH_ITEMS:
                    break
        if not sequences:
            return None
        items = pack_items(self.pending[s].data for s in sequences)
        return UsageBatch(
            stream=self.stream, sequences=tuple(sequences), items=items
        )

    def on_ack(self, holder: str, message: UsageAck) -> None:
        """Records a confirmation; drops items that a majority has."""
        link = self.links.get(holder)
        if link is None or message.stream != self.stream:
            return
        link.sent_at = -1.0
        link.backoff_until = 0.0
        for sequence in message.sequences:
            item = self.pending.get(sequence)
            if item is None:
                continue
            item.holders.add(holder)
            if len(item.holders) >= self.majority:
                del self.pending[sequence]
