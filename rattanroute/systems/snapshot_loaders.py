"""Loading of configuration snapshots from peers."""

import dataclasses

from rattanroute.messages.distributions import SnapshotPart
from rattanroute.messages.distributions import SnapshotRequest
from rattanroute.systems.snapshot_transfers import SnapshotReader
from rattanroute.tables.configuration_replicas import ConfigurationReplica
from rattanroute.tables.configuration_replicas import hash_content

# Delay before another snapshot is requested after a hash mismatch; doubles
# with each further mismatch up to the maximum.
FIRST_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
# After this many mismatches in a row, a snapshot from a voter is loaded
# despite its hash: the voter runs another release, which hashes entities
# differently.
MAX_MISMATCHES = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class SnapshotLoader:
    """Reads snapshots and replaces the configuration in force by them.

    Attributes:
        replica: The configuration in force.
        reader: The snapshot that is being received.
        mismatches: Consecutive snapshots whose hash did not match.
        next_at: Time before which no snapshot is requested.
    """

    replica: ConfigurationReplica
    reader: SnapshotReader | None = None
    mismatches: int = 0
    next_at: float = 0.0

    @property
    def is_reading(self) -> bool:
        """Whether a snapshot is being received."""
        return self.reader is not None

    def start(self, peer: str, now: float) -> SnapshotRequest | None:
        """Returns the request for a snapshot, unless one is being received."""
        if self.reader is not None or now < self.next_at:
            return None
        self.reader = SnapshotReader(peer=peer, requested_at=now)
        return self.reader.build_request(now)

    def tick(self, now: float) -> SnapshotRequest | None:
        """Returns a request to repeat; gives up on a silent peer."""
        if self.reader is None:
            return None
        request = self.reader.tick(now)
        if self.reader.failed:
            self.reader = None
            return None
        return request

    def take(
        self, peer: str, part: SnapshotPart, now: float
    ) -> SnapshotRequest | SnapshotReader | None:
        """Stores a part.

        Returns:
            The next request, or the reader of a complete snapshot.
        """
        reader = self.reader
        if reader is None or reader.peer != peer:
            return None
        request = reader.take(part, now)
        if not reader.complete:
            return request
        self.reader = None
        return reader

    def load(
        self, reader: SnapshotReader, *, from_voter: bool, now: float
    ) -> bool:
        """Loads a complete snapshot unless it is older or its hash is wrong.

        Returns:
            Whether the configuration was replaced.
        """
        before = self.replica.version
        if reader.version < before:
            return False
        content = reader.decode()
        if content is None or hash_content(content) != reader.content_hash:
            self.mismatches += 1
            backoff = FIRST_BACKOFF_SECONDS * 2 ** (self.mismatches - 1)
            self.next_at = now + min(backoff, MAX_BACKOFF_SECONDS)
            accepted = from_voter and self.mismatches >= MAX_MISMATCHES
            if content is None or not accepted:
                return False
        if reader.version == before and not from_voter:
            return False
        self.mismatches = 0
        self.replica.load(content, reader.content_hash)
        return True
