"""Plans chains of targets that together run every layer of a model once."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

from rattanroute.actions import Hop
from rattanroute.systems.chains import Candidate
from rattanroute.systems.chains import drop_dominated
from rattanroute.systems.chains import find_chain
from rattanroute.systems.chains import Path
from rattanroute.tables.links import LinkTable
from rattanroute.tables.requests import Request
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable

HIDDEN_BYTES = 16_384
"""Size of one position between two layers: 8,192 values of two bytes."""
DEFAULT_TOKENS_PER_SECOND = 20.0
"""Assumed for a target without a reported or measured speed."""
JITTER = 0.25
"""Random part of a stage's time; many VMs that read the same stale report
would otherwise choose the same one of several equal targets."""


Eligible = Callable[[Target, float], bool]


@dataclasses.dataclass(kw_only=True, slots=True)
class PipelinePlanner:
    """Plans and repairs chains for one VM.

    The VM drives each stage, so a stage costs its own time and a round trip
    between the VM and its target. Stages end where some target's range
    begins or ends: as the time of a stage is linear in its layers, the sum
    has its minimum there.

    Attributes:
        data_centre: Data centre of the VM.
        links: Links between data centres.
        eligible: Whether a target may get new work at a time.
        rng: Spreads the choice among similar targets; None for none.
    """

    data_centre: str
    links: LinkTable
    eligible: Eligible
    rng: random.Random | None = None

    def plan(
        self, *, model: str, version: str, targets: TargetTable, now: float
    ) -> tuple[Hop, ...] | None:
        """Plans a chain for a request.

        Args:
            model: Model name.
            version: Wanted version; empty for any, but one for all stages.
            targets: Known targets.
            now: Time on the host's clock, in seconds.

        Returns:
            Hops in layer order, or None when some layer has no target.
        """
        best: Path | None = None
        rows = self.select(targets, model=model, version=version, now=now)
        for (_, layers), group in sorted(group_rows(rows).items()):
            path = find_chain(self.build_candidates(group), 0, layers)
            if path and (best is None or path.cost < best.cost):
                best = path
        return build_hops(best)

    def replace(
        self,
        *,
        request: Request,
        failed_target_id: str,
        targets: TargetTable,
        now: float,
    ) -> tuple[Hop, ...] | None:
        """Plans hops that take over the layers of a failed one.

        Targets that already run a stage of the request are not used again.

        Returns:
            Hops in layer order, or None when some layer has no other target.
        """
        attempt = request.current
        if attempt is None:
            return None
        chain = attempt.chain
        failed = [hop for hop in chain if hop.target_id == failed_target_id]
        if not failed:
            return None
        used = {hop.target_id for hop in chain}
        version, layers = find_version(request, targets, used)
        rows = [
            row
            for row in self.select(
                targets, model=request.model, version=version, now=now
            )
            if row.report.target_id not in used
            and layers in (0, row.report.total_layers)
        ]
        best: Path | None = None
        for group in group_rows(rows).values():
            path = find_chain(
                self.build_candidates(group),
                failed[0].first_layer,
                failed[0].last_layer + 1,
            )
            if path and (best is None or path.cost < best.cost):
                best = path
        return build_hops(best)

    def select(
        self, targets: TargetTable, *, model: str, version: str, now: float
    ) -> list[Target]:
        """Returns the eligible targets of a model and version."""
        return [
            row
            for row in targets.serving(model)
            if row.report.total_layers
            and version in ("", row.report.version)
            and self.eligible(row, now)
        ]

    def build_candidates(self, rows: Iterable[Target]) -> list[Candidate]:
        """Builds candidates without those that others dominate."""
        return drop_dominated(self.build_candidate(row) for row in rows)

    def build_candidate(self, row: Target) -> Candidate:
        """Turns a target's report and measurements into times."""
        report = row.report
        speed = (
            row.measured_tokens_per_second
            or report.tokens_per_second
            or DEFAULT_TOKENS_PER_SECOND
        )
        factor = queueing_factor(row)
        if self.rng is not None:
            factor *= 1.0 + JITTER * self.rng.random()
        return Candidate(
            target_id=report.target_id,
            address=report.address,
            first=report.first_layer,
            end=report.last_layer + 1,
            layer_seconds=factor / speed / report.total_layers,
            link_seconds=self.measure_link(row),
        )

    def measure_link(self, row: Target) -> float:
        """Returns the round trip of one position, in seconds."""
        place = row.report.data_centre
        forth = self.links.get(self.data_centre, place)
        back = self.links.get(place, self.data_centre)
        if row.link_seconds:
            forth = dataclasses.replace(forth, delay_s=row.link_seconds)
            back = dataclasses.replace(back, delay_s=row.link_seconds)
        return forth.seconds(HIDDEN_BYTES) + back.seconds(HIDDEN_BYTES)


def queueing_factor(row: Target) -> float:
    """Returns how much the load slows a stage, at least 1.

    The reported load is corrected by what this VM has sent since the report.
    Up to the number of slots it slows little; each further request waits.
    """
    report = row.report
    load = report.running + report.queued + row.sent_since_report
    slots = max(1, report.slots)
    waiting = max(0, load + 1 - slots)
    return 1.0 + load / slots + waiting / slots


def group_rows(
    rows: Iterable[Target],
) -> dict[tuple[str, int], list[Target]]:
    """Groups targets that may form a chain: one version and layer count."""
    groups: dict[tuple[str, int], list[Target]] = collections.defaultdict(list)
    for row in rows:
        report = row.report
        groups[report.version, report.total_layers].append(row)
    return groups


def find_version(
    request: Request, targets: TargetTable, used: set[str]
) -> tuple[str, int]:
    """Returns the version and layer count that the request's chain runs.

    A chain never mixes versions, even when the request named none.
    """
    for target_id in sorted(used):
        row = targets.get(target_id)
        if row is not None and row.report.model == request.model:
            return row.report.version, row.report.total_layers
    return request.version, 0


def build_hops(path: Path | None) -> tuple[Hop, ...] | None:
    """Turns a path into hops."""
    if path is None:
        return None
    return tuple(
        Hop(
            target_id=candidate.target_id,
            address=candidate.address,
            first_layer=begin,
            last_layer=end - 1,
        )
        for candidate, begin, end in path.steps()
    )
