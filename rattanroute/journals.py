"""A file of records that is synced in groups, off the event loop."""

import asyncio
from collections.abc import Callable
import pathlib

from rattanroute.errors import StorageError
from rattanroute.logs import get_logger
from rattanroute.records import encode_file
from rattanroute.records import RecordFile
from rattanroute.records import SystemFileAccess
from rattanroute.records import write_file_synced

COMPACTION_BYTES = 64 * 1024 * 1024

log = get_logger(__name__)


class Journal:
    """Appends records and reports when they are durable.

    Syncing blocks, so that it runs in a worker thread; records that arrive
    meanwhile share the next sync.

    Args:
        path: The file; its folder is created if needed.
        snapshot: Returns the records that replace the file when it has grown.
        on_synced: Called with the greatest ticket that is durable.
        on_failed: Called when records could not be made durable.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        snapshot: Callable[[], list[bytes]],
        on_synced: Callable[[int], None],
        on_failed: Callable[[], None],
    ) -> None:
        self.path = path
        self.snapshot = snapshot
        self.on_synced = on_synced
        self.on_failed = on_failed
        self.files = SystemFileAccess()
        self.files.make_folder(path.parent)
        self.file = RecordFile(path, files=self.files)
        self.restored = self.file.payloads
        self.file.payloads = []
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
                await asyncio.to_thread(self.write, batch)
                self.on_synced(done)
                if self.file.synced_bytes > COMPACTION_BYTES:
                    await self.compact()
        except StorageError as error:
            log.error("journal not synced", file=self.path.name, error=error)
            self.failed = True
            self.on_failed()
        finally:
            self.task = None

    def write(self, batch: list[bytes]) -> None:
        """Appends a batch and syncs the file."""
        for record in batch:
            self.file.append(record)
        self.file.sync()

    async def compact(self) -> None:
        """Replaces the file by a snapshot of what its records lead to.

        Records that wait in the batch are part of the snapshot already; they
        are written again, which readers of the file must allow.
        """
        data = encode_file(self.snapshot())
        await asyncio.to_thread(self.replace, data)

    def replace(self, data: bytes) -> None:
        """Writes a new file in the place of the old one."""
        self.file.close()
        write_file_synced(self.path, data, files=self.files)
        self.file = RecordFile(self.path, files=self.files)
        self.file.payloads = []

    async def close(self) -> None:
        """Waits for the last sync and closes the file."""
        if self.task is not None:
            await self.task
        self.file.close()
