"""Ledger of one holder: totals over all reports and statements.

No record is counted twice. Items are numbered in the stream of the VM that
issued them, and a holder applies each number of a stream once. Each attempt
has one record, identified by the account tag that all its items carry. Adding
an item subtracts the record's old amounts from the totals and adds its new
ones, so each record contributes once. When a record is closed, its number is
added to the closed numbers of its source, and later items for it have no
effect. The closed numbers are exact sets rather than prefixes, because one
attempt without a statement would otherwise keep all later ones of its source
open.

Holders compare which items they have received and send each other the missing
ones; the order of items has no effect on the totals. A holder that was down
for longer than the others keep items replaces its state by a snapshot of one
of them, and then applies its own items that the snapshot lacks. It does so
only while it still has the content of all these items.

A confirmed record counts with the reported amounts. Holders that close it at
different times, with or without the statements, therefore have the same
totals. Other records stay open for UNCONFIRMED_SECONDS, longer than any
expected network partition.
"""

from collections import deque
import dataclasses

import msgspec

from rattanroute.messages.ledgers import LedgerVector
from rattanroute.messages.ledgers import UsageBatch
from rattanroute.systems.usage_senders import ITEM_DECODER
from rattanroute.systems.usage_senders import MAX_BATCH_ITEMS
from rattanroute.systems.usage_senders import pack_items
from rattanroute.systems.usage_senders import ReportItem
from rattanroute.systems.usage_senders import unpack_items
from rattanroute.tables.sequence_sets import build_sequence_set
from rattanroute.tables.sequence_sets import SequenceSet
from rattanroute.tables.usages import AccountKey
from rattanroute.tables.usages import Amounts
from rattanroute.tables.usages import UsageRecord
from rattanroute.tables.usages import UsageState
from rattanroute.tables.usages import UsageTable

# Confirmed records stay open for this time, so that a contradicting statement
# of a pipeline stage is still detected.
CONFIRMED_SECONDS = 60
UNCONFIRMED_SECONDS = 7 * 86_400
# At about 600 bytes each; above this number the oldest records are closed.
MAX_OPEN_RECORDS = 400_000
RECHECK_SECONDS = 600
KEEP_ITEMS_SECONDS = 600.0
MAX_KEPT_ITEMS = 100_000
MAX_BATCHES_PER_VECTOR = 10


class TotalRow(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The sum of usage for one account key."""

    key: AccountKey
    amounts: Amounts


class LedgerState(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The complete state of a ledger holder.

    Attributes:
        totals: Sums over all records, open and closed.
        open: Open records.
        closed: Ranges of the numbers of closed records, by source.
        received: Ranges of the numbers of received items, by stream.
    """

    totals: list[TotalRow]
    open: list[UsageRecord]
    closed: dict[str, tuple[tuple[int, int], ...]]
    received: dict[str, tuple[tuple[int, int], ...]]


class ItemsSaved(
    msgspec.Struct, tag="items", array_like=True, frozen=True, kw_only=True
):
    """File record: new items of a stream were received."""

    stream: str
    sequences: tuple[int, ...]
    items: tuple[bytes, ...]


class StateSaved(
    msgspec.Struct, tag="state", array_like=True, frozen=True, kw_only=True
):
    """File record: the complete state was replaced."""

    state: LedgerState


ENCODER = msgspec.msgpack.Encoder()
FILE_DECODER = msgspec.msgpack.Decoder(ItemsSaved | StateSaved)
STATE_DECODER = msgspec.msgpack.Decoder(LedgerState)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeptItem:
    """An item whose content is kept for other holders.

    Attributes:
        stream: Stream of the item.
        sequence: Number of the item in the stream.
        kept_until: Monotonic time at which the content is dropped, in
            seconds.
    """

    stream: str
    sequence: int
    kept_until: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseCheck:
    """A scheduled check whether an open record can be closed.

    Attributes:
        key: Source and number of the record.
        due_s: Wall-clock time of the check, in seconds.
    """

    key: tuple[str, int]
    due_s: int


class LedgerHolder:
    """The ledger of one holder.

    Attributes:
        table: Totals, open records and the numbers of closed ones.
        received: Numbers of received items, by stream.
        kept: Content of recent items, by stream and number.
        kept_order: The kept items, oldest first.
        unsaved: File records that are not yet passed to the host.
        damaged: Number of items that could not be decoded; they count as
            received.
        checks: First check of each open record, in order of arrival.
        rechecks: Repeated checks of unconfirmed records, in order of time.
    """

    def __init__(self, *, restored: list[bytes]) -> None:
        """Restores the ledger from the records of its file.

        Args:
            restored: Records of the file, oldest first; empty for a new
                holder.

        Raises:
            msgspec.DecodeError: If a record is not valid.
        """
        self.table = UsageTable()
        self.received: dict[str, SequenceSet] = {}
        self.kept: dict[tuple[str, int], bytes] = {}
        self.kept_order: deque[KeptItem] = deque()
        self.unsaved: list[bytes] = []
        self.damaged = 0
        self.checks: deque[CloseCheck] = deque()
        self.rechecks: deque[CloseCheck] = deque()
        for data in restored:
            record = FILE_DECODER.decode(data)
            if isinstance(record, StateSaved):
                self.load(record.state)
            else:
                self.apply(record, 0.0)

    def on_batch(self, message: UsageBatch, now: float) -> bool:
        """Applies the new items of a batch.

        Returns:
            Whether the batch is valid; an invalid one changes nothing.
        """
        try:
            items = unpack_items(message.items)
        except ValueError:
            return False
        if len(items) != len(message.sequences):
            return False
        received = self.received.get(message.stream, ())
        new = {
            sequence: item
            for sequence, item in zip(message.sequences, items, strict=True)
            if sequence not in received
        }
        if new:
            saved = ItemsSaved(
                stream=message.stream,
                sequences=tuple(new),
                items=tuple(new.values()),
            )
            self.apply(saved, now)
            self.unsaved.append(ENCODER.encode(saved))
        return True

    def apply(self, saved: ItemsSaved, now: float) -> None:
        """Adds the items whose numbers are new in their stream."""
        received = self.received.setdefault(saved.stream, SequenceSet())
        for sequence, data in zip(saved.sequences, saved.items, strict=True):
            if not received.add(sequence):
                continue
            self.keep(saved.stream, sequence, data, now)
            self.add(data)

    def add(self, data: bytes) -> None:
        """Decodes an item and adds it to its record."""
        try:
            item = ITEM_DECODER.decode(data)
        except msgspec.DecodeError:
            self.damaged += 1
            return
        if isinstance(item, ReportItem):
            tag, account = item.report.tag, item.report
        else:
            tag, account = item.account, item.statement
        key = (tag.source, tag.sequence)
        known = key in self.table.open
        if self.table.add(tag, account) is not None and not known:
            self.checks.append(
                CloseCheck(key=key, due_s=tag.opened_s + CONFIRMED_SECONDS)
            )

    def keep(self, stream: str, sequence: int, data: bytes, now: float) -> None:
        """Keeps the content of an item so that other holders can fetch it."""
        self.kept[stream, sequence] = data
        self.kept_order.append(
            KeptItem(
                stream=stream,
                sequence=sequence,
                kept_until=now + KEEP_ITEMS_SECONDS,
            )
        )
        if len(self.kept_order) > MAX_KEPT_ITEMS:
            self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drops the content of the oldest kept item."""
        oldest = self.kept_order.popleft()
        self.kept.pop((oldest.stream, oldest.sequence), None)

    def tick(self, now: float, wall_s: int) -> None:
        """Closes records that are due and drops the content of old items."""
        while self.kept_order and self.kept_order[0].kept_until <= now:
            self.drop_oldest()
        excess = len(self.table.open) - MAX_OPEN_RECORDS
        if excess > 0:
            self.close_oldest(excess)
        self.run_checks(self.checks, wall_s)
        self.run_checks(self.rechecks, wall_s)

    def run_checks(self, checks: deque["CloseCheck"], wall_s: int) -> None:
        """Runs due checks: closes confirmed or expired records."""
        while checks and checks[0].due_s <= wall_s:
            check = checks.popleft()
            record = self.table.open.get(check.key)
            if record is None:
                continue
            age = wall_s - record.tag.opened_s
            if (
                age >= UNCONFIRMED_SECONDS
                or record.state == UsageState.CONFIRMED
            ):
                self.table.close(check.key)
            else:
                self.rechecks.append(
                    CloseCheck(key=check.key, due_s=wall_s + RECHECK_SECONDS)
                )

    def close_oldest(self, count: int) -> None:
        """Closes the oldest open records."""
        keys = sorted(
            self.table.open, key=lambda k: self.table.open[k].tag.opened_s
        )
        for key in keys[:count]:
            self.table.close(key)

    # Reconciliation with other holders.

    def build_vector(
        self, *, answer: bool, purged: bool = False
    ) -> LedgerVector:
        """Builds the ranges of items that this holder has received.

        Args:
            answer: Whether the receiver may answer with its own vector.
            purged: Whether the content of items that the receiver lacks is
                no longer kept.
        """
        ranges = {name: s.ranges() for name, s in self.received.items()}
        return LedgerVector(ranges=ranges, answer=answer, purged=purged)

    def build_missing(
        self, vector: LedgerVector
    ) -> tuple[list[UsageBatch], bool]:
        """Builds batches of items that another holder lacks.

        Args:
            vector: The items that the other holder has.

        Returns:
            The batches, and whether the other holder lacks items whose
            content is no longer kept here.
        """
        batches: list[UsageBatch] = []
        purged = False
        for stream, received in self.received.items():
            theirs = build_sequence_set(vector.ranges.get(stream, ()))
            sequences: list[int] = []
            for sequence in received.missing_from(theirs):
                if (stream, sequence) not in self.kept:
                    purged = True
                    break
                sequences.append(sequence)
                if len(sequences) == MAX_BATCH_ITEMS:
                    break
            if sequences:
                batches.append(self.build_batch(stream, sequences))
            if len(batches) == MAX_BATCHES_PER_VECTOR:
                break
        return batches, purged

    def build_batch(self, stream: str, sequences: list[int]) -> UsageBatch:
        """Builds a batch of kept items."""
        items = pack_items(self.kept[stream, s] for s in sequences)
        return UsageBatch(
            stream=stream, sequences=tuple(sequences), items=items
        )

    def is_missing_items(self, vector: LedgerVector) -> bool:
        """Whether another holder has items that this one lacks."""
        for stream, ranges in vector.ranges.items():
            received = self.received.get(stream, SequenceSet())
            theirs = build_sequence_set(ranges)
            if next(theirs.missing_from(received), None) is not None:
                return True
        return False

    # Snapshots of the state.

    def dump(self) -> LedgerState:
        """Returns the complete state."""
        return LedgerState(
            totals=[
                TotalRow(key=key, amounts=amounts)
                for key, amounts in self.table.totals.items()
            ],
            open=list(self.table.open.values()),
            closed={n: s.ranges() for n, s in self.table.closed.items()},
            received={n: s.ranges() for n, s in self.received.items()},
        )

    def load(self, state: LedgerState) -> None:
        """Replaces the complete state."""
        self.table.totals = {row.key: row.amounts for row in state.totals}
        self.table.open = {
            (record.tag.source, record.tag.sequence): record
            for record in state.open
        }
        self.rechecks.clear()
        self.checks = deque(
            CloseCheck(key=key, due_s=record.tag.opened_s + CONFIRMED_SECONDS)
            for key, record in self.table.open.items()
        )
        self.table.closed = {
            name: build_sequence_set(ranges)
            for name, ranges in state.closed.items()
        }
        self.received = {
            name: build_sequence_set(ranges)
            for name, ranges in state.received.items()
        }

    def install_state(self, state: LedgerState, now: float) -> bool:
        """Replaces the state by another holder's and re-adds missing items.

        Args:
            state: The other holder's state.
            now: Monotonic time, in seconds.

        Returns:
            False, without any change, if the state lacks an item of this
            holder whose content is no longer kept.
        """
        missing: list[tuple[str, int]] = []
        for stream, received in self.received.items():
            theirs = build_sequence_set(state.received.get(stream, ()))
            for sequence in received.missing_from(theirs):
                if (stream, sequence) not in self.kept:
                    return False
                missing.append((stream, sequence))
        self.load(state)
        self.unsaved.append(ENCODER.encode(StateSaved(state=state)))
        for stream, sequence in missing:
            saved = ItemsSaved(
                stream=stream,
                sequences=(sequence,),
                items=(self.kept[stream, sequence],),
            )
            self.apply(saved, now)
            self.unsaved.append(ENCODER.encode(saved))
        return True

    def snapshot(self) -> list[bytes]:
        """Returns file records of the complete state."""
        return [ENCODER.encode(StateSaved(state=self.dump()))]
