"""Allocation of a data centre's capacity to its VMs by leases of rates.

The rates that VMs may be using never exceed the capacity. A VM uses one lease
at a time, so the allocator counts the one with the highest total of those that
it may be using: until it confirms a new lease, or an old one has ended, that
is any of them.
"""

from collections.abc import Mapping
import dataclasses

from rattanroute.tables.share_leases import GrantedLease
from rattanroute.tables.share_leases import LeaseTable

LEASE_SECONDS = 2.0
# A VM that has sent no demand for this time has missed two renewals. It no
# longer counts towards the leased part of the capacity; its leases still do.
ABSENT_SECONDS = 1.2
# Name of the slice that any neighbour may use.
ANY_NEIGHBOUR = ""
# Fraction of each share that is leased evenly to all VMs, so that the first
# request of a neighbour on a VM does not wait for a lease.
RESERVE_FRACTION = 0.04


@dataclasses.dataclass(kw_only=True, slots=True)
class ShareAllocator:
    """Leases rates to the VMs of a data centre.

    Attributes:
        active_since: Time since which this VM is the allocator, in seconds;
            None while it is not.
        slices: Demands and leases of the VMs that ask this one.
    """

    active_since: float | None = None
    slices: LeaseTable = dataclasses.field(default_factory=LeaseTable)

    def take_over(self, now: float) -> None:
        """Becomes the allocator, and waits for earlier leases to end."""
        if self.active_since is None:
            self.active_since = now
            self.slices.rows.clear()

    def step_down(self) -> None:
        """Stops leasing; leases in use end when they expire."""
        self.active_since = None

    def grant_lease(
        self,
        *,
        vm_id: str,
        number: int,
        held: int,
        wanted: Mapping[str, float],
        shares: Mapping[str, float],
        capacity: float,
        vms: int,
        now: float,
    ) -> dict[str, float] | None:
        """Grants a lease in answer to a demand.

        Args:
            vm_id: The VM that sent the demand.
            number: Number of the demand.
            held: Number of the lease that the VM uses; 0 for none.
            wanted: Wanted slot seconds per second, by neighbour.
            shares: Configured share of each neighbour.
            capacity: Slot seconds per second of the data centre.
            vms: Number of VMs in the data centre that are or recently were
                live. Only VMs that take leases here count towards the leased
                part of the capacity, so that two allocators in a network
                partition do not lease it twice.
            now: Time in seconds.

        Returns:
            The leased rates by neighbour, or None if no lease can be granted.
        """
        if self.active_since is None or now - self.active_since < LEASE_SECONDS:
            return None
        self.slices.prune(now=now, lease=LEASE_SECONDS)
        row = self.slices.holder(vm_id, now)
        if number <= row.number:
            return None
        row.received_at = now
        row.number = number
        row.wanted = dict(wanted)
        row.drop_ended_grants(held=held, now=now)
        clients = sum(
            now - holder.received_at <= ABSENT_SECONDS
            for holder in self.slices.rows.values()
        )
        capacity *= min(1.0, clients / max(1, vms))
        desired = self.compute_desired_rates(
            row.wanted, shares, capacity, clients
        )
        old = row.find_latest_rates()
        kept = {
            name: min(rate, old.get(name, 0.0))
            for name, rate in desired.items()
        }
        # Rates that this VM returns are free for its other neighbours at once.
        others = self.slices.committed(now=now, without=vm_id)
        free = capacity - others - sum(kept.values())
        total = sum(desired.values()) - sum(kept.values())
        scale = min(1.0, max(0.0, free) / total) if total > 0 else 0.0
        rates = {
            name: kept[name] + (rate - kept[name]) * scale
            for name, rate in desired.items()
        }
        until = now + LEASE_SECONDS
        row.grants.append(GrantedLease(number=number, until=until, rates=rates))
        return rates

    def compute_desired_rates(
        self,
        wanted: Mapping[str, float],
        shares: Mapping[str, float],
        capacity: float,
        clients: int,
    ) -> dict[str, float]:
        """Returns the rates of a VM after all other VMs have renewed.

        Args:
            wanted: Demand of the VM by neighbour.
            shares: Configured share of each neighbour.
            capacity: Capacity to allocate, in slot seconds per second.
            clients: Number of VMs that take leases here.
        """
        total: dict[str, float] = {}
        for row in self.slices.rows.values():
            for name, rate in row.wanted.items():
                total[name] = total.get(name, 0.0) + rate
        weight = max(1.0, sum(shares.values()))
        reserve = RESERVE_FRACTION * capacity / weight
        left = capacity - reserve * sum(shares.values())
        parts = divide_capacity(left, total, shares)
        even = reserve / max(1, clients)
        desired = {name: share * even for name, share in shares.items()}
        for name, rate in wanted.items():
            if rate > 0 and name in parts:
                desired[name] += parts[name] * rate / total[name]
        desired[ANY_NEIGHBOUR] = (left - sum(parts.values())) / max(1, clients)
        return desired


def divide_capacity(
    capacity: float, wanted: Mapping[str, float], shares: Mapping[str, float]
) -> dict[str, float]:
    """Divides a capacity by weighted max-min fairness.

    Args:
        capacity: The capacity to divide.
        wanted: Demand by neighbour.
        shares: Weight of each neighbour; those without one get nothing.

    Returns:
        The part of each neighbour. It does not exceed the neighbour's demand
        and is at least the lesser of its demand and its share.
    """
    parts: dict[str, float] = {}
    open_names = {n for n, w in wanted.items() if w > 0 and shares.get(n, 0)}
    left = capacity
    while open_names:
        weight = sum(shares[name] for name in open_names)
        done = {
            name
            for name in open_names
            if wanted[name] <= left * shares[name] / weight
        }
        if not done:
            for name in open_names:
                parts[name] = left * shares[name] / weight
            break
        for name in done:
            parts[name] = wanted[name]
        left -= sum(parts[name] for name in done)
        open_names -= done
    return parts
