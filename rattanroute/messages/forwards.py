"""Operators' changes forwarded from VMs to voters; kinds 200 to 219."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangeForward:
    """Asks a voter to propose a change.

    Attributes:
        number: Number of the call on the sending VM.
        data: The encoded change.
        timeout_s: Maximum time to wait for the outcome, in seconds.
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
        proposed: Whether the change may have been added to the log.
        message: Reason for a missing outcome.
    """

    number: int
    outcome: bytes = b""
    proposed: bool = True
    message: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BarrierForward:
    """Asks a voter for the latest accepted version."""

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
