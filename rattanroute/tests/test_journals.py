"""Tests of the journal that syncs records in groups."""

import asyncio
import threading
import unittest

from rattanroute.errors import StorageError
from rattanroute.storage.journals import Journal

WAIT_SECONDS = 5.0


class FakeFile:
    """A file whose writes can be held or fail.

    Attributes:
        open: Set while writes may end.
        batches: Batches written, in order.
        snapshots: Snapshots that replaced the file.
        needs_compaction: Whether the next look finds the file too long.
        failing: Whether writes fail.
        error: How they fail.
    """

    def __init__(self) -> None:
        self.open = threading.Event()
        self.open.set()
        self.batches: list[tuple[bytes, ...]] = []
        self.snapshots: list[list[bytes]] = []
        self.needs_compaction = False
        self.failing = False
        self.error: Exception = StorageError(
            step="sync", peer="file", message="disk is full"
        )
        self.closed = False

    def write(self, records: tuple[bytes, ...]) -> None:
        """Writes a batch once writes may end."""
        if not self.open.wait(WAIT_SECONDS):
            raise TimeoutError("the test did not let the write end")
        if self.failing:
            raise self.error
        self.batches.append(records)

    def compact(self, snapshot: list[bytes]) -> None:
        """Takes a snapshot."""
        self.snapshots.append(snapshot)
        self.needs_compaction = False

    def close(self) -> None:
        """Closes the file."""
        self.closed = True


class JournalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against confirmations of records that are not durable."""

    def setUp(self) -> None:
        self.file = FakeFile()
        self.synced: list[int] = []
        self.failures = 0
        self.journal = Journal(
            file=self.file,
            snapshot=self.take_snapshot,
            on_synced=self.note_synced,
            on_failed=self.note_failed,
        )

    def take_snapshot(self) -> list[bytes]:
        """Returns all records written so far as one."""
        return [b"".join(r for batch in self.file.batches for r in batch)]

    def note_synced(self, ticket: int) -> None:
        """Checks that all records up to the ticket are written."""
        written = [r for batch in self.file.batches for r in batch]
        self.assertIn(b"%d" % ticket, written)
        self.synced.append(ticket)

    def note_failed(self) -> None:
        """Counts failures."""
        self.failures += 1

    def append(self, *tickets: int) -> None:
        """Appends one record for each ticket, named after it."""
        for ticket in tickets:
            self.journal.append((b"%d" % ticket,), ticket)

    async def finish(self) -> None:
        """Waits until nothing is left to write."""
        if self.journal.task is not None:
            await self.journal.task

    async def test_records_that_wait_share_one_sync(self) -> None:
        """Guards against a sync for each record, and against lost order."""
        self.file.open.clear()
        self.append(1)
        # The first batch leaves when its task starts.
        while self.journal.batch:
            await asyncio.sleep(0)
        self.append(2, 3, 4)
        self.assertEqual(self.synced, [])
        self.file.open.set()
        await self.finish()
        self.assertEqual(self.file.batches, [(b"1",), (b"2", b"3", b"4")])
        self.assertEqual(self.synced, [1, 4])

    async def test_idle_journal_starts_again(self) -> None:
        """Guards against records that wait for ever after a pause."""
        for ticket in (1, 2, 3):
            self.append(ticket)
            await self.finish()
        self.assertEqual(self.synced, [1, 2, 3])

    async def test_failure_is_told_once(self) -> None:
        """Guards against confirmations after a failed sync."""
        self.file.failing = True
        self.append(1, 2)
        await self.finish()
        self.assertEqual((self.failures, self.synced), (1, []))
        self.file.failing = False
        self.append(3)
        await self.finish()
        self.assertEqual((self.failures, self.synced), (1, []))
        self.assertEqual(self.file.batches, [])

    async def test_unexpected_error_is_a_failure(self) -> None:
        """Guards against the confirmation of a batch that was lost.

        A record that is too long to encode raises a ValueError.
        """
        self.file.failing = True
        self.file.error = ValueError("record is too long")
        self.append(1)
        await asyncio.gather(self.journal.task, return_exceptions=True)
        self.file.failing = False
        self.append(2)
        await self.finish()
        self.assertEqual((self.failures, self.synced), (1, []))

    async def test_failure_drops_what_waits(self) -> None:
        """Guards against a later batch that hides the lost one."""
        self.file.open.clear()
        self.file.failing = True
        self.append(1)
        while self.journal.batch:
            await asyncio.sleep(0)
        self.append(2)
        self.file.open.set()
        await self.finish()
        self.assertEqual((self.failures, self.synced), (1, []))

    async def test_compaction_only_when_nothing_waits(self) -> None:
        """Guards against a snapshot with records that are not written."""
        self.file.needs_compaction = True
        self.file.open.clear()
        self.append(1)
        while self.journal.batch:
            await asyncio.sleep(0)
        self.append(2)
        self.file.open.set()
        await self.finish()
        self.assertEqual(self.file.snapshots, [[b"12"]])
        self.assertEqual(self.synced, [1, 2])

    async def test_close_waits_for_the_last_sync(self) -> None:
        """Guards against records that a planned stop loses."""
        self.append(1)
        await self.journal.close()
        self.assertEqual(self.synced, [1])
        self.assertTrue(self.file.closed)
