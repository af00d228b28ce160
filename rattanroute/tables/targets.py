"""Targets that announced themselves, with their load as last reported."""

from collections.abc import Iterator
import dataclasses
import enum


class TargetKind(enum.StrEnum):
    """What a target runs."""

    MODEL = "model"
    SERVICE = "service"


class TargetHealth(enum.StrEnum):
    """The verdict of failure detection on a target."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetReport:
    """What a target says about itself; a border model fills it.

    Attributes:
        target_id: Identifier chosen by the target.
        incarnation: Grows with each start of the target.
        sequence: Grows with each report of one incarnation.
        address: Base URL.
        data_centre: Data centre of the target.
        kind: Model engine or plain service.
        model: Model or service name.
        version: Model version held.
        adapters: Adapters held.
        first_layer: First layer held.
        last_layer: Last layer held, inclusive.
        total_layers: Layers of the whole model; 0 for a service.
        accelerator: Accelerator kind.
        slots: Requests that run at once.
        tokens_per_second: Speed of one running request; 0 when not reported.
        running: Requests running at the time of the report.
        queued: Requests queued at the time of the report.
        cached_prefixes: Hashes of prompt prefixes held; may be out of date.
        checks_fencing: Whether orders with an old fencing number are refused.
        leaving: Whether the target takes no new work.
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
    def whole(self) -> bool:
        """Whether the target runs all layers, or is a service."""
        return self.total_layers == 0 or (
            self.first_layer == 0 and self.last_layer == self.total_layers - 1
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class Target:
    """A target with what this VM knows of it.

    Attributes:
        report: The latest report.
        observer: The VM that heard the report.
        heard_at: Time of the report, in seconds of the host's clock, corrected
            by the report's age on arrival.
        health: The verdict of failure detection.
        in_flight: Attempts of this VM that run on the target.
        sent_since_report: Attempts that this VM dispatched since the report.
        link_seconds: Measured one-way delay to the target.
        measured_tokens_per_second: Measured speed; 0 before a measurement.
        first_heard_at: Time of the first report of this incarnation.
        failures: Consecutive failed attempts.
        blocked_until: Time before which no attempt is dispatched to it.
    """

    report: TargetReport
    observer: str
    heard_at: float
    health: TargetHealth = TargetHealth.HEALTHY
    in_flight: int = 0
    sent_since_report: int = 0
    link_seconds: float = 0.0
    measured_tokens_per_second: float = 0.0
    first_heard_at: float = 0.0
    failures: int = 0
    blocked_until: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetTable:
    """Targets by identifier."""

    rows: dict[str, Target] = dataclasses.field(default_factory=dict)

    def record(
        self, *, report: TargetReport, observer: str, heard_at: float
    ) -> bool:
        """Stores a report unless a newer one is known.

        Args:
            report: The report.
            observer: The VM that heard it.
            heard_at: Time of the report on the host's clock, in seconds.

        Returns:
            Whether the report was newer than the stored one.
        """
        row = self.rows.get(report.target_id)
        if row is None:
            self.rows[report.target_id] = Target(
                report=report,
                observer=observer,
                heard_at=heard_at,
                first_heard_at=heard_at,
            )
            return True
        known = (row.report.incarnation, row.report.sequence)
        if (report.incarnation, report.sequence) <= known:
            return False
        if report.incarnation > row.report.incarnation:
            row.first_heard_at = heard_at
            row.failures = 0
            row.blocked_until = 0.0
            row.health = TargetHealth.HEALTHY
        row.report = report
        row.observer = observer
        row.heard_at = heard_at
        row.sent_since_report = 0
        return True

    def get(self, target_id: str) -> Target | None:
        """Returns the target, or None when it is not known."""
        return self.rows.get(target_id)

    def remove(self, target_id: str) -> None:
        """Removes a target."""
        self.rows.pop(target_id, None)

    def serving(self, model: str) -> Iterator[Target]:
        """Yields the targets of a model or service."""
        return (row for row in self.rows.values() if row.report.model == model)

    def __iter__(self) -> Iterator[Target]:
        return iter(self.rows.values())

    def __len__(self) -> int:
        return len(self.rows)
