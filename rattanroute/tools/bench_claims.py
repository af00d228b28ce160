"""Measures the cost of membership, claims and the ledger.

All systems run in one process and exchange encoded messages in memory; the
results include encoding and decoding but no network. The bounds are fractions
of the control budget of a VM: 1.1% of a core and 24 KB/s for all subsystems.
"""

from collections.abc import Callable
import dataclasses
import json
import pathlib
from random import Random
import tempfile
import time
import tracemalloc

from rattanroute import codecs
from rattanroute.actions import Action
from rattanroute.actions import ClaimDecision
from rattanroute.actions import PersistUsages
from rattanroute.actions import SendMessage
from rattanroute.messages.memberships import Ping
from rattanroute.storage.ledger_files import LedgerFile
from rattanroute.storage.records import SystemFileAccess
from rattanroute.systems.claims import ClaimSystem
from rattanroute.systems.ledger_holders import LedgerHolder
from rattanroute.systems.ledgers import LedgerSystem
from rattanroute.systems.memberships import MembershipSystem
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.usages import TargetStatement
from rattanroute.tables.usages import Usage

WALL_MS = 1_700_000_000_000
TICK_SECONDS = 0.05
MEMBER_COUNTS = (8, 16, 32, 64, 128, 410)
DATA_CENTRES = 15
PARTITION_SECONDS = 60.0
# A tenth of the control budget, for membership without changes.
MEMBER_CPU_MS_PER_SECOND = 1.1
MEMBER_BYTES_PER_SECOND = 2_400.0
MAX_BYTES_PER_SECOND = 24_000.0
REJOIN_SECONDS = 2.0
CLAIM_COUNT = 3_000
KEY_COUNT = 20_000
USAGE_COUNT = 10_000
RESTART_COUNT = 100_000
# Design scale: 2,600 requests/s through 410 VMs.
REQUESTS_PER_SECOND_PER_VM = 2_600 / 410
SYNC_BATCH = 100


@dataclasses.dataclass(kw_only=True, slots=True)
class InMemoryCluster:
    """Runs systems in one process; messages arrive in the next step.

    Attributes:
        systems: Systems by VM.
        execute: Called with the VM and each action other than sending a
            message; returns follow-up actions.
        blocked: Returns whether a message from one VM to another is lost.
        now: Simulated time, in seconds.
        messages: Number of messages sent.
        sent: Bytes sent by each VM.
        queue: Messages in flight as sender, receiver, kind and body.
    """

    systems: dict[str, object]
    execute: Callable[[str, Action], list[Action]] = lambda vm_id, action: []
    blocked: Callable[[str, str], bool] = lambda sender, receiver: False
    now: float = 0.0
    messages: int = 0
    sent: dict[str, int] = dataclasses.field(default_factory=dict)
    queue: list[tuple[str, str, int, bytes]] = dataclasses.field(
        default_factory=list
    )

    def execute_actions(self, vm_id: str, actions: list[Action]) -> None:
        """Sends messages and executes other actions."""
        for action in actions:
            if not isinstance(action, SendMessage):
                self.execute_actions(vm_id, self.execute(vm_id, action))
                continue
            kind, body = codecs.encode(action.message)
            self.messages += 1
            self.sent[vm_id] = self.sent.get(vm_id, 0) + len(body)
            if not self.blocked(vm_id, action.peer):
                self.queue.append((vm_id, action.peer, kind, body))

    def deliver(self) -> None:
        """Delivers the messages in flight."""
        queue, self.queue = self.queue, []
        for sender, receiver, kind, body in queue:
            message = codecs.decode(kind=kind, body=body, peer=sender)
            system = self.systems[receiver]
            self.execute_actions(
                receiver,
                system.receive(peer=sender, message=message, now=self.now),
            )

    def run(self, seconds: float) -> None:
        """Advances the simulated time, in seconds."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.deliver()
            for vm_id, system in self.systems.items():
                self.execute_actions(vm_id, system.tick(now=self.now))


def build_row(
    name: str,
    value: float,
    unit: str,
    target: float | None = None,
    baseline: float | None = None,
) -> dict[str, object]:
    """Builds a result row; `target` is an upper bound."""
    return {
        "name": name,
        "value": round(value, 3),
        "unit": unit,
        "target": target,
        "met": None if target is None else value <= target,
        "baseline": None if baseline is None else round(baseline, 3),
    }


def fit_slope(points: list[tuple[float, float]]) -> float:
    """Returns the slope of the least-squares line through points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)


# Membership.


def build_membership_cluster(count: int) -> InMemoryCluster:
    """Builds a cluster whose members already know each other."""
    systems = {
        f"vm-{number:03d}": MembershipSystem(
            vm_id=f"vm-{number:03d}",
            address=f"127.0.0.1:{10_000 + number}",
            data_centre=f"dc-{number % DATA_CENTRES}",
            region=f"region-{number % 6}",
            voter=number < 7,
            incarnation=WALL_MS,
            random=Random(number),
        )
        for number in range(count)
    }
    members = [system.own_record for system in systems.values()]
    for system in systems.values():
        for member in members:
            system.table.put(member)
            system.view.queue.discard(member.vm_id)
            system.view.local_queue.discard(member.vm_id)
    return InMemoryCluster(systems=systems)


def measure_heartbeat() -> tuple[float, int]:
    """Returns the CPU time in ms and the bytes of one heartbeat."""
    message = Ping(sequence=1_000, digest=1 << 63)
    kind, body = codecs.encode(message)
    start = time.process_time()
    for _ in range(20_000):
        codecs.decode(kind=kind, body=codecs.encode(message)[1], peer="vm-000")
    return (time.process_time() - start) * 1000 / 20_000, len(body)


def measure_membership() -> list[dict[str, object]]:
    """Measures idle members; the baseline is a heartbeat to every member."""
    rows: list[dict[str, object]] = []
    cpu_points: list[tuple[float, float]] = []
    byte_points: list[tuple[float, float]] = []
    heartbeat_ms, heartbeat_bytes = measure_heartbeat()
    for count in MEMBER_COUNTS:
        cluster = build_membership_cluster(count)
        cluster.run(2.0)
        cluster.sent.clear()
        start = time.process_time()
        cluster.run(10.0)
        cpu = (time.process_time() - start) * 1000 / count / 10.0
        sent = sum(cluster.sent.values()) / count / 10.0
        cpu_points.append((count, cpu))
        byte_points.append((count, sent))
        others = count - 1
        rows.append(
            build_row(
                f"membership CPU per VM, {count} members",
                cpu,
                "ms/s",
                MEMBER_CPU_MS_PER_SECOND,
                others * heartbeat_ms,
            )
        )
        rows.append(
            build_row(
                f"membership bytes per VM, {count} members",
                sent,
                "B/s",
                MEMBER_BYTES_PER_SECOND,
                others * heartbeat_bytes,
            )
        )
    rows.append(
        build_row(
            "membership CPU per further member",
            fit_slope(cpu_points) * 1000,
            "us/s",
            baseline=heartbeat_ms * 1000,
        )
    )
    rows.append(
        build_row(
            "membership bytes per further member",
            fit_slope(byte_points),
            "B/s",
            baseline=heartbeat_bytes,
        )
    )
    rows.append(measure_member_memory())
    return rows


def measure_member_memory() -> dict[str, object]:
    """Measures the memory of one record in a member table."""
    members = [
        system.own_record
        for system in build_membership_cluster(410).systems.values()
    ]
    system = build_membership_cluster(1).systems["vm-000"]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for member in members:
        system.table.put(
            dataclasses.replace(member, address=member.address + "0")
        )
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return build_row(
        "membership memory per member", (after - before) / 409, "B"
    )


def measure_rejoin(count: int) -> list[dict[str, object]]:
    """Measures how a partitioned data centre rejoins."""
    cluster = build_membership_cluster(count)
    partitioned = {
        vm_id
        for vm_id, system in cluster.systems.items()
        if system.own_record.data_centre == "dc-1"
    }
    cluster.blocked = lambda sender, receiver: (
        (sender in partitioned) != (receiver in partitioned)
    )
    cluster.run(PARTITION_SECONDS)
    cluster.blocked = lambda sender, receiver: False
    cluster.sent.clear()
    reconnected_at = cluster.now
    rejoined: float | None = None
    first_second = 0.0
    while cluster.now < reconnected_at + 5.0:
        cluster.run(TICK_SECONDS)
        if rejoined is None and all(
            len(system.table.present_ids) == count
            for system in cluster.systems.values()
        ):
            rejoined = cluster.now - reconnected_at
        if cluster.now <= reconnected_at + 1.0:
            first_second = sum(cluster.sent.values()) / count
    name = f"rejoin of {len(partitioned)} of {count} members"
    return [
        build_row(
            f"{name}, until all views are whole",
            5.0 if rejoined is None else rejoined,
            "s",
            REJOIN_SECONDS,
        ),
        build_row(
            f"{name}, bytes per VM in the first second",
            first_second,
            "B/s",
            MAX_BYTES_PER_SECOND,
        ),
    ]


# Claims.


def build_claim_cluster(count: int) -> InMemoryCluster:
    """Builds a cluster of claim holders and one entry VM."""
    holders = tuple(f"h{number}" for number in range(count))
    systems = {
        vm_id: ClaimSystem(
            vm_id=vm_id,
            data_centres=("dc-a",),
            claim_holders={"dc-a": holders},
            created_ms={"dc-a": WALL_MS + 1},
            started_ms=WALL_MS,
            now=0.0,
        )
        for vm_id in (*holders, "e0")
    }
    cluster = InMemoryCluster(systems=systems)
    cluster.run(1.5)
    return cluster


def build_request(number: int) -> Request:
    """Builds a non-repeatable request."""
    return Request(
        request_id=f"request-{number}",
        kind=RequestKind.SERVICE,
        workspace="workspace",
        neighbour="neighbour",
        model="orders",
        repeatable=False,
        idempotency_key=f"dc-a/key-{number}",
        arrived_at=0.0,
        deadline=1e9,
    )


def run_claim_requests(cluster: InMemoryCluster, count: int) -> None:
    """Claims keys and stores an answer of 200 bytes for each key."""
    entry = cluster.systems["e0"]

    def complete(vm_id: str, action: Action) -> list[Action]:
        if isinstance(action, ClaimDecision) and action.granted:
            return entry.store_answer(
                action.request_id, b"x" * 200, cluster.now
            )
        return []

    cluster.execute = complete
    for number in range(count):
        request = build_request(number)
        cluster.execute_actions(
            "e0",
            entry.claim(
                request=request, content_hash="0" * 32, now=cluster.now
            ),
        )
        while cluster.queue:
            cluster.deliver()


def measure_claims() -> list[dict[str, object]]:
    """Measures claims with answers; the baseline is a single holder."""
    figures: dict[int, tuple[float, float, float]] = {}
    for count in (1, 3, 5):
        cluster = build_claim_cluster(count)
        cluster.messages = 0
        cluster.sent.clear()
        start = time.process_time()
        run_claim_requests(cluster, CLAIM_COUNT)
        cpu = (time.process_time() - start) * 1e6 / CLAIM_COUNT
        sent = sum(cluster.sent.values()) / CLAIM_COUNT
        figures[count] = (cpu, cluster.messages / CLAIM_COUNT, sent)
    rows: list[dict[str, object]] = []
    for count, (cpu, messages, sent) in figures.items():
        name = f"claim with answer, {count} holders"
        single_holder = figures[1]
        rows += [
            build_row(
                f"{name}, CPU on all VMs", cpu, "us", None, single_holder[0]
            ),
            build_row(
                f"{name}, messages", messages, "", None, single_holder[1]
            ),
            build_row(f"{name}, bytes", sent, "B", None, single_holder[2]),
        ]
    cluster = build_claim_cluster(1)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    run_claim_requests(cluster, KEY_COUNT)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    per_key = (after - before) / KEY_COUNT
    rows.append(
        build_row("memory per key with an answer of 200 B", per_key, "B")
    )
    return rows


# Ledger.


def build_usage(number: int) -> Usage:
    """Builds the usage of one attempt."""
    return Usage(
        request_id=f"request-{number:08d}",
        attempt=1,
        neighbour="neighbour-a",
        workspace=f"workspace-{number % 500}",
        model="model-large",
        tokens_in=500 + number % 100,
        tokens_out=200 + number % 50,
        accelerator_seconds=2.5,
        layers=48,
        targets=(f"target-{number % 40}",),
        outcome="done",
        max_tokens_out=1_000,
        elapsed_seconds=3.0,
    )


def record_usage(entry: LedgerSystem, number: int, now: float) -> None:
    """Records an attempt and its target's usage report at an entry VM."""
    usage = build_usage(number)
    account = entry.open(
        request_id=usage.request_id,
        attempt=1,
        neighbour=usage.neighbour,
        workspace=usage.workspace,
        model=usage.model,
        now=now,
    )
    entry.record(usage, now)
    entry.hear(
        TargetStatement(
            target_id=usage.targets[0],
            request_id=usage.request_id,
            attempt=1,
            account=account,
            tokens_in=usage.tokens_in,
            tokens_out=usage.tokens_out,
            seconds=usage.accelerator_seconds,
            layers=usage.layers,
        )
    )


def measure_ledger() -> list[dict[str, object]]:
    """Measures recording the usage of requests, and holder restarts."""
    holders = ("h0", "h1", "h2")
    systems = {
        vm_id: LedgerSystem(
            vm_id=vm_id, started_ms=WALL_MS, now=0.0, holders=holders
        )
        for vm_id in (*holders, "e0")
    }
    cluster = InMemoryCluster(systems=systems)

    def persist(vm_id: str, action: Action) -> list[Action]:
        if isinstance(action, PersistUsages):
            return systems[vm_id].persisted(
                ticket=action.ticket, now=cluster.now
            )
        return []

    cluster.execute = persist
    start = time.process_time()
    for number in range(USAGE_COUNT):
        record_usage(systems["e0"], number, cluster.now)
        if number % 20 == 0:
            cluster.run(TICK_SECONDS * 4)
    cluster.run(20.0)
    cpu = (time.process_time() - start) * 1e6 / USAGE_COUNT
    sent = cluster.sent["e0"] / USAGE_COUNT
    if len(systems["e0"].sender.pending):
        raise RuntimeError("usage items remain unconfirmed")
    rows = [
        build_row("ledger CPU per request on all 4 VMs", cpu, "us"),
        build_row("ledger bytes per request from the entry VM", sent, "B"),
        build_row(
            "ledger bytes per VM at the design rate",
            sent * REQUESTS_PER_SECOND_PER_VM,
            "B/s",
            MAX_BYTES_PER_SECOND / 4,
        ),
    ]
    return rows + measure_restarts()


def measure_restarts() -> list[dict[str, object]]:
    """Measures restarts of a ledger holder from its file."""
    entry = LedgerSystem(
        vm_id="e0", started_ms=WALL_MS, now=0.0, holders=("h0",)
    )
    holder = LedgerHolder(restored=[])
    for number in range(RESTART_COUNT):
        record_usage(entry, number, 0.0)
        if number % (SYNC_BATCH // 2) == 0 or number == RESTART_COUNT - 1:
            batch = entry.sender.build_batch("h0")
            holder.on_batch(batch, 0.0)
            entry.sender.pending.clear()
    rows: list[dict[str, object]] = []
    with tempfile.TemporaryDirectory() as folder:
        files = SystemFileAccess()
        file = LedgerFile(pathlib.Path(folder), files=files)
        file.write(tuple(holder.unsaved))
        rows.append(measure_restart(folder, "appended batches"))
        for key in list(holder.table.open):
            holder.table.close(key)
        file.compact(holder.snapshot())
        file.close()
        rows.append(measure_restart(folder, "a snapshot of closed records"))
    return rows


def measure_restart(folder: str, kind: str) -> dict[str, object]:
    """Measures opening and replaying a ledger file."""
    start = time.perf_counter()
    file = LedgerFile(pathlib.Path(folder), files=SystemFileAccess())
    holder = LedgerHolder(restored=file.restored or [])
    seconds = time.perf_counter() - start
    file.close()
    attempts = sum(a.attempts for a in holder.table.totals.values())
    return build_row(
        f"ledger restart, {attempts} records from {kind}", seconds, "s"
    )


def run() -> list[dict[str, object]]:
    """Runs all measurements."""
    return [
        *measure_membership(),
        *measure_rejoin(64),
        *measure_rejoin(410),
        *measure_claims(),
        *measure_ledger(),
    ]


if __name__ == "__main__":
    for row in run():
        print(json.dumps(row))
