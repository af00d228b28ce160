"""Slices of the pool that a keeper leased to VMs."""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class GrantedLease:
    """One lease as the keeper accounts for it.

    Attributes:
        number: Number of the demand that it answers.
        until: Time at which it has ended at the VM.
        rates: Slot seconds per second by neighbour; "" for any neighbour.
    """

    number: int
    until: float
    rates: dict[str, float]


@dataclasses.dataclass(kw_only=True, slots=True)
class LeaseHolder:
    """A VM that takes leases from this keeper.

    Attributes:
        received_at: Time of its latest demand.
        number: Number of that demand.
        wanted: Its latest demand by neighbour.
        grants: Leases that it may still use, oldest first.
    """

    received_at: float
    number: int = 0
    wanted: dict[str, float] = dataclasses.field(default_factory=dict)
    grants: list[GrantedLease] = dataclasses.field(default_factory=list)

    def drop_ended_grants(self, *, held: int, now: float) -> None:
        """Drops grants that ended and those replaced by the one in use."""
        self.grants = [
            grant
            for grant in self.grants
            if grant.until > now and grant.number >= held
        ]

    def committed(self, now: float) -> dict[str, float]:
        """Returns the highest rate of each neighbour that may be in use."""
        rates: dict[str, float] = {}
        for grant in self.grants:
            if grant.until > now:
                for name, rate in grant.rates.items():
                    rates[name] = max(rates.get(name, 0.0), rate)
        return rates


@dataclasses.dataclass(kw_only=True, slots=True)
class LeaseTable:
    """Holders of slices by VM identifier."""

    rows: dict[str, LeaseHolder] = dataclasses.field(default_factory=dict)

    def holder(self, vm_id: str, now: float) -> LeaseHolder:
        """Returns the row of a VM and creates it where it is missing."""
        row = self.rows.get(vm_id)
        if row is None:
            row = self.rows[vm_id] = LeaseHolder(received_at=now)
        return row

    def prune(self, *, now: float, lease: float) -> None:
        """Drops VMs that have not asked for one lease."""
        for vm_id, row in list(self.rows.items()):
            if now - row.received_at > lease:
                del self.rows[vm_id]

    def committed(self, *, now: float, without: str) -> dict[str, float]:
        """Returns the rates that VMs other than one may use, by neighbour."""
        total: dict[str, float] = {}
        for vm_id, row in self.rows.items():
            if vm_id != without:
                for name, rate in row.committed(now).items():
                    total[name] = total.get(name, 0.0) + rate
        return total
