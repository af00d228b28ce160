"""Recovery time after the loss of a target, a stage, a VM or a data centre.

The recovery time is the time from the fault until the rate of complete answers
has recovered to 95% of the rate before. docs/BENCHMARKS.md explains the
detection time of each fault.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

import uvloop

from rattanroute.tools.bench_arithmetic import build_row
from rattanroute.tools.bench_arithmetic import recovery_seconds
from rattanroute.tools.bench_baselines import BenchCluster
from rattanroute.tools.bench_baselines import POLICIES
from rattanroute.tools.demo_configuration import apply_configuration
from rattanroute.tools.demo_configuration import LAYERS
from rattanroute.tools.demo_configuration import LOAD_KEYS
from rattanroute.tools.loads import LoadPlan
from rattanroute.tools.loads import LoadReport
from rattanroute.tools.loads import run_processes
from rattanroute.tools.plots import save_series

DATA_CENTRES = {"dc-a": 3, "dc-b": 3, "dc-c": 3}
ENGINES_PER_DATA_CENTRE = 4
STAGES_PER_DATA_CENTRE = 2
SLOTS = 8
TOKENS_PER_SECOND = 40.0
# Pipelines add a network round trip per token and stage.
STAGE_TOKENS_PER_SECOND = 160.0
MODEL = "chat"
SPLIT_MODEL = "split"
TOKENS_OUT = 16
RATE = 100.0
SPLIT_RATE = 30.0
DEADLINE_SECONDS = 15.0
START_SECONDS = 1.5
BEFORE_SECONDS = 3.0
AFTER_SECONDS = 7.0
BALANCER_PORT = 8070
SETTLE_SECONDS = 2.0
PARTITIONED_DATA_CENTRE = "dc-c"
# Time until a fault is detected. A killed process closes its connections
# immediately; dropped packets are detected by the timeouts of heartbeats and
# tokens (`targets.heartbeat_timeout_s`, `TOKEN_TIMEOUT_SECONDS`).
DETECTION_SECONDS = {"closed": 0.0, "silent": 3.0}
RECOVERY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class FaultOutcome:
    """Result of a load during which a fault occurred.

    Attributes:
        report: The report of the load.
        fault_at: Time of the fault, in monotonic seconds.
    """

    report: LoadReport
    fault_at: float

    @property
    def recovery_s(self) -> float | None:
        """Seconds from the fault to the recovery; None without recovery."""
        return recovery_seconds(
            self.report.ended_at,
            fault_at=self.fault_at,
            before_s=BEFORE_SECONDS,
            ends_at=self.report.started_at + self.report.seconds,
        )

    @property
    def failed(self) -> int:
        """Number of requests without a complete answer."""
        return self.report.sent - self.report.done


async def measure_fault(
    plan: LoadPlan, fault: Callable[[], Awaitable[None]]
) -> FaultOutcome:
    """Runs a load and causes a fault during it."""
    seconds = START_SECONDS + BEFORE_SECONDS + AFTER_SECONDS
    load = asyncio.create_task(
        run_processes(dataclasses.replace(plan, seconds=seconds), 1)
    )
    # The load process needs about one second to import its modules.
    await asyncio.sleep(1.0 + START_SECONDS + BEFORE_SECONDS)
    fault_at = time.monotonic()
    await fault()
    return FaultOutcome(report=await load, fault_at=fault_at)


def build_fault_rows(
    name: str,
    outcome: FaultOutcome,
    *,
    detection: str,
    baseline: str | None = None,
) -> list[dict[str, object]]:
    """Builds the result rows of a fault and saves its plot series."""
    save_series(
        f"recovery {name}",
        [
            at - outcome.fault_at
            for at in outcome.report.ended_at
            if at - outcome.fault_at >= -BEFORE_SECONDS
        ],
    )
    return [
        build_row(
            f"recovery time, {name}",
            outcome.recovery_s,
            "s",
            at_most=RECOVERY_SECONDS + DETECTION_SECONDS[detection],
            baseline=baseline,
        ),
        build_row(
            f"failed requests, {name}",
            outcome.failed,
            f"of {outcome.report.sent}",
            at_most=0,
        ),
    ]


def build_plan(cluster: BenchCluster, **changes: object) -> LoadPlan:
    """Returns a constant load on all VMs."""
    plan = LoadPlan(
        urls=tuple(vm.callers_url for vm in cluster.vms.values()),
        keys=LOAD_KEYS,
        model=MODEL,
        rate=RATE,
        seconds=1.0,
        max_tokens=TOKENS_OUT,
        deadline_s=DEADLINE_SECONDS,
        steady=True,
    )
    return dataclasses.replace(plan, **changes)


async def configure_cluster(cluster: BenchCluster) -> None:
    """Configures a cluster and starts its engines."""
    await apply_configuration(cluster)
    for data_centre in DATA_CENTRES:
        for number in range(ENGINES_PER_DATA_CENTRE):
            await cluster.add_engine(
                f"{data_centre}-e{number}",
                data_centre,
                model=MODEL,
                slots=SLOTS,
                tokens_per_second=TOKENS_PER_SECOND,
                prefill_tokens_per_second=2000.0,
                max_executions=0,
            )
    for target in cluster.targets.values():
        await cluster.wait_status(f"{target.url}/healthz")
    await asyncio.sleep(SETTLE_SECONDS)


async def measure_target_loss(policy: str) -> FaultOutcome:
    """Kills one engine of a new cluster during a load."""
    async with BenchCluster(
        policy=policy, data_centres=DATA_CENTRES
    ) as cluster:
        await configure_cluster(cluster)
        return await measure_fault(
            build_plan(cluster), lambda: cluster.kill("dc-a-e0")
        )


async def bench_target() -> list[dict[str, object]]:
    """Compares the loss of a target with the baselines, in parallel."""
    outcome, *others = await asyncio.gather(
        *(measure_target_loss(policy) for policy in ("", *POLICIES))
    )
    base = dict(zip(POLICIES, others, strict=True))
    text = ", ".join(
        f"{policy}: {format_seconds(other.recovery_s)}, {other.failed} failed"
        for policy, other in base.items()
    )
    return build_fault_rows(
        "one target killed", outcome, detection="closed", baseline=text
    )


def format_seconds(value: float | None) -> str:
    """Formats a recovery time for the baseline column."""
    return "not recovered" if value is None else f"{value:.2f} s"


async def bench_stage() -> list[dict[str, object]]:
    """Kills one stage of a pipeline during a load."""
    async with BenchCluster(policy="", data_centres=DATA_CENTRES) as cluster:
        await apply_configuration(cluster)
        half = LAYERS // 2
        for data_centre in DATA_CENTRES:
            for number in range(STAGES_PER_DATA_CENTRE):
                for first in (0, half):
                    await cluster.add_engine(
                        f"{data_centre}-s{first}-{number}",
                        data_centre,
                        model=SPLIT_MODEL,
                        first_layer=first,
                        last_layer=first + half - 1,
                        total_layers=LAYERS,
                        slots=SLOTS,
                        tokens_per_second=STAGE_TOKENS_PER_SECOND,
                        max_executions=0,
                    )
        for target in cluster.targets.values():
            await cluster.wait_status(f"{target.url}/healthz")
        await asyncio.sleep(SETTLE_SECONDS)
        plan = build_plan(cluster, model=SPLIT_MODEL, rate=SPLIT_RATE)
        outcome = await measure_fault(plan, lambda: cluster.kill("dc-a-s0-0"))
    if not outcome.report.done:
        kinds = ", ".join(outcome.report.refusals)
        return [
            build_row(
                "recovery time, one pipeline stage killed: not run, "
                f"no answer from the pipeline ({kinds})",
                None,
                "s",
                at_most=RECOVERY_SECONDS,
            )
        ]
    return build_fault_rows(
        "one pipeline stage killed", outcome, detection="closed"
    )


async def bench_vm_and_cut() -> list[dict[str, object]]:
    """Partitions and reconnects a data centre, then kills an entry VM."""
    async with BenchCluster(
        policy="", data_centres=DATA_CENTRES, proxied=True
    ) as cluster:
        await configure_cluster(cluster)
        plan = build_plan(cluster)
        faults = cluster.partition_data_centre(PARTITIONED_DATA_CENTRE)
        partition = await measure_fault(
            plan, lambda: cluster.set_faults(*faults)
        )
        rows = build_fault_rows(
            "data centre cut off", partition, detection="silent"
        )
        reconnection = await measure_fault(plan, cluster.set_faults)
        rows += build_fault_rows("cut healed", reconnection, detection="closed")
        address = f"{cluster.network}.0.1"
        await cluster.spawn(
            "balancer",
            "rattanroute.tools.bench_balancers",
            address,
            str(BALANCER_PORT),
            *plan.urls,
        )
        url = f"http://{address}:{BALANCER_PORT}"
        await cluster.wait_status(f"{url}/readyz")
        plan = build_plan(cluster, urls=(url,), stream=False)
        # This VM is neither a voter nor in the partitioned data centre.
        vm_loss = await measure_fault(plan, lambda: cluster.kill("dc-a-3"))
        rows += build_fault_rows("entry VM killed", vm_loss, detection="closed")
        return rows


async def run_all() -> list[dict[str, object]]:
    """Runs all fault benchmarks; a failed one does not stop the others."""
    rows: list[dict[str, object]] = []
    for benchmark in (bench_target, bench_stage, bench_vm_and_cut):
        try:
            rows += await benchmark()
        except Exception as error:
            name = f"{benchmark.__name__} failed: {error}"
            rows.append({**build_row(name, None, ""), "met": False})
    return rows


def run() -> list[dict[str, object]]:
    """Runs the benchmark and returns its rows."""
    return uvloop.run(run_all())
