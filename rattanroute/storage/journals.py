"""Group commit of records to a file, outside the event loop."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from rattanroute.errors import StorageError
from rattanroute.logs import get_logger

log = get_logger(__name__)


class JournalFile(Protocol):
    """A record file that can be compacted to a snapshot."""

    needs_compaction: bool

    def write(self, records: tuple[bytes, ...]) -> None:
        """Appends records and syncs the file."""
        ...

    def compact(self, snapshot: list[bytes]) -> None:
        """Replaces the file by the records of a snapshot."""
        ...

    def close(self) -> None:
        """Closes the file."""
        ...


class Journal:
    """Appends records and reports when they are durable.

    A sync blocks and therefore runs in a worker thread; records that arrive
    meanwhile share the next sync.

    Args:
        file: The file.
        snapshot: Returns the records that replace the file at a compaction.
        on_synced: Called with the highest ticket whose records are durable.
        on_failed: Called when records could not be made durable.
    """

    def __init__(
        self,
        *,
        file: JournalFile,
        snapshot: Callable[[], list[bytes]],
        on_synced: Callable[[int], None],
        on_failed: Callable[[], None],
    ) -> None:
        self.file = file
        self.snapshot = snapshot
        self.on_synced = on_synced
        self.on_failed = on_failed
        self.batch: list[bytes] = []
        self.ticket = 0
        self.failed = False
        self.task: asyncio.Task[None] | None = None

    def append(self, records: tuple[bytes, ...], ticket: int) -> None:
        """Queues records for the next sync.

        Args:
            records: The records.
            ticket: Number of the records; once they are durable, `on_synced`
                is called with this number or a higher one.
        """
        if self.failed:
            return
        self.batch.extend(records)
        self.ticket = ticket
        if self.task is None:
            self.task = asyncio.create_task(self.flush())

    async def flush(self) -> None:
        """Writes and syncs batches until the queue is empty."""
        done = -1
        try:
            while done != self.ticket:
                batch, self.batch = self.batch, []
                done = self.ticket
                await asyncio.to_thread(self.file.write, tuple(batch))
                self.on_synced(done)
                # A snapshot must not contain records that are still queued.
                if self.file.needs_compaction and not self.batch:
                    await asyncio.to_thread(self.file.compact, self.snapshot())
        except StorageError as error:
            log.error("journal sync failed", peer=error.peer, error=error)
            self.fail()
        except Exception as error:
            # The batch is lost; no later ticket may confirm it.
            log.exception("journal sync failed", error=error)
            self.fail()
        finally:
            self.task = None

    def fail(self) -> None:
        """Stops accepting records, because earlier ones may be missing."""
        self.failed = True
        self.batch.clear()
        self.on_failed()

    async def close(self) -> None:
        """Waits for the last sync and closes the file."""
        if self.task is not None:
            await self.task
        self.file.close()
