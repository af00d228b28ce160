"""Messages of the shares subsystem; kinds 100 to 119."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rate:
    """Rate of work of a neighbour.

    Attributes:
        neighbour: The neighbour; empty for work of any neighbour.
        rate: Slot seconds per second.
    """

    neighbour: str
    rate: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareDemand:
    """Demand of a VM; sent to the share allocator of its data centre.

    Attributes:
        number: Increases with each demand of the VM.
        held: Number of the lease that the VM uses; 0 for none.
        wanted: Demanded rate of each neighbour with demand.
    """

    number: int
    held: int
    wanted: tuple[Rate, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareLease:
    """Rates leased to a VM, for a lease that starts when it sent the demand.

    Attributes:
        number: Number of the demand that it answers.
        slices: Rates that the VM may use.
    """

    number: int
    slices: tuple[Rate, ...]


KINDS: dict[int, type] = {100: ShareDemand, 101: ShareLease}
