"""Announced targets with their latest reports and measurements."""

import collections
from collections.abc import Iterator
import dataclasses
import enum

from rattanroute.tables.pools import Pool
from rattanroute.tables.pools import PoolIndex
from rattanroute.tables.pools import PoolKey

# Indexed cached prefixes per target; further ones in a report are ignored,
# which limits the index to a few megabytes at the design scale.
MAX_PREFIXES = 64
# Weights of a new sample in the moving averages of one target and of all
# targets of one accelerator kind.
TARGET_WEIGHT = 0.2
ACCELERATOR_WEIGHT = 0.05
DEFAULT_TOKENS_PER_SECOND = 50.0


class TargetKind(enum.StrEnum):
    """The kind of work that a target runs."""

    MODEL = "model"
    SERVICE = "service"


class TargetHealth(enum.StrEnum):
    """State of a target according to failure detection."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetReport:
    """A target's report about itself, built from its request to the router.

    Attributes:
        target_id: Identifier chosen by the target.
        incarnation: Increases with each start of the target.
        sequence: Increases with each report of one incarnation.
        address: Base URL.
        data_centre: Data centre of the target.
        kind: Model engine or plain service.
        model: Model or service name.
        version: Loaded model version.
        adapters: Loaded adapters.
        first_layer: First loaded layer.
        last_layer: Last loaded layer, inclusive.
        total_layers: Layers of the whole model; 0 for a service.
        accelerator: Accelerator kind.
        slots: Maximum number of concurrent requests.
        tokens_per_second: Speed of one running request; 0 when not reported.
        running: Requests running at the time of the report.
        queued: Requests queued at the time of the report.
        cached_prefixes: Hashes of cached prompt prefixes; may be outdated.
        checks_fencing: Whether orders with an old fencing token are refused.
        leaving: Whether the target accepts no new work.
    """

    target_id: str
    incarnation: int = 0
    sequence: int = 0
    address: str
    data_centre: str
    kind: TargetKind = TargetKind.MODEL
    model: str
    version: str = ""
    adapters: tuple[str, ...] = ()
    first_layer: int = 0
    last_layer: int = 0
    total_layers: int = 0
    accelerator: str = ""
    slots: int = 1
    tokens_per_second: float = 0.0
    running: int = 0
    queued: int = 0
    cached_prefixes: tuple[int, ...] = ()
    checks_fencing: bool = False
    leaving: bool = False

    @property
    def holds_all_layers(self) -> bool:
        """Whether the target runs all layers, or is a service."""
        return self.total_layers == 0 or (
            self.first_layer == 0 and self.last_layer == self.total_layers - 1
        )


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Target:
    """State of a target as known to this VM.

    Attributes:
        report: The latest report.
        observer: The VM that received the report from the target.
        received_at: Time of the report, in seconds of the host's clock,
            corrected by the report's age on arrival.
        health: State according to failure detection.
        in_flight: Attempts of this VM that run on the target.
        sent_since_report: Attempts that this VM dispatched since the report.
        finished_since_report: Attempts of this VM that ended since the report.
        changes: Times of those dispatches (+1) and ends (-1), oldest first.
        link_seconds: Measured one-way delay to the target.
        measured_tokens_per_second: Measured speed; 0 if not measured.
        first_received_at: Time of the first report of this incarnation.
        failures: Consecutive failed attempts.
        blocked_until: Time before which no attempt is dispatched to it.
        paused_until: Time before which it accepts nothing from this VM.
        full_until: Time before which it is considered full.
        rejections: Doublings of its backoff as a full target since its last
            success.
        slowness: Moving average of measured divided by expected duration.
        samples: Number of measurements in `slowness`.
        ejections: Number of recent ejections; each lengthens the next one.
        ejected_at: Time of the last ejection.
        prefixes: Indexed part of the reported cached prefixes.
        keys: Pools that contain the target.
        pace: Measured step time divided by the usual one, from inspections.
        reachable: Whether it answered the latest inspections.
        state_until: Expiry of `pace` and `reachable`; 0 if they are unknown.
        answered_at: Time of the latest sign of it other than a report, in
            seconds: an answer to this VM, or an inspection.
        limit_per_s: Requests per second that it takes from all VMs together;
            None if it names no limit.
        limit_named_at: Time of the answer that `limit_per_s` comes from.
    """

    report: TargetReport
    observer: str
    received_at: float
    health: TargetHealth = TargetHealth.HEALTHY
    in_flight: int = 0
    sent_since_report: int = 0
    link_seconds: float = 0.0
    measured_tokens_per_second: float = 0.0
    first_received_at: float = 0.0
    failures: int = 0
    blocked_until: float = 0.0
    paused_until: float = 0.0
    full_until: float = 0.0
    rejections: int = 0
    finished_since_report: int = 0
    changes: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    slowness: float = 1.0
    samples: int = 0
    ejections: int = 0
    ejected_at: float = 0.0
    prefixes: tuple[int, ...] = ()
    keys: tuple[PoolKey, ...] = ()
    pace: float = 1.0
    reachable: bool = True
    state_until: float = 0.0
    answered_at: float = 0.0
    limit_per_s: float | None = None
    limit_named_at: float = float("-inf")

    @property
    def seen_at(self) -> float:
        """Time of the latest sign of the target, in seconds.

        A target that is cut from the VMs that take its reports may be reached
        by those that send it requests.
        """
        return max(self.received_at, self.answered_at)

    @property
    def load(self) -> int:
        """Estimated requests on the target.

        This is the reported load corrected by the dispatches and ends of this
        VM since the report.
        """
        report = self.report
        estimate = (
            report.running
            + report.queued
            + self.sent_since_report
            - self.finished_since_report
        )
        return max(self.in_flight, estimate)

    def drop_changes(self, until: float) -> None:
        """Drops dispatches and ends that the latest report includes."""
        changes = self.changes
        while changes and changes[0][0] <= until:
            if changes.popleft()[1] > 0:
                self.sent_since_report -= 1
            else:
                self.finished_since_report -= 1


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetTable:
    """Targets by identifier.

    Attributes:
        rows: Targets by identifier.
        index: Pools of whole-model targets and services.
        partial_targets: Targets with only some of the layers, by model.
        kind_speeds: Mean tokens per second of one running request, by model
            and accelerator kind.
        newest_received_at: Time of the newest report of any target.
    """

    rows: dict[str, Target] = dataclasses.field(default_factory=dict)
    index: PoolIndex = dataclasses.field(default_factory=PoolIndex)
    partial_targets: dict[str, dict[str, Target]] = dataclasses.field(
        default_factory=dict
    )
    kind_speeds: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    newest_received_at: float = 0.0

    def record(
        self, *, report: TargetReport, observer: str, received_at: float
    ) -> bool:
        """Stores a report unless a newer one is known.

        Args:
            report: The report.
            observer: The VM that received it from the target.
            received_at: Time of the report on the host's clock, in seconds.

        Returns:
            Whether the report was newer than the stored one.
        """
        self.newest_received_at = max(self.newest_received_at, received_at)
        row = self.rows.get(report.target_id)
        if row is None:
            row = self.rows[report.target_id] = Target(
                report=report,
                observer=observer,
                received_at=received_at,
                first_received_at=received_at,
            )
            self.insert(row)
            return True
        old = row.report
        known = (old.incarnation, old.sequence)
        if (report.incarnation, report.sequence) <= known:
            return False
        if report.incarnation > old.incarnation:
            reset_learned_state(row, received_at)
        row.observer = observer
        row.received_at = received_at
        # The target wrote the report one link delay before its arrival.
        row.drop_changes(received_at - row.link_seconds)
        if placement_fields(report) != placement_fields(old):
            self.delete(row)
            row.report = report
            self.insert(row)
        else:
            row.report = report
            if row.keys and report.cached_prefixes != old.cached_prefixes:
                self.index.change_prefixes(row, indexed_prefixes(report))
            self.update_open_sets(row)
        return True

    def insert(self, row: Target) -> None:
        """Adds a row to the indexes."""
        report = row.report
        if not report.holds_all_layers:
            partial_targets = self.partial_targets.setdefault(report.model, {})
            partial_targets[report.target_id] = row
            return
        row.keys = pool_keys(report)
        row.prefixes = indexed_prefixes(report)
        self.index.insert(row)
        self.update_open_sets(row)

    def delete(self, row: Target) -> None:
        """Removes a row from the indexes."""
        report = row.report
        if row.keys:
            self.index.delete(row)
            row.keys = ()
            row.prefixes = ()
        partial_targets = self.partial_targets.get(report.model)
        if partial_targets is not None:
            partial_targets.pop(report.target_id, None)
            if not partial_targets:
                del self.partial_targets[report.model]

    def update_open_sets(self, row: Target) -> None:
        """Adds a target to the open sets of its pools or removes it."""
        if not row.keys:
            return
        if row.load < row.report.slots and not row.report.leaving:
            self.index.open(row)
        else:
            self.index.close(row)

    def pool(self, key: PoolKey) -> Pool | None:
        """Returns the pool of a key, or None when no target serves it."""
        return self.index.pools.get(key)

    def note_dispatch(self, target_id: str, now: float) -> None:
        """Counts an attempt that this VM dispatches to a target."""
        row = self.rows.get(target_id)
        if row is not None:
            row.in_flight += 1
            row.sent_since_report += 1
            row.changes.append((now, 1))
            self.update_open_sets(row)

    def note_end(self, target_id: str, now: float) -> None:
        """Counts the end of an attempt of this VM on a target."""
        row = self.rows.get(target_id)
        if row is not None and row.in_flight:
            row.in_flight -= 1
            row.finished_since_report += 1
            row.changes.append((now, -1))
            self.index.record_freed(row)
            self.update_open_sets(row)

    def note_speed(self, row: Target, tokens_per_second: float) -> None:
        """Adds a measurement of one request's speed on a target."""
        row.measured_tokens_per_second = update_average(
            row.measured_tokens_per_second, tokens_per_second, TARGET_WEIGHT
        )
        kind = (row.report.model, row.report.accelerator)
        self.kind_speeds[kind] = update_average(
            self.kind_speeds.get(kind, 0.0),
            tokens_per_second,
            ACCELERATOR_WEIGHT,
        )

    def speed(self, row: Target) -> float:
        """Returns the tokens per second of one request on a target."""
        return (
            row.measured_tokens_per_second
            or row.report.tokens_per_second
            or self.kind_speeds.get(
                (row.report.model, row.report.accelerator), 0.0
            )
            or DEFAULT_TOKENS_PER_SECOND
        )

    def get(self, target_id: str) -> Target | None:
        """Returns the target, or None when it is not known."""
        return self.rows.get(target_id)

    def remove(self, target_id: str) -> None:
        """Removes a target."""
        row = self.rows.pop(target_id, None)
        if row is not None:
            self.delete(row)

    def serving(self, model: str) -> Iterator[Target]:
        """Yields the targets of a model or service."""
        pool = self.pool(PoolKey(model))
        if pool is not None:
            yield from pool.members.rows
        yield from self.partial_targets.get(model, {}).values()

    def __iter__(self) -> Iterator[Target]:
        return iter(self.rows.values())

    def __len__(self) -> int:
        return len(self.rows)


def update_average(mean: float, sample: float, weight: float) -> float:
    """Returns the next value of a moving average; 0 means no value."""
    return mean + weight * (sample - mean) if mean else sample


def placement_fields(report: TargetReport) -> tuple[object, ...]:
    """Returns the fields that determine the pools of a target."""
    return (
        report.model,
        report.version,
        report.adapters,
        report.data_centre,
        report.first_layer,
        report.last_layer,
        report.total_layers,
    )


def pool_keys(report: TargetReport) -> tuple[PoolKey, ...]:
    """Returns the keys of the pools that contain a target."""
    return tuple(
        PoolKey(report.model, version, adapter)
        for version in dict.fromkeys(("", report.version))
        for adapter in dict.fromkeys(("", *report.adapters))
    )


def indexed_prefixes(report: TargetReport) -> tuple[int, ...]:
    """Returns the cached prefixes to index, without duplicates."""
    return tuple(dict.fromkeys(report.cached_prefixes[:MAX_PREFIXES]))


def reset_learned_state(row: Target, received_at: float) -> None:
    """Resets what was learned about an earlier incarnation of a target."""
    row.first_received_at = received_at
    row.failures = 0
    row.blocked_until = 0.0
    row.paused_until = 0.0
    row.full_until = 0.0
    row.rejections = 0
    row.health = TargetHealth.HEALTHY
    row.slowness = 1.0
    row.samples = 0
    row.pace = 1.0
    row.reachable = True
    row.state_until = 0.0
    row.answered_at = 0.0
    row.limit_per_s = None
    row.limit_named_at = float("-inf")
