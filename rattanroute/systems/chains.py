"""Finds the cheapest chain over overlapping ranges of layers."""

import bisect
from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import math
from typing import NamedTuple

BOTTLENECK_WEIGHT = 1.0
"""Weight of the slowest stage beside the sum of all: the sum is the time of a
token, the slowest stage bounds the tokens per second of the chain."""
MAX_STARTING = 32
"""Targets considered at one layer boundary. Below it the chain is a cheapest
one; it bounds the time of planning with hundreds of targets."""
ROUNDING = 1e-9
"""Relative slack of a bound against rounding of sums."""
MAX_REPEAT_SPLITS = 1
"""Times that a search is split to exclude a target used twice. After them the
best valid chain derived from those found is taken. With 60 random ranges it
cost 0.4% more on average, and 8% at most, than after eight splits, each of
which takes two more searches of several milliseconds."""
COST_TOLERANCE = 0.05
"""Relative excess of a chain over the lower bound at which the search ends;
measured speeds and reported loads vary by more."""

Limits = dict[str, tuple[int, int]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A target as the search sees it.

    Attributes:
        target_id: The target.
        address: Base URL.
        first: First layer that it may run.
        end: Layer after the last one that it may run.
        layer_seconds: Time of one layer for one token, with queueing.
        link_seconds: Round trip between this VM and the target.
    """

    target_id: str
    address: str
    first: int
    end: int
    layer_seconds: float
    link_seconds: float

    def stage_seconds(self, layers: int) -> float:
        """Returns the time of a stage for one token."""
        return layers * self.layer_seconds + self.link_seconds


class Stage(NamedTuple):
    """A stage that may extend a path; a tuple for its low cost.

    Attributes:
        candidate: The target.
        seconds: Time of the stage for one token.
        end: Layer after the last one of the stage.
    """

    candidate: Candidate
    seconds: float
    end: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Path:
    """The first part of a chain.

    Attributes:
        total: Sum of the stage times.
        worst: Time of the slowest stage.
        end: Layer after the last one of the path.
        candidate: Target of the last stage; None for the empty path.
        previous: The path without its last stage.
    """

    total: float
    worst: float
    end: int
    candidate: Candidate | None = None
    previous: "Path | None" = None

    @property
    def cost(self) -> float:
        """Time per token with the weighted bottleneck."""
        return self.total + BOTTLENECK_WEIGHT * self.worst

    def steps(self) -> list[tuple[Candidate, int, int]]:
        """Returns each stage with its first layer and the one after it."""
        found: list[tuple[Candidate, int, int]] = []
        path: Path | None = self
        while path is not None and path.previous is not None:
            found.append((path.candidate, path.previous.end, path.end))
            path = path.previous
        return found[::-1]


Extension = tuple[float, float, int, Stage, Path]
"""Sum, slowest stage, order of arrival, last stage and the path before it;
a tuple, as tens of thousands of them are sorted."""


def drop_dominated(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Drops candidates that can never make a chain better.

    At most as many stages begin within a range as it contains cuts. A target
    that as many others of the same range beat in both speed and link is never
    needed: one of them is always unused and at least as good.
    """
    ranges: dict[tuple[int, int], list[Candidate]] = {}
    for item in candidates:
        ranges.setdefault((item.first, item.end), []).append(item)
    cuts = {first for first, _ in ranges} | {end for _, end in ranges}
    kept: list[Candidate] = []
    for (first, end), group in ranges.items():
        stages = sum(first <= cut < end for cut in cuts)
        group.sort(key=lambda item: (item.layer_seconds, item.link_seconds))
        kept.extend(keep_undominated(group, stages))
    return kept


def keep_undominated(group: list[Candidate], limit: int) -> list[Candidate]:
    """Returns the items that fewer than `limit` faster ones beat.

    Args:
        group: Candidates of one range, fastest first.
        limit: Number of better ones that make a candidate useless.
    """
    kept: list[Candidate] = []
    best: list[float] = []
    for item in group:
        if len(best) < limit or item.link_seconds < best[-1]:
            kept.append(item)
            bisect.insort(best, item.link_seconds)
            del best[limit:]
    return kept


def find_chain(
    candidates: list[Candidate], first: int, end: int
) -> Path | None:
    """Finds a cheapest chain, within a tolerance, that repeats no target.

    A cheapest chain that uses a target twice is excluded by two searches:
    one in which that target begins only before, and one in which it begins
    only from, its last use. Its cost bounds that of all chains not yet
    excluded from below; a valid chain that comes close to it is taken.
    """
    order = itertools.count()
    start = search(candidates, first, end, {})
    heap = [(start.cost, next(order), start, {})] if start else []
    best: Path | None = None
    for splits in range(MAX_REPEAT_SPLITS + 1):
        if not heap:
            break
        bound, _, path, limits = heapq.heappop(heap)
        valid = merge_repeated(path)
        if best is None or valid.cost < best.cost:
            best = valid
        close = best.cost <= bound * (1 + COST_TOLERANCE)
        if close or splits == MAX_REPEAT_SPLITS:
            break
        target_id, begin = find_repeated(path)
        low, high = limits.get(target_id, (first, end))
        for limit in ((low, min(high, begin)), (max(low, begin), high)):
            narrowed = {**limits, target_id: limit}
            found = search(candidates, first, end, narrowed, best.cost)
            if found is not None:
                entry = (found.cost, next(order), found, narrowed)
                heapq.heappush(heap, entry)
    return best


def merge_repeated(path: Path) -> Path:
    """Lets each target that a chain uses twice run all layers in between."""
    while find_repeated(path) is not None:
        target_id = find_repeated(path)[0]
        steps = path.steps()
        uses = [
            place
            for place, step in enumerate(steps)
            if step[0].target_id == target_id
        ]
        first, last = steps[uses[0]], steps[uses[-1]]
        joined = (first[0], first[1], last[2])
        steps[uses[0] : uses[-1] + 1] = [joined]
        path = build_path(steps)
    return path


def build_path(steps: list[tuple[Candidate, int, int]]) -> Path:
    """Builds a path of stages, each with its first layer and the one after."""
    path = Path(total=0.0, worst=0.0, end=steps[0][1])
    for candidate, begin, end in steps:
        seconds = candidate.stage_seconds(end - begin)
        path = Path(
            total=path.total + seconds,
            worst=max(path.worst, seconds),
            end=end,
            candidate=candidate,
            previous=path,
        )
    return path


def find_repeated(path: Path) -> tuple[str, int] | None:
    """Returns a target used twice with the first layer of its last use."""
    seen: set[str] = set()
    for candidate, begin, _ in path.steps():
        if candidate.target_id in seen:
            return candidate.target_id, begin
        seen.add(candidate.target_id)
    return None


def search(
    candidates: list[Candidate],
    first: int,
    end: int,
    limits: Limits,
    ceiling: float = math.inf,
) -> Path | None:
    """Finds the cheapest chain from layer `first` to before `end`.

    The chain with the smallest sum gives a bound. Paths are then extended in
    layer order, and dropped when even the smallest sum of the remaining
    layers exceeds the bound.

    Args:
        candidates: Targets.
        first: First layer.
        end: Layer after the last one.
        limits: For some targets, the half-open range of layers at which
            their stage may begin.
        ceiling: Cost above which a chain is of no use.
    """
    usable = [c for c in candidates if c.first < end and c.end > first]
    cuts = {max(c.first, first) for c in usable}
    cuts |= {min(c.end, end) for c in usable}
    boundaries = sorted(cuts | {first, end})
    starting: dict[int, list[Candidate]] = {}
    for begin in boundaries[:-1]:
        found = [
            c
            for c in usable
            if c.first <= begin < c.end and allowed(c, begin, limits)
        ]
        starting[begin] = keep_fastest(found, begin, end)
    remaining, bound = find_smallest_sum(boundaries, starting)
    if bound is None:
        return None
    bound = min(bound, ceiling * (1 + ROUNDING))
    arriving: dict[int, list[Extension]] = {cut: [] for cut in boundaries}
    front = [Path(total=0.0, worst=0.0, end=first)]
    for place, begin in enumerate(boundaries[:-1]):
        for candidate in starting[begin] if front else ():
            for cut in boundaries[place + 1 :]:
                if cut > candidate.end:
                    break
                seconds = candidate.stage_seconds(cut - begin)
                limit = bound - remaining[cut] - seconds
                if front[0].total + BOTTLENECK_WEIGHT * seconds <= limit:
                    stage = Stage(candidate, seconds, cut)
                    extend(arriving[cut], front, stage, limit)
        front = build_front(arriving[boundaries[place + 1]])
    return min(front, key=lambda path: path.cost, default=None)


def find_smallest_sum(
    boundaries: list[int], starting: dict[int, list[Candidate]]
) -> tuple[dict[int, float], float | None]:
    """Finds the smallest sum of stage times from each boundary to the end.

    Returns:
        The sums by boundary, and the cost of the whole chain with the
        smallest sum, slightly rounded up; None when there is no chain.
    """
    end = boundaries[-1]
    sums = {end: 0.0}
    worst = {end: 0.0}
    for place in range(len(boundaries) - 2, -1, -1):
        begin = boundaries[place]
        best = math.inf
        slowest = 0.0
        for candidate in starting[begin]:
            layer_seconds = candidate.layer_seconds
            link_seconds = candidate.link_seconds
            last = candidate.end
            for cut in boundaries[place + 1 :]:
                if cut > last:
                    break
                seconds = (cut - begin) * layer_seconds + link_seconds
                if seconds + sums[cut] < best:
                    best = seconds + sums[cut]
                    slowest = max(seconds, worst[cut])
        sums[begin] = best
        worst[begin] = slowest
    first = boundaries[0]
    if sums[first] == math.inf:
        return sums, None
    cost = sums[first] + BOTTLENECK_WEIGHT * worst[first]
    return sums, cost * (1 + ROUNDING)


def allowed(candidate: Candidate, begin: int, limits: Limits) -> bool:
    """Returns whether a target's stage may begin at a layer."""
    if candidate.target_id not in limits:
        return True
    low, high = limits[candidate.target_id]
    return low <= begin < high


def extend(
    arriving: list[Extension], front: list[Path], stage: Stage, limit: float
) -> None:
    """Extends paths by a stage unless the result exceeds a bound.

    Args:
        arriving: Takes the extended paths.
        front: Paths that end where the stage begins, smallest sum first.
        stage: The stage.
        limit: Largest cost of a path, without the stage's own time, that can
            still belong to the cheapest chain.
    """
    seconds = stage.seconds
    for path in front:
        worst = path.worst if path.worst > seconds else seconds
        if path.total + BOTTLENECK_WEIGHT * worst <= limit:
            order = len(arriving)
            arriving.append((path.total + seconds, worst, order, stage, path))
        if worst == seconds:
            break


def build_front(arriving: list[Extension]) -> list[Path]:
    """Returns the paths that no other dominates, smallest sum first."""
    front: list[Path] = []
    best = math.inf
    for total, worst, _, stage, previous in sorted(arriving):
        if worst < best:
            best = worst
            front.append(
                Path(
                    total=total,
                    worst=worst,
                    end=stage.end,
                    candidate=stage.candidate,
                    previous=previous,
                )
            )
    return front


def keep_fastest(
    candidates: list[Candidate], begin: int, end: int
) -> list[Candidate]:
    """Returns the candidates that are fastest from a layer on."""
    if len(candidates) <= MAX_STARTING:
        return candidates

    def seconds_per_layer(item: Candidate) -> float:
        layers = min(item.end, end) - begin
        return item.stage_seconds(layers) / layers

    return heapq.nsmallest(MAX_STARTING, candidates, key=seconds_per_layer)
