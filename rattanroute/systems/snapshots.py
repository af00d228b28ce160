"""Transfer of a configuration snapshot in parts."""

import dataclasses

import msgspec

from rattanroute.messages.distributions import SnapshotPart
from rattanroute.messages.distributions import SnapshotRequest
from rattanroute.tables.configuration_replicas import ConfigurationContent
from rattanroute.tables.configuration_replicas import ConfigurationReplica
from rattanroute.tables.configuration_replicas import decode_content

# Parts are small enough to let heartbeats through between them.
PART_BYTES = 65_536
# Parts that one request asks for: 512 KiB on the way at once.
WINDOW_PARTS = 8
# A snapshot that nobody asks for is dropped after this time.
KEEP_SECONDS = 30.0
# Silence after which the missing parts are asked for again.
RETRY_SECONDS = 0.5
# Requests without progress after which another peer is tried.
MAX_RETRIES = 4


@dataclasses.dataclass(kw_only=True, slots=True)
class SnapshotWriter:
    """Sends parts of an encoded snapshot, which is kept for a while.

    Attributes:
        replica: What is sent.
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
        """Returns the parts that a request asks for."""
        self.used_at = now
        if not self.usable(request.version):
            self.data = self.replica.encode()
            self.version = self.replica.version
            self.content_hash = self.replica.content_hash
        count = -(-len(self.data) // PART_BYTES)
        first = request.first if request.version == self.version else 0
        return [
            SnapshotPart(
                version=self.version,
                content_hash=self.content_hash,
                index=index,
                count=count,
                data=self.data[index * PART_BYTES : (index + 1) * PART_BYTES],
            )
            for index in range(first, min(first + WINDOW_PARTS, count))
        ]

    def usable(self, version: int) -> bool:
        """Whether the encoded snapshot answers a request.

        An older snapshot does while its receiver can catch up by deltas.
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
        """Drops a snapshot that nobody asks for any more."""
        if self.data and now - self.used_at > KEEP_SECONDS:
            self.clear()


@dataclasses.dataclass(kw_only=True, slots=True)
class SnapshotReader:
    """Collects the parts of a snapshot from one peer.

    Attributes:
        peer: Where they come from.
        asked_at: Time of the latest request, in seconds.
        version: Version of the snapshot; 0 before the first part.
        content_hash: Hash of the configuration in it.
        count: Number of parts; 0 before the first part.
        parts: Received parts by number.
        asked_until: Number after the last part that was asked for.
        retries: Requests without progress so far.
    """

    peer: str
    asked_at: float
    version: int = 0
    content_hash: int = 0
    count: int = 0
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)
    asked_until: int = WINDOW_PARTS
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
            self.asked_until = WINDOW_PARTS
        if 0 <= part.index < self.count:
            self.parts[part.index] = part.data
        self.retries = 0
        if len(self.parts) < min(self.asked_until, self.count):
            return None
        return None if self.complete else self.ask(now)

    @property
    def complete(self) -> bool:
        """Whether every part is there."""
        return 0 < self.count == len(self.parts)

    def ask(self, now: float) -> SnapshotRequest:
        """Returns the request for the first missing parts."""
        first = 0
        while first in self.parts:
            first += 1
        self.asked_at = now
        self.asked_until = first + WINDOW_PARTS
        return SnapshotRequest(version=self.version, first=first)

    def tick(self, now: float) -> SnapshotRequest | None:
        """Returns the request to repeat, if one is due."""
        if now - self.asked_at < RETRY_SECONDS:
            return None
        self.retries += 1
        return self.ask(now)

    @property
    def failed(self) -> bool:
        """Whether the peer does not answer."""
        return self.retries > MAX_RETRIES

    def decode(self) -> ConfigurationContent | None:
        """Returns the complete snapshot, or None when it is damaged."""
        data = b"".join(self.parts[index] for index in range(self.count))
        try:
            content = decode_content(data)
        except msgspec.DecodeError:
            return None
        return content if content.version == self.version else None
