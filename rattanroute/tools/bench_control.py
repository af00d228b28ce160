"""Control cost of daemons as real processes, idle and under changes.

The operating system counts the bytes that a daemon writes to its connections,
including framing and acknowledgements.
"""

import asyncio
import contextlib
import dataclasses
import statistics
import time
import uuid

import aiohttp
import msgspec
import psutil
import uvloop

from rattanroute.proto import operators_pb2 as pb
from rattanroute.tools.bench_arithmetic import build_row
from rattanroute.tools.bench_arithmetic import fit_line
from rattanroute.tools.bench_baselines import BenchCluster
from rattanroute.tools.cli_client import CliError
from rattanroute.tools.cli_client import OperatorsClient
from rattanroute.tools.cluster_hosts import OPERATORS_TOKEN
from rattanroute.tools.cluster_hosts import TARGETS_PORT
from rattanroute.tools.demo_configuration import apply_configuration
from rattanroute.tools.plots import save_series

# Number of daemons in each data centre. Small clusters run in parallel, because
# processor time and bytes are counted per process.
SIZES = (
    ((2, 2), (2, 2, 2, 2), (4, 4, 4, 4)),
    ((8, 8, 8, 8),),
    ((16, 16, 16, 16),),
)
TARGET_COUNTS = (120, 300)
TARGET_CLUSTER = (4, 4, 4, 4)
HEARTBEAT_SECONDS = 0.5
SETTLE_SECONDS = 6.0
IDLE_SECONDS = 6.0
CHANGE_SECONDS = 6.0
CHANGES_PER_SECOND = 1.0
CHANGE_ROUNDS = 5
POLL_SECONDS = 0.01
ACTIVATION_TIMEOUT_SECONDS = 15.0
DESIGN_VMS = 410
DESIGN_TARGETS = 1800
DESIGN_CHANGES_PER_SECOND = 3600 / 86_400
# The control budget of the design.
BUDGET_CPU = 0.011
BUDGET_BYTES_PER_S = 24_000.0
BUDGET_MIB = 256.0
MAX_ACTIVATION_SECONDS = 10.0
MIB = 1024.0 * 1024.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """Mean cost of a daemon.

    Attributes:
        cpu: Processor seconds per second.
        bytes_per_s: Bytes written per second.
        mib: Resident memory, in MiB.
        max_cpu: Maximum processor seconds per second of one daemon.
        max_bytes_per_s: Maximum bytes written per second by one daemon.
    """

    cpu: float
    bytes_per_s: float
    mib: float
    max_cpu: float
    max_bytes_per_s: float


def read_counters(cluster: BenchCluster) -> list[tuple[float, int, int]]:
    """Returns processor time, bytes written and memory of each daemon."""
    counters = []
    for name in cluster.vms:
        process = psutil.Process(cluster.processes[name].pid)
        times = process.cpu_times()
        counters.append(
            (
                times.user + times.system,
                process.io_counters().write_chars,
                process.memory_info().rss,
            )
        )
    return counters


async def measure_cost(cluster: BenchCluster, seconds: float) -> Cost:
    """Measures the cost of all daemons over `seconds`."""
    started = time.monotonic()
    before = read_counters(cluster)
    await asyncio.sleep(seconds)
    after = read_counters(cluster)
    elapsed = time.monotonic() - started
    pairs = list(zip(before, after, strict=True))
    cpus = [(new[0] - old[0]) / elapsed for old, new in pairs]
    sent = [(new[1] - old[1]) / elapsed for old, new in pairs]
    return Cost(
        cpu=statistics.fmean(cpus),
        bytes_per_s=statistics.fmean(sent),
        mib=statistics.fmean(new[2] for _, new in pairs) / MIB,
        max_cpu=max(cpus),
        max_bytes_per_s=max(sent),
    )


class ChangeClient:
    """Changes the configuration and tracks when changes are active.

    Args:
        cluster: The cluster.
    """

    def __init__(self, *, cluster: BenchCluster) -> None:
        self.cluster = cluster
        self.number = 0
        self.client = OperatorsClient(
            addresses=tuple(
                vm.operators_address for vm in cluster.vms.values() if vm.voter
            ),
            metadata={"authorization": f"Bearer {OPERATORS_TOKEN}"},
        )

    async def change(self) -> int:
        """Applies a change and returns the new version."""
        self.number += 1
        operation = pb.Operation(
            put_workspace=pb.Workspace(
                name=f"bench-{self.number % 100}",
                neighbour="neighbour-a",
                key_hashes=[f"{self.number:064x}"],
                models=["chat"],
            )
        )
        change = pb.Change(
            command_id=uuid.uuid4().hex,
            operator="bench",
            operations=[operation],
        )
        version = await self.read_latest_version()
        change.expected_version = version
        response = await self.client.change(
            "Apply", pb.ApplyRequest(change=change)
        )
        if response.outcome != pb.ACCEPTED:
            raise RuntimeError(f"change not accepted: {response}")
        return version + 1

    async def read_latest_version(self) -> int:
        """Returns the newest version that is active at a voter."""
        versions = [
            await self.read_vm_version(vm.name)
            for vm in self.cluster.vms.values()
            if vm.voter
        ]
        return max(versions)

    async def read_vm_version(self, name: str) -> int:
        """Returns the version that is active at a VM."""
        url = f"{self.cluster.vms[name].callers_url}/readyz"
        async with self.cluster.client.get(url) as response:
            body = msgspec.json.decode(await response.read())
        return body["configuration_version"]

    async def wait_until_active(self, name: str, version: int) -> None:
        """Waits until a version is active at a VM."""
        while await self.read_vm_version(name) < version:
            await asyncio.sleep(POLL_SECONDS)

    async def seconds_until_active(self) -> float:
        """Returns the seconds until a change is active at all VMs."""
        started = time.monotonic()
        version = await self.change()
        async with asyncio.timeout(ACTIVATION_TIMEOUT_SECONDS):
            await asyncio.gather(
                *(
                    self.wait_until_active(name, version)
                    for name in self.cluster.vms
                )
            )
        return time.monotonic() - started

    async def run(self, seconds: float) -> int:
        """Applies changes at a constant rate; returns their number."""
        started = time.monotonic()
        count = 0
        while time.monotonic() - started < seconds:
            with contextlib.suppress(CliError):
                await self.change()
                count += 1
            next_change_at = started + (count + 1) / CHANGES_PER_SECOND
            await asyncio.sleep(max(0.05, next_change_at - time.monotonic()))
        return count


class SyntheticTargets:
    """Sends announcements and heartbeats for targets that do not exist.

    Args:
        cluster: The cluster.
        count: Number of targets, distributed over the VMs.
    """

    def __init__(self, *, cluster: BenchCluster, count: int) -> None:
        self.cluster = cluster
        self.count = count
        self.sequence = 0

    async def run(self) -> None:
        """Sends reports until cancelled."""
        async with aiohttp.ClientSession() as client:
            kind = "announce"
            while True:
                started = time.monotonic()
                self.sequence += 1
                await asyncio.gather(
                    *(self.send(client, kind, n) for n in range(self.count))
                )
                kind = "heartbeat"
                remaining = started + HEARTBEAT_SECONDS - time.monotonic()
                await asyncio.sleep(max(0.0, remaining))

    async def send(
        self, client: aiohttp.ClientSession, kind: str, number: int
    ) -> None:
        """Sends a target's report of the size that a stand-in engine sends."""
        vms = list(self.cluster.vms.values())
        vm = vms[number % len(vms)]
        body = {
            "target_id": f"target-{number}",
            "incarnation": 1,
            "sequence": self.sequence,
            "address": f"http://127.0.0.1:{number + 1}",
            "data_centre": vm.data_centre,
            "kind": "model",
            "model": "chat",
            "version": "1",
            "last_layer": 7,
            "total_layers": 8,
            "accelerator": "kind-a",
            "slots": 4,
            "tokens_per_second": 100.0,
            "running": self.sequence % 4,
        }
        url = f"http://{vm.address}:{TARGETS_PORT}/v1/targets/{kind}"
        async with client.post(url, json=body) as response:
            response.raise_for_status()
            await response.read()


def build_cluster(sizes: tuple[int, ...]) -> BenchCluster:
    """Builds a cluster; `sizes` are the daemons per data centre."""
    return BenchCluster(
        data_centres={f"dc-{n}": size for n, size in enumerate(sizes)},
        settings={"telemetry": {"log_level": "WARNING"}},
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClusterSample:
    """Measurements of one cluster.

    Attributes:
        idle: Cost without configuration changes.
        busy: Cost under configuration changes.
        changes_per_s: Rate of these changes.
        activation_s: Maximum seconds until a change was active at all VMs.
        restart_s: Seconds from the restart of a killed daemon until it is
            ready.
    """

    idle: Cost
    busy: Cost
    changes_per_s: float
    activation_s: float
    restart_s: float


async def measure_size(sizes: tuple[int, ...]) -> ClusterSample:
    """Measures a cluster without targets."""
    async with build_cluster(sizes) as cluster:
        await apply_configuration(cluster)
        await asyncio.sleep(SETTLE_SECONDS)
        idle = await measure_cost(cluster, IDLE_SECONDS)
        changer = ChangeClient(cluster=cluster)
        task = asyncio.create_task(changer.run(CHANGE_SECONDS))
        busy = await measure_cost(cluster, CHANGE_SECONDS)
        changes = await task
        times = [
            await changer.seconds_until_active() for _ in range(CHANGE_ROUNDS)
        ]
        restart_s = await measure_restart(cluster)
    return ClusterSample(
        idle=idle,
        busy=busy,
        changes_per_s=changes / CHANGE_SECONDS,
        activation_s=max(times),
        restart_s=restart_s,
    )


async def measure_restart(cluster: BenchCluster) -> float:
    """Returns the seconds from the restart of a killed daemon to ready."""
    name = next(vm.name for vm in cluster.vms.values() if not vm.voter)
    await cluster.kill(name)
    started = time.monotonic()
    await cluster.start_vm(name)
    await cluster.wait_ready(name)
    return time.monotonic() - started


async def measure_targets(count: int) -> Cost:
    """Measures a cluster with synthetic targets."""
    async with build_cluster(TARGET_CLUSTER) as cluster:
        await apply_configuration(cluster)
        targets = SyntheticTargets(cluster=cluster, count=count)
        task = asyncio.create_task(targets.run())
        try:
            await asyncio.sleep(SETTLE_SECONDS)
            return await measure_cost(cluster, IDLE_SECONDS)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


def build_size_rows(
    count: int, sample: ClusterSample
) -> list[dict[str, object]]:
    """Builds the result rows of a cluster."""
    label = f"{count} daemons"
    idle, busy = sample.idle, sample.busy
    return [
        build_row(
            f"idle processor time, {label}",
            idle.cpu * 100,
            "% of a core",
            at_most=BUDGET_CPU * 100,
        ),
        build_row(
            f"idle processor time of the costliest, {label}",
            idle.max_cpu * 100,
            "% of a core",
        ),
        build_row(
            f"idle bytes sent, {label}",
            idle.bytes_per_s,
            "B/s",
            at_most=BUDGET_BYTES_PER_S,
        ),
        build_row(
            f"idle bytes sent by the one that sends most, {label}",
            idle.max_bytes_per_s,
            "B/s",
            at_most=BUDGET_BYTES_PER_S,
        ),
        build_row(f"memory, {label}", idle.mib, "MiB", at_most=BUDGET_MIB),
        build_row(
            f"processor time per change, {label}",
            (busy.cpu - idle.cpu) / max(sample.changes_per_s, 1e-9) * 1e3,
            "ms per daemon",
        ),
        build_row(
            f"bytes per change, {label}",
            (busy.bytes_per_s - idle.bytes_per_s)
            / max(sample.changes_per_s, 1e-9),
            "B per daemon",
        ),
        build_row(
            f"time until in force everywhere, {label}, most of {CHANGE_ROUNDS}",
            sample.activation_s,
            "s",
            at_most=MAX_ACTIVATION_SECONDS,
        ),
        build_row(f"restart until ready, {label}", sample.restart_s, "s"),
    ]


def build_slope_rows(
    samples: dict[int, ClusterSample],
) -> list[dict[str, object]]:
    """Builds rows of the cost by number of members."""
    rows = []
    counts = list(samples)
    for name, unit, factor, values in (
        ("processor time", "us/s", 1e6, [s.idle.cpu for s in samples.values()]),
        (
            "bytes sent",
            "B/s",
            1.0,
            [s.idle.bytes_per_s for s in samples.values()],
        ),
        ("memory", "KiB", 1024.0, [s.idle.mib for s in samples.values()]),
        (
            "time until in force",
            "ms",
            1e3,
            [s.activation_s for s in samples.values()],
        ),
    ):
        slope, intercept = fit_line(counts, values)
        rows += [
            build_row(
                f"idle {name}, slope", slope * factor, f"{unit} per member"
            ),
            build_row(f"idle {name}, at no member", intercept * factor, unit),
            build_row(
                f"idle {name}, line at {DESIGN_VMS} members (extrapolated)",
                (intercept + slope * DESIGN_VMS) * factor,
                unit,
            ),
        ]
    return rows


def build_target_rows(costs: dict[int, Cost]) -> list[dict[str, object]]:
    """Builds rows of the cost by number of targets."""
    rows = []
    members = sum(TARGET_CLUSTER)
    for name, unit, factor, values in (
        ("processor time", "us/s", 1e6, [c.cpu for c in costs.values()]),
        ("bytes sent", "B/s", 1.0, [c.bytes_per_s for c in costs.values()]),
        ("memory", "KiB", 1024.0, [c.mib for c in costs.values()]),
    ):
        for count, value in zip(costs, values, strict=True):
            rows.append(
                build_row(
                    f"{name}, {members} daemons, {count} targets",
                    value * factor,
                    unit,
                )
            )
        slope, _ = fit_line(costs, values)
        rows.append(
            build_row(
                f"{name}, {members} daemons, slope",
                slope * factor,
                f"{unit} per target",
            )
        )
    return rows


def save_plot_series(samples: dict[int, ClusterSample]) -> None:
    """Stores the series of the plot as fractions of the budget."""
    for name, budget, read in (
        ("processor time", BUDGET_CPU, lambda cost: cost.cpu),
        ("bytes sent", BUDGET_BYTES_PER_S, lambda cost: cost.bytes_per_s),
        ("memory", BUDGET_MIB, lambda cost: cost.mib),
    ):
        points = [(n, read(s.idle) / budget) for n, s in samples.items()]
        save_series(f"control {name}", points)


async def run_all() -> list[dict[str, object]]:
    """Measures all clusters; a failed one does not stop the others."""
    rows: list[dict[str, object]] = []
    samples: dict[int, ClusterSample] = {}
    for group in SIZES:
        results = await asyncio.gather(
            *map(measure_size, group), return_exceptions=True
        )
        for sizes, result in zip(group, results, strict=True):
            if isinstance(result, ClusterSample):
                samples[sum(sizes)] = result
                continue
            name = f"{sum(sizes)} daemons failed: {result!r}"
            rows.append({**build_row(name, None, ""), "met": False})
    for count, sample in samples.items():
        rows += build_size_rows(count, sample)
    if len(samples) > 1:
        rows += build_slope_rows(samples)
        save_plot_series(samples)
    costs: dict[int, Cost] = {}
    if sum(TARGET_CLUSTER) in samples:
        costs[0] = samples[sum(TARGET_CLUSTER)].idle
    measured = await asyncio.gather(*map(measure_targets, TARGET_COUNTS))
    costs.update(zip(TARGET_COUNTS, measured, strict=True))
    return rows + build_target_rows(costs)


def run() -> list[dict[str, object]]:
    """Runs the benchmark and returns its rows."""
    return uvloop.run(run_all())
