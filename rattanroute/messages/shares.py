"""Messages of the shares subsystem; kinds 100 to 119."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rate:
    """Work per second of a neighbour, in slot seconds per second.

    Attributes:
        neighbour: The neighbour; empty for work of any neighbour.
        rate: Slot seconds per second.
    """

    neighbour: str
    rate: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareDemand:
    """What a VM wants to run; sent to the keeper of its data centre.

    Attributes:
        number: Grows with each demand of the VM.
        held: Number of the lease that the VM uses; 0 for none.
        wanted: Demand of each neighbour that has any.
    """

    number: int
    held: int
    wanted: tuple[Rate, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareLease:
    """The slices of a VM, valid for one lease from the demand's sending.

    Attributes:
        number: Number of the demand that it answers.
        slices: Rates that the VM may use.
    """

    number: int
    slices: tuple[Rate, ...]


KINDS: dict[int, type] = {100: ShareDemand, 101: ShareLease}
