"""Tests of the durable state of a consensus node."""

import dataclasses
import pathlib
import random
import tempfile
import unittest

from rattanroute.consensus import storages
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import EntryKind
from rattanroute.consensus.entries import HardState
from rattanroute.consensus.entries import Member
from rattanroute.consensus.entries import Membership
from rattanroute.consensus.entries import Snapshot
from rattanroute.consensus.storages import ConsensusStorage
from rattanroute.consensus.storages import StoredState
from rattanroute.errors import StorageError
from rattanroute.storage.records import FileAccess
from rattanroute.tests.test_records import FaultyFileAccess
from rattanroute.tests.test_records import Killed

MEMBERSHIP = Membership(
    members=(Member(vm_id="v0", storage_id="s0", voter=True),)
)


def build_entry(index: int, term: int = 1) -> Entry:
    """Builds a data entry."""
    data = b"%d.%d" % (index, term)
    return Entry(index=index, term=term, kind=EntryKind.DATA, data=data)


class ConsensusStorageTest(unittest.TestCase):
    """Guards against restarts that lose acknowledged state."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        self.folder = self.root / "data"

    def open(
        self,
        folder: pathlib.Path | None = None,
        files: FileAccess | None = None,
    ) -> ConsensusStorage:
        """Opens a folder."""
        return ConsensusStorage(
            folder or self.folder, rng=random.Random(1), files=files
        )

    def load(self, folder: pathlib.Path | None = None) -> StoredState:
        """Opens a folder and returns what it holds."""
        storage = self.open(folder)
        storage.close()
        return storage.state

    def save(self, storage: ConsensusStorage, *entries: Entry) -> HardState:
        """Saves entries, all but the last of them committed."""
        hard_state = HardState(
            term=entries[-1].term, vote="s0", commit=entries[-1].index - 1
        )
        storage.save(hard_state=hard_state, entries=list(entries))
        return hard_state

    def save_snapshot(
        self, storage: ConsensusStorage, index: int, term: int = 1
    ) -> None:
        """Saves a snapshot with the two entries after it."""
        entries = [build_entry(index + n, term) for n in (1, 2)]
        storage.save_snapshot(
            snapshot=Snapshot(
                index=index, term=term, membership=MEMBERSHIP, data=b"state"
            ),
            hard_state=HardState(term=term, vote="s0", commit=index),
            base_index=index,
            base_term=term,
            entries=entries,
        )

    def run_scenario(
        self, folder: pathlib.Path, files: FileAccess
    ) -> tuple[list[StoredState], BaseException | None]:
        """Saves and replaces entries and takes a snapshot, or is killed.

        Returns:
            The state after each acknowledged step, and the exception of the
            kill, if any.
        """
        states = [StoredState(storage_id="")]
        try:
            storage = self.open(folder, files)
            states.append(dataclasses.replace(storage.state))
            for term, first in ((1, 1), (1, 2), (2, 3), (3, 4)):
                entries = [
                    build_entry(first, term),
                    build_entry(first + 1, term),
                ]
                hard_state = self.save(storage, *entries)
                kept = states[-1].entries[: first - 1]
                states.append(
                    dataclasses.replace(
                        states[-1],
                        hard_state=hard_state,
                        entries=[*kept, *entries],
                    )
                )
            storage.save_bootstrap_ids({"v0": "s0"})
            states.append(
                dataclasses.replace(states[-1], bootstrap_ids={"v0": "s0"})
            )
            self.save_snapshot(storage, 4, 3)
            storage.close()
            states.append(self.load(folder))
        except Killed as killed:
            return states, killed
        return states, None

    def test_kill_at_every_write_keeps_acknowledged_state(self) -> None:
        all_states, killed = self.run_scenario(
            self.root / "whole", FaultyFileAccess()
        )
        self.assertIsNone(killed)
        kills = 0
        for number in range(400):
            folder = self.root / f"kill-{number}"
            files = FaultyFileAccess(number // 2, power_loss=number % 2 == 1)
            states, killed = self.run_scenario(folder, files)
            if killed is None:
                break
            kills += 1
            found = self.load(folder)
            self.check_between(found, states[-1], all_states, len(states))
        self.assertGreater(kills, 40)

    def check_between(
        self,
        found: StoredState,
        acknowledged: StoredState,
        all_states: list[StoredState],
        count: int,
    ) -> None:
        """Checks that the state is the acknowledged one or the next one.

        A torn append may also leave a part of the next step; the commit index
        must then not cover entries that this step was to replace.
        """
        following = all_states[min(count, len(all_states) - 1)]
        if count > 1:
            self.assertEqual(found.storage_id, acknowledged.storage_id)
        old, new = acknowledged.hard_state, found.hard_state
        self.assertGreaterEqual((new.term, new.commit), (old.term, old.commit))
        last = found.base_index + len(found.entries)
        self.assertLessEqual(found.hard_state.commit, max(last, 0))
        for entry in found.entries:
            self.assertTrue(
                entry in acknowledged.entries or entry in following.entries
            )
            self.assertLessEqual(entry.term, found.hard_state.term)
        committed = found.hard_state.commit - found.base_index
        if found.hard_state.commit > acknowledged.hard_state.commit:
            for entry in found.entries[:committed]:
                self.assertIn(entry, following.entries)

    def test_append_torn_at_every_byte_is_consistent(self) -> None:
        storage = self.open()
        self.save(storage, *[build_entry(index) for index in range(1, 7)])
        size = storage.log.synced_bytes
        storage.save(
            hard_state=HardState(term=2, vote="s1", commit=6),
            entries=[build_entry(index, 2) for index in range(4, 8)],
        )
        storage.close()
        path = storage.log.path
        whole = path.read_bytes()
        for end in range(size, len(whole)):
            path.write_bytes(whole[:end])
            state = self.load()
            if state.hard_state.commit == 6:
                terms = [entry.term for entry in state.entries]
                self.assertEqual(terms, [1, 1, 1, 2, 2, 2, 2])
            last_term = state.entries[-1].term
            self.assertLessEqual(last_term, state.hard_state.term)
            self.assertGreaterEqual(len(state.entries), 4)

    def test_emptied_folder_gets_another_identity(self) -> None:
        first = ConsensusStorage(self.folder, rng=random.Random(1))
        first.close()
        self.assertEqual(self.load().storage_id, first.state.storage_id)
        first.log.path.unlink()
        second = ConsensusStorage(self.folder, rng=random.Random(2))
        second.close()
        self.assertNotEqual(second.state.storage_id, first.state.storage_id)

    def test_bit_flips_are_refused(self) -> None:
        storage = self.open()
        self.save(storage, *[build_entry(index) for index in range(1, 7)])
        self.save_snapshot(storage, 4)
        self.save(storage, build_entry(7))
        storage.close()
        rng = random.Random(3)
        for path in sorted(self.folder.iterdir()):
            whole = path.read_bytes()
            for _ in range(50):
                broken = bytearray(whole)
                position = rng.randrange(len(whole))
                broken[position] ^= 1 << rng.randrange(8)
                path.write_bytes(broken)
                with self.assertRaisesRegex(StorageError, path.name):
                    self.load()
            path.write_bytes(whole)
        self.assertEqual(len(self.load().entries), 3)

    def test_full_disk_keeps_acknowledged_state(self) -> None:
        files = FaultyFileAccess()
        storage = self.open(files=files)
        self.save(storage, build_entry(1))
        files.full = True
        with self.assertRaises(StorageError):
            self.save(storage, build_entry(2))
        with self.assertRaises(StorageError):
            self.save_snapshot(storage, 1)
        self.assertFalse(storage.needs_reopen)
        files.full = False
        self.save(storage, build_entry(2))
        storage.close()
        indexes = [entry.index for entry in self.load().entries]
        self.assertEqual(indexes, [1, 2])

    def test_failure_after_the_new_log_appeared_is_reported(self) -> None:
        files = FaultyFileAccess()
        storage = self.open(files=files)
        self.save(storage, build_entry(1))
        real = files.sync_folder

        def fail_after_log(path: pathlib.Path) -> None:
            if storage.log_path(2).exists():
                raise OSError("folder is gone")
            real(path)

        files.sync_folder = fail_after_log
        with self.assertRaises(StorageError):
            self.save_snapshot(storage, 1)
        self.assertTrue(storage.needs_reopen)

    def test_restart_after_300_changes(self) -> None:
        storage = self.open()
        for index in range(1, 301):
            self.save(storage, build_entry(index))
        self.assertEqual(storage.log.syncs, 300)
        storage.close()
        state = self.load()
        self.assertEqual(
            state.entries, [build_entry(index) for index in range(1, 301)]
        )
        self.assertEqual(state.hard_state.commit, 299)

    def test_log_is_bounded_by_entries_and_bytes(self) -> None:
        storage = self.open()
        for index in range(1, storages.COMPACT_AFTER_ENTRIES + 1):
            self.assertFalse(storage.needs_snapshot)
            storage.count_entry(build_entry(index))
        self.assertTrue(storage.needs_snapshot)
        self.save_snapshot(storage, 4)
        self.assertFalse(storage.needs_snapshot)
        large = bytes(storages.COMPACT_AFTER_BYTES)
        storage.count_entry(dataclasses.replace(build_entry(1), data=large))
        self.assertTrue(storage.needs_snapshot)
        storage.close()
        names = [path.name for path in sorted(self.folder.iterdir())]
        self.assertEqual(
            names, ["log-0000000002.rec", "snapshot-0000000002.rec"]
        )
