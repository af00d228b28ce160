"""Tests of record files."""

import errno
import os
import pathlib
import tempfile
import unittest

from rattanroute.errors import StorageError
from rattanroute.storage import records
from rattanroute.storage.records import RecordFile
from rattanroute.storage.records import SystemFileAccess


class Killed(BaseException):
    """Simulates the end of a process that is killed."""


class FaultyFileAccess(SystemFileAccess):
    """File access that injects faults.

    Attributes:
        kill_at: Index of the modifying operation that kills the process; a
            killed write leaves half of its bytes.
        power_loss: Whether a kill also discards data that is not synced.
        operations: Number of modifying operations so far.
        full: Whether writes fail with ENOSPC after half of the bytes.
        sync_fails: Whether syncs fail with EIO.
        max_write: Maximum number of bytes that one write accepts.
        paths: Paths of files by handle.
        synced: Durable size by file.
        names: Files created or replaced since the folder was synced, with
            their previous content; None for a new file.
    """

    def __init__(self, kill_at: int = -1, *, power_loss: bool = False) -> None:
        self.kill_at = kill_at
        self.power_loss = power_loss
        self.operations = 0
        self.full = False
        self.sync_fails = False
        self.max_write = 1 << 30
        self.paths: dict[int, pathlib.Path] = {}
        self.synced: dict[pathlib.Path, int] = {}
        self.names: list[tuple[pathlib.Path, bytes | None]] = []

    def count(self) -> bool:
        """Counts an operation; returns whether it kills the process."""
        self.operations += 1
        return self.operations - 1 == self.kill_at

    def kill(self) -> None:
        """Kills the process; a power loss also discards what is not durable."""
        if self.power_loss:
            for path, size in self.synced.items():
                if path.exists():
                    os.truncate(path, min(size, path.stat().st_size))
            for path, content in reversed(self.names):
                path.unlink(missing_ok=True)
                if content is not None:
                    path.write_bytes(content)
        raise Killed

    def record_name(self, path: pathlib.Path) -> None:
        """Records a file that is about to be created or replaced."""
        content = path.read_bytes() if path.exists() else None
        self.names.append((path, content))

    def open(self, path: pathlib.Path, *, create: bool) -> int:
        """Opens a file and records its durable size."""
        if create:
            self.record_name(path)
        handle = super().open(path, create=create)
        self.paths[handle] = path
        self.synced[path] = path.stat().st_size
        return handle

    def write(self, handle: int, data: bytes) -> int:
        """Writes, fails, or is killed after half of the bytes."""
        if self.count():
            super().write(handle, data[: len(data) // 2])
            self.kill()
        if self.full:
            super().write(handle, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return super().write(handle, data[: self.max_write])

    def sync(self, handle: int) -> None:
        """Syncs, fails, or is killed before the sync."""
        if self.count():
            self.kill()
        if self.sync_fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().sync(handle)
        path = self.paths[handle]
        self.synced[path] = path.stat().st_size

    def truncate(self, handle: int, size: int) -> None:
        """Truncates, or is killed before."""
        if self.count():
            self.kill()
        super().truncate(handle, size)
        path = self.paths[handle]
        self.synced[path] = min(self.synced[path], size)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Renames, or is killed before."""
        if self.count():
            self.kill()
        self.record_name(new)
        super().rename(old, new)
        self.synced[new] = self.synced.pop(old)

    def remove(self, path: pathlib.Path) -> None:
        """Removes, or is killed before."""
        if self.count():
            self.kill()
        super().remove(path)

    def sync_folder(self, path: pathlib.Path) -> None:
        """Syncs a folder, or is killed before."""
        if self.count():
            self.kill()
        super().sync_folder(path)
        self.names.clear()


class RecordFileTest(unittest.TestCase):
    """Guards against records that are lost, altered or invented."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "a.rec")

    def write_records(self, payloads: list[bytes]) -> None:
        """Writes and syncs each payload separately."""
        file = RecordFile(self.path, files=SystemFileAccess())
        for payload in payloads:
            file.append(payload)
            file.sync()
        file.close()

    def read_payloads(self) -> list[bytes]:
        """Reopens the file and returns its records."""
        file = RecordFile(self.path, files=SystemFileAccess())
        file.close()
        return file.payloads

    def test_records_survive_reopening(self) -> None:
        payloads = [b"", b"one", bytes(2000), b"\x00\xff" * 99]
        self.write_records(payloads)
        self.assertEqual(self.read_payloads(), payloads)

    def test_tail_cut_at_every_byte_keeps_earlier_records(self) -> None:
        self.write_records([b"first", b"second"])
        whole = self.path.read_bytes()
        last = len(whole) - records.RECORD_HEADER.size - len(b"second")
        for size in range(last, len(whole)):
            self.path.write_bytes(whole[:size])
            self.assertEqual(self.read_payloads(), [b"first"])
            self.write_records([b"third"])
            self.assertEqual(self.read_payloads(), [b"first", b"third"])

    def test_tail_of_zeros_is_cut(self) -> None:
        self.write_records([b"first", b"x" * 1500])
        whole = self.path.read_bytes()
        self.path.write_bytes(whole[:-1400] + bytes(1400))
        self.assertEqual(self.read_payloads(), [b"first"])
        self.path.write_bytes(self.path.read_bytes() + bytes(700))
        self.assertEqual(self.read_payloads(), [b"first"])

    def test_every_bit_flip_is_refused_with_file_and_offset(self) -> None:
        self.write_records([b"first", b"second", b"third"])
        whole = self.path.read_bytes()
        for position in range(len(whole)):
            broken = bytearray(whole)
            broken[position] ^= 1 << (position % 8)
            self.path.write_bytes(broken)
            with self.assertRaisesRegex(StorageError, r"a\.rec.*offset \d+"):
                self.read_payloads()
            self.assertEqual(self.path.read_bytes(), broken)

    def test_kill_at_every_operation_keeps_synced_records(self) -> None:
        for number in range(36):
            self.path.unlink(missing_ok=True)
            files = FaultyFileAccess(number // 2, power_loss=number % 2 == 1)
            synced = []
            with self.assertRaises(Killed):
                file = RecordFile(self.path, files=files)
                for payload in range(9):
                    file.append(b"%d" % payload)
                    file.sync()
                    synced.append(b"%d" % payload)
            found = self.read_payloads()
            self.assertEqual(found[: len(synced)], synced)
            self.assertLessEqual(len(found), len(synced) + 1)

    def test_full_disk_is_an_error_and_leaves_the_file_usable(self) -> None:
        files = FaultyFileAccess()
        file = RecordFile(self.path, files=files)
        file.append(b"kept")
        file.sync()
        for fault in ("full", "sync_fails"):
            setattr(files, fault, True)
            file.append(b"dropped")
            with self.assertRaises(StorageError):
                file.sync()
            setattr(files, fault, False)
            file.append(fault.encode())
            file.sync()
        file.close()
        self.assertEqual(
            self.read_payloads(), [b"kept", b"full", b"sync_fails"]
        )

    def test_short_writes_are_continued(self) -> None:
        files = FaultyFileAccess()
        files.max_write = 3
        file = RecordFile(self.path, files=files)
        file.append(b"a long record")
        file.sync()
        file.close()
        self.assertEqual(self.read_payloads(), [b"a long record"])

    def test_other_format_version_is_refused(self) -> None:
        self.write_records([b"first"])
        start = records.MAGIC + (2).to_bytes(4, "little")
        checksum = records.crc32c(start).to_bytes(4, "little")
        self.path.write_bytes(start + checksum)
        with self.assertRaisesRegex(StorageError, "version 2"):
            self.read_payloads()


class WriteFileSyncedTest(unittest.TestCase):
    """Guards against files with a mix of old and new content."""

    def test_kill_at_every_operation_leaves_old_or_new(self) -> None:
        old = records.encode_file([b"old"])
        new = records.encode_file([b"new"])
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "b.rec")
            for number in range(8):
                path.write_bytes(old)
                files = FaultyFileAccess(
                    number // 2, power_loss=number % 2 == 1
                )
                with self.assertRaises(Killed):
                    records.write_file_synced(path, new, files=files)
                found = records.read_records(path, files=SystemFileAccess())
                self.assertIn(found, ([b"old"], [b"new"]))

    def test_power_loss_after_return_keeps_the_new_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "b.rec")
            path.write_bytes(records.encode_file([b"old"]))
            files = FaultyFileAccess(power_loss=True)
            new = records.encode_file([b"new"])
            records.write_file_synced(path, new, files=files)
            with self.assertRaises(Killed):
                files.kill()
            self.assertEqual(path.read_bytes(), new)

    def test_full_disk_keeps_the_old_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "b.rec")
            path.write_bytes(records.encode_file([b"old"]))
            files = FaultyFileAccess()
            files.full = True
            with self.assertRaisesRegex(StorageError, "No space"):
                records.write_file_synced(path, b"new", files=files)
            found = records.read_records(path, files=SystemFileAccess())
            self.assertEqual(found, [b"old"])
