"""Repartitions all layers over the remaining targets of a data centre.

A target can move into a gap only if all of its layers have another holder. If
there is no such target, the remaining ones hold more layers each, with memory
for fewer requests, until others come back. The new ranges keep the order of
the targets and need the fewest layers to be loaded.
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
    """Returns the targets of each data centre where some layer has no holder.

    Data centres that share one group with others are left out: they do not
    have to hold all layers.
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
    """Returns the changed ranges of all incomplete data centres, by target."""
    plan: dict[str, LayerRange] = {}
    for members in find_incomplete_centres(engine, holders):
        plan.update(plan_repartition(engine, members))
    return plan


def plan_repartition(
    engine: Engine, holders: list[LayerHolder]
) -> dict[str, LayerRange]:
    """Returns the range changes after which all layers have a holder.

    Args:
        engine: Performance model of the engines.
        holders: Targets of one data centre. Empty targets are ignored, as they
            get their layers from `plan_loads`.

    Returns:
        The changed ranges by target; empty when the targets cannot hold all
        layers.
    """
    held = [x for x in holders if x.layers is not None]
    held.sort(key=lambda x: (x.layers.first, x.layers.end, x.target_id))
    widths = choose_widths(engine, held)
    if not widths:
        return {}
    before = {x.target_id: x.layers for x in held}
    return {
        target_id: layers
        for target_id, layers in find_partition(engine, held, widths).items()
        if layers != before[target_id]
    }


def choose_widths(engine: Engine, held: list[LayerHolder]) -> list[int]:
    """Returns the most layers that each target may hold.

    The widths leave memory for as many concurrent requests as possible. They
    are empty when the targets cannot hold all layers for the least number.
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


def find_partition(
    engine: Engine, held: list[LayerHolder], widths: list[int]
) -> dict[str, LayerRange]:
    """Returns the ranges that cover all layers with the fewest to load.

    Dynamic programming over the targets: for each layer up to which the ranges
    reach, it keeps the least number of layers to load. A target may also get
    no range, and then keeps what it holds.

    Args:
        engine: Performance model of the engines.
        held: Targets in the order of their current ranges.
        widths: Most layers that each target may hold.
    """
    loads = {0: 0}
    # For each target, the first layer of its best range, by the range's end.
    choices: list[dict[int, int]] = []
    for holder, width in zip(held, widths, strict=True):
        best_first: dict[int, int] = {}
        next_loads = dict(loads)
        for first, loaded_before in loads.items():
            for end in range(first + 1, min(first + width, engine.layers) + 1):
                total = loaded_before + count_layers_to_load(holder, first, end)
                if end not in next_loads or total < next_loads[end]:
                    next_loads[end] = total
                    best_first[end] = first
        choices.append(best_first)
        loads = next_loads
    return backtrack_ranges(engine, held, choices)


def count_layers_to_load(holder: LayerHolder, first: int, end: int) -> int:
    """Returns how many layers of a range a target does not hold yet."""
    kept = min(end, holder.layers.end) - max(first, holder.layers.first)
    return end - first - max(0, kept)


def backtrack_ranges(
    engine: Engine, held: list[LayerHolder], choices: list[dict[int, int]]
) -> dict[str, LayerRange]:
    """Follows the choices back from the last layer and returns the ranges."""
    ranges: dict[str, LayerRange] = {}
    end = engine.layers
    for holder, best_first in zip(
        reversed(held), reversed(choices), strict=True
    ):
        if end in best_first:
            ranges[holder.target_id] = LayerRange(
                first=best_first[end], end=end
            )
            end = best_first[end]
    return ranges
