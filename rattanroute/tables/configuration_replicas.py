"""A replica of the configuration with its content hash and latest deltas."""

import collections
import dataclasses
import itertools

import msgspec
import xxhash

from rattanroute.tables.changes import apply_operation
from rattanroute.tables.changes import DeleteEntity
from rattanroute.tables.changes import Delta
from rattanroute.tables.changes import Drain
from rattanroute.tables.changes import Operation
from rattanroute.tables.changes import PutManifest
from rattanroute.tables.changes import Undrain
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.configurations import DrainKind
from rattanroute.tables.configurations import Entity
from rattanroute.tables.configurations import KIND_BY_CLASS
from rattanroute.tables.configurations import Manifest
from rattanroute.tables.configurations import Model
from rattanroute.tables.configurations import Neighbour
from rattanroute.tables.configurations import Service
from rattanroute.tables.configurations import Workspace

# At 3,600 changes a day the stored deltas cover about three hours, which is
# longer than partitions between regions last.
MAX_DELTAS = 512
# Limits the memory of deltas with many operations each, and that of the kept
# manifests, in bytes.
MAX_DELTA_BYTES = 4_194_304
# Covers the VMs that are at most this many changes of a manifest behind; others
# get whole manifests.
MAX_MANIFEST_RECORDS = 64
# Limits the memory of the manifests that are kept for patches, in bytes; the
# latest ones are kept in any case.
MAX_MANIFEST_BYTES = 4_194_304
# 64 bits fit a msgpack integer; the hash detects faults, not attacks.
HASH_MODULUS = 1 << 64

ENCODER = msgspec.msgpack.Encoder()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationContent:
    """Content of a configuration snapshot."""

    version: int
    neighbours: tuple[Neighbour, ...]
    workspaces: tuple[Workspace, ...]
    models: tuple[Model, ...]
    services: tuple[Service, ...]
    drained_targets: tuple[str, ...]
    drained_vms: tuple[str, ...]
    manifests: tuple[Manifest, ...] = ()


CONTENT_DECODER = msgspec.msgpack.Decoder(ConfigurationContent)


def hash_entity(entity: Entity) -> int:
    """Returns the hash of an entity and its kind."""
    kind = KIND_BY_CLASS[type(entity)].encode()
    return xxhash.xxh3_64_intdigest(kind + b":" + ENCODER.encode(entity))


def hash_drain(kind: DrainKind, name: str) -> int:
    """Returns the hash of a drained target or VM."""
    return xxhash.xxh3_64_intdigest(f"drained {kind}:{name}".encode())


def hash_content(content: ConfigurationContent) -> int:
    """Returns the hash of a complete configuration.

    The hash is the sum of the hashes of its parts, so that an update costs
    only the changed parts and the order of parts does not matter.
    """
    total = content.version
    for entities in (
        content.neighbours,
        content.workspaces,
        content.models,
        content.services,
        content.manifests,
    ):
        total += sum(hash_entity(entity) for entity in entities)
    for name in content.drained_targets:
        total += hash_drain(DrainKind.TARGET, name)
    for name in content.drained_vms:
        total += hash_drain(DrainKind.VM, name)
    return total % HASH_MODULUS


def hash_difference(configuration: Configuration, operation: Operation) -> int:
    """Returns the difference that an operation makes to the hash."""
    match operation:
        case DeleteEntity(kind=kind, name=name):
            old = configuration.entities(kind).get(name)
            return -hash_entity(old) if old else 0
        case Drain(kind=kind, name=name):
            known = name in configuration.drains(kind)
            return 0 if known else hash_drain(kind, name)
        case Undrain(kind=kind, name=name):
            known = name in configuration.drains(kind)
            return -hash_drain(kind, name) if known else 0
        case _:
            entity = operation.entity
            kind = KIND_BY_CLASS[type(entity)]
            old = configuration.entities(kind).get(entity.name)
            return hash_entity(entity) - (hash_entity(old) if old else 0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ManifestRecord:
    """The manifests of a version.

    Attributes:
        version: First version that is known to have these manifests.
        manifests: The manifests, by name.
    """

    version: int
    manifests: dict[str, Manifest]

    def measure(self) -> int:
        """Returns the size of the contents, in bytes."""
        return sum(len(x.content) for x in self.manifests.values())


def measure_delta(delta: Delta) -> int:
    """Returns the encoded size of a delta, in bytes."""
    return len(ENCODER.encode(delta))


@dataclasses.dataclass(kw_only=True, slots=True)
class ConfigurationReplica:
    """A configuration that is updated from version to version.

    `configuration` is updated in place, so readers may store a reference.

    Attributes:
        configuration: The configuration at its latest version.
        content_hash: Hash of the configuration.
        deltas: Latest deltas, oldest first, without gaps.
        sizes: Encoded sizes of `deltas`, in bytes.
        kept_bytes: Sum of `sizes`.
        reduced: Number of oldest deltas from which the contents of manifests
            that later ones replace may have been removed.
        history: Manifests of the latest versions that changed them, oldest
            first.
    """

    configuration: Configuration = dataclasses.field(
        default_factory=Configuration
    )
    content_hash: int = 0
    deltas: collections.deque[Delta] = dataclasses.field(
        default_factory=collections.deque
    )
    sizes: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    kept_bytes: int = 0
    reduced: int = dataclasses.field(default=0, compare=False)
    history: collections.deque[ManifestRecord] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_MANIFEST_RECORDS),
        compare=False,
    )

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.configuration.version

    def hash_after(
        self, operations: tuple[Operation, ...], span: int = 1
    ) -> int:
        """Returns the content hash after operations.

        Each entity occurs at most once in `operations`, so the differences
        are independent of each other.

        Args:
            operations: The operations.
            span: Number of versions that they lead over.
        """
        difference = sum(
            hash_difference(self.configuration, operation)
            for operation in operations
        )
        return (self.content_hash + span + difference) % HASH_MODULUS

    def advance(self, operations: tuple[Operation, ...]) -> Delta:
        """Applies an accepted change and returns its delta."""
        delta = Delta(
            version=self.version + 1,
            content_hash=self.hash_after(operations),
            operations=operations,
        )
        self.apply_delta(delta)
        return delta

    def accepts(self, delta: Delta) -> bool:
        """Whether a delta directly follows the current content."""
        return (
            delta.base == self.version
            and self.hash_after(delta.operations, delta.span)
            == delta.content_hash
        )

    def apply_delta(self, delta: Delta) -> None:
        """Applies a delta for which `accepts` returned True."""
        for operation in delta.operations:
            apply_operation(self.configuration, operation)
        self.configuration.version = delta.version
        self.content_hash = delta.content_hash
        self.store_delta(delta)
        self.record_manifests()

    def record_manifests(self) -> None:
        """Keeps the manifests of this version as the base of patches."""
        manifests = self.configuration.manifests
        if self.history and self.history[-1].manifests == manifests:
            return
        self.history.append(
            ManifestRecord(version=self.version, manifests=dict(manifests))
        )
        size = sum(x.measure() for x in self.history)
        while len(self.history) > 1 and size > MAX_MANIFEST_BYTES:
            size -= self.history.popleft().measure()

    def manifest_until(self, name: str, version: int) -> Manifest | None:
        """Returns the latest manifest known up to a version, if it is kept.

        The version may have a later one, if a delta led over it.
        """
        for record in reversed(self.history):
            if record.version <= version:
                return record.manifests.get(name)
        return None

    def store_delta(self, delta: Delta) -> None:
        """Stores a delta for peers.

        Beyond the limit of their bytes, old deltas lose the contents of the
        manifests that later ones replace; merged deltas do not have these.
        After that, and beyond the limit of their number, the oldest deltas are
        dropped.
        """
        self.deltas.append(delta)
        self.sizes.append(measure_delta(delta))
        self.kept_bytes += self.sizes[-1]
        while (
            self.kept_bytes > MAX_DELTA_BYTES
            and self.reduced < len(self.deltas) - 1
        ):
            self.reduce_delta(self.reduced)
            self.reduced += 1
        while len(self.deltas) > 1 and (
            len(self.deltas) > MAX_DELTAS or self.kept_bytes > MAX_DELTA_BYTES
        ):
            self.deltas.popleft()
            self.kept_bytes -= self.sizes.popleft()
            self.reduced = max(self.reduced - 1, 0)

    def reduce_delta(self, index: int) -> None:
        """Removes the contents of replaced manifests from a stored delta."""
        delta = self.deltas[index]
        reduced = dataclasses.replace(
            delta,
            operations=tuple(
                self.reduce_operation(x) for x in delta.operations
            ),
        )
        self.deltas[index] = reduced
        self.kept_bytes -= self.sizes[index]
        self.sizes[index] = measure_delta(reduced)
        self.kept_bytes += self.sizes[index]

    def reduce_operation(self, operation: Operation) -> Operation:
        """Returns an operation without the content of a replaced manifest."""
        if not isinstance(operation, PutManifest):
            return operation
        manifest = operation.entity
        held = self.configuration.manifests.get(manifest.name)
        if held is not None and held.revision == manifest.revision:
            return operation
        entity = dataclasses.replace(manifest, content=b"")
        return msgspec.structs.replace(operation, entity=entity)

    def whole_deltas(self) -> tuple[Delta, ...]:
        """Returns the latest deltas, all of them with their contents."""
        return tuple(itertools.islice(self.deltas, self.reduced, None))

    def deltas_since(self, version: int) -> tuple[Delta, ...] | None:
        """Returns the deltas after a version, with all contents.

        Returns:
            The deltas, oldest first; None if some were dropped or reduced, or
            none begins at the version.
        """
        deltas = self.deltas_covering(version)
        if deltas and deltas[0].base != version:
            return None
        if deltas and len(deltas) > len(self.deltas) - self.reduced:
            return None
        return deltas

    def deltas_covering(self, version: int) -> tuple[Delta, ...] | None:
        """Returns the deltas that include all operations after a version.

        The first one may begin before the version. Manifests that later ones
        replace may have no content.

        Returns:
            The deltas, oldest first; None if some were dropped.
        """
        if version >= self.version:
            return ()
        found: list[Delta] = []
        for delta in reversed(self.deltas):
            found.append(delta)
            if delta.base <= version:
                return tuple(reversed(found))
        return None

    def content(self) -> ConfigurationContent:
        """Returns the content of a snapshot."""
        source = self.configuration
        return ConfigurationContent(
            version=source.version,
            neighbours=tuple(source.neighbours.values()),
            workspaces=tuple(source.workspaces.values()),
            models=tuple(source.models.values()),
            services=tuple(source.services.values()),
            drained_targets=tuple(sorted(source.drained_targets)),
            drained_vms=tuple(sorted(source.drained_vms)),
            manifests=tuple(source.manifests.values()),
        )

    def encode(self) -> bytes:
        """Encodes the configuration as a snapshot."""
        return ENCODER.encode(self.content())

    def load(self, content: ConfigurationContent, content_hash: int) -> None:
        """Replaces the configuration and drops the stored deltas."""
        configuration = self.configuration
        configuration.clear()
        for entities in (
            content.neighbours,
            content.workspaces,
            content.models,
            content.services,
            content.manifests,
        ):
            for entity in entities:
                configuration.put(entity)
        configuration.drained_targets.update(content.drained_targets)
        configuration.drained_vms.update(content.drained_vms)
        configuration.version = content.version
        self.content_hash = content_hash
        self.drop_deltas()
        self.history.clear()
        self.record_manifests()

    def drop_deltas(self) -> None:
        """Drops the stored deltas."""
        self.deltas.clear()
        self.sizes.clear()
        self.kept_bytes = 0
        self.reduced = 0


def decode_content(data: bytes) -> ConfigurationContent:
    """Decodes a snapshot.

    Raises:
        msgspec.DecodeError: If the data is not a snapshot.
    """
    return CONTENT_DECODER.decode(data)
