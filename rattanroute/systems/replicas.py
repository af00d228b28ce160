"""Counts the replicas of each model version and of each layer."""

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
        wanted: Least number of replicas; 0 when the version is not in use.
        demand: Tokens per second that are asked for.
        capacity: Tokens per second of all replicas, loading ones included.
        rows: Targets that hold the version and are not about to change.
        loading: Targets that are loading the version.
    """

    wanted: int = 0
    demand: float = 0.0
    capacity: float = 0.0
    rows: list[Target] = dataclasses.field(default_factory=list)
    loading: int = 0

    @property
    def count(self) -> int:
        """Replicas, loading ones included."""
        return len(self.rows) + self.loading

    @property
    def utilisation(self) -> float:
        """Part of the capacity that is asked for."""
        return self.demand / self.capacity if self.capacity else 0.0

    def can_give(self, limit: float) -> bool:
        """Returns whether a replica may be taken away.

        Loading replicas do not count: their load may fail.

        Args:
            limit: Highest utilisation of the remaining replicas.
        """
        if not self.rows:
            return False
        if self.wanted == 0:
            return True
        remaining = len(self.rows) - 1
        if remaining < max(1, self.wanted):
            return False
        capacity = sum(measure_capacity(row) for row in self.rows)
        return self.demand <= limit * capacity * remaining / len(self.rows)


@dataclasses.dataclass(kw_only=True, slots=True)
class Replicas:
    """Groups by model and version; both empty for targets without a model."""

    groups: dict[tuple[str, str], ReplicaGroup] = dataclasses.field(
        default_factory=dict
    )

    def get(self, model: str, version: str) -> ReplicaGroup:
        """Returns a group, an empty one when it is new."""
        return self.groups.setdefault((model, version), ReplicaGroup())


def measure_capacity(row: Target) -> float:
    """Returns the tokens per second of a target with all slots in use."""
    speed = row.measured_tokens_per_second or row.report.tokens_per_second
    return row.report.slots * (speed or DEFAULT_TOKENS_PER_SECOND)


def build_replicas(
    *,
    targets: Iterable[Target],
    orders: dict[str, Order],
    configuration: Configuration,
    demand: dict[tuple[str, str, str], float],
) -> Replicas:
    """Groups whole-model targets by what they hold or are loading.

    Args:
        targets: Eligible targets.
        orders: Orders without effect so far, by target.
        configuration: The configuration in force.
        demand: Tokens per second by model, version and adapter.
    """
    replicas = Replicas()
    for (model, version, _), speed in demand.items():
        known = configuration.models.get(model)
        if known is not None:
            replicas.get(*find_key(known, version)).demand += speed
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
            group = replicas.get(*find_group(row, configuration))
            group.rows.append(row)
        group.capacity += measure_capacity(row)
    return replicas


def set_wanted(replicas: Replicas, model: Model) -> None:
    """Sets how many replicas of each version of a model are wanted."""
    group = replicas.get(model.name, model.version)
    group.wanted = max(1, model.min_replicas)
    for version in model.versions:
        group = replicas.get(*find_key(model, version))
        if group.demand > 0:
            group.wanted = max(1, group.wanted)


def find_key(model: Model, version: str) -> tuple[str, str]:
    """Returns the group of a version.

    All versions of a model whose configuration names none are one group; no
    order is ever sent for it, as there is no version to load.
    """
    if not model.version:
        return (model.name, "")
    return (model.name, version or model.version)


def find_group(row: Target, configuration: Configuration) -> tuple[str, str]:
    """Returns the group of a target."""
    report = row.report
    model = configuration.models.get(report.model)
    if not report.version or model is None:
        return ("", "")
    return find_key(model, report.version)


def find_gap(
    rows: list[Target],
    donors: list[Target],
    orders: dict[str, Order],
    wanted: int,
) -> tuple[Target, int, int] | None:
    """Finds layers that fewer than `wanted` targets hold, and a spare stage.

    Args:
        rows: Targets of one model version that hold ranges of layers.
        donors: Those among them that may get an order.
        orders: Orders without effect so far, by target. A target that
            changes its role counts for the new layers in the search for a
            gap, and for none in the search for a spare stage.
        wanted: Least number of targets for each layer.

    Returns:
        The spare stage with the first and last layer that it should hold, or
        None when there is no gap or no spare stage.
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
