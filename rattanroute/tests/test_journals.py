"""Tests of the journal that syncs records in groups."""

import asyncio
import threading
import unittest

from rattanroute.errors import StorageError
from rattanroute.storage.journals import Journal

WAIT_SECONDS = 5.0


class FakeFile:
    """A file whose writes can be blocked or fail.

    Attributes:
        open: Set while writes may finish.
        batches: Written batches, in order.
        snapshots: Snapshots that replaced the file.
        needs_compaction: Whether the file reports that it needs compaction.
        failing: Whether writes fail.
        error: The error that failing writes raise.
        closed: Whether the file was closed.
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
        """Writes a batch once `open` is set."""
        if not self.open.wait(WAIT_SECONDS):
            raise TimeoutError("the test did not unblock the write")
        if self.failing:
            raise self.error
        self.batches.append(records)

    def compact(self, snapshot: list[bytes]) -> None:
        """Records a snapshot."""
        self.snapshots.append(snapshot)
        self.needs_compaction = False

    def close(self) -> None:
        """Closes the file."""
        self.closed = True


class JournalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against confirming records that are not durable."""

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
        """Returns all records written so far, joined into one."""
        return [b"".join(r for batch in self.file.batches for r in batch)]

    def note_synced(self, ticket: int) -> None:
        """Checks that the record of a ticket is written, and records it."""
        written = [r for batch in self.file.batches for r in batch]
        self.assertIn(b"%d" % ticket, written)
        self.synced.append(ticket)

    def note_failed(self) -> None:
        """Counts failures."""
        self.failures += 1

    def append(self, *tickets: int) -> None:
        """Appends for each ticket one record that contains the ticket."""
        for ticket in tickets:
            self.journal.append((b"%d" % ticket,), ticket)

    async def finish(self) -> None:
        """Waits until all appended records are written."""
        if self.journal.task is not None:
            await self.journal.task

    async def test_queued_records_share_one_sync(self) -> None:
        """Guards against one sync per record and against reordering."""
        self.file.open.clear()
        self.append(1)
        # The journal takes the first batch when its task starts.
        while self.journal.batch:
            await asyncio.sleep(0)
        self.append(2, 3, 4)
        self.assertEqual(self.synced, [])
        self.file.open.set()
        await self.finish()
        self.assertEqual(self.file.batches, [(b"1",), (b"2", b"3", b"4")])
        self.assertEqual(self.synced, [1, 4])

    async def test_idle_journal_starts_again(self) -> None:
        """Guards against records that are never written after an idle time."""
        for ticket in (1, 2, 3):
            self.append(ticket)
            await self.finish()
        self.assertEqual(self.synced, [1, 2, 3])

    async def test_failure_is_reported_once(self) -> None:
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
        """Guards against confirming a batch that was lost.

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

    async def test_failure_drops_queued_records(self) -> None:
        """Guards against a later batch whose ticket confirms the lost one."""
        self.file.open.clear()
        self.file.failing = True
        self.append(1)
        while self.journal.batch:
            await asyncio.sleep(0)
        self.append(2)
        self.file.open.set()
        await self.finish()
        self.assertEqual((self.failures, self.synced), (1, []))

    async def test_compaction_only_without_queued_records(self) -> None:
        """Guards against a snapshot that includes unwritten records."""
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
        """Guards against losing records at a planned stop."""
        self.append(1)
        await self.journal.close()
        self.assertEqual(self.synced, [1])
        self.assertTrue(self.file.closed)
