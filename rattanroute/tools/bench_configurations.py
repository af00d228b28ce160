"""Measures the state machine and distribution of the configuration."""

from collections.abc import Callable
from collections.abc import Iterable
import gc
import json
import statistics
import time
import tracemalloc

from rattanroute import codecs
from rattanroute.messages.distributions import VersionAnswer
from rattanroute.systems.configuration_state_machines import (
    ConfigurationStateMachine,
)
from rattanroute.tables.changes import Change
from rattanroute.tables.changes import Drain
from rattanroute.tables.changes import encode_change
from rattanroute.tables.changes import Operation
from rattanroute.tables.changes import PutModel
from rattanroute.tables.changes import PutNeighbour
from rattanroute.tables.changes import PutWorkspace
from rattanroute.tables.configurations import DrainKind
from rattanroute.tables.configurations import Model
from rattanroute.tables.configurations import Neighbour
from rattanroute.tables.configurations import Workspace
from rattanroute.tests.distribution_support import FakeCluster
from rattanroute.tests.distribution_support import TICK_SECONDS

SIZES = (1_000, 7_000, 28_000)
VM_COUNTS = (4, 8, 16, 32, 64)
CHANGES_PER_DAY = 3_600
DAY_SECONDS = 86_400
BATCH = 1_000
SAMPLES = 200
ROUNDS = 5
IDLE_SECONDS = 20.0
BUSY_SECONDS = 96.0
CHANGES = 50
# Requirements of the design: control budget per VM, and the time until a change
# is active.
BUDGET_BYTES_PER_S = 24_000
BUDGET_CPU_US_PER_S = 11_000
BUDGET_MEMORY_MB = 256
MAX_ACTIVATION_SECONDS = 1.0


def build_row(
    name: str, value: float, unit: str, target: float | None = None
) -> dict[str, object]:
    """Builds a result row; `target` is an upper bound."""
    return {
        "name": name,
        "value": round(value, 4),
        "unit": unit,
        "target": target,
        "met": None if target is None else value <= target,
        "baseline": None,
    }


def build_workspace(number: int, weight: float = 1.0) -> Workspace:
    """Builds a workspace of realistic size."""
    return Workspace(
        name=f"workspace-{number}",
        neighbour=f"neighbour-{number % 100}",
        key_hashes=(f"{number:064x}",),
        models=("model-0", "model-1"),
        weight=weight,
    )


def build_operations(count: int) -> list[Operation]:
    """Builds the operations for a configuration of `count` workspaces."""
    neighbours = [
        PutNeighbour(entity=Neighbour(name=f"neighbour-{x}", share=0.01))
        for x in range(100)
    ]
    models = [
        PutModel(
            entity=Model(
                name=f"model-{x}", version="1", versions=("1",), layers=32
            )
        )
        for x in range(7)
    ]
    workspaces = [PutWorkspace(entity=build_workspace(x)) for x in range(count)]
    return [*neighbours, *models, *workspaces]


def apply_change(
    machine: ConfigurationStateMachine, operations: Iterable[Operation]
) -> None:
    """Applies one change at the current version."""
    index = machine.applied_index + 1
    change = Change(
        command_id=f"command-{index}",
        operator="operator",
        expected_version=machine.replica.version,
        operations=tuple(operations),
    )
    outcome = machine.apply(index, encode_change(change))
    if outcome.problems:
        raise ValueError(f"the change was refused: {outcome.problems[0]}")


def build_machine(count: int) -> ConfigurationStateMachine:
    """Builds a state machine with `count` workspaces."""
    machine = ConfigurationStateMachine()
    operations = build_operations(count)
    for start in range(0, len(operations), BATCH):
        apply_change(machine, operations[start : start + BATCH])
    return machine


def measure_seconds(work: Callable[[], object], rounds: int) -> float:
    """Returns the median seconds of calls to `work`."""
    times = []
    for _ in range(rounds):
        start = time.perf_counter()
        work()
        times.append(time.perf_counter() - start)
    return statistics.median(times)


def fit_slope(xs: Iterable[float], ys: Iterable[float]) -> float:
    """Returns the slope of the least-squares line."""
    return statistics.linear_regression(list(xs), list(ys)).slope


def bench_machine() -> list[dict[str, object]]:
    """Measures the state machine by number of workspaces."""
    rows = []
    results: dict[str, list[float]] = {}
    for count in SIZES:
        values = measure_machine(count)
        for name, (value, unit, target) in values.items():
            results.setdefault(name, []).append(value)
            label = f"configuration {name}, {count} workspaces"
            rows.append(build_row(label, value, unit, target))
    for name, values in results.items():
        unit = get_unit(name)
        slope = fit_slope((x / 1000 for x in SIZES), values)
        label = f"configuration {name}, slope"
        rows.append(build_row(label, slope, f"{unit} per 1000 workspaces"))
    return rows


def get_unit(name: str) -> str:
    """Returns the unit of a measurement of the state machine."""
    units = {"apply": "us", "memory": "MB", "snapshot size": "MB"}
    return units.get(name, "ms")


def measure_machine(
    count: int,
) -> dict[str, tuple[float, str, float | None]]:
    """Measures one size.

    Returns:
        Value, unit and target by measurement name.
    """
    gc.collect()
    tracemalloc.start()
    machine = build_machine(count)
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    numbers = iter(range(SAMPLES))

    def change() -> None:
        workspace = build_workspace(next(numbers), weight=2.0)
        apply_change(machine, [PutWorkspace(entity=workspace)])

    apply_us = measure_seconds(change, SAMPLES) * 1e6
    snapshot = machine.snapshot()
    snapshot_ms = measure_seconds(machine.snapshot, ROUNDS) * 1e3
    restore_ms = 1e3 * measure_seconds(
        lambda: ConfigurationStateMachine().restore(snapshot), ROUNDS
    )
    return {
        "apply": (apply_us, "us", None),
        "snapshot": (snapshot_ms, "ms", None),
        "restore": (restore_ms, "ms", None),
        "memory": (memory, "MB", BUDGET_MEMORY_MB),
        "snapshot size": (len(snapshot) / 1e6, "MB", None),
    }


def bench_delta() -> list[dict[str, object]]:
    """Measures the bytes of a message with one change."""
    machine = build_machine(BATCH)
    rows = []
    for name, operation in (
        ("workspace", PutWorkspace(entity=build_workspace(5, weight=2.0))),
        ("drain", Drain(kind=DrainKind.TARGET, name="target-1")),
    ):
        apply_change(machine, [operation])
        replica = machine.replica
        message = VersionAnswer(
            version=replica.version,
            content_hash=replica.content_hash,
            age_ms=0,
            deltas=(replica.deltas[-1],),
        )
        size = len(codecs.encode(message)[1])
        rows.append(build_row(f"delta of one {name}", size, "bytes"))
    return rows


def wait_until_started(cluster: FakeCluster) -> None:
    """Waits until every VM of a cluster has started."""
    cluster.seconds_until(cluster.change(build_drain(0)))
    cluster.run(2.0)


def build_drain(number: int) -> Operation:
    """Builds an operation that drains a target."""
    return Drain(kind=DrainKind.TARGET, name=f"target-{number % 100}")


def measure_traffic(
    cluster: FakeCluster, seconds: float, interval_s: float | None
) -> tuple[float, float, float]:
    """Runs a cluster and measures its traffic and CPU time.

    Args:
        cluster: The cluster.
        seconds: Simulated time, in seconds.
        interval_s: Seconds between changes; None for no changes.

    Returns:
        Mean and maximum bytes per second that a VM sends, and mean CPU
        microseconds per VM and second, including the fake network.
    """
    cluster.sent_bytes.clear()
    next_change_at = interval_s
    start = time.process_time()
    for step in range(round(seconds / TICK_SECONDS)):
        if next_change_at is not None and step * TICK_SECONDS >= next_change_at:
            cluster.change(build_drain(step))
            next_change_at += interval_s
        cluster.step()
    cpu = time.process_time() - start
    sent = list(cluster.sent_bytes.values())
    count = len(cluster.vms)
    return (
        sum(sent) / count / seconds,
        max(sent, default=0) / seconds,
        cpu * 1e6 / count / seconds,
    )


def bench_distribution() -> list[dict[str, object]]:
    """Measures traffic, CPU and activation time by number of VMs."""
    rows = []
    idle_cpus = []
    for count in VM_COUNTS:
        # The smallest cluster also needs a VM that is not a voter.
        data_centre_count = 2 if count <= 4 else 4
        cluster = FakeCluster(
            data_centres=data_centre_count, vms=count // data_centre_count
        )
        wait_until_started(cluster)
        interval = DAY_SECONDS / CHANGES_PER_DAY
        for name, seconds, interval_s in (
            ("idle", IDLE_SECONDS, None),
            ("3600 changes a day", BUSY_SECONDS, interval),
        ):
            mean, highest, cpu = measure_traffic(cluster, seconds, interval_s)
            label = f"distribution {name}, {count} VMs"
            rows += [
                build_row(f"{label}, mean sent", mean, "B/s per VM"),
                build_row(
                    f"{label}, most sent by one VM",
                    highest,
                    "B/s",
                    BUDGET_BYTES_PER_S,
                ),
                build_row(
                    f"{label}, CPU", cpu, "us/s per VM", BUDGET_CPU_US_PER_S
                ),
            ]
            if interval_s is None:
                idle_cpus.append(cpu)
        times = [
            cluster.seconds_until(cluster.change(build_drain(number)))
            for number in range(CHANGES)
        ]
        label = f"distribution time until in force, {count} VMs, p99"
        p99 = statistics.quantiles(times, n=100, method="inclusive")[-1]
        rows.append(build_row(label, p99, "s", MAX_ACTIVATION_SECONDS))
    slope = fit_slope(VM_COUNTS, idle_cpus)
    label = "distribution idle, CPU per VM, slope"
    rows.append(build_row(label, slope, "us/s per VM and VM"))
    return rows


def run() -> list[dict[str, object]]:
    """Runs all measurements.

    Returns:
        Rows with name, value, unit, target (an upper bound or None), whether
        it is met, and the baseline (always None).
    """
    return [*bench_machine(), *bench_delta(), *bench_distribution()]


if __name__ == "__main__":
    for row in run():
        print(json.dumps(row))
