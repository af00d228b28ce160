"""Decides which layers empty engines load.

Passing work between data centres takes a shared pipe and a delay for each
token, so that each data centre gets all layers where its memory allows it.
There the width of a target's range follows from its memory and from the
number of requests that a chain is to hold at once. Fast targets come first;
the targets that are left hold layers a second time. Targets that hold layers
keep them, and a gap is filled by the first empty target.
"""

from collections.abc import Iterable
import dataclasses

from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import Engine

# Requests at once below which a data centre does not try to hold all layers;
# its targets then serve together with those of the others.
MIN_REQUESTS = 8
# Requests at once for which targets are planned that serve with those of
# other data centres.
SHARED_REQUESTS = 40
# Weight of the time of a request against the requests a second: a shorter
# request also loses less when a target fails.
LATENCY_WEIGHT = 0.6
# A token that arrives at a stage waits for half of the pass under way.
PASS_WAIT = 1.5
# Rounds after which the spread of requests over stages changes no more.
SPREAD_ROUNDS = 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LayerRange:
    """Layers of a stage; `end` is the layer after the last one."""

    first: int
    end: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StageHolder:
    """A target as the plan sees it.

    Attributes:
        target_id: The target.
        data_centre: Its data centre.
        accelerator: Its kind of accelerator.
        layers: Layers that it holds or was told to load; None when empty.
    """

    target_id: str
    data_centre: str
    accelerator: str
    layers: LayerRange | None = None


def measure_width(
    engine: Engine, accelerator: Accelerator, requests: int
) -> int:
    """Returns the layers that fit beside the cache of some requests.

    The least is one layer, unless not even that fits the memory.
    """
    tokens = engine.typical_prompt + engine.typical_answer
    cache_bytes = tokens * engine.cache_token_bytes / engine.layers
    per_layer = engine.layer_bytes + requests * cache_bytes
    width = int(accelerator.memory_bytes / per_layer)
    if width == 0 and accelerator.memory_bytes > engine.layer_bytes:
        return 1
    return min(width, engine.layers)


def choose_requests(engine: Engine, kinds: list[Accelerator]) -> int:
    """Returns the requests at once for which ranges are planned.

    More requests need narrower ranges, and so more of the slow targets: the
    number is taken that serves the most requests a second, weighed against
    the time of each.

    Args:
        engine: Model of the engines.
        kinds: The kind of each target of a data centre, fast ones first.

    Returns:
        The requests, at most the slots of an engine; 0 when the targets do
        not cover the model with a useful number.
    """
    best, best_value = 0, 0.0
    for requests in range(MIN_REQUESTS, engine.slots + 1):
        stages = build_chain(engine, kinds, requests)
        if not stages:
            break
        seconds = estimate_seconds(engine, stages, requests)
        value = requests / seconds ** (1 + LATENCY_WEIGHT)
        if value > best_value:
            best, best_value = requests, value
    return best


def build_chain(
    engine: Engine, kinds: list[Accelerator], requests: int
) -> list[tuple[Accelerator, int]]:
    """Returns the first targets that cover the model, with their layers."""
    left = engine.layers
    stages = []
    for kind in kinds:
        width = min(measure_width(engine, kind, requests), left)
        if width:
            stages.append((kind, width))
            left -= width
        if not left:
            return stages
    return []


def estimate_seconds(
    engine: Engine, stages: list[tuple[Accelerator, int]], requests: int
) -> float:
    """Returns the time of a typical request on a chain that is full.

    The requests spread over the stages by the time that they spend at each.
    """
    context = engine.typical_prompt + engine.typical_answer / 2
    per_request = engine.request_step_s + engine.context_step_s * context
    times = [1.0] * len(stages)
    for _ in range(SPREAD_ROUNDS):
        total = sum(times)
        times = [
            measure_share(engine, width)
            * kind.step_factor
            * (
                engine.step_s
                + max(1.0, requests * seconds / total) * per_request
            )
            * PASS_WAIT
            for (kind, width), seconds in zip(stages, times, strict=True)
        ]
    reading = sum(
        measure_share(engine, width) * kind.prefill_factor
        for kind, width in stages
    )
    return engine.typical_prompt * engine.read_s * reading + max(
        1.0, engine.typical_answer
    ) * sum(times)


def measure_share(engine: Engine, width: int) -> float:
    """Returns the part of the model that some layers are."""
    return width / engine.layers


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlanGroup:
    """Targets that are to hold all layers together.

    Attributes:
        holders: The targets, fast ones first.
        requests: Requests at once for which they are planned.
    """

    holders: list[StageHolder]
    requests: int


def group_holders(
    engine: Engine, holders: Iterable[StageHolder]
) -> list[PlanGroup]:
    """Returns the data centres that serve by themselves, and the rest."""
    known = [x for x in holders if x.accelerator in engine.accelerators]
    known.sort(key=lambda x: (rank_speed(engine, x), x.target_id))
    centres: dict[str, list[StageHolder]] = {}
    for holder in known:
        centres.setdefault(holder.data_centre, []).append(holder)
    groups = []
    shared: list[StageHolder] = []
    for centre in sorted(centres):
        members = centres[centre]
        kinds = [engine.accelerators[x.accelerator] for x in members]
        requests = choose_requests(engine, kinds)
        if requests:
            groups.append(PlanGroup(holders=members, requests=requests))
        else:
            shared.extend(members)
    if shared:
        groups.append(PlanGroup(holders=shared, requests=SHARED_REQUESTS))
    return groups


def plan_stages(
    engine: Engine, holders: Iterable[StageHolder]
) -> dict[str, LayerRange]:
    """Returns the layers that each empty target should load."""
    plan: dict[str, LayerRange] = {}
    for group in group_holders(engine, holders):
        plan.update(fill_gaps(engine, group.holders, group.requests))
    return plan


def plan_moves(
    engine: Engine, holders: Iterable[StageHolder]
) -> dict[str, LayerRange]:
    """Returns other layers for targets whose own ones are held twice.

    They fill layers that no target of their data centre holds.
    """
    plan: dict[str, LayerRange] = {}
    for group in group_holders(engine, holders):
        plan.update(move_into_gaps(engine, group))
    return plan


def move_into_gaps(engine: Engine, group: PlanGroup) -> dict[str, LayerRange]:
    """Returns the moves of one group."""
    copies = count_copies(engine, group.holders)
    plan: dict[str, LayerRange] = {}
    for holder in reversed(group.holders):
        if min(copies) > 0:
            break
        held = holder.layers
        if held is None or min(copies[held.first : held.end]) < 2:
            continue
        accelerator = engine.accelerators[holder.accelerator]
        width = measure_width(engine, accelerator, group.requests)
        part = find_least_held(copies, width)
        for layer in range(held.first, held.end):
            copies[layer] -= 1
        add_copy(copies, part)
        plan[holder.target_id] = part
    return plan


def count_copies(engine: Engine, holders: list[StageHolder]) -> list[int]:
    """Returns by how many targets each layer is held."""
    copies = [0] * engine.layers
    for holder in holders:
        if holder.layers is not None:
            add_copy(copies, holder.layers)
    return copies


def rank_speed(engine: Engine, holder: StageHolder) -> float:
    """Returns how slow the kind of a target is."""
    return engine.accelerators[holder.accelerator].step_factor


def fill_gaps(
    engine: Engine, group: list[StageHolder], requests: int
) -> dict[str, LayerRange]:
    """Gives each empty target the layers that the fewest others hold."""
    copies = count_copies(engine, group)
    plan = {}
    for holder in group:
        if holder.layers is not None:
            continue
        accelerator = engine.accelerators[holder.accelerator]
        width = measure_width(engine, accelerator, requests)
        if width:
            part = find_least_held(copies, width)
            add_copy(copies, part)
            plan[holder.target_id] = part
    return plan


def find_least_held(copies: list[int], width: int) -> LayerRange:
    """Returns the first layers of which there are the fewest copies.

    A range that is narrower than the target's memory allows is extended over
    layers next to it that are held once more: a target that restarts takes
    the whole range that it had, although slower ones filled in for a part.
    """
    least = min(copies)
    first = copies.index(least)
    end = first
    while end < len(copies) and end - first < width and copies[end] == least:
        end += 1
    while first > 0 and end - first < width and copies[first - 1] <= least + 1:
        first -= 1
    return LayerRange(first=first, end=end)


def add_copy(copies: list[int], part: LayerRange) -> None:
    """Counts a copy of some layers."""
    for layer in range(part.first, min(part.end, len(copies))):
        copies[layer] += 1
