"""Plans chains of targets that together run each layer of a model once.

Each target of a chain runs one contiguous range of layers, a pipeline stage.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

from rattanroute.actions import Hop
from rattanroute.systems.chain_searches import ChainPath
from rattanroute.systems.chain_searches import drop_dominated_candidates
from rattanroute.systems.chain_searches import find_chain
from rattanroute.systems.chain_searches import StageCandidate
from rattanroute.tables.links import LinkTable
from rattanroute.tables.requests import Request
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable

HIDDEN_STATE_BYTES = 16_384
"""Hidden state of one token between two layers: 8,192 values of two bytes."""
DEFAULT_TOKENS_PER_SECOND = 20.0
"""Speed assumed for a target without a measured or reported one."""
JITTER = 0.25
"""Largest random increase of a stage's time, as a fraction of it. Without it,
VMs with the same stale report would all choose the same one of several equal
targets."""

Eligible = Callable[[Target, float], bool]


@dataclasses.dataclass(kw_only=True, slots=True)
class PipelinePlanner:
    """Plans chains for one VM and replaces failed stages.

    The VM calls each stage itself, so a stage costs its own time and a round
    trip between the VM and its target. Only the ends of the targets' ranges
    are considered as stage boundaries: the time of a stage is linear in its
    number of layers, so the sum of the times has its minimum there.

    Attributes:
        data_centre: Data centre of the VM.
        links: Delay and bandwidth of the links between data centres.
        eligible: Returns whether a target may get new work at a time.
        rng: Source of the jitter that spreads requests over similar targets;
            None for no jitter.
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
            version: Requested version. If empty, any version is allowed, but
                all stages run the same one.
            targets: Known targets.
            now: Time on the host's clock, in seconds.

        Returns:
            Hops in layer order, or None when no chain covers all layers.
        """
        best: ChainPath | None = None
        rows = self.select_targets(
            targets, model=model, version=version, now=now
        )
        for (_, layers), group in sorted(group_by_version(rows).items()):
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
        """Plans hops that replace a failed one.

        Targets that already run a stage of the request are not used again.

        Args:
            request: The request; its current attempt has the failed chain.
            failed_target_id: Target of the failed hop.
            targets: Known targets.
            now: Time on the host's clock, in seconds.

        Returns:
            Hops in layer order, or None when the other targets do not cover
            all layers of the failed hop.
        """
        attempt = request.current
        if attempt is None:
            return None
        chain = attempt.chain
        failed = [hop for hop in chain if hop.target_id == failed_target_id]
        if not failed:
            return None
        used = {hop.target_id for hop in chain}
        version, layers = find_chain_version(request, targets, used)
        rows = [
            row
            for row in self.select_targets(
                targets, model=request.model, version=version, now=now
            )
            if row.report.target_id not in used
            and layers in (0, row.report.total_layers)
        ]
        best: ChainPath | None = None
        for group in group_by_version(rows).values():
            path = find_chain(
                self.build_candidates(group),
                failed[0].first_layer,
                failed[0].last_layer + 1,
            )
            if path and (best is None or path.cost < best.cost):
                best = path
        return build_hops(best)

    def select_targets(
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

    def build_candidates(self, rows: Iterable[Target]) -> list[StageCandidate]:
        """Builds the candidates and drops the dominated ones."""
        return drop_dominated_candidates(
            self.build_candidate(row) for row in rows
        )

    def build_candidate(self, row: Target) -> StageCandidate:
        """Estimates a target's stage costs from its report and measurements."""
        report = row.report
        speed = (
            row.measured_tokens_per_second
            or report.tokens_per_second
            or DEFAULT_TOKENS_PER_SECOND
        )
        factor = compute_queueing_factor(row)
        if self.rng is not None:
            factor *= 1.0 + JITTER * self.rng.random()
        return StageCandidate(
            target_id=report.target_id,
            address=report.address,
            first=report.first_layer,
            end=report.last_layer + 1,
            layer_seconds=factor / speed / report.total_layers,
            link_seconds=self.estimate_round_trip_seconds(row),
        )

    def estimate_round_trip_seconds(self, row: Target) -> float:
        """Returns the round-trip time for one token, in seconds."""
        target_centre = row.report.data_centre
        outbound = self.links.get(self.data_centre, target_centre)
        inbound = self.links.get(target_centre, self.data_centre)
        if row.link_seconds:
            outbound = dataclasses.replace(outbound, delay_s=row.link_seconds)
            inbound = dataclasses.replace(inbound, delay_s=row.link_seconds)
        return outbound.seconds(HIDDEN_STATE_BYTES) + inbound.seconds(
            HIDDEN_STATE_BYTES
        )


def compute_queueing_factor(row: Target) -> float:
    """Returns the factor by which load slows a stage; at least 1.

    The load is the reported one plus the requests that this VM has sent since
    the report. Requests beyond the number of slots wait and count twice.
    """
    report = row.report
    load = report.running + report.queued + row.sent_since_report
    slots = max(1, report.slots)
    waiting = max(0, load + 1 - slots)
    return 1.0 + load / slots + waiting / slots


def group_by_version(
    rows: Iterable[Target],
) -> dict[tuple[str, int], list[Target]]:
    """Groups targets by version and layer count; a chain stays in one group."""
    groups: dict[tuple[str, int], list[Target]] = collections.defaultdict(list)
    for row in rows:
        report = row.report
        groups[report.version, report.total_layers].append(row)
    return groups


def find_chain_version(
    request: Request, targets: TargetTable, used: set[str]
) -> tuple[str, int]:
    """Returns the version and layer count of the request's current chain.

    A chain never mixes versions, even when the request does not name one.

    Args:
        request: The request.
        targets: Known targets.
        used: IDs of the targets in the chain.

    Returns:
        The version and layer count that a target of the chain reports, or the
        requested version and 0 if none of them is known.
    """
    for target_id in sorted(used):
        row = targets.get(target_id)
        if row is not None and row.report.model == request.model:
            return row.report.version, row.report.total_layers
    return request.version, 0


def build_hops(path: ChainPath | None) -> tuple[Hop, ...] | None:
    """Converts a path to hops; returns None when there is no path."""
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
