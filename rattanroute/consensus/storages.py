"""Durable state of a consensus node in one data folder.

The folder holds one generation of files: `log-<n>.rec` and, unless the log
starts at its first entry, `snapshot-<n>.rec`. A log file starts with the
storage identity, the recorded bootstrap identities, the base and the hard
state; entries and hard states follow. An entry whose index is not greater
than the last one replaces the entry there and drops those after it, so the
file is only ever appended to.

A snapshot starts a new generation: its file is made durable, then the new log
file appears by an atomic rename, then the files of the old generation are
removed. At a start the latest log is used and other files are removed.

The storage identity is part of the log file: a VM that loses the log also
loses the identity and no longer counts as the voter that it was. Damaged
files are refused; after an operator empties the folder, the VM joins again as
a learner.
"""

import dataclasses
import pathlib
import random
import re

import msgspec

from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import HardState
from rattanroute.consensus.entries import Snapshot
from rattanroute.consensus.entry_logs import EntryLog
from rattanroute.consensus.entry_logs import estimate_entry_bytes
from rattanroute.errors import StorageError
from rattanroute.storage import records
from rattanroute.storage.records import FileAccess
from rattanroute.storage.records import RecordFile
from rattanroute.storage.records import SystemFileAccess

# A restart replays at most about this much after the snapshot, which takes
# some tens of milliseconds and a small part of the memory budget of 256 MB.
COMPACT_AFTER_ENTRIES = 2000
COMPACT_AFTER_BYTES = 8 * 1024 * 1024
# Entries before a snapshot that are kept for members slightly behind.
KEEP_ENTRIES = 200
KEEP_BYTES = 4 * 1024 * 1024
STORAGE_ID_BITS = 128
LOG_NAME = re.compile(r"log-(\d{10})\.rec")


class IdentityRecord(msgspec.Struct, tag="identity", frozen=True):
    """Identity of the data folder."""

    storage_id: str


class BootstrapRecord(msgspec.Struct, tag="bootstrap", frozen=True):
    """Storage identities recorded during bootstrap, by VM identifier."""

    ids: dict[str, str]


class BaseRecord(msgspec.Struct, tag="base", frozen=True):
    """Position before the first entry of the file, and snapshot index."""

    index: int
    term: int
    snapshot_index: int


class HardStateRecord(msgspec.Struct, tag="hard_state", frozen=True):
    """Hard state; the last record in the file is valid."""

    hard_state: HardState


class EntryRecord(msgspec.Struct, tag="entry", frozen=True):
    """One log entry."""

    entry: Entry


LogRecord = (
    IdentityRecord
    | BootstrapRecord
    | BaseRecord
    | HardStateRecord
    | EntryRecord
)
ENCODER = msgspec.msgpack.Encoder()
LOG_DECODER = msgspec.msgpack.Decoder(LogRecord)
SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


@dataclasses.dataclass(kw_only=True, slots=True)
class StoredState:
    """Content of a data folder.

    Attributes:
        storage_id: Identity of the folder.
        bootstrap_ids: Identities recorded during bootstrap, by VM.
        hard_state: Last hard state.
        snapshot: Latest snapshot.
        base_index: Index of the entry before `entries`.
        base_term: Term of that entry.
        entries: Entries in order.
    """

    storage_id: str
    bootstrap_ids: dict[str, str] = dataclasses.field(default_factory=dict)
    hard_state: HardState = dataclasses.field(default_factory=HardState)
    snapshot: Snapshot = dataclasses.field(default_factory=Snapshot)
    base_index: int = 0
    base_term: int = 0
    entries: list[Entry] = dataclasses.field(default_factory=list)

    def build_log(self) -> EntryLog:
        """Returns the log of a node that starts from this state."""
        return EntryLog(
            snapshot=self.snapshot,
            base_index=self.base_index,
            base_term=self.base_term,
            entries=self.entries,
        )


class ConsensusStorage:
    """Reads and writes one data folder.

    Attributes:
        folder: The data folder.
        files: File access.
        state: State found when the folder was opened.
        hard_state: Hard state that is durable.
        syncs: Number of syncs that made a change durable.
        entries_since_snapshot: Number of entry records found when the folder
            was opened or appended since the last snapshot.
        bytes_since_snapshot: Estimated size of these records, in bytes.
        needs_reopen: Whether a failure may have left a newer log file than the
            open one, so that the folder must be opened again.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        rng: random.Random,
        files: FileAccess | None = None,
    ) -> None:
        """Opens a folder, or creates it with a new identity.

        Raises:
            StorageError: If the folder is unusable or its state is damaged.
        """
        self.folder = folder
        self.files = files or SystemFileAccess()
        self.syncs = 0
        self.entries_since_snapshot = 0
        self.bytes_since_snapshot = 0
        self.needs_reopen = False
        self.generation = self.find_generation()
        if self.generation == 0:
            storage_id = f"{rng.getrandbits(STORAGE_ID_BITS):032x}"
            self.state = StoredState(storage_id=storage_id)
            self.write_generation(self.state, generation=1)
            self.generation = 1
        self.log = RecordFile(self.log_path(self.generation), files=self.files)
        try:
            self.state = self.load()
        except StorageError:
            self.close()
            raise
        self.hard_state = self.state.hard_state
        self.remove_other_generations()

    def log_path(self, generation: int) -> pathlib.Path:
        """Returns the path of a generation's log file."""
        return self.folder / f"log-{generation:010d}.rec"

    def snapshot_path(self, generation: int) -> pathlib.Path:
        """Returns the path of a generation's snapshot file."""
        return self.folder / f"snapshot-{generation:010d}.rec"

    def find_generation(self) -> int:
        """Returns the latest generation; 0 for an empty folder."""
        try:
            self.files.make_folder(self.folder)
            names = self.files.list_names(self.folder)
        except OSError as error:
            raise StorageError(
                step="open data folder",
                peer=str(self.folder),
                message=str(error),
            ) from error
        matches = [LOG_NAME.fullmatch(name) for name in names]
        return max((int(m.group(1)) for m in matches if m), default=0)

    def load(self) -> StoredState:
        """Builds the state from the open log file and its snapshot."""
        state = StoredState(storage_id="")
        for number, payload in enumerate(self.log.payloads):
            try:
                self.replay(state, LOG_DECODER.decode(payload))
            except (msgspec.DecodeError, ValueError) as error:
                raise self.build_log_error(
                    f"record {number}: {error}"
                ) from error
        self.log.payloads = []
        if not state.storage_id:
            raise self.build_log_error("storage identity is missing")
        return state

    def replay(self, state: StoredState, record: LogRecord) -> None:
        """Applies one record of the log file to a state.

        Raises:
            ValueError: If an entry does not follow the ones before it.
        """
        match record:
            case IdentityRecord():
                state.storage_id = record.storage_id
            case BootstrapRecord():
                state.bootstrap_ids = record.ids
            case BaseRecord():
                state.base_index = record.index
                state.base_term = record.term
                state.snapshot = self.load_snapshot(record.snapshot_index)
            case HardStateRecord():
                state.hard_state = record.hard_state
            case EntryRecord():
                entry = record.entry
                keep = entry.index - state.base_index - 1
                if not 0 <= keep <= len(state.entries):
                    raise ValueError(f"entry {entry.index} is out of order")
                del state.entries[keep:]
                state.entries.append(entry)
                self.count_entry(entry)

    def load_snapshot(self, index: int) -> Snapshot:
        """Reads the snapshot of the open generation."""
        if index == 0:
            return Snapshot()
        path = self.snapshot_path(self.generation)
        payloads = records.read_records(path, files=self.files)
        try:
            snapshot = SNAPSHOT_DECODER.decode(payloads[0])
        except (msgspec.DecodeError, IndexError) as error:
            raise StorageError(
                step="read snapshot", peer=str(path), message=str(error)
            ) from error
        if snapshot.index != index:
            raise StorageError(
                step="read snapshot",
                peer=str(path),
                message=f"snapshot of entry {snapshot.index}, not {index}",
            )
        return snapshot

    def build_log_error(self, message: str) -> StorageError:
        """Returns the error for a log file with invalid content."""
        return StorageError(
            step="read log", peer=str(self.log.path), message=message
        )

    def count_entry(self, entry: Entry) -> None:
        """Counts an entry record towards the bounds of the log file."""
        self.entries_since_snapshot += 1
        self.bytes_since_snapshot += estimate_entry_bytes(entry)

    def save(
        self, *, hard_state: HardState | None, entries: list[Entry]
    ) -> None:
        """Makes a hard state and entries durable with one sync.

        The term and the vote are written before the entries, because an
        entry must not be durable without its term. The commit index is
        written after the entries: if it were durable with only some of them,
        it would cover older entries that the missing ones replace.

        Raises:
            StorageError: If they are not durable.
        """
        last = self.hard_state
        if hard_state is not None:
            first = dataclasses.replace(hard_state, commit=last.commit)
            if first != last:
                self.log.append(ENCODER.encode(HardStateRecord(first)))
        for entry in entries:
            self.log.append(ENCODER.encode(EntryRecord(entry)))
        if hard_state is not None and hard_state.commit != last.commit:
            self.log.append(ENCODER.encode(HardStateRecord(hard_state)))
        self.log.sync()
        self.syncs += 1
        if hard_state is not None:
            self.hard_state = hard_state
        for entry in entries:
            self.count_entry(entry)

    def save_bootstrap_ids(self, ids: dict[str, str]) -> None:
        """Makes recorded bootstrap identities durable.

        Raises:
            StorageError: If they are not durable.
        """
        self.log.append(ENCODER.encode(BootstrapRecord(ids)))
        self.log.sync()
        self.syncs += 1
        self.state.bootstrap_ids = dict(ids)

    @property
    def needs_snapshot(self) -> bool:
        """Whether the log file exceeds its bound on entries or bytes."""
        return (
            self.entries_since_snapshot >= COMPACT_AFTER_ENTRIES
            or self.bytes_since_snapshot >= COMPACT_AFTER_BYTES
        )

    def save_snapshot(
        self,
        *,
        snapshot: Snapshot,
        hard_state: HardState,
        base_index: int,
        base_term: int,
        entries: list[Entry],
    ) -> None:
        """Starts a new generation with a snapshot and the given entries.

        Raises:
            StorageError: If the files are not durable. The old generation
                remains in use if `needs_reopen` is false.
        """
        state = StoredState(
            storage_id=self.state.storage_id,
            bootstrap_ids=self.state.bootstrap_ids,
            hard_state=hard_state,
            snapshot=snapshot,
            base_index=base_index,
            base_term=base_term,
            entries=entries,
        )
        generation = self.generation + 1
        try:
            self.write_generation(state, generation=generation)
            log = RecordFile(self.log_path(generation), files=self.files)
        except StorageError:
            self.needs_reopen = self.may_exist(self.log_path(generation))
            raise
        self.close()
        self.log = log
        self.log.payloads = []
        self.generation = generation
        self.hard_state = hard_state
        self.entries_since_snapshot = 0
        self.bytes_since_snapshot = 0
        self.remove_other_generations()

    def may_exist(self, path: pathlib.Path) -> bool:
        """Returns whether a file exists; true if that cannot be found out."""
        try:
            return path.name in self.files.list_names(self.folder)
        except OSError:
            return True

    def write_generation(self, state: StoredState, *, generation: int) -> None:
        """Writes the snapshot file, then the log file."""
        if state.snapshot.index > 0:
            payload = ENCODER.encode(state.snapshot)
            records.write_file_synced(
                self.snapshot_path(generation),
                records.encode_file([payload]),
                files=self.files,
            )
        head = [
            IdentityRecord(state.storage_id),
            BootstrapRecord(state.bootstrap_ids),
            BaseRecord(state.base_index, state.base_term, state.snapshot.index),
            HardStateRecord(state.hard_state),
        ]
        tail = [EntryRecord(entry) for entry in state.entries]
        payloads = [ENCODER.encode(record) for record in [*head, *tail]]
        records.write_file_synced(
            self.log_path(generation),
            records.encode_file(payloads),
            files=self.files,
        )
        self.syncs += 1

    def remove_other_generations(self) -> None:
        """Removes the files of other generations.

        A failure only wastes disk space, and the next start tries again.
        """
        current = {
            self.log_path(self.generation).name,
            self.snapshot_path(self.generation).name,
        }
        try:
            for name in self.files.list_names(self.folder):
                if name in current:
                    continue
                if name.startswith(("log-", "snapshot-")):
                    self.files.remove(self.folder / name)
        except OSError:
            return

    def close(self) -> None:
        """Closes the log file.

        An error is ignored, since all acknowledged records are synced.
        """
        try:
            self.log.close()
        except StorageError:
            return
