"""The interface between a subsystem and its host."""

from typing import Protocol

from rattanroute.actions import Action


class Subsystem(Protocol):
    """A part that talks to peers; it does no input or output of its own.

    Attributes:
        message_types: Message classes that `receive` takes.
    """

    message_types: tuple[type, ...]

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a peer's message.

        Args:
            peer: Identifier of the sending VM.
            message: An instance of one of `message_types`.
            now: The host's monotonic clock, in seconds.

        Returns:
            Actions for the host to execute, in order.
        """
        ...

    def tick(self, *, now: float) -> list[Action]:
        """Does the work that is due; the host calls it every tick."""
        ...
