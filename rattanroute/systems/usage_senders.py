"""Sending of usage reports and statements to the ledger holders.

Each VM numbers what it sends in one stream. An item is kept until a majority
of the holders has synced it; a holder that has it twice ignores the second
copy by its number. When the buffer is full, new items are dropped and
counted: a dropped report is replaced by the target's statement, which another
VM may have heard.
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
# A holder that does not answer is replaced by another one for this time.
HOLDER_BACKOFF_SECONDS = 10.0
# Level 1 takes tags and names, which repeat within a batch, to a third.
COMPRESSION_LEVEL = 1
MAX_BATCH_BYTES = 1_000_000


class ReportItem(
    msgspec.Struct, tag="r", array_like=True, frozen=True, kw_only=True
):
    """An entry VM's report in a stream."""

    report: UsageReport


class StatementItem(
    msgspec.Struct, tag="s", array_like=True, frozen=True, kw_only=True
):
    """A target's statement in a stream, with the parsed account tag."""

    account: AccountTag
    statement: UsageStatement


Item = ReportItem | StatementItem
ITEM_ENCODER = msgspec.msgpack.Encoder()
ITEM_DECODER = msgspec.msgpack.Decoder(Item)
PACK_DECODER = msgspec.msgpack.Decoder(list[bytes])


def pack_items(items: Iterable[bytes]) -> bytes:
    """Compresses encoded items."""
    return zlib.compress(ITEM_ENCODER.encode(list(items)), COMPRESSION_LEVEL)


def unpack_items(data: bytes) -> list[bytes]:
    """Decompresses encoded items.

    Raises:
        ValueError: If the data is damaged or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_BATCH_BYTES)
        if not decompressor.eof:
            raise ValueError("usage batch is cut short or too large")
        return PACK_DECODER.decode(plain)
    except (zlib.error, msgspec.DecodeError) as error:
        raise ValueError(f"usage batch cannot be read: {error}") from error


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingItem:
    """An item that a majority has not confirmed.

    Attributes:
        data: The encoded item.
        holders: Holders that confirmed it.
    """

    data: bytes
    holders: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(kw_only=True, slots=True)
class HolderLink:
    """What was sent to one holder.

    Attributes:
        sent_at: Time of the batch that is not confirmed; -1 when there is
            none.
        backoff_until: Time before which the holder is not preferred.
    """

    sent_at: float = -1.0
    backoff_until: float = 0.0


class UsageSender:
    """The items of this VM that a majority has not confirmed.

    Attributes:
        stream: Name of this VM's stream.
        holders: The ledger holders, the preferred ones first.
        pending: Items by number.
        dropped: Items dropped because the buffer was full.
    """

    def __init__(
        self, *, vm_id: str, stream: str, holders: tuple[str, ...]
    ) -> None:
        """Initialises an empty buffer."""
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
        """Changes the holders; each VM prefers other ones."""
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
        """Number of holders that must have an item."""
        return len(self.holders) // 2 + 1

    def put(self, item: Item) -> bool:
        """Queues an item; returns whether there was room."""
        if len(self.pending) >= MAX_PENDING_ITEMS:
            self.dropped += 1
            return False
        self.sequence += 1
        data = ITEM_ENCODER.encode(item)
        self.pending[self.sequence] = PendingItem(data=data)
        return True

    def tick(self, now: float) -> list[Action]:
        """Sends batches that are due."""
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
        """Returns the preferred holders that answer, a majority of them."""
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
        """Builds a batch of items that a holder has not confirmed."""
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
        """Drops items that a majority has."""
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
