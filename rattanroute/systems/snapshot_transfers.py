"""Transfer of configuration snapshots in parts."""

import dataclasses

import msgspec

from rattanroute.messages.distributions import MAX_SNAPSHOT_PARTS
from rattanroute.messages.distributions import SnapshotPart
from rattanroute.messages.distributions import SnapshotRequest
from rattanroute.tables.configuration_replicas import ConfigurationContent
from rattanroute.tables.configuration_replicas import ConfigurationReplica
from rattanroute.tables.configuration_replicas import decode_content

# Bytes of a part; small enough that heartbeats are not delayed between parts.
PART_BYTES = 65_536
# Parts per request; at most 512 KiB are in flight at once. A reader begins
# with one part, and doubles the number while all of them come soon.
WINDOW_PARTS = MAX_SNAPSHOT_PARTS
SOON_SECONDS = 0.35
# An encoded snapshot is dropped after this time without a request.
IDLE_SECONDS = 30.0
# Time without parts after which a missing one is requested again. It doubles
# with each repeated request and is at least twice the time that a window took.
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 2.0
# Repeated requests without progress after which the peer is given up.
MAX_RETRIES = 2


@dataclasses.dataclass(kw_only=True, slots=True)
class SnapshotWriter:
    """Builds the parts of an encoded snapshot, which is cached for reuse.

    Attributes:
        replica: The configuration to send.
        version: Version of the encoded snapshot.
        content_hash: Hash of the configuration in it.
        data: The encoded snapshot; empty when there is none.
        used_at: Time of the latest request, in seconds.
    """

    replica: ConfigurationReplica
    version: int = 0
    content_hash: int = 0
    data: bytes = b""
    used_at: float = 0.0

    def answer(
        self, request: SnapshotRequest, now: float
    ) -> list[SnapshotPart]:
        """Returns the parts that answer a request."""
        self.used_at = now
        if not self.can_serve(request.version):
            self.data = self.replica.encode()
            self.version = self.replica.version
            self.content_hash = self.replica.content_hash
        count = -(-len(self.data) // PART_BYTES)
        first = request.first if request.version == self.version else 0
        end = first + min(request.limit, WINDOW_PARTS)
        return [
            SnapshotPart(
                version=self.version,
                content_hash=self.content_hash,
                index=index,
                count=count,
                data=self.data[index * PART_BYTES : (index + 1) * PART_BYTES],
            )
            for index in range(first, min(end, count))
        ]

    def can_serve(self, version: int) -> bool:
        """Whether the encoded snapshot can answer a request.

        A snapshot of an older version can, as long as the deltas after it are
        kept, with which its receiver then catches up.
        """
        if not self.data:
            return False
        if version == self.version:
            return True
        return self.replica.deltas_since(self.version) is not None

    def clear(self) -> None:
        """Drops the encoded snapshot."""
        self.data = b""

    def tick(self, now: float) -> None:
        """Drops a snapshot that has not been requested for a while."""
        if self.data and now - self.used_at > IDLE_SECONDS:
            self.clear()


@dataclasses.dataclass(kw_only=True, slots=True)
class SnapshotReader:
    """Collects the parts of a snapshot from one peer.

    Attributes:
        peer: The VM that sends the parts.
        requested_at: Time of the latest request, in seconds.
        version: Version of the snapshot; 0 before the first part.
        content_hash: Hash of the configuration in it.
        count: Number of parts; 0 before the first part.
        parts: Received parts by number.
        requested_until: Number after the last part that was requested.
        received_at: Time of the latest part, in seconds.
        window: Number of parts to request at once.
        retry_s: Time without parts after which a request is repeated.
        retries: Repeated requests since the last received part.
    """

    peer: str
    requested_at: float
    version: int = 0
    content_hash: int = 0
    count: int = 0
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)
    requested_until: int = 1
    received_at: float = 0.0
    window: int = 1
    retry_s: float = RETRY_SECONDS
    retries: int = 0

    def take(self, part: SnapshotPart, now: float) -> SnapshotRequest | None:
        """Stores a part and returns the next request, if one is due."""
        if part.version < self.version:
            return None
        if (part.version, part.content_hash, part.count) != (
            self.version,
            self.content_hash,
            self.count,
        ):
            self.version = part.version
            self.content_hash = part.content_hash
            self.count = part.count
            self.parts.clear()
            self.requested_until = self.window
        if 0 <= part.index < self.count:
            self.parts[part.index] = part.data
        self.retries = 0
        self.received_at = now
        if len(self.parts) < min(self.requested_until, self.count):
            return None
        if self.complete:
            return None
        self.adapt(now - self.requested_at)
        return self.build_request(now)

    def adapt(self, seconds: float) -> None:
        """Adapts to the time that the parts of a window took to arrive."""
        if seconds <= SOON_SECONDS:
            self.window = min(2 * self.window, WINDOW_PARTS)
        elif seconds > RETRY_SECONDS:
            self.window = max(self.window // 2, 1)
        self.retry_s = min(max(self.retry_s, 2 * seconds), MAX_RETRY_SECONDS)

    @property
    def complete(self) -> bool:
        """Whether all parts have been received."""
        return 0 < self.count == len(self.parts)

    def build_request(self, now: float) -> SnapshotRequest:
        """Builds the request for the first missing parts."""
        first = 0
        while first in self.parts:
            first += 1
        self.requested_at = now
        self.requested_until = first + self.window
        return SnapshotRequest(
            version=self.version, first=first, limit=self.window
        )

    def tick(self, now: float) -> SnapshotRequest | None:
        """Returns the request to repeat, if one is due."""
        if now - max(self.requested_at, self.received_at) < self.retry_s:
            return None
        self.retries += 1
        self.retry_s = min(2 * self.retry_s, MAX_RETRY_SECONDS)
        self.window = 1
        return self.build_request(now)

    @property
    def failed(self) -> bool:
        """Whether the peer has stopped answering."""
        return self.retries > MAX_RETRIES

    def decode(self) -> ConfigurationContent | None:
        """Returns the complete snapshot, or None when it is damaged."""
        data = b"".join(self.parts[index] for index in range(self.count))
        try:
            content = decode_content(data)
        except msgspec.DecodeError:
            return None
        return content if content.version == self.version else None
