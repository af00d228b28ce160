"""Messages about inspected states of targets; kinds 250 to 259."""

import msgspec


class InspectRequest(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Asks a voter to inspect a target that seems to have failed."""

    target_id: str


class TargetState(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """State of a target as found by a voter's inspections.

    Attributes:
        target_id: The target.
        incarnation: The inspected incarnation.
        pace: Measured step time divided by the usual one.
        reachable: Whether it answered the latest inspections.
        limit_per_s: Requests per second that it takes from all VMs together;
            None if it names no limit.
        answered: Whether it has lately answered as that incarnation.
    """

    target_id: str
    incarnation: int
    pace: float
    reachable: bool
    limit_per_s: float | None = None
    answered: bool = False


class TargetStates(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Target states that changed or differ from the normal state."""

    states: tuple[TargetState, ...]


KINDS: dict[int, type] = {250: InspectRequest, 251: TargetStates}
