"""Splits a `text/event-stream` body into complete events."""

import dataclasses

from rattanroute.errors import RouterError

EVENT_SEPARATOR = b"\n\n"
# Far above the largest event of an engine.
MAX_EVENT_BYTES = 262_144
ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """A complete event.

    Attributes:
        data: Bytes of the event including the empty line at its end.
        event_id: Value of its `id` field; empty if it has none.
    """

    data: bytes
    event_id: bytes = b""


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes and returns the events that they complete.

        Raises:
            RouterError: If an event exceeds `MAX_EVENT_BYTES`.
        """
        data = self.incomplete + data
        *complete, self.incomplete = data.split(EVENT_SEPARATOR)
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise RouterError(step="read event", message="event too long")
        return [
            StreamEvent(
                data=part + EVENT_SEPARATOR, event_id=find_event_id(part)
            )
            for part in complete
        ]


def find_event_id(event: bytes) -> bytes:
    """Returns the `id` field of an event; empty if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return b""


def parse_event_number(event_id: bytes) -> int | None:
    """Returns an event identifier as a number; None if it is not numeric."""
    return int(event_id) if event_id.isdigit() else None
