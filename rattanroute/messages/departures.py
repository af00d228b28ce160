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
    """Targets whose shutdown notices the sending VM received."""

    departures: tuple[Departure, ...]


KINDS: dict[int, type] = {240: Departures}
