"""In-memory log of a node: recent entries after a snapshot."""

from rattanroute.consensus.entries import decode_membership
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import EntryKind
from rattanroute.consensus.entries import Membership
from rattanroute.consensus.entries import Snapshot

# Encoded size of an entry without its data, rounded up.
ENTRY_OVERHEAD_BYTES = 24


def estimate_entry_bytes(entry: Entry) -> int:
    """Estimates the encoded size of an entry, in bytes."""
    return len(entry.data) + ENTRY_OVERHEAD_BYTES


class EntryLog:
    """Log entries after a base index, with the latest snapshot.

    Attributes:
        snapshot: Latest snapshot.
        base_index: Index of the entry before the first entry in memory; at
            most `snapshot.index`, since some older entries are kept for
            members that are slightly behind.
        base_term: Term of that entry.
        entries: Entries in memory, in order.
        memberships: Start index and membership in force from there, in
            order.
    """

    def __init__(
        self,
        *,
        snapshot: Snapshot,
        base_index: int,
        base_term: int,
        entries: list[Entry],
    ) -> None:
        self.snapshot = snapshot
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[Entry] = []
        self.memberships: list[tuple[int, Membership]] = [
            (snapshot.index, snapshot.membership)
        ]
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def membership(self) -> Membership:
        """Latest membership, even if not committed."""
        return self.memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that set the latest membership."""
        return self.memberships[-1][0]

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        offset = index - self.base_index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return None

    def membership_at(self, index: int) -> Membership:
        """Returns the membership in force at an index."""
        found = self.memberships[0][1]
        for start, membership in self.memberships:
            if start <= index:
                found = membership
        return found

    def append(self, entry: Entry) -> None:
        """Appends the next entry.

        Raises:
            ValueError: If the index does not follow the last one.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} after {self.last_index}")
        self.entries.append(entry)
        if (
            entry.kind == EntryKind.MEMBERSHIP
            and entry.index > self.snapshot.index
        ):
            membership = decode_membership(entry.data)
            self.memberships.append((entry.index, membership))

    def truncate_from(self, index: int) -> None:
        """Drops the entry at an index and all after it.

        Raises:
            ValueError: If the snapshot covers the entry.
        """
        if index <= self.snapshot.index:
            raise ValueError(f"entry {index} is in the snapshot")
        del self.entries[index - self.base_index - 1 :]
        while self.memberships[-1][0] >= index and len(self.memberships) > 1:
            self.memberships.pop()

    def select_batch(self, first: int, max_bytes: int) -> tuple[Entry, ...]:
        """Returns a batch of entries from `first` on.

        It has at least one entry, if there is one, whatever its size.

        Args:
            first: Index of the first entry.
            max_bytes: Bound on the size of several entries, in bytes.
        """
        selected: list[Entry] = []
        size = 0
        for offset in range(first - self.base_index - 1, len(self.entries)):
            entry = self.entries[offset]
            size += estimate_entry_bytes(entry)
            if selected and size > max_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    def entries_between(self, first: int, last: int) -> list[Entry]:
        """Returns the entries from `first` to `last`, both included."""
        if last < first:
            return []
        start = first - self.base_index - 1
        return self.entries[start : last - self.base_index]

    def find_base(self, index: int, *, max_entries: int, max_bytes: int) -> int:
        """Returns the base index with the most entries up to an index.

        Args:
            index: Index of the last of these entries.
            max_entries: Bound on their number.
            max_bytes: Bound on their size, in bytes.
        """
        base = index
        size = 0
        for entry in reversed(self.entries[: index - self.base_index]):
            size += estimate_entry_bytes(entry)
            if size > max_bytes or index - base >= max_entries:
                break
            base -= 1
        return base

    def compact(self, snapshot: Snapshot, *, base_index: int) -> None:
        """Replaces the snapshot and drops entries that it covers.

        Args:
            snapshot: Newer snapshot that ends at an entry in memory.
            base_index: Index of the last entry that is dropped.

        Raises:
            ValueError: If the log does not hold the snapshot's entries.
        """
        base = max(self.base_index, base_index)
        term = self.term_at(base)
        if term is None:
            raise ValueError(f"snapshot {snapshot.index} is not in the log")
        del self.entries[: base - self.base_index]
        self.base_index = base
        self.base_term = term
        self.snapshot = snapshot
        later = [m for m in self.memberships if m[0] > snapshot.index]
        self.memberships = [(snapshot.index, snapshot.membership), *later]

    def reset(self, snapshot: Snapshot) -> None:
        """Replaces the entire log by a snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries.clear()
        self.memberships = [(snapshot.index, snapshot.membership)]
