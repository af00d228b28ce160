"""Tests of the limits on each neighbour's share of the pool."""

import dataclasses
import random
import unittest

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st

from rattanroute.events import CallerDisconnected
from rattanroute.events import RequestArrived
from rattanroute.systems.share_allocators import ANY_NEIGHBOUR
from rattanroute.systems.share_allocators import divide_capacity
from rattanroute.systems.share_allocators import LEASE_SECONDS
from rattanroute.systems.shares import BURST_SECONDS
from rattanroute.systems.shares import FLOOR_FRACTION
from rattanroute.systems.shares import PREPAID_SECONDS
from rattanroute.systems.shares import ShareSystem
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.configurations import Neighbour
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.support import build_core
from rattanroute.tests.support import build_report
from rattanroute.tests.support import build_request
from rattanroute.tests.test_core_properties import PROFILE

TICK = 0.05
SLOTS = 4
TARGETS = 10
CAPACITY = float(SLOTS * TARGETS)
NEIGHBOURS = {
    "a": Neighbour(name="a", share=0.7),
    "b": Neighbour(name="b", share=0.3),
}
CONFIGURATION = Configuration(neighbours=NEIGHBOURS)


@dataclasses.dataclass
class View:
    """The live VMs as one VM sees them."""

    vms: dict

    def live(self) -> dict:
        return self.vms


class Network:
    """Simulates VMs of one data centre with lost and delayed messages.

    Attributes:
        loss: Chance that a message is lost.
        partition_side: Side of the network partition of each VM; 0 without one.
        crashed: VMs that have crashed.
        changed_at: Time of each VM's latest crash, restart or change of side.
        messages: Messages in transit with their delivery times.
        unseen_until: Time until which the first VM of a pair does not see the
            second one as live.
        views: The live VMs as each VM sees them.
        tables: Targets known to each VM.
    """

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.ids = [f"vm-{number}" for number in range(count)]
        self.partition_side = dict.fromkeys(self.ids, 0)
        self.crashed: set = set()
        self.changed_at = dict.fromkeys(self.ids, -10.0)
        self.messages: list = []
        self.unseen_until: dict = {}
        self.views = {i: View(dict.fromkeys(self.ids, "dc")) for i in self.ids}
        self.tables = {vm_id: TargetTable() for vm_id in self.ids}
        self.sequence = 0
        self.systems = {i: self.build(i) for i in self.ids}
        self.report()

    def build(self, vm_id: str) -> ShareSystem:
        """Builds the share system of a VM."""
        return ShareSystem(
            vm_id=vm_id,
            data_centre="dc",
            peers=self.views[vm_id],
            targets=self.tables[vm_id],
            configuration=lambda: CONFIGURATION,
        )

    def report(self) -> None:
        """Records the targets' reports at the VMs on their side."""
        self.sequence += 1
        for number in range(TARGETS):
            report = build_report(
                f"t{number}",
                data_centre="dc",
                slots=SLOTS,
                sequence=self.sequence,
            )
            for vm_id in self.ids:
                if self.partition_side[vm_id] in (0, 1 + number % 2):
                    self.tables[vm_id].record(
                        report=report, observer="x", received_at=self.now
                    )

    def update_views(self) -> None:
        """Updates each VM's view; changes show up after one second."""
        for vm_id in self.ids:
            self.views[vm_id].vms = {
                other: "dc"
                for other in self.ids
                if self.unseen_until.get((vm_id, other), 0.0) < self.now
                and (
                    (
                        other not in self.crashed
                        and self.are_connected(vm_id, other)
                    )
                    or self.now
                    - max(self.changed_at[vm_id], self.changed_at[other])
                    < 1
                )
            }

    def are_connected(self, one: str, other: str) -> bool:
        """Returns whether two VMs are on the same side of a partition."""
        return self.partition_side[one] == self.partition_side[other]

    def record_change(self, vm_id: str) -> None:
        """Records the time of a crash, restart or partition of a VM."""
        self.changed_at[vm_id] = self.now

    def step(self) -> None:
        """Advances all VMs by one tick."""
        self.now += TICK
        if self.sequence * 0.5 < self.now:
            self.report()
        self.update_views()
        due = [m for m in self.messages if m[0] <= self.now]
        self.messages = [m for m in self.messages if m[0] > self.now]
        for _, source, target, message in due:
            if target not in self.crashed and self.are_connected(
                source, target
            ):
                actions = self.systems[target].receive(
                    peer=source, message=message, now=self.now
                )
                self.send(target, actions)
        for vm_id, system in self.systems.items():
            if vm_id not in self.crashed:
                self.send(vm_id, system.tick(now=self.now))

    def send(self, source: str, actions: list) -> None:
        """Sends messages with random delays and losses."""
        for action in actions:
            if self.random.random() >= self.loss:
                due = self.now + 0.2 * self.random.random()
                entry = (due, source, action.peer, action.message)
                self.messages.append(entry)

    def demand(self, vm_id: str, neighbour: str, slots: float) -> None:
        """Sets a backlog on a VM that needs a number of slots."""
        backlog = self.systems[vm_id].backlog
        backlog[neighbour] = slots * LEASE_SECONDS

    def rate(
        self, neighbour: str | None = None, *, leased: bool = False
    ) -> float:
        """Returns the sum of the rates that the running VMs may use.

        Args:
            neighbour: Counts only the slice of this neighbour.
            leased: Counts only VMs that have a lease.
        """
        total = 0.0
        for vm_id, system in self.systems.items():
            if vm_id in self.crashed:
                continue
            system.advance(self.now)
            if leased and not system.lease_number:
                continue
            for name, bucket in system.buckets.items():
                if neighbour in (None, name):
                    total += bucket.rate
        return total

    def run(self, seconds: float) -> None:
        """Advances all VMs for some seconds."""
        for _ in range(round(seconds / TICK)):
            self.step()


STEP = st.tuples(
    st.sampled_from(
        ["wait", "demand", "kill", "revive", "cut", "heal", "blind"]
    ),
    st.integers(0, 5),
    st.integers(0, 40),
)


# One VM is cut off for longer than it counts the others, and returns while it
# uses a lease that it granted to itself.
ISOLATED_VM_RETURNS = (
    [("wait", 0, 0)] * 4
    + [("cut", 4, 0)]
    + [("wait", 0, 0)] * 10
    + [("heal", 0, 0)]
)


class SharesProperties(unittest.TestCase):
    """Guards against overshoot after lost messages, crashes and partitions."""

    @PROFILE
    @example(ISOLATED_VM_RETURNS, 0)
    @example([*ISOLATED_VM_RETURNS, ("wait", 0, 0), ("wait", 0, 0)], 0)
    @given(st.lists(STEP, min_size=10, max_size=20), st.integers(0, 9))
    def test_rates_stay_within_the_bound(self, steps, seed):
        network = Network(6, seed, loss=0.1 * (seed % 4))
        network.run(1.0)
        for kind, choice, amount in steps:
            vm_id = network.ids[choice]
            if kind == "demand":
                network.demand(vm_id, "ab"[amount % 2], amount)
            elif kind == "kill" and len(network.crashed) < 3:
                network.crashed.add(vm_id)
                network.record_change(vm_id)
            elif kind == "revive" and vm_id in network.crashed:
                network.crashed.discard(vm_id)
                # A VM joins the membership before it takes leases, so it sees
                # the other VMs.
                for other in network.ids:
                    network.unseen_until.pop((vm_id, other), None)
                network.systems[vm_id] = network.build(vm_id)
                network.record_change(vm_id)
            elif kind == "blind":
                # Shorter than the time for which a missing VM still counts, so
                # the views of live VMs differ but the numbers of VMs do not.
                for other in network.ids[: 1 + amount % 3]:
                    ended = network.unseen_until.get((vm_id, other), -10.0)
                    if network.now - ended > 5.0:
                        network.unseen_until[vm_id, other] = network.now + 4.0
            elif kind in ("cut", "heal"):
                for number, other in enumerate(network.ids):
                    side = 1 + (number <= choice) if kind == "cut" else 0
                    if side != network.partition_side[other]:
                        network.partition_side[other] = side
                        network.record_change(other)
            for _ in range(20):
                network.step()
                self.assertLessEqual(
                    network.rate(), CAPACITY * (1 + FLOOR_FRACTION) + 1e-6
                )
                leased = network.rate(leased=True)
                self.assertLessEqual(leased, CAPACITY + 1e-6)

    @PROFILE
    @given(
        st.dictionaries(st.sampled_from("abcd"), st.floats(0, 100)),
        st.dictionaries(st.sampled_from("abcd"), st.floats(0.01, 1)),
    )
    def test_division_gives_each_its_share_or_demand(self, wanted, shares):
        parts = divide_capacity(10.0, wanted, shares)
        self.assertLessEqual(sum(parts.values()), 10.0 + 1e-9)
        weight = sum(shares.values())
        for name, want in wanted.items():
            share = 10.0 * shares.get(name, 0.0) / weight if weight else 0.0
            part = parts.get(name, 0.0)
            self.assertLessEqual(part, want + 1e-9)
            self.assertGreaterEqual(part + 1e-6, min(want, share))


class SharesTest(unittest.TestCase):
    """Guards against idle capacity and VMs that are left without rates."""

    def build_settled_network(self) -> Network:
        """Returns a network in which `b` alone uses the pool."""
        network = Network(5, seed=1)
        for vm_id in network.ids:
            network.demand(vm_id, "b", 20)
        network.run(6.0)
        return network

    def test_lone_neighbour_uses_the_whole_pool(self) -> None:
        network = self.build_settled_network()
        self.assertGreater(network.rate("b"), 0.9 * CAPACITY)

    def test_lent_share_is_returned_within_one_lease(self) -> None:
        network = self.build_settled_network()
        for vm_id in network.ids:
            network.demand(vm_id, "a", 20)
        network.run(LEASE_SECONDS)
        self.assertGreater(network.rate("a"), 0.9 * 0.7 * CAPACITY)
        self.assertLess(network.rate("b"), 1.1 * 0.3 * CAPACITY)

    def test_partitioned_vm_keeps_its_floor(self) -> None:
        network = self.build_settled_network()
        network.partition_side["vm-4"] = 2
        network.record_change("vm-4")
        system = network.systems["vm-4"]
        for _ in range(round(10.0 / TICK)):
            network.step()
            system.advance(network.now)
            self.assertGreater(sum(b.rate for b in system.buckets.values()), 0)

    def test_new_keeper_waits_out_one_lease(self) -> None:
        network = self.build_settled_network()
        network.crashed.add("vm-0")
        network.record_change("vm-0")
        start = network.now
        while not network.systems["vm-1"].allocator.slices.rows:
            network.step()
        self.assertGreaterEqual(network.now - start, LEASE_SECONDS)
        network.run(3.0)
        self.assertGreater(network.rate("b"), 0.7 * CAPACITY)

    def test_started_work_follows_the_rate(self) -> None:
        network = self.build_settled_network()
        for vm_id in network.ids:
            network.demand(vm_id, "a", 20)
        network.run(3.0)
        running = 0
        ends: list = []
        peak = 0
        for number in range(400):
            network.step()
            now = network.now
            for _, vm_id, name in [e for e in ends if e[0] <= now]:
                network.systems[vm_id].end(name, now=now)
                running -= 1
            ends = [e for e in ends if e[0] > now]
            for vm_id in network.ids:
                system = network.systems[vm_id]
                while system.admits("b", now=now):
                    name = f"{number}-{vm_id}-{running}"
                    system.start("b", request_id=name, now=now)
                    ends.append((now + 2.0, vm_id, name))
                    running += 1
            if number > 200:
                peak = max(peak, running)
        # One request for each slice of five VMs may run beyond the rate.
        self.assertLess(peak, 0.3 * CAPACITY * 1.2 + 2 * 5)
        self.assertGreater(peak, 0.3 * CAPACITY * 0.9)

    def test_work_in_the_lent_slice_is_charged_to_it(self) -> None:
        """Guards against a burst without limit and debts for lent capacity.

        A VM that starts work only in its own slice of a neighbour may start
        any amount while the lent slice has some work left, and the neighbour
        then cannot use its own share until the debt is paid.
        """
        network = Network(5, seed=1)
        network.run(6.0)
        system = network.systems["vm-4"]
        rates = {name: row.rate for name, row in system.buckets.items()}
        usable = rates["a"] + rates[ANY_NEIGHBOUR]
        started = 0
        while started < CAPACITY and system.admits("a", now=network.now):
            system.start("a", request_id=f"r{started}", now=network.now)
            started += 1
        # The limit: a second of work at its rates and one request a slice.
        self.assertLessEqual(started, usable * BURST_SECONDS + 2)
        self.assertGreaterEqual(started, usable * BURST_SECONDS)
        for name in ("a", ANY_NEIGHBOUR):
            self.assertGreater(system.buckets[name].level, -1.0 - 1e-9, name)

    def test_long_work_is_charged_to_its_neighbour(self) -> None:
        """Guards against debts of the lent slice for requests that run on.

        The running requests of a neighbour count as its demand, and it gets
        rates for them. If they were charged to the lent slice, the neighbour
        could start as much work again.
        """
        network = Network(2, seed=1)
        network.run(6.0)
        system = network.systems["vm-1"]
        started = 0
        while started < CAPACITY and system.admits("a", now=network.now):
            system.start("a", request_id=f"r{started}", now=network.now)
            started += 1
        self.assertGreater(started, 0.4 * CAPACITY)
        network.run(PREPAID_SECONDS + 1.0)
        self.assertEqual(system.buckets["a"].running, started)
        network.run(4.0)
        self.assertGreater(system.buckets[ANY_NEIGHBOUR].level, -1.0 - 1e-9)
        for number in range(started):
            system.end(f"r{number}", now=network.now)
        self.assertFalse(any(b.running for b in system.buckets.values()))

    def test_first_demand_does_not_lower_the_rates(self) -> None:
        """Guards against a renewal that takes the rates of a busy VM.

        A VM without demand holds a part of the lent slice. Its first demand
        turns this part into rates of its neighbours; counting the old and the
        new rates together would leave it no rate until the next renewals.
        """
        network = Network(2, seed=1)
        network.run(6.0)
        system = network.systems["vm-1"]
        held = sum(row.rate for row in system.buckets.values())
        self.assertGreater(held, 0.4 * CAPACITY)
        for name in NEIGHBOURS:
            network.demand("vm-1", name, CAPACITY)
        for _ in range(round(LEASE_SECONDS / TICK)):
            network.step()
            rates = sum(row.rate for row in system.buckets.values())
            self.assertGreaterEqual(rates, 0.95 * held)

    def test_core_charges_and_releases_what_it_runs(self) -> None:
        network = Network(1, seed=1)
        network.run(4.0)
        system = network.systems["vm-0"]
        core = build_core(
            targets=network.tables["vm-0"],
            gate=system,
            configuration=lambda: CONFIGURATION,
        )
        waiting = 0
        for number in range(60):
            request = build_request(
                f"r{number}",
                neighbour="a",
                arrived_at=network.now,
                deadline=network.now + 60,
            )
            event = RequestArrived(request=request)
            waiting += not core.handle(event, now=network.now)
        # A neighbour that is alone may use the whole pool, but no more.
        self.assertAlmostEqual(60 - waiting, CAPACITY, delta=2)
        self.assertEqual(len(system.runs), 60 - waiting)
        core.tick(now=network.now)
        self.assertGreater(system.backlog["a"], 0)
        for number in range(60):
            core.handle(
                CallerDisconnected(request_id=f"r{number}"), now=network.now
            )
        self.assertFalse(system.runs)
        network.run(3.0)
        self.assertFalse(any(b.running for b in system.buckets.values()))
