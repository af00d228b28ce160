"""Decides which layers empty engines load.

Passing work between data centres takes a shared pipe and a delay for each
token, so that each data centre gets all layers where its memory allows it.
There the width of a target's range follows from its memory and from the
number of requests that a chain is to hold at once: the largest number at which
the ranges still cover the model. Fast targets come first; the targets that are
left hold layers a second time. Targets that hold layers keep them, and a gap
is filled by the first empty target.
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
    """Returns the most requests at once with which targets cover the model.

    Args:
        engine: Model of the engines.
        kinds: The kind of each target of a data centre.

    Returns:
        The requests, at most the slots of an engine; 0 when the targets do
        not cover the model with a useful number.
    """
    for requests in range(engine.slots, MIN_REQUESTS - 1, -1):
        widths = (measure_width(engine, kind, requests) for kind in kinds)
        if sum(widths) >= engine.layers:
            return requests
    return 0


def plan_stages(
    engine: Engine, holders: Iterable[StageHolder]
) -> dict[str, LayerRange]:
    """Returns the layers that each empty target should load."""
    known = [x for x in holders if x.accelerator in engine.accelerators]
    known.sort(key=lambda x: (rank_speed(engine, x), x.target_id))
    centres: dict[str, list[StageHolder]] = {}
    for holder in known:
        centres.setdefault(holder.data_centre, []).append(holder)
    plan: dict[str, LayerRange] = {}
    shared: list[StageHolder] = []
    for centre in sorted(centres):
        group = centres[centre]
        kinds = [engine.accelerators[x.accelerator] for x in group]
        requests = choose_requests(engine, kinds)
        if requests:
            plan.update(fill_gaps(engine, group, requests))
        else:
            shared.extend(group)
    if shared:
        plan.update(fill_gaps(engine, shared, SHARED_REQUESTS))
    return plan


def rank_speed(engine: Engine, holder: StageHolder) -> float:
    """Returns how slow the kind of a target is."""
    return engine.accelerators[holder.accelerator].step_factor


def fill_gaps(
    engine: Engine, group: list[StageHolder], requests: int
) -> dict[str, LayerRange]:
    """Gives each empty target the layers that the fewest others hold."""
    copies = [0] * engine.layers
    for holder in group:
        if holder.layers is not None:
            add_copy(copies, holder.layers)
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
    """Returns the first layers of which there are the fewest copies."""
    least = min(copies)
    first = copies.index(least)
    end = first
    while end < len(copies) and end - first < width and copies[end] == least:
        end += 1
    return LayerRange(first=first, end=end)


def add_copy(copies: list[int], part: LayerRange) -> None:
    """Counts a copy of some layers."""
    for layer in range(part.first, min(part.end, len(copies))):
        copies[layer] += 1
