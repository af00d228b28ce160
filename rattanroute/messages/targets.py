"""Reports of targets sent between VMs; kinds 140 to 159."""

import dataclasses

import msgspec

from rattanroute.tables.targets import TargetReport


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetReports:
    """Reports that the sending VM received, with their ages in seconds.

    Attributes:
        reports: The reports.
        ages: Their ages.
        digests: Digests of what they contain beside the load; none from
            earlier releases.
    """

    reports: tuple[TargetReport, ...]
    ages: tuple[float, ...]
    digests: tuple[int, ...] = ()


class TargetLoad(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load of a target whose other reported values have not changed.

    Attributes:
        target_id: The target.
        incarnation: Its incarnation.
        sequence: Sequence number of the report.
        running: Requests running at the time of the report.
        queued: Requests queued at the time of the report.
        age: Age of the report when it was sent, in seconds.
        digest: Digest of the other values; 0 from earlier releases.
    """

    target_id: str
    incarnation: int
    sequence: int
    running: int
    queued: int
    age: float
    digest: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLoads:
    """Loads that the sending VM received since it sent the full reports."""

    loads: tuple[TargetLoad, ...]


class ReportsRequest(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Requests full reports of targets, of which the sender got the load.

    Attributes:
        target_ids: The targets.
    """

    target_ids: tuple[str, ...]


KINDS: dict[int, type] = {
    140: TargetReports,
    141: TargetLoads,
    142: ReportsRequest,
}
