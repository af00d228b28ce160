"""Assigns ranges of layers to targets without layers.

Passing work between data centres uses shared links and adds a delay to each
token, so each data centre gets all layers if its memory allows it. There, the
width of a target's range (its number of layers) follows from its memory and
from the planned number of concurrent requests on a chain. Fast targets get
their ranges first; the remaining targets hold further copies of layers.
Targets that hold layers keep them. The first empty target fills a gap.
"""

from collections.abc import Iterable
import dataclasses

from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import Engine

# Least number of concurrent requests for which a data centre holds all layers
# by itself. If its memory allows fewer, its targets form chains with those of
# other data centres.
MIN_CONCURRENCY = 8
# Concurrent requests assumed for targets that form chains with those of other
# data centres.
SHARED_CONCURRENCY = 40
# Weight of the latency of a request relative to the throughput. A shorter
# request also loses less work when a target fails.
LATENCY_WEIGHT = 0.6
# Factor on the time of a stage: on average, a token that arrives at a stage
# waits for half of the current pass.
PASS_WAIT_FACTOR = 1.5
# Iterations after which the estimated distribution of requests over stages no
# longer changes.
BALANCE_ITERATIONS = 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LayerRange:
    """Contiguous layers of a stage; `end` is the layer after the last one."""

    first: int
    end: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LayerHolder:
    """A target that holds, or can load, a range of layers.

    Attributes:
        target_id: ID of the target.
        data_centre: Data centre of the target.
        accelerator: Kind of its accelerator.
        layers: Layers that the target holds or has been ordered to load; None
            when it is empty.
    """

    target_id: str
    data_centre: str
    accelerator: str
    layers: LayerRange | None = None


def count_fitting_layers(
    engine: Engine, accelerator: Accelerator, requests: int
) -> int:
    """Returns how many layers fit in memory beside the cache of requests.

    If none fits beside that cache but one layer fits by itself, returns 1.

    Args:
        engine: Performance model of the engines.
        accelerator: Kind of accelerator of the target.
        requests: Number of typical concurrent requests.
    """
    tokens = engine.typical_prompt + engine.typical_answer
    cache_bytes = tokens * engine.cache_token_bytes / engine.layers
    per_layer = engine.layer_bytes + requests * cache_bytes
    width = int(accelerator.memory_bytes / per_layer)
    if width == 0 and accelerator.memory_bytes > engine.layer_bytes:
        return 1
    return min(width, engine.layers)


def choose_concurrency(engine: Engine, kinds: list[Accelerator]) -> int:
    """Returns the number of concurrent requests to plan ranges for.

    More requests need narrower ranges, and therefore more of the slow targets.
    The result has the best throughput, weighted by the latency of a request.

    Args:
        engine: Performance model of the engines.
        kinds: Accelerator of each target of a data centre, fastest first.

    Returns:
        The number of requests, at most the slots of an engine; 0 when the
        targets cannot hold all layers for the least useful number.
    """
    best, best_value = 0, 0.0
    for requests in range(MIN_CONCURRENCY, engine.slots + 1):
        stages = allocate_layers(engine, kinds, requests)
        if not stages:
            break
        seconds = estimate_request_seconds(engine, stages, requests)
        value = requests / seconds ** (1 + LATENCY_WEIGHT)
        if value > best_value:
            best, best_value = requests, value
    return best


def allocate_layers(
    engine: Engine, kinds: list[Accelerator], requests: int
) -> list[tuple[Accelerator, int]]:
    """Assigns all layers to the first targets that have room for them.

    Args:
        engine: Performance model of the engines.
        kinds: Accelerator of each target, fastest first.
        requests: Number of concurrent requests.

    Returns:
        The accelerator and number of layers of each stage; empty when the
        targets cannot hold all layers.
    """
    remaining = engine.layers
    stages = []
    for kind in kinds:
        width = min(count_fitting_layers(engine, kind, requests), remaining)
        if width:
            stages.append((kind, width))
            remaining -= width
        if not remaining:
            return stages
    return []


def estimate_request_seconds(
    engine: Engine, stages: list[tuple[Accelerator, int]], requests: int
) -> float:
    """Estimates the time of a typical request on a fully loaded chain.

    The share of the requests at each stage is in proportion to the time that
    they spend there. It is found by fixed-point iteration.

    Args:
        engine: Performance model of the engines.
        stages: Accelerator and number of layers of each stage.
        requests: Number of concurrent requests on the chain.

    Returns:
        The time in seconds.
    """
    context = engine.typical_prompt + engine.typical_answer / 2
    per_request = engine.request_step_s + engine.context_step_s * context
    times = [1.0] * len(stages)
    for _ in range(BALANCE_ITERATIONS):
        total = sum(times)
        times = [
            compute_layer_fraction(engine, width)
            * kind.step_factor
            * (
                engine.step_s
                + max(1.0, requests * seconds / total) * per_request
            )
            * PASS_WAIT_FACTOR
            for (kind, width), seconds in zip(stages, times, strict=True)
        ]
    prefill_factor = sum(
        compute_layer_fraction(engine, width) * kind.prefill_factor
        for kind, width in stages
    )
    return engine.typical_prompt * engine.prefill_s * prefill_factor + max(
        1.0, engine.typical_answer
    ) * sum(times)


def compute_layer_fraction(engine: Engine, width: int) -> float:
    """Returns the fraction of the model's layers in a range of this width."""
    return width / engine.layers


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HolderGroup:
    """Targets that together hold, or should hold, all layers.

    Attributes:
        holders: The targets, fastest first.
        requests: Number of concurrent requests to plan for.
    """

    holders: list[LayerHolder]
    requests: int


def group_holders(
    engine: Engine, holders: Iterable[LayerHolder]
) -> list[HolderGroup]:
    """Groups targets that serve together.

    Each data centre that can hold all layers is a group of its own. The
    targets of all other data centres form one group. Targets with an unknown
    kind of accelerator are left out.
    """
    known = [x for x in holders if x.accelerator in engine.accelerators]
    known.sort(key=lambda x: (get_step_factor(engine, x), x.target_id))
    centres: dict[str, list[LayerHolder]] = {}
    for holder in known:
        centres.setdefault(holder.data_centre, []).append(holder)
    groups = []
    shared: list[LayerHolder] = []
    for centre in sorted(centres):
        members = centres[centre]
        kinds = [engine.accelerators[x.accelerator] for x in members]
        requests = choose_concurrency(engine, kinds)
        if requests:
            groups.append(HolderGroup(holders=members, requests=requests))
        else:
            shared.extend(members)
    if shared:
        groups.append(HolderGroup(holders=shared, requests=SHARED_CONCURRENCY))
    return groups


def plan_loads(
    engine: Engine, holders: Iterable[LayerHolder]
) -> dict[str, LayerRange]:
    """Returns the layers that each empty target should load, by target."""
    plan: dict[str, LayerRange] = {}
    for group in group_holders(engine, holders):
        plan.update(assign_empty_targets(engine, group.holders, group.requests))
    return plan


def plan_moves(
    engine: Engine, holders: Iterable[LayerHolder]
) -> dict[str, LayerRange]:
    """Returns new layers for targets whose layers all have another holder.

    The new ranges cover layers that no target of the group holds.
    """
    plan: dict[str, LayerRange] = {}
    for group in group_holders(engine, holders):
        plan.update(plan_group_moves(engine, group))
    return plan


def plan_group_moves(
    engine: Engine, group: HolderGroup
) -> dict[str, LayerRange]:
    """Returns the moves within one group; empty when no layer is missing."""
    copies = count_copies(engine, group.holders)
    plan: dict[str, LayerRange] = {}
    for holder in reversed(group.holders):
        if min(copies) > 0:
            break
        held = holder.layers
        if held is None or min(copies[held.first : held.end]) < 2:
            continue
        accelerator = engine.accelerators[holder.accelerator]
        width = count_fitting_layers(engine, accelerator, group.requests)
        assigned = find_least_copied(copies, width)
        for layer in range(held.first, held.end):
            copies[layer] -= 1
        add_copy(copies, assigned)
        plan[holder.target_id] = assigned
    return plan


def count_copies(engine: Engine, holders: list[LayerHolder]) -> list[int]:
    """Returns, for each layer, how many targets hold it."""
    copies = [0] * engine.layers
    for holder in holders:
        if holder.layers is not None:
            add_copy(copies, holder.layers)
    return copies


def get_step_factor(engine: Engine, holder: LayerHolder) -> float:
    """Returns the relative step time of a target; higher is slower."""
    return engine.accelerators[holder.accelerator].step_factor


def assign_empty_targets(
    engine: Engine, group: list[LayerHolder], requests: int
) -> dict[str, LayerRange]:
    """Assigns each empty target the layers with the fewest copies."""
    copies = count_copies(engine, group)
    plan = {}
    for holder in group:
        if holder.layers is not None:
            continue
        accelerator = engine.accelerators[holder.accelerator]
        width = count_fitting_layers(engine, accelerator, requests)
        if width:
            assigned = find_least_copied(copies, width)
            add_copy(copies, assigned)
            plan[holder.target_id] = assigned
    return plan


def find_least_copied(copies: list[int], width: int) -> LayerRange:
    """Returns the first range of layers that has the fewest copies.

    If the range is narrower than `width`, it is extended towards lower layers
    that have at most one more copy. This way a restarted target gets its whole
    former range back, even if slower targets have loaded a part of it since.
    """
    fewest = min(copies)
    first = copies.index(fewest)
    end = first
    while end < len(copies) and end - first < width and copies[end] == fewest:
        end += 1
    while first > 0 and end - first < width and copies[first - 1] <= fewest + 1:
        first -= 1
    return LayerRange(first=first, end=end)


def add_copy(copies: list[int], layers: LayerRange) -> None:
    """Adds a copy of a range of layers to the counts."""
    for layer in range(layers.first, min(layers.end, len(copies))):
        copies[layer] += 1
