"""Append-only files of checksummed records, and atomic file replacement.

A file starts with a header (magic, format version, CRC-32C). A record is its
length, the CRC-32C of the length, the CRC-32C of the payload, and the payload;
all numbers are 32-bit little endian. The length has its own checksum, so that
a damaged length is not mistaken for a truncated record.

A crash during an append leaves an incomplete record at the end of the file or,
when the file system extended the file before it wrote the data, trailing
zeros. Only such a tail is truncated when the file is opened. Any other
checksum mismatch is damage to data that may have been acknowledged, and
opening the file fails.
"""

import os
import pathlib
import struct
from typing import Protocol

from crc32c import crc32c

from rattanroute.errors import StorageError

MAGIC = b"RTRECORD"
FORMAT_VERSION = 1
HEADER = struct.Struct("<8sII")
RECORD_HEADER = struct.Struct("<III")
MAX_RECORD_BYTES = 1 << 30
# Space that a file system allocated but did not write is read as zeros, in
# whole sectors of this many bytes.
SECTOR_BYTES = 512


class FileAccess(Protocol):
    """File operations; each method raises OSError on failure."""

    def make_folder(self, path: pathlib.Path) -> None:
        """Creates a folder and its missing parents."""
        ...

    def list_names(self, path: pathlib.Path) -> list[str]:
        """Returns the names in a folder."""
        ...

    def read(self, path: pathlib.Path) -> bytes:
        """Returns the content of a file."""
        ...

    def open(self, path: pathlib.Path, *, create: bool) -> int:
        """Opens a file for appending; `create` creates or truncates it."""
        ...

    def write(self, handle: int, data: bytes) -> int:
        """Appends bytes; returns how many were written."""
        ...

    def sync(self, handle: int) -> None:
        """Makes the content of a file durable."""
        ...

    def truncate(self, handle: int, size: int) -> None:
        """Truncates a file to a size in bytes."""
        ...

    def close(self, handle: int) -> None:
        """Closes a file."""
        ...

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Renames a file, replacing an existing one."""
        ...

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file."""
        ...

    def sync_folder(self, path: pathlib.Path) -> None:
        """Makes creations, renames and removals in a folder durable."""
        ...


class SystemFileAccess:
    """File operations of the operating system."""

    def make_folder(self, path: pathlib.Path) -> None:
        """Creates a folder and its parents durably."""
        if path.is_dir():
            return
        self.make_folder(path.parent)
        path.mkdir(exist_ok=True)
        self.sync_folder(path.parent)

    def list_names(self, path: pathlib.Path) -> list[str]:
        """Returns the sorted names in a folder."""
        return sorted(os.listdir(path))

    def read(self, path: pathlib.Path) -> bytes:
        """Returns the content of a file."""
        return path.read_bytes()

    def open(self, path: pathlib.Path, *, create: bool) -> int:
        """Opens a file for appending."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        if create:
            flags |= os.O_CREAT | os.O_TRUNC
        return os.open(path, flags, 0o600)

    def write(self, handle: int, data: bytes) -> int:
        """Appends bytes; returns how many were written."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Makes the content of a file durable."""
        os.fsync(handle)

    def truncate(self, handle: int, size: int) -> None:
        """Truncates a file to a size in bytes."""
        os.ftruncate(handle, size)

    def close(self, handle: int) -> None:
        """Closes a file."""
        os.close(handle)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Renames a file, replacing an existing one."""
        os.replace(old, new)

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file."""
        path.unlink()

    def sync_folder(self, path: pathlib.Path) -> None:
        """Makes the entries of a folder durable."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def write_all(files: FileAccess, handle: int, data: bytes) -> None:
    """Writes all bytes, continuing after short writes."""
    view = memoryview(data)
    while view:
        written = files.write(handle, bytes(view))
        if written <= 0:
            raise OSError("write returned without progress")
        view = view[written:]


def write_file_synced(
    path: pathlib.Path, data: bytes, *, files: FileAccess
) -> None:
    """Replaces a file atomically and durably.

    Raises:
        StorageError: If a step fails; the old file is then unchanged, except
            that after a failed folder sync either version may remain.
    """
    temporary = path.with_name(path.name + ".tmp")
    try:
        handle = files.open(temporary, create=True)
        try:
            write_all(files, handle, data)
            files.sync(handle)
        finally:
            files.close(handle)
        files.rename(temporary, path)
        files.sync_folder(path.parent)
    except OSError as error:
        raise StorageError(
            step="write file", peer=str(path), message=str(error)
        ) from error


def encode_header() -> bytes:
    """Returns the header of a record file."""
    start = MAGIC + struct.pack("<I", FORMAT_VERSION)
    return start + struct.pack("<I", crc32c(start))


def encode_record(payload: bytes) -> bytes:
    """Returns the header and payload of a record.

    Raises:
        ValueError: If the payload is longer than MAX_RECORD_BYTES.
    """
    if len(payload) > MAX_RECORD_BYTES:
        raise ValueError(f"record of {len(payload)} bytes is too long")
    length = struct.pack("<I", len(payload))
    return (
        RECORD_HEADER.pack(len(payload), crc32c(length), crc32c(payload))
        + payload
    )


def encode_file(payloads: list[bytes]) -> bytes:
    """Returns the content of a record file."""
    return encode_header() + b"".join(encode_record(p) for p in payloads)


def build_damage_error(
    path: pathlib.Path, offset: int, message: str
) -> StorageError:
    """Builds the error for damage at a byte offset."""
    return StorageError(
        step="read records",
        peer=str(path),
        message=f"{message} at byte offset {offset}",
    )


def ends_in_zeros(data: bytes, offset: int) -> bool:
    """Returns whether the last sector is all zeros after `offset`."""
    start = max(offset, len(data) - SECTOR_BYTES)
    return not any(data[start:])


def check_header(path: pathlib.Path, data: bytes) -> bool:
    """Checks the header; returns False if it was not completely written.

    Raises:
        StorageError: If the header is damaged or has another version.
    """
    header = encode_header()
    if len(data) < HEADER.size:
        if header.startswith(data) or not any(data):
            return False
        raise build_damage_error(path, 0, "damaged file header")
    if not any(data):
        return False
    magic, version, checksum = HEADER.unpack_from(data)
    if magic != MAGIC or checksum != crc32c(data[: HEADER.size - 4]):
        raise build_damage_error(path, 0, "damaged file header")
    if version != FORMAT_VERSION:
        raise build_damage_error(path, 8, f"unknown format version {version}")
    return True


def decode_records(path: pathlib.Path, data: bytes) -> tuple[list[bytes], int]:
    """Decodes a record file.

    Returns:
        The payloads, and the number of valid bytes; the rest is a tail that
        a crash left incomplete.

    Raises:
        StorageError: If the file is damaged before such a tail.
    """
    payloads: list[bytes] = []
    if not check_header(path, data):
        return payloads, 0
    offset = HEADER.size
    while offset + RECORD_HEADER.size <= len(data):
        length, length_sum, payload_sum = RECORD_HEADER.unpack_from(
            data, offset
        )
        if crc32c(data[offset : offset + 4]) != length_sum:
            if not any(data[offset:]):
                return payloads, offset
            raise build_damage_error(path, offset, "damaged record header")
        start = offset + RECORD_HEADER.size
        if start + length > len(data):
            return payloads, offset
        payload = data[start : start + length]
        if crc32c(payload) != payload_sum:
            if start + length == len(data) and ends_in_zeros(data, start):
                return payloads, offset
            raise build_damage_error(path, offset, "damaged record")
        payloads.append(payload)
        offset = start + length
    return payloads, offset


def read_records(path: pathlib.Path, *, files: FileAccess) -> list[bytes]:
    """Reads a file that was written by `write_file_synced`.

    Raises:
        StorageError: If the file is unreadable, damaged or incomplete.
    """
    try:
        data = files.read(path)
    except OSError as error:
        raise StorageError(
            step="read records", peer=str(path), message=str(error)
        ) from error
    payloads, size = decode_records(path, data)
    if size != len(data) or not data:
        raise build_damage_error(path, size, "incomplete record")
    return payloads


class RecordFile:
    """An append-only file of records.

    Attributes:
        path: The file.
        files: File access.
        payloads: Records that were in the file when it was opened.
        synced_bytes: Size up to which the file is durable.
        syncs: Number of successful `sync` calls that wrote records.
    """

    def __init__(self, path: pathlib.Path, *, files: FileAccess) -> None:
        """Opens or creates a file and truncates an incomplete tail.

        Raises:
            StorageError: If the file cannot be opened or is damaged.
        """
        self.path = path
        self.files = files
        self.payloads: list[bytes] = []
        self.synced_bytes = 0
        self.syncs = 0
        self.buffer: list[bytes] = []
        self.needs_repair = False
        self.handle = -1
        try:
            self.open()
        except OSError as error:
            self.close()
            raise self.build_error("open", error) from error

    def open(self) -> None:
        """Opens the file, reads its records and truncates its tail."""
        exists = self.path.name in self.files.list_names(self.path.parent)
        data = self.files.read(self.path) if exists else b""
        self.payloads, size = decode_records(self.path, data)
        self.handle = self.files.open(self.path, create=not exists)
        if size < len(data):
            self.files.truncate(self.handle, size)
        if size == 0:
            write_all(self.files, self.handle, encode_header())
            size = HEADER.size
        # Records that a killed process wrote but did not sync can be read; they
        # must be durable before they are used.
        self.files.sync(self.handle)
        if not exists:
            self.files.sync_folder(self.path.parent)
        self.synced_bytes = size

    def build_error(self, step: str, error: OSError) -> StorageError:
        """Builds the error for a failed step."""
        return StorageError(
            step=f"{step} record file", peer=str(self.path), message=str(error)
        )

    def append(self, payload: bytes) -> None:
        """Buffers a record; `sync` makes it durable."""
        self.buffer.append(encode_record(payload))

    def sync(self) -> None:
        """Writes and syncs the buffered records.

        On failure the buffered records are dropped, so that the caller may
        append them again, and the file is truncated to its durable size.

        Raises:
            StorageError: If the records are not durable.
        """
        if self.needs_repair:
            self.repair()
        if not self.buffer:
            return
        data = b"".join(self.buffer)
        self.buffer.clear()
        try:
            write_all(self.files, self.handle, data)
            self.files.sync(self.handle)
        except OSError as error:
            self.needs_repair = True
            self.try_repair()
            raise self.build_error("sync", error) from error
        self.synced_bytes += len(data)
        self.syncs += 1

    def repair(self) -> None:
        """Truncates the file to its durable size after a failed write.

        Raises:
            StorageError: If this fails; the buffered records are dropped.
        """
        try:
            self.files.truncate(self.handle, self.synced_bytes)
            self.files.sync(self.handle)
        except OSError as error:
            self.buffer.clear()
            raise self.build_error("repair", error) from error
        self.needs_repair = False

    def try_repair(self) -> None:
        """Tries to repair the file; on failure the next `sync` retries."""
        try:
            self.repair()
        except StorageError:
            return

    def close(self) -> None:
        """Closes the file and drops buffered records.

        Raises:
            StorageError: If the file cannot be closed.
        """
        self.buffer.clear()
        if self.handle < 0:
            return
        handle, self.handle = self.handle, -1
        try:
            self.files.close(handle)
        except OSError as error:
            raise self.build_error("close", error) from error
