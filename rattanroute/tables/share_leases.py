"""Leases of pool capacity that the share allocator granted to VMs."""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class GrantedLease:
    """A lease as the share allocator tracks it.

    Attributes:
        number: Number of the demand that it answers.
        until: Time by which it has expired on the VM.
        rates: Slot seconds per second by neighbour; "" for any neighbour.
    """

    number: int
    until: float
    rates: dict[str, float]


@dataclasses.dataclass(kw_only=True, slots=True)
class LeaseHolder:
    """A VM that receives leases from this allocator.

    Attributes:
        received_at: Time at which its latest demand arrived.
        number: Number of that demand.
        wanted: Its latest demand by neighbour.
        grants: Leases that the VM may still use, oldest first.
    """

    received_at: float
    number: int = 0
    wanted: dict[str, float] = dataclasses.field(default_factory=dict)
    grants: list[GrantedLease] = dataclasses.field(default_factory=list)

    def drop_ended_grants(self, *, held: int, now: float) -> None:
        """Drops expired grants and those older than the lease in use.

        Args:
            held: Number of the lease that the VM uses.
            now: Current time in seconds.
        """
        self.grants = [
            grant
            for grant in self.grants
            if grant.until > now and grant.number >= held
        ]

    def find_latest_rates(self) -> dict[str, float]:
        """Returns the rates of the newest lease; empty without a lease."""
        return self.grants[-1].rates if self.grants else {}

    def committed(self, now: float) -> float:
        """Returns the maximum total rate that the VM may use.

        The VM uses one lease at a time, so rates of different leases are not
        added up.
        """
        return max(
            (
                sum(grant.rates.values())
                for grant in self.grants
                if grant.until > now
            ),
            default=0.0,
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class LeaseTable:
    """Lease holders by VM identifier."""

    rows: dict[str, LeaseHolder] = dataclasses.field(default_factory=dict)

    def holder(self, vm_id: str, now: float) -> LeaseHolder:
        """Returns the row of a VM; adds one if there is none."""
        row = self.rows.get(vm_id)
        if row is None:
            row = self.rows[vm_id] = LeaseHolder(received_at=now)
        return row

    def prune(self, *, now: float, lease: float) -> None:
        """Removes VMs that sent no demand for the duration of a lease."""
        for vm_id, row in list(self.rows.items()):
            if now - row.received_at > lease:
                del self.rows[vm_id]

    def committed(self, *, now: float, without: str) -> float:
        """Returns the total rate that all VMs but one may use."""
        return sum(
            row.committed(now)
            for vm_id, row in self.rows.items()
            if vm_id != without
        )
