"""Shares of the pool: limits the rate of each neighbour's work on each VM.

Rates are in slot seconds per second: a running request of a model uses one
slot second each second, and a layer-range target counts by its fraction of
the layers. In each data centre the live VM with the lowest identifier is the
allocator (`systems/share_allocators.py`). It leases rates to the VMs by recent
demand. Capacity that no neighbour wants is leased as a slice that any
neighbour may use.

Limits on overshoot. Let C be the capacity of a data centre and F the floor
fraction:

- The rates in use in a data centre sum to at most C * (1 + F). The allocator
  leases at most C times the fraction of the VMs that ask it. A VM asks a
  single allocator, and changes it only `ALLOCATOR_CHANGE_SECONDS` after its
  last demand. A VM without a lease uses its floor, F / V of each share, where
  V is the highest recent number of VMs. C is the highest capacity of the last
  `LEASE_SECONDS`, because leases outlive a loss of targets by that time. New
  capacity is leased `CAPACITY_GROWTH_SECONDS` after it was first seen, when
  leases from the other side of a network partition have ended.
- A neighbour regains its share within one lease: the VMs that use it for
  another neighbour lose it at their next renewal, or when their lease ends.
- Beyond its rates, each VM may start `BURST_SECONDS` of work at these rates
  and one request for each slice. Running requests are not stopped, so usage
  follows the rates with a delay of one request duration.

These limits assume that messages arrive within 0.5 s, that the VMs' views of
the live VMs differ for less than 4 s, and that a VM joins the membership
before it takes leases.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.shares import Rate
from rattanroute.messages.shares import ShareDemand
from rattanroute.messages.shares import ShareLease
from rattanroute.systems.share_allocators import ABSENT_SECONDS
from rattanroute.systems.share_allocators import ANY_NEIGHBOUR
from rattanroute.systems.share_allocators import LEASE_SECONDS
from rattanroute.systems.share_allocators import ShareAllocator
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.targets import TargetKind
from rattanroute.tables.targets import TargetTable

RENEW_SECONDS = 0.5
# A VM that has exhausted its rates renews early, but not more often than this.
MIN_RENEW_SECONDS = 0.1
# The former allocator counts this VM for `ABSENT_SECONDS`, and the leases that
# depend on this count end up to `LEASE_SECONDS` after that.
ALLOCATOR_CHANGE_SECONDS = ABSENT_SECONDS + LEASE_SECONDS + 0.5
FLOOR_FRACTION = 0.2
# Time after which the allocator leases additional capacity. Until then, VMs
# that were cut off may still use leases of it from another allocator.
CAPACITY_GROWTH_SECONDS = LEASE_SECONDS + 0.5
BURST_SECONDS = 1.0
# Work prepaid when a request starts; further work is charged as it runs.
PREPAID_SECONDS = 1.0
DEMAND_AVERAGE_SECONDS = 2.0
# A VM that is no longer live still counts for this time. It exceeds the sum of
# the time for which membership may miss a live VM (4 s) and that after which
# targets become stale (2.5 s), so that both sides of a network partition count
# disjoint targets before they count fewer VMs.
MEMBER_RETENTION_SECONDS = 8.0
# Fraction of the capacity that is spread evenly over all data centres, so that
# one without targets can use those of others.
SPREAD_FRACTION = 0.05


class PeerDirectory(Protocol):
    """The live VMs according to membership."""

    def live(self) -> Mapping[str, str]:
        """Returns the data centre of each live VM, by VM identifier."""
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class Bucket:
    """Token bucket of one slice; its tokens are slot seconds.

    Attributes:
        level: Slot seconds left; negative while in debt.
        rate: Slot seconds added per second.
        running: Number of requests that are charged as they run.
    """

    level: float = 0.0
    rate: float = 0.0
    running: int = 0

    def advance(self, seconds: float) -> None:
        """Adds the rate and charges running requests for some seconds."""
        level = self.level + (self.rate - self.running) * seconds
        self.level = min(self.rate * BURST_SECONDS, level)


@dataclasses.dataclass(kw_only=True, slots=True)
class RunningRequest:
    """A running request.

    Attributes:
        name: The slice that is charged: the one that admitted it for the
            prepaid work, then that of its neighbour.
        neighbour: The neighbour of the request.
        started_at: Start time, in seconds.
        metered: Whether its prepaid work is used up, so that it is charged
            as it runs.
    """

    name: str
    neighbour: str
    started_at: float
    metered: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class ShareSystem:
    """Enforces this VM's lease, and leases to other VMs as the allocator.

    Attributes:
        vm_id: Identifier of this VM.
        data_centre: Data centre of this VM.
        peers: The live VMs.
        targets: All targets, from which the capacity is computed.
        configuration: Returns the configuration in force.
        heartbeat_timeout_s: Age at which a target no longer counts.
        allocator: Leases to the VMs while this VM is the allocator.
        allocator_id: The VM that this one asks for leases; empty at first.
        demand_sent_at: Time of the latest demand, in seconds.
        demand_number: Number of the latest demand.
        lease_number: Number of the lease in use; 0 for none.
        lease_until: End of the lease in use.
        pending_demands: Send times of unanswered demands, by number.
        buckets: Token bucket of each slice.
        runs: Running requests, by request identifier.
        prepayments: End of the prepaid time of started requests and their
            identifiers, oldest first.
        offered: Recent work per second, by neighbour; decays exponentially.
        backlog: Waiting work in slot seconds, by neighbour.
        members: Time at which each VM of the data centre was last live.
        capacity: Slot seconds per second of the data centre.
        capacity_updated_at: Time at which the capacity was computed.
        recent_capacities: Capacities of the last `CAPACITY_GROWTH_SECONDS` and
            the times at which they were computed, oldest first.
        updated_at: Time up to which the buckets are advanced.
        throttled: Whether a request was refused since the latest demand.
    """

    vm_id: str
    data_centre: str
    peers: PeerDirectory
    targets: TargetTable
    configuration: Callable[[], Configuration]
    heartbeat_timeout_s: float = 2.5
    allocator: ShareAllocator = dataclasses.field(
        default_factory=ShareAllocator
    )
    allocator_id: str = ""
    demand_sent_at: float = float("-inf")
    demand_number: int = 0
    lease_number: int = 0
    lease_until: float = float("-inf")
    pending_demands: dict[int, float] = dataclasses.field(default_factory=dict)
    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)
    runs: dict[str, RunningRequest] = dataclasses.field(default_factory=dict)
    prepayments: collections.deque[tuple[float, str]] = dataclasses.field(
        default_factory=collections.deque
    )
    offered: dict[str, float] = dataclasses.field(default_factory=dict)
    backlog: dict[str, float] = dataclasses.field(default_factory=dict)
    members: dict[str, float] = dataclasses.field(default_factory=dict)
    capacity: float = 0.0
    capacity_updated_at: float = float("-inf")
    recent_capacities: collections.deque[tuple[float, float]] = (
        dataclasses.field(default_factory=collections.deque)
    )
    updated_at: float = 0.0
    throttled: bool = False
    message_types: tuple[type, ...] = (ShareDemand, ShareLease)

    def shares(self) -> dict[str, float]:
        """Returns the configured share of each neighbour."""
        neighbours = self.configuration().neighbours
        return {name: row.share for name, row in neighbours.items()}

    def admits(self, neighbour: str, *, now: float) -> bool:
        """Returns whether the neighbour may start a request now."""
        if not self.configuration().neighbours:
            return True
        self.advance(now)
        if self.find_available_slice(neighbour) is not None:
            return True
        self.throttled = True
        return False

    def find_available_slice(self, neighbour: str) -> str | None:
        """Returns a slice with work left for the neighbour, or None."""
        for name in (neighbour, ANY_NEIGHBOUR):
            bucket = self.buckets.get(name)
            if bucket is not None and bucket.level > 0:
                return name
        return None

    def start(self, neighbour: str, *, request_id: str, now: float) -> None:
        """Charges the prepaid work of a request that starts."""
        self.advance(now)
        name = self.find_available_slice(neighbour)
        # The name of the slice for any neighbour is empty.
        if name is None:
            name = neighbour
        self.buckets.setdefault(name, Bucket()).level -= PREPAID_SECONDS
        self.end(request_id, now=now)
        self.runs[request_id] = RunningRequest(
            name=name, neighbour=neighbour, started_at=now
        )
        self.prepayments.append((now + PREPAID_SECONDS, request_id))

    def end(self, request_id: str, *, now: float) -> None:
        """Stops charging a request and returns its unused prepaid work."""
        run = self.runs.pop(request_id, None)
        if run is None:
            return
        self.advance(now)
        bucket = self.buckets[run.name]
        if run.metered:
            bucket.running -= 1
        else:
            bucket.level += PREPAID_SECONDS - (now - run.started_at)

    def set_backlog(self, backlog: dict[str, float]) -> None:
        """Sets the waiting work of each neighbour, in slot seconds."""
        self.backlog = backlog

    def offer(self, neighbour: str, *, work: float) -> None:
        """Adds the work of an arrived request to the recent demand."""
        offered = self.offered.get(neighbour, 0.0)
        self.offered[neighbour] = offered + work / DEMAND_AVERAGE_SECONDS

    def wait(self, neighbour: str, *, work: float, now: float) -> float:
        """Estimates the seconds until an amount of work may have started."""
        if not self.configuration().neighbours:
            return 0.0
        if not self.capacity:
            # A VM that has just started may have received its first target
            # reports after the capacity was last computed.
            self.update_capacity(now)
        self.advance(now)
        names = (neighbour, ANY_NEIGHBOUR)
        buckets = [self.buckets[n] for n in names if n in self.buckets]
        level = sum(bucket.level for bucket in buckets)
        rate = sum(bucket.rate for bucket in buckets)
        if level > work:
            return 0.0
        # The next renewal may raise the rate to this VM's part of the share.
        entitled = self.shares().get(neighbour, 0.0) * self.capacity
        rate = max(rate, entitled / max(1, self.vm_count(now)))
        return (work - level) / rate if rate > 0 else math.inf

    def advance(self, now: float) -> None:
        """Advances the buckets to the present; ends an expired lease."""
        if now <= self.updated_at:
            return
        if self.lease_number and now >= self.lease_until:
            self.step(self.lease_until)
            self.lease_number = 0
            self.set_rates(self.compute_floor_rates(now))
        self.step(now)

    def step(self, now: float) -> None:
        """Advances the buckets up to a time under the current rates."""
        seconds = now - self.updated_at
        if seconds <= 0:
            return
        while self.prepayments and self.prepayments[0][0] <= now:
            due, request_id = self.prepayments.popleft()
            run = self.runs.get(request_id)
            if run is None or run.started_at + PREPAID_SECONDS != due:
                continue
            # The rates of its neighbour count this request as demand from the
            # first renewal on; the lent slice may have ended since.
            run.metered = True
            run.name = run.neighbour
            bucket = self.buckets.setdefault(run.name, Bucket())
            bucket.running += 1
            # Offsets the loop below, which charges from `updated_at` on.
            bucket.level += max(0.0, due - self.updated_at)
        for bucket in self.buckets.values():
            bucket.advance(seconds)
        decay = math.exp(-seconds / DEMAND_AVERAGE_SECONDS)
        for name in self.offered:
            self.offered[name] *= decay
        self.updated_at = now

    def set_rates(self, rates: Mapping[str, float]) -> None:
        """Replaces the rates of all slices."""
        for name, bucket in list(self.buckets.items()):
            bucket.rate = rates.get(name, 0.0)
            bucket.level = min(bucket.level, bucket.rate * BURST_SECONDS)
            used = any(run.name == name for run in self.runs.values())
            if not bucket.rate and not used and bucket.level >= 0:
                del self.buckets[name]
        for name, rate in rates.items():
            if name not in self.buckets:
                self.buckets[name] = Bucket(rate=rate)

    def compute_floor_rates(self, now: float) -> dict[str, float]:
        """Returns the rates of a VM without a lease."""
        part = FLOOR_FRACTION * self.capacity / self.vm_count(now)
        return {name: share * part for name, share in self.shares().items()}

    def vm_count(self, now: float) -> int:
        """Returns the number of VMs that are or recently were live."""
        recent = [
            vm_id
            for vm_id, at in self.members.items()
            if now - at <= MEMBER_RETENTION_SECONDS
        ]
        return max(1, len(recent))

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a demand, as the allocator, or a lease."""
        match message:
            case ShareDemand():
                return self.answer_demand(peer, message, now)
            case ShareLease() if peer == self.allocator_id:
                self.accept_lease(message, now)
        return []

    def answer_demand(
        self, peer: str, message: ShareDemand, now: float
    ) -> list[Action]:
        """Answers a VM's demand with a lease, if one can be granted."""
        rates = self.allocator.grant_lease(
            vm_id=peer,
            number=message.number,
            held=message.held,
            wanted={rate.neighbour: rate.rate for rate in message.wanted},
            shares=self.shares(),
            capacity=self.find_settled_capacity(),
            vms=self.vm_count(now),
            now=now,
        )
        if rates is None:
            return []
        slices = tuple(
            Rate(neighbour=name, rate=rate) for name, rate in rates.items()
        )
        lease = ShareLease(number=message.number, slices=slices)
        return [SendMessage(peer=peer, message=lease)]

    def accept_lease(self, lease: ShareLease, now: float) -> None:
        """Applies a lease, which ends `LEASE_SECONDS` after its demand."""
        sent_time = self.pending_demands.get(lease.number)
        if sent_time is None or lease.number <= self.lease_number:
            return
        if now >= sent_time + LEASE_SECONDS:
            return
        self.advance(now)
        self.lease_number = lease.number
        self.lease_until = sent_time + LEASE_SECONDS
        self.pending_demands = {
            n: t
            for n, t in self.pending_demands.items()
            if n > self.lease_number
        }
        self.set_rates({rate.neighbour: rate.rate for rate in lease.slices})

    def tick(self, *, now: float) -> list[Action]:
        """Updates the capacity and the allocator, and renews the lease."""
        if now - self.capacity_updated_at >= RENEW_SECONDS:
            self.update_capacity(now)
        self.advance(now)
        if not self.lease_number:
            self.set_rates(self.compute_floor_rates(now))
        allocator_id = self.find_allocator()
        if allocator_id == self.vm_id:
            self.allocator.take_over(now)
        else:
            self.allocator.step_down()
        if allocator_id != self.allocator_id:
            if now - self.demand_sent_at < ALLOCATOR_CHANGE_SECONDS:
                return []
            self.allocator_id = allocator_id
            self.pending_demands.clear()
        interval = MIN_RENEW_SECONDS if self.throttled else RENEW_SECONDS
        if now - self.demand_sent_at < interval - 1e-9:
            return []
        return self.send_demand(now)

    def find_allocator(self) -> str:
        """Returns the live VM of the data centre with the lowest identifier."""
        live = self.peers.live()
        ids = [v for v, zone in live.items() if zone == self.data_centre]
        return min([*ids, self.vm_id])

    def update_capacity(self, now: float) -> None:
        """Updates the live VMs and the capacity of the data centre."""
        self.capacity_updated_at = now
        self.members[self.vm_id] = now
        for vm_id, zone in self.peers.live().items():
            if zone == self.data_centre:
                self.members[vm_id] = now
        self.members = {
            vm_id: at
            for vm_id, at in self.members.items()
            if now - at <= MEMBER_RETENTION_SECONDS
        }
        zones = {self.data_centre: 0.0}
        for row in self.targets:
            report = row.report
            if report.kind is not TargetKind.MODEL or report.leaving:
                continue
            if now - row.received_at > self.heartbeat_timeout_s:
                continue
            part = 1.0
            if report.total_layers:
                layers = report.last_layer - report.first_layer + 1
                part = layers / report.total_layers
            zone = report.data_centre
            zones[zone] = zones.get(zone, 0.0) + report.slots * part
        own = zones[self.data_centre]
        spread = sum(zones.values()) / len(zones)
        self.capacity = own + SPREAD_FRACTION * (spread - own)
        recent = self.recent_capacities
        # A VM that has just started does not know the targets yet.
        if self.capacity or recent:
            recent.append((now, self.capacity))
        while recent and now - recent[0][0] > CAPACITY_GROWTH_SECONDS:
            recent.popleft()

    def find_settled_capacity(self) -> float:
        """Returns the capacity that no other allocator may still lease."""
        capacities = (capacity for _, capacity in self.recent_capacities)
        return min(capacities, default=0.0)

    def send_demand(self, now: float) -> list[Action]:
        """Sends the demand of this VM to the allocator."""
        self.demand_sent_at = now
        self.throttled = False
        self.demand_number += 1
        self.pending_demands[self.demand_number] = now
        for number, at in list(self.pending_demands.items()):
            if now - at >= LEASE_SECONDS:
                del self.pending_demands[number]
        demand = ShareDemand(
            number=self.demand_number,
            held=self.lease_number,
            wanted=self.collect_demand(),
        )
        if self.allocator_id != self.vm_id:
            return [SendMessage(peer=self.allocator_id, message=demand)]
        for action in self.answer_demand(self.vm_id, demand, now):
            self.accept_lease(action.message, now)
        return []

    def collect_demand(self) -> tuple[Rate, ...]:
        """Returns the demand of each neighbour, in slots."""
        running: dict[str, int] = {}
        for run in self.runs.values():
            running[run.neighbour] = running.get(run.neighbour, 0) + 1
        names = {*running, *self.offered, *self.backlog}
        rates = []
        for name in sorted(names):
            rate = max(running.get(name, 0), self.offered.get(name, 0.0))
            rate += self.backlog.get(name, 0.0) / LEASE_SECONDS
            if rate > 0.01:
                rates.append(Rate(neighbour=name, rate=round(rate, 3)))
            elif name in self.offered:
                del self.offered[name]
        return tuple(rates)
