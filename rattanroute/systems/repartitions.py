"""Spreads all layers anew over the targets of a data centre that lost some.

When no target of a data centre holds its layers twice, none can move into a
gap. The targets that are left then hold more layers each, with room for fewer
requests, until others come back. The new ranges keep the order of the targets
and are chosen so that few layers have to be loaded.
"""

from rattanroute.systems.layer_assignments import count_copies
from rattanroute.systems.layer_assignments import count_fitting_layers
from rattanroute.systems.layer_assignments import group_holders
from rattanroute.systems.layer_assignments import LayerHolder
from rattanroute.systems.layer_assignments import LayerRange
from rattanroute.systems.layer_assignments import MIN_CONCURRENCY
from rattanroute.tables.routes import Engine


def find_incomplete_centres(
    engine: Engine, holders: list[LayerHolder]
) -> list[list[LayerHolder]]:
    """Returns the targets of data centres with layers that none holds there.

    Data centres that cannot hold all layers by themselves are left out.
    """
    return [
        group.holders
        for group in group_holders(engine, holders)
        if len({x.data_centre for x in group.holders}) == 1
        and not min(count_copies(engine, group.holders))
    ]


def plan_repartitions(
    engine: Engine, holders: list[LayerHolder]
) -> dict[str, LayerRange]:
    """Returns the changes in all data centres that have a gap."""
    plan: dict[str, LayerRange] = {}
    for members in find_incomplete_centres(engine, holders):
        plan.update(plan_repartition(engine, members))
    return plan


def plan_repartition(
    engine: Engine, holders: list[LayerHolder]
) -> dict[str, LayerRange]:
    """Returns the ranges that change so that all layers are held.

    Args:
        engine: Model of the engines.
        holders: Targets of one data centre; those without layers are left
            to the plan of empty targets.

    Returns:
        The changes; nothing when the targets cannot hold all layers.
    """
    held = [x for x in holders if x.layers is not None]
    held.sort(key=lambda x: (x.layers.first, x.layers.end, x.target_id))
    widths = choose_widths(engine, held)
    if not widths:
        return {}
    before = {x.target_id: x.layers for x in held}
    return {
        name: layers
        for name, layers in find_layout(engine, held, widths).items()
        if layers != before[name]
    }


def choose_widths(engine: Engine, held: list[LayerHolder]) -> list[int]:
    """Returns how many layers each target may hold.

    The widths leave room for as many requests as possible.
    """
    kinds = [engine.accelerators[x.accelerator] for x in held]
    best: list[int] = []
    for requests in range(MIN_CONCURRENCY, engine.slots + 1):
        widths = [
            count_fitting_layers(engine, kind, requests) for kind in kinds
        ]
        if sum(widths) < engine.layers:
            break
        best = widths
    return best


def find_layout(
    engine: Engine, held: list[LayerHolder], widths: list[int]
) -> dict[str, LayerRange]:
    """Returns the ranges with the fewest layers to load.

    A target may also keep what it holds without taking part.
    """
    loads = {0: 0}
    # For each target, the first layer of its range by the end of that range.
    choices: list[dict[int, int]] = []
    for holder, width in zip(held, widths, strict=True):
        chosen: dict[int, int] = {}
        found = dict(loads)
        for first, sofar in loads.items():
            for end in range(first + 1, min(first + width, engine.layers) + 1):
                total = sofar + count_loads(holder, first, end)
                if end not in found or total < found[end]:
                    found[end] = total
                    chosen[end] = first
        choices.append(chosen)
        loads = found
    return trace_back(engine, held, choices)


def count_loads(holder: LayerHolder, first: int, end: int) -> int:
    """Returns the layers of a range that a target does not hold yet."""
    kept = min(end, holder.layers.end) - max(first, holder.layers.first)
    return end - first - max(0, kept)


def trace_back(
    engine: Engine, held: list[LayerHolder], choices: list[dict[int, int]]
) -> dict[str, LayerRange]:
    """Returns the ranges that lead to the end of the model."""
    ranges: dict[str, LayerRange] = {}
    end = engine.layers
    for holder, chosen in zip(reversed(held), reversed(choices), strict=True):
        if end in chosen:
            ranges[holder.target_id] = LayerRange(first=chosen[end], end=end)
            end = chosen[end]
    return ranges
