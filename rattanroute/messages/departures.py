"""Messages about targets that shut down; kinds 240 to 249."""

import msgspec


class Departure(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A target that announced its shutdown.

    Attributes:
        target_id: The target.
        until_incarnation: Latest incarnation to which the notice applies.
    """

    target_id: str
    until_incarnation: int


class Departures(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Targets whose shutdown notices the sending VM received.

    Attributes:
        departures: The targets.
        confirm: Whether a voter that receives the notices confirms them, and
            takes their broadcast over if the sending one does not repeat it.
    """

    departures: tuple[Departure, ...]
    confirm: bool = False


class DepartureReceipt(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Notices that the sending voter holds."""

    departures: tuple[Departure, ...]


KINDS: dict[int, type] = {240: Departures, 241: DepartureReceipt}
