"""Replica groups of model versions, and layers with too few replicas."""

from collections.abc import Iterable
import dataclasses

from rattanroute.tables.configurations import Configuration
from rattanroute.tables.configurations import Model
from rattanroute.tables.placements import Order
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetKind

DEFAULT_TOKENS_PER_SECOND = 20.0
"""Assumed for a target without a reported or measured speed."""


@dataclasses.dataclass(kw_only=True, slots=True)
class ReplicaGroup:
    """Replicas of one model version.

    Attributes:
        wanted: Minimum number of replicas; 0 if the version is not in use.
        demand: Requested tokens per second.
        capacity: Tokens per second of all replicas, including loading ones.
        rows: Targets that hold the version and have no order to change it.
        loading: Number of targets that are loading the version.
    """

    wanted: int = 0
    demand: float = 0.0
    capacity: float = 0.0
    rows: list[Target] = dataclasses.field(default_factory=list)
    loading: int = 0

    @property
    def count(self) -> int:
        """Number of replicas, including loading ones."""
        return len(self.rows) + self.loading

    @property
    def utilisation(self) -> float:
        """Demand as a fraction of the capacity."""
        return self.demand / self.capacity if self.capacity else 0.0

    def has_spare_replica(self, limit: float) -> bool:
        """Whether a replica may be given to another model version.

        Loading replicas do not count, as loading may fail.

        Args:
            limit: Maximum utilisation of the remaining replicas.
        """
        if not self.rows:
            return False
        if self.wanted == 0:
            return True
        remaining = len(self.rows) - 1
        if remaining < max(1, self.wanted):
            return False
        capacity = sum(estimate_capacity(row) for row in self.rows)
        return self.demand <= limit * capacity * remaining / len(self.rows)


@dataclasses.dataclass(kw_only=True, slots=True)
class ReplicaGroups:
    """Replica groups by model and version.

    The key of targets without a configured model or version is empty.
    """

    groups: dict[tuple[str, str], ReplicaGroup] = dataclasses.field(
        default_factory=dict
    )

    def get(self, model: str, version: str) -> ReplicaGroup:
        """Returns the group of a key; adds an empty one if there is none."""
        return self.groups.setdefault((model, version), ReplicaGroup())


def estimate_capacity(row: Target) -> float:
    """Returns the tokens per second of a target with all slots busy."""
    speed = row.measured_tokens_per_second or row.report.tokens_per_second
    return row.report.slots * (speed or DEFAULT_TOKENS_PER_SECOND)


def build_replica_groups(
    *,
    targets: Iterable[Target],
    orders: dict[str, Order],
    configuration: Configuration,
    demand: dict[tuple[str, str, str], float],
) -> ReplicaGroups:
    """Groups whole-model targets by the version that they hold or load.

    Args:
        targets: Eligible targets.
        orders: Orders that have not taken effect yet, by target.
        configuration: The configuration in force.
        demand: Tokens per second by model, version and adapter.
    """
    replicas = ReplicaGroups()
    for (model, version, _), speed in demand.items():
        known = configuration.models.get(model)
        if known is not None:
            replicas.get(*build_group_key(known, version)).demand += speed
    for model in configuration.models.values():
        set_wanted(replicas, model)
    for row in targets:
        report = row.report
        if report.kind is not TargetKind.MODEL or not report.holds_all_layers:
            continue
        order = orders.get(report.target_id)
        if order is not None and order.version:
            group = replicas.get(order.model, order.version)
            group.loading += 1
        else:
            group = replicas.get(*find_group_key(row, configuration))
            group.rows.append(row)
        group.capacity += estimate_capacity(row)
    return replicas


def set_wanted(replicas: ReplicaGroups, model: Model) -> None:
    """Sets the minimum number of replicas of each version of a model."""
    group = replicas.get(model.name, model.version)
    group.wanted = max(1, model.min_replicas)
    for version in model.versions:
        group = replicas.get(*build_group_key(model, version))
        if group.demand > 0:
            group.wanted = max(1, group.wanted)


def build_group_key(model: Model, version: str) -> tuple[str, str]:
    """Returns the group key of a model version.

    All versions of a model whose configuration names none form one group. No
    order is ever sent for that group, as there is no version to load.
    """
    if not model.version:
        return (model.name, "")
    return (model.name, version or model.version)


def find_group_key(
    row: Target, configuration: Configuration
) -> tuple[str, str]:
    """Returns the group key of a target."""
    report = row.report
    model = configuration.models.get(report.model)
    if not report.version or model is None:
        return ("", "")
    return build_group_key(model, report.version)


def find_missing_layers(
    rows: list[Target],
    donors: list[Target],
    orders: dict[str, Order],
    wanted: int,
) -> tuple[Target, int, int] | None:
    """Finds layers that too few targets hold, and a target to take them.

    Args:
        rows: Targets of one model version that hold ranges of layers.
        donors: Those among them that may receive an order.
        orders: Orders that have not taken effect yet, by target. A target
            with an order counts for its new layers in the search for missing
            layers, and for none in the search for a spare target.
        wanted: Minimum number of targets for each layer.

    Returns:
        A target whose present layers are held by enough others, with the
        first and last layer that it should hold; None if no layers are
        missing or no target can be spared.
    """
    total = max(row.report.total_layers for row in rows)
    held = [0] * total
    planned = [0] * total
    for row in rows:
        order = orders.get(row.report.target_id)
        if order is not None:
            for layer in range(order.first_layer, order.last_layer + 1):
                planned[layer] += 1
            continue
        for layer in held_layers(row):
            held[layer] += 1
            planned[layer] += 1
    first = min(range(total), key=lambda layer: planned[layer])
    if planned[first] >= wanted:
        return None
    spare = [
        row
        for row in donors
        if all(held[layer] > wanted for layer in held_layers(row))
    ]
    if not spare:
        return None
    row = min(spare, key=lambda row: row.report.running)
    last = first
    end = min(total, first + len(held_layers(row)))
    while last + 1 < end and planned[last + 1] < wanted:
        last += 1
    return row, first, last


def held_layers(row: Target) -> range:
    """Returns the layers that a target holds."""
    return range(row.report.first_layer, row.report.last_layer + 1)
