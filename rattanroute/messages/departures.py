"""Messages on targets that end; kinds 240 to 249."""

import msgspec


class Departure(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A target that said it ends.

    Attributes:
        target_id: The target.
        until_incarnation: Latest incarnation that the notice is about.
    """

    target_id: str
    until_incarnation: int


class Departures(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Targets that said they end, as the sending VM heard them."""

    departures: tuple[Departure, ...]


KINDS: dict[int, type] = {240: Departures}
