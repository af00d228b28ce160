"""Splits a stream into whole events (`text/event-stream`)."""

import dataclasses

from rattanroute.errors import RouterError

EVENT_SEPARATOR = b"\n\n"
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
        self.incomplete = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes and returns the events that they complete.

        Raises:
            RouterError: If an event does not end.
        """
        data = self.incomplete + data
        *whole, self.incomplete = data.split(EVENT_SEPARATOR)
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise RouterError(step="read event", message="event too long")
        return [
            StreamEvent(data=part + EVENT_SEPARATOR, event_id=find_event_id(part))
            for part in whole
        ]


def find_event_id(event: bytes) -> bytes:
    """Returns the identifier of an event; empty when it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return b""


def parse_event_number(event_id: bytes) -> int | None:
    """Returns an identifier as a number; None when it is not one."""
    return int(event_id) if event_id.isdigit() else None
