"""Benchmarks of routing decisions: cost, memory, messages and quality."""

from collections.abc import Callable
import gc
import math
import random as randoms
import time
import tracemalloc
from typing import Any

from rattanroute import codecs
from rattanroute.actions import Dispatch
from rattanroute.actions import SendMessage
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptSucceeded
from rattanroute.events import Provenance
from rattanroute.events import RequestArrived
from rattanroute.requests.core_systems import CoreSettings
from rattanroute.requests.cores import RequestCore
from rattanroute.systems.fair_queues import FairQueue
from rattanroute.systems.shares import ShareSystem
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.configurations import Neighbour
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.requests import RequestTable
from rattanroute.tables.targets import TargetKind
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable
from rattanroute.tools import bench_policies

POOL_SIZES = (30, 120, 500, 2000)
DECISIONS = 3000
# Required limits: microseconds of a decision among 120 targets, and the control
# plane's bytes/s and fraction of a core per VM.
MAX_DECISION_US = 200.0
MAX_CONTROL_BYTES = 24_000.0
MAX_CONTROL_CPU = 0.011
VMS = 30
WORKSPACES = 7000
SHARES_SECONDS = 20.0
TICK_SECONDS = 0.05
CALLS = 20_000
CALL_VMS = 20

Row = dict[str, Any]


def build_row(
    name: str,
    value: float,
    unit: str,
    *,
    target: float | None = None,
    met: bool | None = None,
    baseline: float | None = None,
) -> Row:
    """Builds a row; `target` is an upper limit unless `met` is given."""
    if met is None and target is not None:
        met = value <= target
    return {
        "name": name,
        "value": round(value, 4),
        "unit": unit,
        "target": target,
        "met": met,
        "baseline": baseline,
    }


def build_report(number: int, random: randoms.Random) -> TargetReport:
    """Builds a target report with one of six accelerator kinds."""
    return TargetReport(
        target_id=f"target-{number:05}",
        address="http://127.0.0.1:9",
        data_centre=f"dc-{number % 3}",
        model="m",
        version="1",
        last_layer=31,
        total_layers=32,
        accelerator=f"kind-{number % 6}",
        slots=8,
        tokens_per_second=20.0 * (1 + number % 6),
        running=random.randrange(8),
        cached_prefixes=tuple(random.getrandbits(60) for _ in range(64)),
    )


def build_request(name: str, **changes: Any) -> Request:
    """Builds a chat request of 200 prompt and 100 generated tokens."""
    values: dict[str, Any] = {
        "request_id": name,
        "kind": RequestKind.CHAT,
        "workspace": "w",
        "neighbour": "n",
        "model": "m",
        "fingerprint": name,
        "tokens_in": 200,
        "max_tokens": 100,
        "arrived_at": 0.0,
        "deadline": 600.0,
    }
    values.update(changes)
    return Request(**values)


def build_core(targets: TargetTable, random: randoms.Random) -> RequestCore:
    """Builds a request core in data centre dc-0."""
    return RequestCore(
        vm_id="vm-0",
        data_centre="dc-0",
        targets=targets,
        requests=RequestTable(),
        configuration=Configuration,
        settings=CoreSettings(),
        random=random,
    )


def measure_decision(size: int) -> float:
    """Returns the mean microseconds of a choice among `size` targets."""
    random = randoms.Random(1)
    targets = TargetTable()
    for number in range(size):
        targets.record(
            report=build_report(number, random),
            observer="vm-0",
            received_at=0.0,
        )
    core = build_core(targets, random)
    rows = list(targets)
    requests = []
    for number in range(DECISIONS):
        cached = random.choice(rows).report.cached_prefixes[:8]
        noise = tuple(random.getrandbits(60) for _ in range(8))
        request = build_request(f"r{number}", prefix_hashes=cached + noise)
        request.pool = core.routing.find_pool_key(request)
        requests.append(request)
    started = time.perf_counter()
    for request in requests:
        core.routing.choose(request, key=request.pool, avoid=set(), now=1.0)
    return (time.perf_counter() - started) / DECISIONS * 1e6


def decision_rows() -> list[Row]:
    """Measures the cost of a decision by pool size."""
    costs = {
        size: min(measure_decision(size) for _ in range(3))
        for size in POOL_SIZES
    }
    rows = [
        build_row(
            f"routing decision, {size} targets",
            cost,
            "us",
            target=MAX_DECISION_US if size <= 120 else None,
        )
        for size, cost in costs.items()
    ]
    first, last = POOL_SIZES[0], POOL_SIZES[-1]
    growth = costs[last] - costs[first]
    doublings = math.log2(last / first)
    # The cost must grow logarithmically: doubling the pool may add at most a
    # tenth of the budget.
    rows.append(
        build_row(
            "routing decision, growth per doubling of targets",
            growth / doublings,
            "us",
            target=MAX_DECISION_US / 10,
        )
    )
    return rows


def measure_memory(count: int, build: Callable[[int], object]) -> float:
    """Returns the mean bytes of each of `count` built objects."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    objects = [build(number) for number in range(count)]
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(objects)


def memory_rows() -> list[Row]:
    """Measures memory per target, request and workspace."""
    random = randoms.Random(1)
    targets = TargetTable()
    core = build_core(TargetTable(), random)
    queue = FairQueue()

    def add_target(number: int) -> object:
        return targets.record(
            report=build_report(number, random), observer="vm", received_at=0.0
        )

    def add_request(number: int) -> object:
        request = build_request(f"r{number}")
        core.requests.add(request)
        return core.expirations.watch(request)

    def add_workspace(number: int) -> object:
        request = build_request(f"r{number}", workspace=f"w{number}")
        return queue.push(request, share=1.0, weight=1.0)

    return [
        build_row("memory per target", measure_memory(2000, add_target), "B"),
        build_row("memory per request", measure_memory(5000, add_request), "B"),
        build_row(
            "memory per queued workspace with a request",
            measure_memory(WORKSPACES, add_workspace),
            "B",
        ),
    ]


class FixedPeers:
    """A fixed set of VMs in one data centre."""

    def __init__(self, ids: list[str]) -> None:
        self.vms = dict.fromkeys(ids, "dc-0")

    def live(self) -> dict[str, str]:
        """Returns all VMs."""
        return self.vms


def share_rows() -> list[Row]:
    """Measures messages, bytes and time of the share subsystem."""
    random = randoms.Random(1)
    ids = [f"vm-{number:02}" for number in range(VMS)]
    names = [f"neighbour-{number}" for number in range(2)]
    configuration = Configuration(
        neighbours={name: Neighbour(name=name, share=0.5) for name in names}
    )
    targets = TargetTable()
    for number in range(120):
        targets.record(
            report=build_report(3 * number, random),
            observer="vm",
            received_at=SHARES_SECONDS,
        )
    systems = {
        vm_id: ShareSystem(
            vm_id=vm_id,
            data_centre="dc-0",
            peers=FixedPeers(ids),
            targets=targets,
            configuration=lambda: configuration,
            heartbeat_timeout_s=SHARES_SECONDS * 2,
        )
        for vm_id in ids
    }
    sent = dict.fromkeys(ids, 0)
    received = dict.fromkeys(ids, 0)
    message_bytes = dict.fromkeys(ids, 0)
    processing_s = dict.fromkeys(ids, 0.0)
    inbox: list[tuple[str, SendMessage]] = []
    for step in range(round(SHARES_SECONDS / TICK_SECONDS)):
        now = step * TICK_SECONDS
        for _ in range(WORKSPACES // 100):
            vm_id = random.choice(ids)
            systems[vm_id].offer(random.choice(names), work=0.1)
        outbox: list[tuple[str, SendMessage]] = []
        for source, action in inbox:
            started = time.perf_counter()
            kind, body = codecs.encode(action.message)
            message = codecs.decode(kind=kind, body=body, peer=source)
            answers = systems[action.peer].receive(
                peer=source, message=message, now=now
            )
            processing_s[action.peer] += time.perf_counter() - started
            sent[source] += 1
            received[action.peer] += 1
            message_bytes[source] += len(body)
            message_bytes[action.peer] += len(body)
            outbox += [(action.peer, answer) for answer in answers]
        for vm_id, system in systems.items():
            started = time.perf_counter()
            outbox += [(vm_id, action) for action in system.tick(now=now)]
            processing_s[vm_id] += time.perf_counter() - started
        inbox = outbox
    allocator, other = ids[0], ids[-1]
    rows = []
    for role, vm_id in (("keeper", allocator), ("other VM", other)):
        count = (sent[vm_id] + received[vm_id]) / SHARES_SECONDS
        rows.append(build_row(f"shares messages, {role}", count, "1/s"))
        rows.append(
            build_row(
                f"shares bytes, {role}",
                message_bytes[vm_id] / SHARES_SECONDS,
                "B/s",
                target=MAX_CONTROL_BYTES,
            )
        )
        rows.append(
            build_row(
                f"shares time, {role}",
                processing_s[vm_id] / SHARES_SECONDS,
                "cores",
                target=MAX_CONTROL_CPU,
            )
        )
    return rows


def provenance_rows() -> list[Row]:
    """Compares two retry rules for failed non-repeatable calls.

    Twenty VMs call three replicas, each of which is down for 2 s in every
    30 s. One call in 500 to a replica that is up fails with an unknown
    outcome.
    """
    with_retry = failed_call_fraction(retry_undispatched=True)
    without_retry = failed_call_fraction(retry_undispatched=False)
    return [
        build_row(
            "failed non-repeatable calls, moved if proven not dispatched",
            100 * with_retry,
            "%",
            target=100 * without_retry,
            baseline=round(100 * without_retry, 4),
        )
    ]


def failed_call_fraction(*, retry_undispatched: bool) -> float:
    """Returns the fraction of calls that fail under a rule.

    Args:
        retry_undispatched: Whether calls that were provably not dispatched are
            retried.
    """
    random = randoms.Random(1)
    cores = [build_core(TargetTable(), random) for _ in range(CALL_VMS)]
    failed = 0
    for number in range(CALLS):
        now = number * 0.01
        if number % 50 == 0:
            for replica in range(3):
                if not is_down(replica, now):
                    announce_service(cores, replica, number, now)
        request = build_request(
            f"c{number}",
            kind=RequestKind.SERVICE,
            model="s",
            repeatable=False,
            arrived_at=now,
            deadline=now + 5,
        )
        core = random.choice(cores)
        actions = core.handle(RequestArrived(request=request), now=now)
        failed += not run_call(
            core,
            actions,
            random,
            retry_undispatched=retry_undispatched,
            now=now,
        )
    return failed / CALLS


def announce_service(
    cores: list[RequestCore], replica: int, sequence: int, now: float
) -> None:
    """Delivers the report of a service replica to all VMs."""
    report = TargetReport(
        target_id=f"s{replica}",
        address="http://127.0.0.1:9",
        data_centre="dc-0",
        model="s",
        kind=TargetKind.SERVICE,
        slots=16,
        sequence=sequence,
    )
    for core in cores:
        core.targets.record(report=report, observer="vm", received_at=now)


def is_down(replica: int, now: float) -> bool:
    """Returns whether a replica is down."""
    return (now + 10 * replica) % 30 < 2


def run_call(
    core: RequestCore,
    actions: list,
    random: randoms.Random,
    *,
    retry_undispatched: bool,
    now: float,
) -> bool:
    """Runs the attempts of a call and returns whether it succeeded."""
    while actions:
        action = actions[0]
        if not isinstance(action, Dispatch):
            return False
        target_id = action.chain[0].target_id
        names = {"request_id": action.request_id, "attempt": action.attempt}
        down = is_down(int(target_id[1:]), now)
        if not down and random.random() >= 1 / 500:
            core.handle(AttemptSucceeded(**names), now=now)
            return True
        proven = down and retry_undispatched
        event = AttemptFailed(
            **names,
            target_id=target_id,
            provenance=Provenance.NOT_DISPATCHED
            if proven
            else Provenance.UNKNOWN,
        )
        actions = core.handle(event, now=now)
    return False


def policy_rows() -> list[Row]:
    """Compares routing policies on 20 VMs with stale target reports."""
    rows = []
    for load in bench_policies.LOADS:
        results = {
            name: bench_policies.simulate(name, load)
            for name in bench_policies.POLICIES
        }
        routed = results["rattanroute"]
        others = [r for n, r in results.items() if n != "rattanroute"]
        best = max(result.goodput for result in others)
        first = min(result.first_token_p95 for result in others)
        percent = round(100 * load)
        rows.append(
            build_row(
                f"goodput at {percent}% of the bound",
                100 * routed.goodput,
                "% of the bound",
                target=round(100 * best, 2),
                met=routed.goodput >= best,
                baseline=round(100 * best, 2),
            )
        )
        rows.append(
            build_row(
                f"time to first token p95 at {percent}% of the bound",
                routed.first_token_p95,
                "s",
                target=bench_policies.FIRST_TOKEN_SECONDS,
                baseline=round(first, 3),
            )
        )
        for name, result in results.items():
            prefix = f"{name} at {percent}% of the bound"
            rows += [
                build_row(f"{prefix}: goodput", 100 * result.goodput, "%"),
                build_row(
                    f"{prefix}: first token p50", result.first_token_p50, "s"
                ),
                build_row(
                    f"{prefix}: first token p95", result.first_token_p95, "s"
                ),
                build_row(f"{prefix}: refused", 100 * result.refused, "%"),
            ]
    return rows


def run() -> list[Row]:
    """Runs all benchmarks of this module."""
    return [
        *decision_rows(),
        *memory_rows(),
        *share_rows(),
        *provenance_rows(),
        *policy_rows(),
    ]


def main() -> None:
    """Prints the result rows."""
    for row in run():
        print(" ".join(f"{key}={value!r}" for key, value in row.items()))


if __name__ == "__main__":
    main()
