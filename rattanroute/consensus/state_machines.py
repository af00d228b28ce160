"""Interface of the state machine that the log updates."""

from typing import Protocol


class StateMachine(Protocol):
    """State built from the log's entries; equal on all members."""

    def apply(self, index: int, data: bytes) -> object:
        """Applies a proposal deterministically and returns its result."""
        ...

    def snapshot(self) -> bytes:
        """Returns the entire state, encoded."""
        ...

    def restore(self, data: bytes) -> None:
        """Replaces the entire state by an encoded one."""
        ...
