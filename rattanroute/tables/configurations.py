"""The configuration in force: what operators have set and the log accepted."""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class Neighbour:
    """An organisation that pays for a share of the pool.

    Attributes:
        name: Identifier.
        share: Paid part of the pooled capacity, between 0 and 1.
    """

    name: str
    share: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Workspace:
    """A workspace of a neighbour.

    Attributes:
        name: Identifier.
        neighbour: Owner.
        key_hashes: SHA-256 of the bearer keys, in hexadecimal.
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


@dataclasses.dataclass(kw_only=True, slots=True)
class Model:
    """A model and the version in force.

    Attributes:
        name: Identifier.
        version: Version that requests without a version get; empty for any.
        versions: Versions that may be called.
        layers: Number of layers.
        min_replicas: Replicas that placement keeps at least.
    """

    name: str
    version: str = ""
    versions: tuple[str, ...] = ()
    layers: int = 0
    min_replicas: int = 1


@dataclasses.dataclass(kw_only=True, slots=True)
class Service:
    """A plain service.

    Attributes:
        name: Identifier.
        repeatable_operations: Operations that may run more than once; every
            other operation runs at most once.
    """

    name: str
    repeatable_operations: tuple[str, ...] = ()


@dataclasses.dataclass(kw_only=True, slots=True)
class Configuration:
    """All accepted settings of operators at one version.

    Attributes:
        version: Grows by one with each accepted change; 0 before the first.
        neighbours: Neighbours by name.
        workspaces: Workspaces by name.
        models: Models by name.
        services: Services by name.
        drained_targets: Targets that operators take out of service.
    """

    version: int = 0
    neighbours: dict[str, Neighbour] = dataclasses.field(default_factory=dict)
    workspaces: dict[str, Workspace] = dataclasses.field(default_factory=dict)
    models: dict[str, Model] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    drained_targets: set[str] = dataclasses.field(default_factory=set)
