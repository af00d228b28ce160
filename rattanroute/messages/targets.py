"""Reports of targets passed between VMs; kinds 140 to 159."""

import dataclasses

from rattanroute.tables.targets import TargetReport


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetReports:
    """Reports that the sending VM heard, with their ages in seconds."""

    reports: tuple[TargetReport, ...]
    ages: tuple[float, ...]


KINDS: dict[int, type] = {140: TargetReports}
