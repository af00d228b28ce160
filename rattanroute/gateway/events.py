"""Splits a stream into whole events (`text/event-stream`)."""

import dataclasses

from rattanroute.errors import RouterError

EVENT_END = b"\n\n"
# Far above the largest event of an engine.
MAX_EVENT_BYTES = 262_144
ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """A whole event.

    Attributes:
        data: Its bytes with the empty line that ends it.
        event_id: Its identifier; empty when it has none.
    """

    data: bytes
    event_id: bytes = b""


class EventSplitter:
    """Keeps the bytes of an event back until it is whole."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes and returns the events that they complete.

        Raises:
            RouterError: If an event does not end.
        """
        data = self.rest + data
        *whole, self.rest = data.split(EVENT_END)
        if len(self.rest) > MAX_EVENT_BYTES:
            raise RouterError(step="read event", message="event too long")
        return [
            StreamEvent(data=part + EVENT_END, event_id=find_id(part))
            for part in whole
        ]


def find_id(event: bytes) -> bytes:
    """Returns the identifier of an event; empty when it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return b""


def number_of(event_id: bytes) -> int | None:
    """Returns an identifier as a number; None when it is not one."""
    return int(event_id) if event_id.isdigit() else None
