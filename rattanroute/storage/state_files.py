"""Append-only state files with compaction, for VMs with a disk."""

import pathlib

from rattanroute.errors import StorageError
from rattanroute.logs import get_logger
from rattanroute.storage.records import encode_file
from rattanroute.storage.records import FileAccess
from rattanroute.storage.records import RecordFile
from rattanroute.storage.records import write_file_synced

# The file is compacted when it has grown to this multiple of its size after the
# last compaction, so that compaction costs less than appending.
COMPACTION_FACTOR = 4
MIN_COMPACTION_BYTES = 4_000_000

logger = get_logger(__name__)


class StateFile:
    """An append-only file of records that a snapshot can replace.

    Attributes:
        path: The file.
        restored: Records that were in the file when it was opened; None when
            there were none or the file was damaged. The caller may drop them.
    """

    def __init__(
        self, folder: pathlib.Path, name: str, *, files: FileAccess
    ) -> None:
        """Opens the file; renames a damaged one and creates a new one.

        Args:
            folder: The data folder; created if it is missing.
            name: Name of the file in the folder.
            files: File access.

        Raises:
            StorageError: If the folder cannot be used.
        """
        self.path = folder / name
        self.files = files
        try:
            files.make_folder(folder)
            self.file = RecordFile(self.path, files=files)
        except StorageError as error:
            logger.error("state file moved aside", error=error)
            self.move_aside()
            self.file = RecordFile(self.path, files=files)
        except OSError as error:
            raise StorageError(
                step="open state file",
                peer=str(self.path),
                message=str(error),
            ) from error
        self.restored: list[bytes] | None = self.file.payloads or None
        self.file.payloads = []
        self.compacted_bytes = self.file.synced_bytes

    def move_aside(self) -> None:
        """Renames a damaged file to the suffix `.damaged`.

        Raises:
            StorageError: If the file cannot be renamed.
        """
        try:
            self.files.rename(self.path, self.path.with_suffix(".damaged"))
        except OSError as error:
            raise StorageError(
                step="move state file aside",
                peer=str(self.path),
                message=str(error),
            ) from error

    def write(self, records: tuple[bytes, ...]) -> None:
        """Appends records and syncs the file.

        Raises:
            StorageError: If the records are not durable; the host must then
                call `storage_failed` of the system.
        """
        for record in records:
            self.file.append(record)
        self.file.sync()

    @property
    def needs_compaction(self) -> bool:
        """Whether the file has grown enough for a compaction."""
        limit = max(
            MIN_COMPACTION_BYTES, COMPACTION_FACTOR * self.compacted_bytes
        )
        return self.file.synced_bytes > limit

    def compact(self, snapshot: list[bytes]) -> None:
        """Replaces the file by the records of a snapshot.

        The snapshot must include all records that were passed to `write`.

        Raises:
            StorageError: If a step fails.
        """
        self.file.close()
        write_file_synced(self.path, encode_file(snapshot), files=self.files)
        self.file = RecordFile(self.path, files=self.files)
        self.file.payloads = []
        self.compacted_bytes = self.file.synced_bytes

    def close(self) -> None:
        """Closes the file."""
        self.file.close()
