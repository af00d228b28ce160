"""Tests of the entries that a log keeps before a snapshot."""

import unittest

from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import EntryKind
from rattanroute.consensus.entries import Snapshot
from rattanroute.consensus.entry_logs import ENTRY_OVERHEAD_BYTES
from rattanroute.consensus.entry_logs import EntryLog

DATA_BYTES = 1_000
ENTRY_BYTES = DATA_BYTES + ENTRY_OVERHEAD_BYTES
ENTRIES = 10


class RetentionTest(unittest.TestCase):
    """Guards against kept entries that exceed the memory of a VM."""

    def setUp(self) -> None:
        """Creates a log whose entries have one size."""
        self.log = EntryLog(
            snapshot=Snapshot(),
            base_index=0,
            base_term=0,
            entries=[
                Entry(
                    index=index,
                    term=1,
                    kind=EntryKind.DATA,
                    data=bytes(DATA_BYTES),
                )
                for index in range(1, ENTRIES + 1)
            ],
        )

    def find_base(self, *, max_entries: int, max_bytes: int) -> int:
        """Returns the base for a snapshot of the eighth entry."""
        return self.log.find_base(
            8, max_entries=max_entries, max_bytes=max_bytes
        )

    def test_few_bytes_are_kept(self) -> None:
        base = self.find_base(max_entries=100, max_bytes=3 * ENTRY_BYTES)
        self.assertEqual(base, 5)

    def test_few_entries_are_kept(self) -> None:
        base = self.find_base(max_entries=2, max_bytes=100 * ENTRY_BYTES)
        self.assertEqual(base, 6)

    def test_entry_that_exceeds_the_bound_is_not_kept(self) -> None:
        base = self.find_base(max_entries=100, max_bytes=ENTRY_BYTES - 1)
        self.assertEqual(base, 8)

    def test_all_are_kept_within_the_bounds(self) -> None:
        base = self.find_base(max_entries=100, max_bytes=100 * ENTRY_BYTES)
        self.assertEqual(base, 0)

    def test_compacted_log(self) -> None:
        base = self.find_base(max_entries=100, max_bytes=3 * ENTRY_BYTES)
        snapshot = Snapshot(index=8, term=1, data=b"state")
        self.log.compact(snapshot, base_index=base)
        self.assertEqual([x.index for x in self.log.entries], [6, 7, 8, 9, 10])
        again = self.find_base(max_entries=100, max_bytes=100 * ENTRY_BYTES)
        self.assertEqual(again, 5)
