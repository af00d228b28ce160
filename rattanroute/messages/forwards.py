"""Operators' changes passed from other VMs to voters; kinds 200 to 219."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangeForward:
    """Asks a voter to propose a change.

    Attributes:
        number: Number of the call on the sending VM.
        data: The encoded change.
        timeout_s: Longest time to wait for its outcome.
    """

    number: int
    data: bytes
    timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangeAnswer:
    """A voter's answer to a forwarded change.

    Attributes:
        number: Number of the call.
        outcome: The encoded outcome; empty when there is none.
        proposed: Whether the change may be in the log.
        message: Why there is no outcome.
    """

    number: int
    outcome: bytes = b""
    proposed: bool = True
    message: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BarrierForward:
    """Asks a voter which version has been accepted by now."""

    number: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BarrierAnswer:
    """The accepted version; -1 when the voter could not confirm it."""

    number: int
    version: int


KINDS: dict[int, type] = {
    200: ChangeForward,
    201: ChangeAnswer,
    202: BarrierForward,
    203: BarrierAnswer,
}
