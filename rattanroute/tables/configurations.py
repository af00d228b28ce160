"""The configuration that operators have set and the log has accepted."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Neighbour:
    """An organisation that pays for a share of the pool.

    Attributes:
        name: Identifier.
        share: Paid fraction of the pooled capacity, between 0 and 1.
    """

    name: str
    share: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A workspace: a tenant of a neighbour.

    Attributes:
        name: Identifier.
        neighbour: Owner.
        key_hashes: SHA-256 hashes of the bearer keys, in hexadecimal.
        models: Models and services that the workspace may call.
        weight: Weight among the workspaces of its neighbour.
        priority: Default priority of its requests.
    """

    name: str
    neighbour: str
    key_hashes: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    weight: float = 1.0
    priority: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Model:
    """A model and its versions.

    Attributes:
        name: Identifier.
        version: Version for requests that specify none; empty for any.
        versions: Versions that requests may specify.
        layers: Number of layers.
        min_replicas: Minimum number of replicas that placement maintains.
    """

    name: str
    version: str = ""
    versions: tuple[str, ...] = ()
    layers: int = 0
    min_replicas: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service other than a model.

    Attributes:
        name: Identifier.
        repeatable_operations: Operations that may run more than once; all
            other operations run at most once.
    """

    name: str
    repeatable_operations: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Manifest:
    """A complete declaration of routes, services of targets and tenants.

    Operators number its revisions; the highest revision is in force.

    Attributes:
        name: Identifier.
        revision: Number chosen by the operator; a manifest is ignored unless
            its revision is higher than the stored one.
        content: The declaration, compressed with zlib.
    """

    name: str
    revision: int
    content: bytes


Entity = Neighbour | Workspace | Model | Service | Manifest


class EntityKind(enum.StrEnum):
    """The kinds of named entities."""

    NEIGHBOUR = "neighbour"
    WORKSPACE = "workspace"
    MODEL = "model"
    SERVICE = "service"
    MANIFEST = "manifest"


class DrainKind(enum.StrEnum):
    """The kinds of things that operators can drain."""

    TARGET = "target"
    VM = "vm"


KIND_BY_CLASS: dict[type, EntityKind] = {
    Neighbour: EntityKind.NEIGHBOUR,
    Workspace: EntityKind.WORKSPACE,
    Model: EntityKind.MODEL,
    Service: EntityKind.SERVICE,
    Manifest: EntityKind.MANIFEST,
}


@dataclasses.dataclass(kw_only=True, slots=True)
class Configuration:
    """All accepted settings of operators at one version.

    Entities are immutable; a change replaces them.

    Attributes:
        version: Grows by one with each accepted change; 0 before the first.
        neighbours: Neighbours by name.
        workspaces: Workspaces by name.
        models: Models by name.
        services: Services by name.
        manifests: Manifests by name.
        drained_targets: Targets that operators have taken out of service.
        drained_vms: VMs that operators have taken out of service.
        workspaces_by_key_hash: Names of workspaces by the hash of a key.
    """

    version: int = 0
    neighbours: dict[str, Neighbour] = dataclasses.field(default_factory=dict)
    workspaces: dict[str, Workspace] = dataclasses.field(default_factory=dict)
    models: dict[str, Model] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    manifests: dict[str, Manifest] = dataclasses.field(default_factory=dict)
    drained_targets: set[str] = dataclasses.field(default_factory=set)
    drained_vms: set[str] = dataclasses.field(default_factory=set)
    workspaces_by_key_hash: dict[str, str] = dataclasses.field(
        default_factory=dict
    )

    def entities(self, kind: EntityKind) -> dict[str, Entity]:
        """Returns the entities of a kind by name."""
        match kind:
            case EntityKind.NEIGHBOUR:
                return self.neighbours
            case EntityKind.WORKSPACE:
                return self.workspaces
            case EntityKind.MODEL:
                return self.models
            case EntityKind.SERVICE:
                return self.services
            case EntityKind.MANIFEST:
                return self.manifests

    def drains(self, kind: DrainKind) -> set[str]:
        """Returns the identifiers of the drained targets or VMs."""
        if kind is DrainKind.TARGET:
            return self.drained_targets
        return self.drained_vms

    def put(self, entity: Entity) -> None:
        """Adds or replaces an entity."""
        kind = KIND_BY_CLASS[type(entity)]
        if isinstance(entity, Workspace):
            self._drop_keys(entity.name)
            for key_hash in entity.key_hashes:
                self.workspaces_by_key_hash[key_hash] = entity.name
        self.entities(kind)[entity.name] = entity

    def delete(self, kind: EntityKind, name: str) -> None:
        """Removes an entity; one that does not exist is ignored.

        Merged deltas may delete an entity that an earlier one has added.
        """
        if kind is EntityKind.WORKSPACE:
            self._drop_keys(name)
        self.entities(kind).pop(name, None)

    def _drop_keys(self, workspace: str) -> None:
        known = self.workspaces.get(workspace)
        for key_hash in known.key_hashes if known else ():
            # The same change may have moved the key to another workspace.
            if self.workspaces_by_key_hash.get(key_hash) == workspace:
                del self.workspaces_by_key_hash[key_hash]

    def clear(self) -> None:
        """Removes everything and returns to version 0."""
        self.version = 0
        for kind in EntityKind:
            self.entities(kind).clear()
        for kind in DrainKind:
            self.drains(kind).clear()
        self.workspaces_by_key_hash.clear()
