"""Error types, each with the failed step and the peer concerned."""

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
    """A setting is invalid, unknown or contradicts another one."""


class StorageError(RouterError):
    """A file of the data folder cannot be read or written."""


class CodecError(RouterError):
    """A peer's message cannot be decoded."""


class TargetError(RouterError):
    """A target failed or violated its protocol."""


class NotProposedError(RouterError):
    """A change is certainly not in the configuration log and never will be.

    After any other error of a proposal its outcome is unknown.
    """
