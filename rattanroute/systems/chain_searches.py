"""Searches for the cheapest chain of targets that covers a range of layers.

A chain is a sequence of stages. Each stage is one target that runs a
contiguous range of layers. The ranges that targets can run may overlap.
"""

import bisect
from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import math
from typing import NamedTuple

BOTTLENECK_WEIGHT = 1.0
"""Weight of the slowest stage relative to the sum of all stages. The sum is the
latency of a token; the slowest stage limits the throughput of the chain."""
MAX_CANDIDATES_PER_BOUNDARY = 32
"""Most targets considered at one layer boundary; limits the planning time with
hundreds of targets. The limit does not affect the result while no boundary has
more targets than this."""
ROUNDING_TOLERANCE = 1e-9
"""Relative tolerance of cost bounds for floating-point rounding of sums."""
MAX_REPEAT_SPLITS = 1
"""Most times that the search branches to exclude a repeated target. After that,
the best valid chain derived from the results is used. With 60 random ranges
its cost was 0.4% higher on average, and at most 8% higher, than after eight
splits. Each split runs two more searches of several milliseconds."""
COST_TOLERANCE = 0.05
"""The search stops at a chain whose cost exceeds the lower bound by at most
this fraction. Measured speeds and reported loads vary by more."""

StartLimits = dict[str, tuple[int, int]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StageCandidate:
    """A target that can run one stage of a chain, with its costs.

    The planner chooses the unit of work that the times refer to: one token or
    a whole request.

    Attributes:
        target_id: ID of the target.
        address: Base URL.
        first: First layer that the target can run.
        end: Layer after the last one that the target can run.
        layer_seconds: Time to run one layer, including queueing, in seconds.
        link_seconds: Fixed cost of the stage, such as network delay, in
            seconds.
    """

    target_id: str
    address: str
    first: int
    end: int
    layer_seconds: float
    link_seconds: float

    def stage_seconds(self, layers: int) -> float:
        """Returns the time of a stage with this many layers, in seconds."""
        return layers * self.layer_seconds + self.link_seconds


class Stage(NamedTuple):
    """A stage that may extend a path; a tuple because it is cheap to create.

    Attributes:
        candidate: The target that runs the stage.
        seconds: Time of the stage, in seconds.
        end: Layer after the last one of the stage.
    """

    candidate: StageCandidate
    seconds: float
    end: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChainPath:
    """A complete chain or the leading stages of one, as a linked list.

    Attributes:
        total: Sum of the stage times, in seconds.
        slowest: Time of the slowest stage, in seconds.
        end: Layer after the last one of the path.
        candidate: Target of the last stage; None for the empty path.
        previous: The path without its last stage; None for the empty path.
    """

    total: float
    slowest: float
    end: int
    candidate: StageCandidate | None = None
    previous: "ChainPath | None" = None

    @property
    def cost(self) -> float:
        """Total time plus the weighted time of the slowest stage."""
        return self.total + BOTTLENECK_WEIGHT * self.slowest

    def steps(self) -> list[tuple[StageCandidate, int, int]]:
        """Returns each stage as (candidate, first layer, end layer)."""
        found: list[tuple[StageCandidate, int, int]] = []
        path: ChainPath | None = self
        while path is not None and path.previous is not None:
            found.append((path.candidate, path.previous.end, path.end))
            path = path.previous
        return found[::-1]


Extension = tuple[float, float, int, Stage, ChainPath]
"""Total time, slowest stage time, insertion order, last stage, preceding path.
A tuple because tens of thousands of them are sorted."""


def drop_dominated_candidates(
    candidates: Iterable[StageCandidate],
) -> list[StageCandidate]:
    """Drops candidates that can never improve a chain.

    At most as many stages can begin within a range as there are boundaries in
    it. A target is never needed if that many targets with the same range are
    at least as good in both layer time and link time, because at least one of
    them is always free.
    """
    ranges: dict[tuple[int, int], list[StageCandidate]] = {}
    for item in candidates:
        ranges.setdefault((item.first, item.end), []).append(item)
    cuts = {first for first, _ in ranges} | {end for _, end in ranges}
    kept: list[StageCandidate] = []
    for (first, end), group in ranges.items():
        stages = sum(first <= cut < end for cut in cuts)
        group.sort(key=lambda item: (item.layer_seconds, item.link_seconds))
        kept.extend(keep_undominated(group, stages))
    return kept


def keep_undominated(
    group: list[StageCandidate], limit: int
) -> list[StageCandidate]:
    """Returns the candidates that fewer than `limit` others dominate.

    Args:
        group: Candidates with the same range, fastest first.
        limit: Number of dominating candidates that make one unnecessary.
    """
    kept: list[StageCandidate] = []
    best: list[float] = []
    for item in group:
        if len(best) < limit or item.link_seconds < best[-1]:
            kept.append(item)
            bisect.insort(best, item.link_seconds)
            del best[limit:]
    return kept


def find_chain(
    candidates: list[StageCandidate], first: int, end: int
) -> ChainPath | None:
    """Finds a chain without repeated targets whose cost is near the minimum.

    This is a branch-and-bound search. A chain that uses a target twice is
    excluded by two narrower searches: in one, the target's stage may begin
    only before the layer of its second use, in the other only at that layer or
    later. The cheapest search result not yet split is a lower bound for all
    remaining chains; the search stops at a valid chain close to this bound.

    Args:
        candidates: Targets that may run a stage.
        first: First layer.
        end: Layer after the last one.

    Returns:
        The chain, or None when the candidates do not cover all layers.
    """
    order = itertools.count()
    start = search_cheapest(candidates, first, end, {})
    heap = [(start.cost, next(order), start, {})] if start else []
    best: ChainPath | None = None
    for splits in range(MAX_REPEAT_SPLITS + 1):
        if not heap:
            break
        bound, _, path, limits = heapq.heappop(heap)
        valid = merge_repeated_targets(path)
        if best is None or valid.cost < best.cost:
            best = valid
        close = best.cost <= bound * (1 + COST_TOLERANCE)
        if close or splits == MAX_REPEAT_SPLITS:
            break
        target_id, begin = find_repeated_target(path)
        low, high = limits.get(target_id, (first, end))
        for limit in ((low, min(high, begin)), (max(low, begin), high)):
            narrowed = {**limits, target_id: limit}
            found = search_cheapest(candidates, first, end, narrowed, best.cost)
            if found is not None:
                entry = (found.cost, next(order), found, narrowed)
                heapq.heappush(heap, entry)
    return best


def merge_repeated_targets(path: ChainPath) -> ChainPath:
    """Merges the stages of a repeated target, and all between, into one."""
    while find_repeated_target(path) is not None:
        target_id = find_repeated_target(path)[0]
        steps = path.steps()
        uses = [
            position
            for position, step in enumerate(steps)
            if step[0].target_id == target_id
        ]
        first, last = steps[uses[0]], steps[uses[-1]]
        joined = (first[0], first[1], last[2])
        steps[uses[0] : uses[-1] + 1] = [joined]
        path = build_path(steps)
    return path


def build_path(steps: list[tuple[StageCandidate, int, int]]) -> ChainPath:
    """Builds a path from stages of (candidate, first layer, end layer)."""
    path = ChainPath(total=0.0, slowest=0.0, end=steps[0][1])
    for candidate, begin, end in steps:
        seconds = candidate.stage_seconds(end - begin)
        path = ChainPath(
            total=path.total + seconds,
            slowest=max(path.slowest, seconds),
            end=end,
            candidate=candidate,
            previous=path,
        )
    return path


def find_repeated_target(path: ChainPath) -> tuple[str, int] | None:
    """Returns a repeated target and the first layer of its second stage."""
    seen: set[str] = set()
    for candidate, begin, _ in path.steps():
        if candidate.target_id in seen:
            return candidate.target_id, begin
        seen.add(candidate.target_id)
    return None


def search_cheapest(
    candidates: list[StageCandidate],
    first: int,
    end: int,
    limits: StartLimits,
    ceiling: float = math.inf,
) -> ChainPath | None:
    """Finds the cheapest chain for a range; it may repeat targets.

    The chain with the smallest sum of stage times gives an upper bound on the
    cost. Paths are then extended in layer order. A path is dropped when its
    cost plus the smallest sum for the remaining layers exceeds the bound.

    Args:
        candidates: Targets that may run a stage.
        first: First layer.
        end: Layer after the last one.
        limits: For some targets, the half-open range of layers at which
            their stage may begin.
        ceiling: Cost above which a chain is not useful.

    Returns:
        The chain, or None when there is none within the limits and ceiling.
    """
    usable = [c for c in candidates if c.first < end and c.end > first]
    cuts = {max(c.first, first) for c in usable}
    cuts |= {min(c.end, end) for c in usable}
    boundaries = sorted(cuts | {first, end})
    starting: dict[int, list[StageCandidate]] = {}
    for begin in boundaries[:-1]:
        found = [
            c
            for c in usable
            if c.first <= begin < c.end and may_begin(c, begin, limits)
        ]
        starting[begin] = keep_fastest(found, begin, end)
    remaining, bound = find_smallest_sum(boundaries, starting)
    if bound is None:
        return None
    bound = min(bound, ceiling * (1 + ROUNDING_TOLERANCE))
    arriving: dict[int, list[Extension]] = {cut: [] for cut in boundaries}
    pareto_front = [ChainPath(total=0.0, slowest=0.0, end=first)]
    for position, begin in enumerate(boundaries[:-1]):
        for candidate in starting[begin] if pareto_front else ():
            for cut in boundaries[position + 1 :]:
                if cut > candidate.end:
                    break
                seconds = candidate.stage_seconds(cut - begin)
                limit = bound - remaining[cut] - seconds
                if pareto_front[0].total + BOTTLENECK_WEIGHT * seconds <= limit:
                    stage = Stage(candidate, seconds, cut)
                    extend_paths(arriving[cut], pareto_front, stage, limit)
        pareto_front = build_pareto_front(arriving[boundaries[position + 1]])
    return min(pareto_front, key=lambda path: path.cost, default=None)


def find_smallest_sum(
    boundaries: list[int], starting: dict[int, list[StageCandidate]]
) -> tuple[dict[int, float], float | None]:
    """Finds the smallest sum of stage times from each boundary to the end.

    Args:
        boundaries: Layers at which stages may begin or end, in order.
        starting: Candidates whose stage may begin at each boundary.

    Returns:
        The sums by boundary, and the cost of the complete chain with the
        smallest sum, raised by the rounding tolerance. The cost is None when
        there is no chain.
    """
    end = boundaries[-1]
    sums = {end: 0.0}
    slowest_from = {end: 0.0}
    for position in range(len(boundaries) - 2, -1, -1):
        begin = boundaries[position]
        best = math.inf
        slowest = 0.0
        for candidate in starting[begin]:
            layer_seconds = candidate.layer_seconds
            link_seconds = candidate.link_seconds
            last = candidate.end
            for cut in boundaries[position + 1 :]:
                if cut > last:
                    break
                seconds = (cut - begin) * layer_seconds + link_seconds
                if seconds + sums[cut] < best:
                    best = seconds + sums[cut]
                    slowest = max(seconds, slowest_from[cut])
        sums[begin] = best
        slowest_from[begin] = slowest
    first = boundaries[0]
    if sums[first] == math.inf:
        return sums, None
    cost = sums[first] + BOTTLENECK_WEIGHT * slowest_from[first]
    return sums, cost * (1 + ROUNDING_TOLERANCE)


def may_begin(
    candidate: StageCandidate, begin: int, limits: StartLimits
) -> bool:
    """Returns whether the limits let a target's stage begin at a layer."""
    if candidate.target_id not in limits:
        return True
    low, high = limits[candidate.target_id]
    return low <= begin < high


def extend_paths(
    arriving: list[Extension],
    pareto_front: list[ChainPath],
    stage: Stage,
    limit: float,
) -> None:
    """Extends paths by a stage unless the result exceeds a cost limit.

    Args:
        arriving: List to which the extended paths are added.
        pareto_front: Paths that end where the stage begins, smallest total
            first.
        stage: The stage.
        limit: Largest cost of an extended path, not counting the stage's own
            time in the total, that can still belong to the cheapest chain.
    """
    seconds = stage.seconds
    for path in pareto_front:
        slowest = path.slowest if path.slowest > seconds else seconds
        if path.total + BOTTLENECK_WEIGHT * slowest <= limit:
            order = len(arriving)
            arriving.append((path.total + seconds, slowest, order, stage, path))
        if slowest == seconds:
            break


def build_pareto_front(arriving: list[Extension]) -> list[ChainPath]:
    """Returns the Pareto front of the paths, smallest total first."""
    pareto_front: list[ChainPath] = []
    best = math.inf
    for total, slowest, _, stage, previous in sorted(arriving):
        if slowest < best:
            best = slowest
            pareto_front.append(
                ChainPath(
                    total=total,
                    slowest=slowest,
                    end=stage.end,
                    candidate=stage.candidate,
                    previous=previous,
                )
            )
    return pareto_front


def keep_fastest(
    candidates: list[StageCandidate], begin: int, end: int
) -> list[StageCandidate]:
    """Returns the candidates with the lowest time per layer from `begin`."""
    if len(candidates) <= MAX_CANDIDATES_PER_BOUNDARY:
        return candidates

    def seconds_per_layer(item: StageCandidate) -> float:
        layers = min(item.end, end) - begin
        return item.stage_seconds(layers) / layers

    return heapq.nsmallest(
        MAX_CANDIDATES_PER_BOUNDARY, candidates, key=seconds_per_layer
    )
