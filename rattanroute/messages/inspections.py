"""Messages on the state of targets as VMs find it; kinds 250 to 259."""

import msgspec


class InspectRequest(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Asks a voter to look at a target that seems to have failed."""

    target_id: str


class TargetState(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """What a voter found about a target.

    Attributes:
        target_id: The target.
        incarnation: Incarnation that it looked at.
        pace: Factor on the usual time of its steps.
        reachable: Whether it answered lately.
    """

    target_id: str
    incarnation: int
    pace: float
    reachable: bool


class TargetStates(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """States that changed, or that differ from the usual one."""

    states: tuple[TargetState, ...]


KINDS: dict[int, type] = {250: InspectRequest, 251: TargetStates}
