"""Measures the consensus log: changes, restart and idle cost.

All voters run in this process on real files in a temporary folder. They
exchange encoded messages through a list, so the cost of connections is not
included. Elections and the idle log run in simulated time.
"""

import asyncio
from collections.abc import Callable
import json
import pathlib
import random
import statistics
import tempfile
import time

import msgspec

from rattanroute import codecs
from rattanroute.actions import SendMessage
from rattanroute.consensus import storages
from rattanroute.consensus.hosts import ConsensusHost
from rattanroute.storage.records import RecordFile
from rattanroute.storage.records import SystemFileAccess

TICK_SECONDS = 0.05
CHANGE_BYTES = 200
SEQUENTIAL_CHANGES = 1000
CONCURRENT_CHANGES = 5000
CONCURRENCY = 64
RESTART_CHANGES = (300, 3_000, 30_000)
# Just below the snapshot threshold, where the log to replay is longest.
LONGEST_LOG_CHANGES = storages.COMPACT_AFTER_ENTRIES - 10
RESTART_BATCH = 100
RESTART_REPEATS = 5
IDLE_VOTERS = 5
IDLE_SECONDS = 300.0
# Configuration changes a day at the design scale.
CHANGES_PER_DAY = 3_600
# A change must be active at all VMs within 10 s.
MAX_ACTIVATION_MS = 10_000.0
# Control budget of a VM for all subsystems.
BUDGET_CPU_PERCENT = 1.1
BUDGET_BYTES_PER_SECOND = 24_000.0


class KeyValueStateMachine:
    """A key-value state machine."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def apply(self, index: int, data: bytes) -> object:
        """Stores the change under one of 1,000 keys."""
        self.values[str(index % 1000)] = data
        return index

    def snapshot(self) -> bytes:
        """Returns all values."""
        return msgspec.msgpack.encode(self.values)

    def restore(self, data: bytes) -> None:
        """Replaces all values."""
        self.values = msgspec.msgpack.decode(data, type=dict[str, bytes])


class ConsensusCluster:
    """Consensus hosts that exchange encoded messages through a list.

    Attributes:
        cpu: CPU seconds of each host, including encoding and decoding.
        messages: Number of messages sent by each host.
        bytes_sent: Size of these messages, in bytes.
        in_flight: Undelivered messages as source, target, kind and body.
    """

    def __init__(self, *, folder: pathlib.Path, voters: int) -> None:
        self.now = 0.0
        self.in_flight: list[tuple[str, str, int, bytes]] = []
        self.hosts: dict[str, ConsensusHost] = {}
        ids = tuple(f"v{number}" for number in range(voters))
        self.cpu = dict.fromkeys(ids, 0.0)
        self.messages = dict.fromkeys(ids, 0)
        self.bytes_sent = dict.fromkeys(ids, 0)
        for number, vm_id in enumerate(ids):
            self.hosts[vm_id] = ConsensusHost(
                vm_id=vm_id,
                folder=folder / vm_id,
                machine=KeyValueStateMachine(),
                rng=random.Random(number),
                now=self.now,
                bootstrap_voters=ids,
                clock=lambda: self.now,
                send=lambda actions, source=vm_id: self.enqueue_messages(
                    source, actions
                ),
            )

    def enqueue_messages(self, source: str, actions: list[object]) -> None:
        """Encodes messages and queues them for delivery."""
        for action in actions:
            if isinstance(action, SendMessage):
                kind, body = codecs.encode(action.message)
                self.messages[source] += 1
                self.bytes_sent[source] += len(body)
                self.in_flight.append((source, action.peer, kind, body))

    def measure(self, vm_id: str, call: Callable[[], None]) -> None:
        """Runs a call and adds its CPU time to that of a host."""
        start = time.process_time()
        call()
        self.cpu[vm_id] += time.process_time() - start

    def tick(self) -> None:
        """Ticks all hosts and delivers messages until none is left."""
        self.now += TICK_SECONDS
        for vm_id in self.hosts:
            self.measure(vm_id, lambda v=vm_id: self.tick_host(v))
        while self.in_flight:
            self.deliver()

    def tick_host(self, vm_id: str) -> None:
        """Ticks one host."""
        self.enqueue_messages(vm_id, self.hosts[vm_id].tick(now=self.now))

    def deliver(self) -> None:
        """Delivers the messages in flight."""
        in_flight, self.in_flight = self.in_flight, []
        for source, target, kind, body in in_flight:
            self.measure(
                target,
                lambda s=source, t=target, k=kind, b=body: self.receive(
                    s, t, k, b
                ),
            )

    def receive(self, source: str, target: str, kind: int, body: bytes) -> None:
        """Decodes a message and delivers it to its host."""
        message = codecs.decode(kind=kind, body=body, peer=source)
        actions = self.hosts[target].receive(
            peer=source, message=message, now=self.now
        )
        self.enqueue_messages(target, actions)

    def elect(self) -> ConsensusHost:
        """Ticks until a leader holds its lease, and returns it."""
        for _ in range(1000):
            self.tick()
            for host in self.hosts.values():
                if host.is_leader_with_lease(self.now):
                    return host
        raise RuntimeError("no leader was elected")

    async def wait(self, tasks: list[asyncio.Task]) -> None:
        """Delivers messages until all tasks have ended."""
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            while self.in_flight:
                self.deliver()

    @property
    def syncs(self) -> int:
        """Number of file syncs of all hosts."""
        return sum(host.storage.syncs for host in self.hosts.values())

    def close(self) -> None:
        """Closes all hosts."""
        for host in self.hosts.values():
            host.close()


def build_row(
    name: str,
    value: float,
    unit: str,
    *,
    target: float | None = None,
    at_least: bool = False,
    baseline: float | None = None,
) -> dict[str, object]:
    """Builds a result row; `met` is None without a target."""
    met = None
    if target is not None:
        met = value >= target if at_least else value <= target
    return {
        "name": name,
        "value": round(value, 4),
        "unit": unit,
        "target": target,
        "met": met,
        "baseline": baseline,
    }


def select_percentile(values: list[float], percent: float) -> float:
    """Returns a percentile of the values."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * percent / 100), len(ordered) - 1)]


def measure_plain_append(folder: pathlib.Path) -> tuple[float, float]:
    """Returns p50 and p99 of one synced append, in milliseconds.

    This is the baseline for the accept latency.
    """
    file = RecordFile(folder / "plain.rec", files=SystemFileAccess())
    times = []
    for _ in range(SEQUENTIAL_CHANGES):
        start = time.perf_counter()
        file.append(bytes(CHANGE_BYTES))
        file.sync()
        times.append((time.perf_counter() - start) * 1000)
    file.close()
    return select_percentile(times, 50), select_percentile(times, 99)


async def measure_changes(
    folder: pathlib.Path, voters: int
) -> list[dict[str, object]]:
    """Measures sequential and concurrent changes on the leader."""
    cluster = ConsensusCluster(folder=folder, voters=voters)
    leader = cluster.elect()
    data = bytes(CHANGE_BYTES)
    times = []
    syncs = cluster.syncs
    for _ in range(SEQUENTIAL_CHANGES):
        start = time.perf_counter()
        await cluster.wait([asyncio.create_task(leader.propose(data, 60))])
        times.append((time.perf_counter() - start) * 1000)
    sequential_syncs = (cluster.syncs - syncs) / SEQUENTIAL_CHANGES
    syncs = cluster.syncs
    start = time.perf_counter()
    for _ in range(0, CONCURRENT_CHANGES, CONCURRENCY):
        tasks = [
            asyncio.create_task(leader.propose(data, 60))
            for _ in range(CONCURRENCY)
        ]
        await cluster.wait(tasks)
    elapsed = time.perf_counter() - start
    concurrent_syncs = (cluster.syncs - syncs) / CONCURRENT_CHANGES
    cluster.close()
    p50, p99 = measure_plain_append(folder)
    label = f"consensus {voters} voter" + ("s" if voters > 1 else "")
    return [
        build_row(
            f"{label}: accept latency p50",
            select_percentile(times, 50),
            "ms",
            baseline=round(p50, 4),
        ),
        build_row(
            f"{label}: accept latency p99",
            select_percentile(times, 99),
            "ms",
            target=MAX_ACTIVATION_MS,
            baseline=round(p99, 4),
        ),
        build_row(
            f"{label}: syncs for a change, sequential",
            sequential_syncs,
            "syncs",
        ),
        build_row(
            f"{label}: changes, {CONCURRENCY} at a time",
            CONCURRENT_CHANGES / elapsed,
            "1/s",
            target=CHANGES_PER_DAY / 86_400,
            at_least=True,
        ),
        build_row(
            f"{label}: syncs for a change, {CONCURRENCY} at a time",
            concurrent_syncs,
            "syncs",
        ),
    ]


async def write_changes(folder: pathlib.Path, changes: int) -> None:
    """Writes changes as a single voter and closes its folder."""
    cluster = ConsensusCluster(folder=folder, voters=1)
    leader = cluster.elect()
    for first in range(0, changes, RESTART_BATCH):
        tasks = [
            asyncio.create_task(leader.propose(bytes(CHANGE_BYTES), 60))
            for _ in range(min(RESTART_BATCH, changes - first))
        ]
        await cluster.wait(tasks)
    cluster.close()


def measure_restart(folder: pathlib.Path) -> float:
    """Returns the median time until all changes are applied, in ms."""
    times = []
    for _ in range(RESTART_REPEATS):
        start = time.perf_counter()
        cluster = ConsensusCluster(folder=folder, voters=1)
        cluster.elect()
        times.append((time.perf_counter() - start) * 1000)
        cluster.close()
    return select_percentile(times, 50)


async def measure_restarts(folder: pathlib.Path) -> list[dict[str, object]]:
    """Measures the restart time by number of changes.

    Snapshots bound the log, so that the restart time does not grow with the
    total number of changes. The slope is that of the least-squares line
    through all points; another row shows the longest possible log.
    """
    times = []
    rows = []
    for changes in RESTART_CHANGES:
        subfolder = folder / str(changes)
        await write_changes(subfolder, changes)
        times.append(measure_restart(subfolder))
        name = f"consensus restart after {changes} changes"
        rows.append(build_row(name, times[-1], "ms"))
    slope = statistics.linear_regression(RESTART_CHANGES, times).slope
    name = "consensus restart slope over these"
    rows.append(build_row(name, slope * 1000, "us a change"))
    subfolder = folder / "longest"
    await write_changes(subfolder, LONGEST_LOG_CHANGES)
    name = f"consensus restart, {LONGEST_LOG_CHANGES} changes without snapshot"
    rows.append(build_row(name, measure_restart(subfolder), "ms"))
    return rows


def measure_idle(folder: pathlib.Path) -> list[dict[str, object]]:
    """Measures the cost of an idle log in simulated time."""
    cluster = ConsensusCluster(folder=folder, voters=IDLE_VOTERS)
    leader = cluster.elect()
    first_round = leader.node.state.round
    for counts in (cluster.cpu, cluster.messages, cluster.bytes_sent):
        counts.update(dict.fromkeys(counts, 0))
    for _ in range(int(IDLE_SECONDS / TICK_SECONDS)):
        cluster.tick()
    rounds = leader.node.state.round - first_round
    follower = next(v for v in cluster.hosts if v != leader.vm_id)
    received = sum(cluster.messages.values()) - cluster.messages[leader.vm_id]
    bytes_received = (
        sum(cluster.bytes_sent.values()) - cluster.bytes_sent[leader.vm_id]
    )
    all_bytes = cluster.bytes_sent[leader.vm_id] + bytes_received
    cluster.close()
    label = f"consensus idle, {IDLE_VOTERS} voters"
    return [
        build_row(
            f"{label}: CPU time of all for a heartbeat round, with ticks",
            sum(cluster.cpu.values()) / rounds * 1e6,
            "us",
        ),
        build_row(
            f"{label}: leader CPU",
            cluster.cpu[leader.vm_id] / IDLE_SECONDS * 100,
            "% of a core",
            target=BUDGET_CPU_PERCENT,
        ),
        build_row(
            f"{label}: follower CPU",
            cluster.cpu[follower] / IDLE_SECONDS * 100,
            "% of a core",
            target=BUDGET_CPU_PERCENT,
        ),
        build_row(
            f"{label}: messages of the leader, both ways",
            (cluster.messages[leader.vm_id] + received) / IDLE_SECONDS,
            "1/s",
        ),
        build_row(
            f"{label}: bytes of the leader, both ways",
            all_bytes / IDLE_SECONDS,
            "B/s",
            target=BUDGET_BYTES_PER_SECOND,
        ),
    ]


async def measure_all(folder: pathlib.Path) -> list[dict[str, object]]:
    """Runs all measurements."""
    return [
        *await measure_changes(folder / "one", 1),
        *await measure_changes(folder / "three", 3),
        *await measure_restarts(folder / "restart"),
        *measure_idle(folder / "idle"),
    ]


def run() -> list[dict[str, object]]:
    """Measures the consensus log.

    Returns:
        Rows of name, value, unit, target, met and baseline.
    """
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(measure_all(pathlib.Path(folder)))


if __name__ == "__main__":
    for row in run():
        print(json.dumps(row))
