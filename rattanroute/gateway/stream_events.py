"""Splits a `text/event-stream` body into complete events."""

import dataclasses

from rattanroute.errors import RouterError
from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.response_buffers import ResponseBuffer

EVENT_SEPARATOR = b"\n\n"
# An event may also end with other line ends.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
EVENT_STREAM_TYPE = "text/event-stream"
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
    """Buffers bytes until an event is complete.

    Args:
        buffer: Holds the incomplete event.

    Attributes:
        searched: Bytes of it that contain no separator.
    """

    def __init__(self, *, buffer: ResponseBuffer) -> None:
        self.buffer = buffer
        self.searched = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes and returns the events that they complete.

        Raises:
            RouterError: If an event exceeds `MAX_EVENT_BYTES`.
        """
        complete = self.split(data)
        if self.buffer.size > MAX_EVENT_BYTES:
            raise RouterError(step="read event", message="event too long")
        return [
            StreamEvent(
                data=part + EVENT_SEPARATOR, event_id=find_event_id(part)
            )
            for part in complete
        ]

    def split(self, data: bytes) -> list[bytes]:
        """Adds bytes and returns the complete events without separators.

        Bytes without a separator are searched once, however few arrive at a
        time.
        """
        if self.buffer.data:
            self.buffer.append(data)
            if self.buffer.data.find(EVENT_SEPARATOR, self.searched) < 0:
                self.note_searched()
                return []
            data = bytes(self.buffer.data)
            self.buffer.discard_first(len(data))
        *complete, rest = data.split(EVENT_SEPARATOR)
        if rest:
            self.buffer.append(rest)
        self.note_searched()
        return complete

    def note_searched(self) -> None:
        """Leaves the bytes that may begin a separator to be searched."""
        overlap = len(EVENT_SEPARATOR) - 1
        self.searched = max(0, len(self.buffer.data) - overlap)


def is_event_stream(head: ResponseHead) -> bool:
    """Returns whether a head says that the body consists of events."""
    value = find_header(head.headers, b"content-type") or b""
    return value.strip().lower().startswith(EVENT_STREAM_TYPE.encode())


def has_other_type(head: ResponseHead) -> bool:
    """Returns whether a head says that the body is no stream of events."""
    is_stated = find_header(head.headers, b"content-type") is not None
    return is_stated and not is_event_stream(head)


def ends_event(body: bytes) -> bool:
    """Returns whether a body of events ends with a complete one."""
    return not body or body.endswith(EVENT_ENDS)


def find_event_id(event: bytes) -> bytes:
    """Returns the `id` field of an event; empty if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return b""


def parse_event_number(event_id: bytes) -> int | None:
    """Returns an event identifier as a number; None if it is not numeric."""
    return int(event_id) if event_id.isdigit() else None
