"""A file of records that is synced in groups, off the event loop."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from rattanroute.errors import StorageError
from rattanroute.logs import get_logger

log = get_logger(__name__)


class JournalFile(Protocol):
    """A file of records that may be replaced by a snapshot of them."""

    needs_compaction: bool

    def write(self, records: tuple[bytes, ...]) -> None:
        """Appends records and syncs the file."""
        ...

    def compact(self, snapshot: list[bytes]) -> None:
        """Replaces the file."""
        ...

    def close(self) -> None:
        """Closes the file."""
        ...


class Journal:
    """Appends records and reports when they are durable.

    Syncing blocks, so that it runs in a worker thread; records that arrive
    meanwhile share the next sync.

    Args:
        file: The file.
        snapshot: Returns the records that replace the file when it has grown.
        on_synced: Called with the greatest ticket that is durable.
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
        """Adds records; `on_synced` follows with at least their ticket."""
        if self.failed:
            return
        self.batch.extend(records)
        self.ticket = ticket
        if self.task is None:
            self.task = asyncio.create_task(self.flush())

    async def flush(self) -> None:
        """Syncs batches until there is none."""
        done = -1
        try:
            while done != self.ticket:
                batch, self.batch = self.batch, []
                done = self.ticket
                await asyncio.to_thread(self.file.write, tuple(batch))
                self.on_synced(done)
                # A snapshot must not contain records that are still to be
                # written.
                if self.file.needs_compaction and not self.batch:
                    await asyncio.to_thread(self.file.compact, self.snapshot())
        except StorageError as error:
            log.error("journal not synced", peer=error.peer, error=error)
            self.fail()
        except Exception as error:
            # The batch is lost; a later ticket must not confirm it.
            log.exception("journal not synced", error=error)
            self.fail()
        finally:
            self.task = None

    def fail(self) -> None:
        """Takes no more records, as some may be missing."""
        self.failed = True
        self.batch.clear()
        self.on_failed()

    async def close(self) -> None:
        """Waits for the last sync and closes the file."""
        if self.task is not None:
            await self.task
        self.file.close()
