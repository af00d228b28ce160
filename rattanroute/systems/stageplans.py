"""Decides which layers empty engines load.

The targets of one kind of accelerator are cut into equal stages, as many as
serve the most requests at once. An empty target gets a stage of its kind that
the fewest targets hold; among those, one whose layers its data centre lacks,
so that a data centre that is cut off can serve by itself. Targets that hold
layers keep them.
"""

from collections.abc import Iterable
import dataclasses
import itertools
import math

from rattanroute.systems.stagechoices import cache_capacity
from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import Engine

# With fewer targets of a kind a second copy of each stage costs too much
# memory for requests.
TWO_COPIES_FROM = 8
MAX_STAGES = 24


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


def split_layers(layers: int, stages: int) -> list[LayerRange]:
    """Returns ranges of nearly equal length that cover all layers."""
    cuts = [round(layers * place / stages) for place in range(stages + 1)]
    return [
        LayerRange(first=first, end=end)
        for first, end in itertools.pairwise(cuts)
    ]


def count_requests(
    engine: Engine, accelerator: Accelerator, stages: int
) -> float:
    """Returns the typical requests that a chain of equal stages holds."""
    widest = math.ceil(engine.layers / stages)
    tokens = engine.typical_prompt + engine.typical_answer
    room = cache_capacity(engine, accelerator, widest) / widest
    return max(0.0, min(engine.slots, room / max(1.0, tokens)))


def choose_stages(
    engine: Engine, accelerator: Accelerator, targets: int
) -> int:
    """Returns into how many stages the targets of a kind are cut; 0 for none.

    The count with the most requests at once is taken; of equal ones the
    smallest, whose chains have the fewest hops.
    """
    copies = 2 if targets >= TWO_COPIES_FROM else 1
    best, best_value = 0, 0.0
    for stages in range(1, min(MAX_STAGES, engine.layers) + 1):
        chains = targets // stages
        if chains < copies:
            break
        value = chains * count_requests(engine, accelerator, stages)
        if value > best_value * 1.01:
            best, best_value = stages, value
    return best or choose_narrowest(engine, accelerator)


def choose_narrowest(engine: Engine, accelerator: Accelerator) -> int:
    """Returns the fewest stages whose layers fit with room for requests."""
    for stages in range(1, engine.layers + 1):
        if count_requests(engine, accelerator, stages) >= 1:
            return stages
    return 0


def plan_stages(
    engine: Engine, holders: Iterable[StageHolder]
) -> dict[str, LayerRange]:
    """Returns the layers that each empty target should load."""
    holders = sorted(holders, key=lambda x: (x.data_centre, x.target_id))
    kinds: dict[str, list[StageHolder]] = {}
    for holder in holders:
        kinds.setdefault(holder.accelerator, []).append(holder)
    covered: dict[str, set[int]] = {}
    for holder in holders:
        if holder.layers is not None:
            cover(covered, holder.data_centre, holder.layers)
    plan: dict[str, LayerRange] = {}
    known = [engine.accelerators[x] for x in kinds if x in engine.accelerators]
    for accelerator in sorted(known, key=lambda x: (x.step_factor, x.name)):
        group = kinds[accelerator.name]
        stages = choose_stages(engine, accelerator, len(group))
        if stages:
            ranges = split_layers(engine.layers, stages)
            plan.update(fill_stages(ranges, group, covered))
    return plan


def fill_stages(
    ranges: list[LayerRange],
    group: list[StageHolder],
    covered: dict[str, set[int]],
) -> dict[str, LayerRange]:
    """Gives each empty target of a kind a stage that few others hold."""
    counts = [
        sum(
            x.layers is not None
            and x.layers.first <= stage.first
            and x.layers.end >= stage.end
            for x in group
        )
        for stage in ranges
    ]
    plan = {}
    for holder in group:
        if holder.layers is not None:
            continue
        held = covered.setdefault(holder.data_centre, set())
        least = min(counts)
        place = max(
            (i for i, count in enumerate(counts) if count == least),
            key=lambda i: (
                sum(x not in held for x in layers_of(ranges[i])),
                -i,
            ),
        )
        counts[place] += 1
        plan[holder.target_id] = ranges[place]
        cover(covered, holder.data_centre, ranges[place])
    return plan


def layers_of(part: LayerRange) -> range:
    """Returns the layers of a range."""
    return range(part.first, part.end)


def cover(
    covered: dict[str, set[int]], data_centre: str, part: LayerRange
) -> None:
    """Notes that a data centre holds some layers."""
    covered.setdefault(data_centre, set()).update(layers_of(part))
