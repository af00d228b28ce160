"""Host of subsystems: delivers messages and ticks, executes actions."""

from collections.abc import Callable
import time

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.logs import get_logger
from rattanroute.subsystems import Subsystem

log = get_logger(__name__)


class SubsystemHost:
    """Passes messages and ticks to subsystems and executes their actions.

    Args:
        send: Sends a message to a peer; returns False when it has no address.
        execute_other: Executes the actions that are not messages to peers.
    """

    def __init__(
        self,
        *,
        send: Callable[[str, object], bool],
        execute_other: Callable[[Action], None],
    ) -> None:
        self.send = send
        self.execute_other = execute_other
        self.subsystems: list[Subsystem] = []
        self.subsystem_by_type: dict[type, Subsystem] = {}

    def add(self, subsystem: Subsystem) -> None:
        """Adds a subsystem and registers its message types."""
        self.subsystems.append(subsystem)
        for message_type in subsystem.message_types:
            self.subsystem_by_type[message_type] = subsystem

    def deliver(self, peer: str, message: object) -> None:
        """Passes a peer's message to the subsystem that handles its type."""
        subsystem = self.subsystem_by_type.get(type(message))
        if subsystem is None:
            log.warning(
                "no subsystem handles this message type",
                peer=peer,
                type=type(message).__name__,
            )
            return
        now = time.monotonic()
        try:
            actions = subsystem.receive(peer=peer, message=message, now=now)
        except Exception as error:
            # A malformed message must not end the peer's stream.
            log.exception(
                "message handling failed",
                peer=peer,
                type=type(message).__name__,
                error=error,
            )
            return
        self.execute(actions)

    def tick(self) -> None:
        """Runs the periodic work of each subsystem."""
        now = time.monotonic()
        for subsystem in self.subsystems:
            try:
                actions = subsystem.tick(now=now)
            except Exception as error:
                # The failure is logged; the other subsystems still run.
                log.exception(
                    "tick failed",
                    subsystem=type(subsystem).__name__,
                    error=error,
                )
                continue
            self.execute(actions)

    def execute(self, actions: list[Action]) -> None:
        """Executes actions in order."""
        for action in actions:
            if isinstance(action, SendMessage):
                self.send(action.peer, action.message)
            else:
                self.execute_other(action)
