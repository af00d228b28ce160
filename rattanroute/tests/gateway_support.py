"""Builders of test data for the gateway."""

import random

from rattanroute.systems.chain_choices import ChainChooser
from rattanroute.systems.chain_rooms import ChainRoomEstimator
from rattanroute.systems.layer_assignments import LayerHolder
from rattanroute.systems.layer_assignments import plan_loads
from rattanroute.systems.target_limits import TargetLimiter
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import Engine
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

LAYERS = 80
SERVICE = "llm"
# Memory in bytes, factor on decode time and factor on prefill time, by kind of
# accelerator.
KINDS = {
    "big": (72e9, 2.4, 3.2),
    "middle": (43.2e9, 5.6, 2.7),
    "small": (21.6e9, 16.0, 8.2),
}
CENTRES = {
    "dc-a": {"big": 1, "middle": 6, "small": 5},
    "dc-b": {"big": 2, "middle": 2, "small": 5},
    "dc-c": {"big": 1, "middle": 3, "small": 8},
}


def build_engine(**changes: object) -> Engine:
    """Builds an engine model of 80 layers on three kinds of accelerators."""
    values: dict[str, object] = {
        "layers": LAYERS,
        "layer_bytes": 1.75e9,
        "cache_token_bytes": 1.836e6,
        "slots": 96,
        "step_s": 1.02e-3,
        "request_step_s": 1.428e-5,
        "context_step_s": 1.912e-8,
        "prefill_s": 1 / 105e3,
        "load_s": 14.0,
        "typical_prompt": 774.0,
        "typical_answer": 203.0,
        "activation_bytes": 91_800.0,
        "link_bytes_per_s": 2.25e9,
        "link_seconds": {
            (a, b): 0.0005 for a in CENTRES for b in CENTRES if a != b
        },
        "accelerators": {
            name: Accelerator(
                name=name,
                memory_bytes=memory,
                step_factor=step,
                prefill_factor=prefill,
            )
            for name, (memory, step, prefill) in KINDS.items()
        },
    }
    values.update(changes)
    return Engine(**values)


def build_service(**changes: object) -> BackendService:
    """Builds a service of engines."""
    return BackendService(
        name=SERVICE, max_connections=2000, engine=build_engine(**changes)
    )


def build_holders(
    centres: dict[str, dict[str, int]] | None = None,
) -> list[LayerHolder]:
    """Builds empty engines."""
    return [
        LayerHolder(
            target_id=f"{centre}-{kind}-{number}",
            data_centre=centre,
            accelerator=kind,
        )
        for centre, kinds in (centres or CENTRES).items()
        for kind, count in kinds.items()
        for number in range(count)
    ]


def build_targets(
    centres: dict[str, dict[str, int]] | None = None,
    engine: Engine | None = None,
) -> TargetTable:
    """Builds a table of engines that hold their planned layers."""
    holders = build_holders(centres)
    plan = plan_loads(engine or build_engine(), holders)
    targets = TargetTable()
    for number, holder in enumerate(holders):
        layers = plan[holder.target_id]
        report = TargetReport(
            target_id=holder.target_id,
            address=f"10.0.0.{number}:80",
            data_centre=holder.data_centre,
            model=SERVICE,
            first_layer=layers.first,
            last_layer=layers.end - 1,
            total_layers=LAYERS,
            accelerator=holder.accelerator,
        )
        targets.record(report=report, observer="v", received_at=0.0)
    return targets


def build_chooser(
    targets: TargetTable,
    *,
    data_centre: str = "dc-a",
    vms: int = 1,
    arrival_rate: float = 0.0,
) -> ChainChooser:
    """Builds a chooser of reachable targets that are not leaving."""

    def is_usable(target: Target, now: float) -> bool:
        return target.reachable and not target.report.leaving

    loads = EngineLoadTable()
    return ChainChooser(
        data_centre=data_centre,
        targets=targets,
        loads=loads,
        random=random.Random(1),
        is_usable=is_usable,
        vms=lambda: vms,
        limiter=build_limiter(targets, vms=vms),
        rooms=ChainRoomEstimator(
            targets=targets,
            loads=loads,
            random=random.Random(2),
            arrival_rate=lambda service, now: arrival_rate,
        ),
    )


def build_limiter(targets: TargetTable, *, vms: int = 1) -> TargetLimiter:
    """Builds a limiter of a VM that hears nothing of the others."""
    return TargetLimiter(
        targets=targets, vms=lambda: vms, random=random.Random(1)
    )
