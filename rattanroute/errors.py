"""Errors, each with the step and the peer at which it arose."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class RouterError(Exception):
    """An expected failure.

    Attributes:
        step: The step that failed, for example "connect" or "load settings".
        peer: The target, VM or file concerned; empty when there is none.
        message: What went wrong, as one sentence without a final full stop.
    """

    step: str
    peer: str = ""
    message: str

    def __str__(self) -> str:
        place = f"{self.step} ({self.peer})" if self.peer else self.step
        return f"{place}: {self.message}"


class SettingsError(RouterError):
    """A setting is wrong, unknown or contradicts another one."""


class StorageError(RouterError):
    """A file of the data folder cannot be read or written."""


class CodecError(RouterError):
    """A peer's message cannot be decoded."""


class TargetError(RouterError):
    """A target failed or broke its protocol."""


class NotProposedError(RouterError):
    """The configuration log certainly did not and will not accept a change.

    Any other error of a proposal leaves its outcome unknown.
    """
