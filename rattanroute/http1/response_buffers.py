"""Bounds the memory of the responses that a process has not passed on yet.

A limit for one response bounds nothing by itself, as many may be open at once.
"""

from collections.abc import Callable

from rattanroute.logs import get_logger

# Limit without a memory budget. Two copies of one response may exist for a
# moment in addition.
MAX_BUFFERED_BYTES = 67_108_864

log = get_logger(__name__)


class ResponseBuffer:
    """Bytes of one response that wait to be passed on.

    Args:
        buffers: All buffers of the process.
        peer: Address of the target, for the log.
        on_evicted: Called when the buffer has lost its bytes to the limit.

    Attributes:
        data: The bytes.
        size: Bytes that count towards the limit.
        evicted: Whether the bytes were dropped; further ones are ignored.
    """

    def __init__(
        self,
        *,
        buffers: "ResponseBuffers",
        peer: str,
        on_evicted: Callable[[], None],
    ) -> None:
        self.buffers = buffers
        self.peer = peer
        self.on_evicted = on_evicted
        self.data = bytearray()
        self.size = 0
        self.evicted = False

    def append(self, data: bytes) -> None:
        """Adds bytes; may evict this or another buffer."""
        if not self.evicted:
            self.data += data
            self.buffers.resize(self, len(self.data))

    def discard_first(self, size: int) -> None:
        """Removes bytes from the front."""
        if size:
            del self.data[:size]
            self.buffers.resize(self, len(self.data))

    def take(self) -> bytes:
        """Returns the bytes, which count towards the limit until `release`."""
        data = bytes(self.data)
        self.data = bytearray()
        self.buffers.open.discard(self)
        return data

    def release(self) -> None:
        """Frees the bytes."""
        self.data = bytearray()
        # Breaks the reference cycle with the receiver.
        self.on_evicted = ignore_eviction
        self.buffers.open.discard(self)
        self.buffers.resize(self, 0)


class ResponseBuffers:
    """All response buffers of a process.

    The largest incomplete response is dropped when the sum is too large, as it
    is the least likely to be sound and frees most.

    Attributes:
        max_bytes: Limit of the sum.
        held_bytes: Bytes of all buffers.
        open: Buffers of incomplete responses.
        evictions: Number of buffers that were evicted.
        on_growth: Called after a buffer has grown.
    """

    def __init__(self, *, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.open: set[ResponseBuffer] = set()
        self.evictions = 0
        self.on_growth: Callable[[], None] = ignore_growth

    def create(
        self, *, peer: str, on_evicted: Callable[[], None]
    ) -> ResponseBuffer:
        """Returns an empty buffer."""
        return ResponseBuffer(buffers=self, peer=peer, on_evicted=on_evicted)

    def resize(self, buffer: ResponseBuffer, size: int) -> None:
        """Counts the new size of a buffer; evicts the largest if needed."""
        grows = size > buffer.size
        self.held_bytes += size - buffer.size
        buffer.size = size
        if not grows:
            return
        self.open.add(buffer)
        if self.held_bytes > self.max_bytes:
            self.evict_largest()
        self.on_growth()

    def evict_largest(self) -> int:
        """Drops the largest incomplete response and returns its size."""
        buffer = max(self.open, key=lambda x: x.size)
        size = buffer.size
        self.evict(buffer)
        return size

    def evict(self, buffer: ResponseBuffer) -> None:
        """Drops the bytes of a buffer."""
        log.warning(
            "response dropped, the buffered responses exceed their limit",
            peer=buffer.peer,
            bytes=buffer.size,
            held=self.held_bytes,
            open=len(self.open),
        )
        self.evictions += 1
        buffer.evicted = True
        on_evicted = buffer.on_evicted
        buffer.release()
        on_evicted()


def ignore_eviction() -> None:
    """Does nothing; a released buffer cannot be evicted."""


def ignore_growth() -> None:
    """Does nothing; the buffers are not part of a budget."""
