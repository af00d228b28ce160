"""The file in which a VM with a disk keeps the claims that it holds."""

import pathlib

from loguru import logger

from rattanroute.errors import StorageError
from rattanroute.records import encode_file
from rattanroute.records import FileAccess
from rattanroute.records import RecordFile
from rattanroute.records import write_file_synced

CLAIMS_FILE_NAME = "claims.log"
# The file is rewritten when it has grown to this multiple of its last
# rewritten size, so that rewriting costs less than appending.
COMPACTION_FACTOR = 4
MIN_COMPACTION_BYTES = 4_000_000


class ClaimFile:
    """An append-only file of claim records.

    Attributes:
        path: The file.
        restored: Records of the file when it was opened; None when the claims
            are lost, because there was no file or it was damaged.
    """

    def __init__(self, folder: pathlib.Path, *, files: FileAccess) -> None:
        """Opens the file; a damaged one is moved aside.

        A holder with a damaged file has lost its memory and recovers from
        the other holders.

        Raises:
            StorageError: If the folder cannot be used.
        """
        self.path = folder / CLAIMS_FILE_NAME
        self.files = files
        try:
            files.make_folder(folder)
            self.file = RecordFile(self.path, files=files)
        except StorageError as error:
            logger.error("claims file moved aside error={!r}", str(error))
            self.move_aside()
            self.file = RecordFile(self.path, files=files)
        except OSError as error:
            raise StorageError(
                step="open claims file",
                peer=str(folder),
                message=str(error),
            ) from error
        self.restored = self.file.payloads or None
        self.compacted_bytes = self.file.synced_bytes

    def move_aside(self) -> None:
        """Renames a damaged file.

        Raises:
            StorageError: If the file cannot be renamed.
        """
        try:
            self.files.rename(self.path, self.path.with_suffix(".damaged"))
        except OSError as error:
            raise StorageError(
                step="move claims file aside",
                peer=str(self.path),
                message=str(error),
            ) from error

    def write(self, records: tuple[bytes, ...]) -> None:
        """Appends records and syncs the file.

        Raises:
            StorageError: If the records are not durable; the host then calls
                `ClaimSystem.storage_failed`.
        """
        for record in records:
            self.file.append(record)
        self.file.sync()

    @property
    def needs_compaction(self) -> bool:
        """Whether most of the file is outdated."""
        limit = max(
            MIN_COMPACTION_BYTES, COMPACTION_FACTOR * self.compacted_bytes
        )
        return self.file.synced_bytes > limit

    def compact(self, snapshot: list[bytes]) -> None:
        """Replaces the file by the records of a snapshot.

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
