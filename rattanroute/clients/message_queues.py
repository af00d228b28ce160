"""Queue of the messages to one peer, the urgent ones first."""

import collections
import dataclasses
import functools

from rattanroute import codecs

MAX_QUEUED_BYTES = 4 * 1024 * 1024
MAX_URGENT_BYTES = 256 * 1024
# Bounds the time for which a frame delays urgent messages: 70 ms on a link of
# 7 Mbit/s.
MAX_FRAME_BYTES = 64 * 1024
# Modules of small messages whose delay has consequences for others: a late
# answer to a probe makes a VM suspect. They depend on no message of another
# module.
URGENT_MODULES = ("memberships", "shares", "departures")
# Votes and the transfer of leadership, without loading their module.
VOTE_KINDS = frozenset({20, 21, 26})

Message = tuple[int, bytes]


@dataclasses.dataclass(kw_only=True, slots=True)
class MessageLane:
    """Messages in the order of sending, of a limited total size.

    Attributes:
        max_bytes: Size beyond which the oldest messages are dropped.
        messages: Kinds and bodies.
        size: Bytes of all bodies.
    """

    max_bytes: int
    messages: collections.deque[Message] = dataclasses.field(
        default_factory=collections.deque
    )
    size: int = 0

    def put(self, kind: int, body: bytes) -> None:
        """Adds a message; drops the oldest ones beyond the limit."""
        self.messages.append((kind, body))
        self.size += len(body)
        while self.size > self.max_bytes:
            self.take()

    def take(self) -> Message:
        """Removes the oldest message."""
        kind, body = self.messages.popleft()
        self.size -= len(body)
        return kind, body


@dataclasses.dataclass(kw_only=True, slots=True)
class MessageQueue:
    """Messages to one peer.

    Attributes:
        urgent: Messages that are sent first.
        others: All other messages.
    """

    urgent: MessageLane = dataclasses.field(
        default_factory=lambda: MessageLane(max_bytes=MAX_URGENT_BYTES)
    )
    others: MessageLane = dataclasses.field(
        default_factory=lambda: MessageLane(max_bytes=MAX_QUEUED_BYTES)
    )

    @property
    def size(self) -> int:
        """Bytes of all queued messages."""
        return self.urgent.size + self.others.size

    def __bool__(self) -> bool:
        return bool(self.urgent.messages or self.others.messages)

    def put(self, kind: int, body: bytes) -> None:
        """Adds a message; drops the oldest ones beyond the limits."""
        lane = self.urgent if is_urgent(kind) else self.others
        lane.put(kind, body)

    def take_frame(self) -> list[Message]:
        """Removes the messages of the next frame, at least one."""
        frame: list[Message] = []
        size = 0
        for lane in (self.urgent, self.others):
            while lane.messages and size < MAX_FRAME_BYTES:
                frame.append(lane.take())
                size += len(frame[-1][1])
        return frame


@functools.lru_cache(maxsize=codecs.MAX_DECODERS)
def is_urgent(kind: int) -> bool:
    """Whether messages of a kind go before others."""
    return kind in VOTE_KINDS or codecs.find_module(kind) in URGENT_MODULES
