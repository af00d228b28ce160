"""The interface of the state that the log drives."""

from typing import Protocol


class StateMachine(Protocol):
    """The state that the log drives; equal on all members."""

    def apply(self, index: int, data: bytes) -> object:
        """Applies a proposal deterministically and returns its result."""
        ...

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replaces the whole state."""
        ...
