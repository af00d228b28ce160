"""Messages of the distributions subsystem; kinds 40 to 59.

They are structs encoded as arrays, because every VM sends a query and an
answer each second and field names would triple their size.
"""

import msgspec

from rattanroute.tables.changes import Delta
from rattanroute.tables.manifest_contents import PatchStep

# Parts of a snapshot for one request that sets no limit.
MAX_SNAPSHOT_PARTS = 8


class VersionQuery(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """Requests the configuration changes that the sender does not have.

    Attributes:
        version: The sender's version.
        content_hash: Hash of the sender's configuration.
        number: Number of the query, which the answer repeats; 0 from earlier
            releases.
    """

    version: int
    content_hash: int
    number: int = 0

    @property
    def merges(self) -> bool:
        """Whether the sender reads merged deltas and patches.

        Releases that number no queries do not.
        """
        return self.number > 0


class ManifestPatch(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """The difference between the contents of two revisions of a manifest.

    Attributes:
        name: Name of the manifest.
        steps: Steps that build the newer content.
    """

    name: str
    steps: tuple[PatchStep, ...]


class VersionAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The sender's version; answers a query or announces new versions.

    Attributes:
        version: The sender's version.
        content_hash: Hash of the sender's configuration.
        age_ms: Milliseconds since the sender's version was known to be
            current; None when it never was.
        from_voter: Whether the sender is a voter.
        deltas: Deltas after the receiver's version, oldest first.
        snapshot: Whether the receiver should request a snapshot, because the
            sender no longer stores the deltas.
        forward: Whether the receiver should forward the new versions in its
            data centre.
        patches: Contents of the manifests that `deltas` put without content.
        announcement: Whether this message answers no query.
        query_number: Number of the query that it answers; 0 in an
            announcement and from earlier releases.
        size: Bytes of a large answer that the receiver gets if it sends its
            query again, or that waits at the sender; 0 for none.
        wait_ms: Milliseconds that this answer waits at the sender.
        busy: Whether the receiver is to ask other VMs, because the answer would
            wait too long.
    """

    version: int
    content_hash: int
    age_ms: int | None = None
    from_voter: bool = False
    deltas: tuple[Delta, ...] = ()
    snapshot: bool = False
    forward: bool = False
    patches: tuple[ManifestPatch, ...] = ()
    announcement: bool = False
    query_number: int = 0
    size: int = 0
    wait_ms: int = 0
    busy: bool = False


class SnapshotRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """Requests parts of a snapshot.

    Attributes:
        version: Version of the snapshot that the sender is loading; 0 for the
            latest one.
        first: Number of the first missing part.
        limit: Maximum number of parts; earlier releases send up to 8.
    """

    version: int = 0
    first: int = 0
    limit: int = MAX_SNAPSHOT_PARTS


class SnapshotPart(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """A part of a snapshot.

    Attributes:
        version: Version of the snapshot.
        content_hash: Hash of the configuration in it.
        index: Number of the part, from 0.
        count: Number of parts.
        data: The part.
    """

    version: int
    content_hash: int
    index: int
    count: int
    data: bytes


KINDS: dict[int, type] = {
    40: VersionQuery,
    41: VersionAnswer,
    42: SnapshotRequest,
    43: SnapshotPart,
}
