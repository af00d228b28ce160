"""Interface between a subsystem and its host."""

from typing import Protocol

from rattanroute.actions import Action


class Subsystem(Protocol):
    """A part that exchanges messages with peers.

    It does no input or output: it returns actions that its host executes.

    Attributes:
        message_types: Message classes that `receive` handles.
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
        """Does the periodic work that is due; called at every tick."""
        ...
