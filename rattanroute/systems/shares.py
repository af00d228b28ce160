"""Shares of the pool: each neighbour's work is bounded on each VM.

The unit is the slot second per second: one running request of a model uses one
slot second each second, and a layer-range target counts by its part of the
layers. A keeper, the live VM with the lowest identifier of a data centre,
leases rates to the VMs by recent demand. What no neighbour wants is lent to
all for one lease as slices that any neighbour may use.

Overshoot. Let C be the capacity of a data centre and F the floor part:

- The rates in use in a data centre sum to at most C * (1 + F). The keeper
  leases at most C times the part of the VMs that ask it, a VM asks a single
  keeper and changes it only after `CHANGE_SECONDS` without asking, and a VM
  without a lease uses its floor, F / V of each share, where V is the highest
  recent number of VMs. The capacity that counts is the highest one of the
  last `LEASE_SECONDS`, since leases outlive a loss of targets by that time.
- A neighbour that wants its share back gets it within one lease: the borrower
  loses it at its next renewal, or when its lease ends.
- Each VM may start, beyond its rates, `BURST_SECONDS` of them and one request
  for each slice. Running requests are not stopped, so that usage follows the
  rates with the delay of a request's duration.

The bound rests on a transit time of messages below 0.5 s, and on views of the
live VMs that differ for less than 4 s; a VM joins before it leases.
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
from rattanroute.systems.keepers import ABSENT_SECONDS
from rattanroute.systems.keepers import ANY
from rattanroute.systems.keepers import Keeper
from rattanroute.systems.keepers import LEASE_SECONDS
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.targets import TargetKind
from rattanroute.tables.targets import TargetTable

RENEW_SECONDS = 0.5
# A VM that runs out of its rates asks early, but not more often than this.
MIN_RENEW_SECONDS = 0.1
# The former keeper counts this VM for `ABSENT_SECONDS`, and leases that it
# gave by that count end one lease later.
CHANGE_SECONDS = ABSENT_SECONDS + LEASE_SECONDS + 0.5
FLOOR_PART = 0.2
BURST_SECONDS = 1.0
# Work charged when a request starts; further work is charged as it runs.
ADVANCE_SECONDS = 1.0
DEMAND_SECONDS = 2.0
# A VM that is no longer live counts for this time: longer than membership may
# miss a live VM (4 s) and targets take to become stale (2.5 s) together, so
# that both sides of a partition count disjoint targets before fewer VMs.
MEMBER_SECONDS = 8.0
# Part of the capacity that is spread over all data centres evenly, so that
# one without targets of its own can use others'.
SPREAD_PART = 0.05


class PeersView(Protocol):
    """The live VMs as membership knows them."""

    def live(self) -> Mapping[str, str]:
        """Returns the data centre of each live VM by its identifier."""
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class Bucket:
    """Work that may be started from one slice.

    Attributes:
        level: Slot seconds that are left; negative while in debt.
        rate: Slot seconds per second that are added.
        running: Requests that are charged as they run.
    """

    level: float = 0.0
    rate: float = 0.0
    running: int = 0

    def advance(self, seconds: float) -> None:
        """Adds the rate and charges running requests."""
        level = self.level + (self.rate - self.running) * seconds
        self.level = min(self.rate * BURST_SECONDS, level)


@dataclasses.dataclass(kw_only=True, slots=True)
class Run:
    """A running request: its slice, its start and whether it is metered."""

    name: str
    neighbour: str
    started_at: float
    metered: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class SharesSystem:
    """Holds the leases of this VM, and leases to others as the keeper.

    Attributes:
        vm_id: This VM.
        data_centre: Its data centre.
        peers: The live VMs.
        targets: All targets; they give the capacity.
        configuration: Returns the configuration in force.
        heartbeat_timeout_s: Age at which a target no longer counts.
        keeper: Leases to other VMs.
        keeper_id: The VM that this one asks; empty before the first.
        asked_at: Time of the latest demand.
        number: Number of the latest demand.
        held: Number of the lease in use; 0 for none.
        lease_until: End of the lease in use.
        sent_at: Times of demands that are not answered, by number.
        buckets: Work that may be started, by slice.
        runs: Running requests.
        advances: Starts whose advance is not used up, oldest first.
        offered: Recent work per second by neighbour.
        backlog: Work that waits by neighbour.
        members: Time at which each VM of the data centre was last live.
        capacity: Slot seconds per second of the data centre.
        measured_at: Time of the latest measurement of the capacity.
        updated_at: Time to which buckets are advanced.
        held_back: Whether a request was held back since the latest demand.
    """

    vm_id: str
    data_centre: str
    peers: PeersView
    targets: TargetTable
    configuration: Callable[[], Configuration]
    heartbeat_timeout_s: float = 2.5
    keeper: Keeper = dataclasses.field(default_factory=Keeper)
    keeper_id: str = ""
    asked_at: float = float("-inf")
    number: int = 0
    held: int = 0
    lease_until: float = float("-inf")
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)
    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    advances: collections.deque[tuple[float, str]] = dataclasses.field(
        default_factory=collections.deque
    )
    offered: dict[str, float] = dataclasses.field(default_factory=dict)
    backlog: dict[str, float] = dataclasses.field(default_factory=dict)
    members: dict[str, float] = dataclasses.field(default_factory=dict)
    capacity: float = 0.0
    measured_at: float = float("-inf")
    updated_at: float = 0.0
    held_back: bool = False
    message_types: tuple[type, ...] = (ShareDemand, ShareLease)

    def shares(self) -> dict[str, float]:
        """Returns the configured shares."""
        neighbours = self.configuration().neighbours
        return {name: row.share for name, row in neighbours.items()}

    def admits(self, neighbour: str, *, now: float) -> bool:
        """Tells whether the neighbour may start a request now."""
        if not self.configuration().neighbours:
            return True
        self.advance(now)
        if self.paying(neighbour) is not None:
            return True
        self.held_back = True
        return False

    def paying(self, neighbour: str) -> str | None:
        """Returns the slice that has work left for a neighbour, or None."""
        for name in (neighbour, ANY):
            bucket = self.buckets.get(name)
            if bucket is not None and bucket.level > 0:
                return name
        return None

    def start(self, neighbour: str, *, request_id: str, now: float) -> None:
        """Charges the start of a request."""
        self.advance(now)
        name = self.paying(neighbour) or neighbour
        self.buckets.setdefault(name, Bucket()).level -= ADVANCE_SECONDS
        self.end(request_id, now=now)
        self.runs[request_id] = Run(
            name=name, neighbour=neighbour, started_at=now
        )
        self.advances.append((now + ADVANCE_SECONDS, request_id))

    def end(self, request_id: str, *, now: float) -> None:
        """Stops charging a request and gives back an unused advance."""
        run = self.runs.pop(request_id, None)
        if run is None:
            return
        self.advance(now)
        bucket = self.buckets[run.name]
        if run.metered:
            bucket.running -= 1
        else:
            bucket.level += ADVANCE_SECONDS - (now - run.started_at)

    def set_backlog(self, backlog: dict[str, float]) -> None:
        """Sets the waiting work of each neighbour, in slot seconds."""
        self.backlog = backlog

    def offer(self, neighbour: str, *, work: float) -> None:
        """Counts the work of a request that arrived."""
        offered = self.offered.get(neighbour, 0.0)
        self.offered[neighbour] = offered + work / DEMAND_SECONDS

    def wait(self, neighbour: str, *, work: float, now: float) -> float:
        """Returns the seconds until an amount of work may have started."""
        if not self.configuration().neighbours:
            return 0.0
        if not self.capacity:
            # A VM that has just started may have learned of its first targets
            # after the last measurement.
            self.measure(now)
        self.advance(now)
        names = (neighbour, ANY)
        buckets = [self.buckets[n] for n in names if n in self.buckets]
        level = sum(bucket.level for bucket in buckets)
        rate = sum(bucket.rate for bucket in buckets)
        if level > work:
            return 0.0
        # An unanswered demand may still raise the rate at the next renewal.
        entitled = self.shares().get(neighbour, 0.0) * self.capacity
        rate = max(rate, entitled / max(1, self.vm_count(now)))
        return (work - level) / rate if rate > 0 else math.inf

    def advance(self, now: float) -> None:
        """Brings buckets to the present."""
        if now <= self.updated_at:
            return
        if self.held and now >= self.lease_until:
            self.step(self.lease_until)
            self.held = 0
            self.set_rates(self.floors(now))
        self.step(now)

    def step(self, now: float) -> None:
        """Adds rates and charges running requests up to a time."""
        seconds = now - self.updated_at
        if seconds <= 0:
            return
        while self.advances and self.advances[0][0] <= now:
            due, request_id = self.advances.popleft()
            run = self.runs.get(request_id)
            if run is None or run.started_at + ADVANCE_SECONDS != due:
                continue
            run.metered = True
            bucket = self.buckets[run.name]
            bucket.running += 1
            # The loop below charges from `updated_at` on.
            bucket.level += max(0.0, due - self.updated_at)
        for bucket in self.buckets.values():
            bucket.advance(seconds)
        fade = math.exp(-seconds / DEMAND_SECONDS)
        for name in self.offered:
            self.offered[name] *= fade
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

    def floors(self, now: float) -> dict[str, float]:
        """Returns the rates of a VM that holds no lease."""
        part = FLOOR_PART * self.capacity / self.vm_count(now)
        return {name: share * part for name, share in self.shares().items()}

    def vm_count(self, now: float) -> int:
        """Returns the VMs of the data centre, live or recently so."""
        recent = [
            vm_id
            for vm_id, at in self.members.items()
            if now - at <= MEMBER_SECONDS
        ]
        return max(1, len(recent))

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a demand, as the keeper, or a lease."""
        match message:
            case ShareDemand():
                return self.answer(peer, message, now)
            case ShareLease() if peer == self.keeper_id:
                self.accept(message, now)
        return []

    def answer(
        self, peer: str, message: ShareDemand, now: float
    ) -> list[Action]:
        """Answers the demand of a VM."""
        rates = self.keeper.grant(
            vm_id=peer,
            number=message.number,
            held=message.held,
            wanted={rate.neighbour: rate.rate for rate in message.wanted},
            shares=self.shares(),
            capacity=self.capacity,
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

    def accept(self, lease: ShareLease, now: float) -> None:
        """Uses a lease from now until one lease after its demand was sent."""
        sent_at = self.sent_at.get(lease.number)
        if sent_at is None or lease.number <= self.held:
            return
        if now >= sent_at + LEASE_SECONDS:
            return
        self.advance(now)
        self.held = lease.number
        self.lease_until = sent_at + LEASE_SECONDS
        self.sent_at = {n: t for n, t in self.sent_at.items() if n > self.held}
        self.set_rates({rate.neighbour: rate.rate for rate in lease.slices})

    def tick(self, *, now: float) -> list[Action]:
        """Measures the capacity, follows the keeper and renews the lease."""
        if now - self.measured_at >= RENEW_SECONDS:
            self.measure(now)
        self.advance(now)
        if not self.held:
            self.set_rates(self.floors(now))
        keeper_id = self.find_keeper()
        if keeper_id == self.vm_id:
            self.keeper.take_over(now)
        else:
            self.keeper.step_down()
        if keeper_id != self.keeper_id:
            if now - self.asked_at < CHANGE_SECONDS:
                return []
            self.keeper_id = keeper_id
            self.sent_at.clear()
        interval = MIN_RENEW_SECONDS if self.held_back else RENEW_SECONDS
        if now - self.asked_at < interval - 1e-9:
            return []
        return self.ask(now)

    def find_keeper(self) -> str:
        """Returns the live VM of the data centre with the lowest id."""
        live = self.peers.live()
        ids = [v for v, zone in live.items() if zone == self.data_centre]
        return min([*ids, self.vm_id])

    def measure(self, now: float) -> None:
        """Updates the live VMs and the capacity of the data centre."""
        self.measured_at = now
        self.members[self.vm_id] = now
        for vm_id, zone in self.peers.live().items():
            if zone == self.data_centre:
                self.members[vm_id] = now
        self.members = {
            vm_id: at
            for vm_id, at in self.members.items()
            if now - at <= MEMBER_SECONDS
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
        self.capacity = own + SPREAD_PART * (spread - own)

    def ask(self, now: float) -> list[Action]:
        """Sends the demand of this VM to the keeper."""
        self.asked_at = now
        self.held_back = False
        self.number += 1
        self.sent_at[self.number] = now
        for number, at in list(self.sent_at.items()):
            if now - at >= LEASE_SECONDS:
                del self.sent_at[number]
        demand = ShareDemand(
            number=self.number, held=self.held, wanted=self.wanted()
        )
        if self.keeper_id != self.vm_id:
            return [SendMessage(peer=self.keeper_id, message=demand)]
        for action in self.answer(self.vm_id, demand, now):
            self.accept(action.message, now)
        return []

    def wanted(self) -> tuple[Rate, ...]:
        """Returns the demand of each neighbour in slots."""
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
