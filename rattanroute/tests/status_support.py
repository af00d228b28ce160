"""Targets that answer with statuses that HTTP does not define, for tests."""

import asyncio
import contextlib
import re

from rattanroute.tests.listening_targets import build_answer
from rattanroute.tests.listening_targets import Listener

# Outside of 100 to 599.
UNDEFINED_STATUSES = (0, 1, 99, 600, 999)
# 101 answers only a request to switch protocols.
INVALID_STATUSES = (*UNDEFINED_STATUSES, 101)
INTERIM_STATUSES = (100, 102, 103)
REQUEST_ID = "r1"
# Far longer than a target takes to notice that a connection was closed.
CLOSE_SECONDS = 2.0
LENGTH_PATTERN = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


def build_invalid(
    status: int, body: bytes = b"{}", *, headers: bytes = b""
) -> bytes:
    """Builds an answer that is sound but for its status.

    Args:
        status: The status.
        body: The body.
        headers: Further header lines.
    """
    answer = build_answer(200, REQUEST_ID, body)
    return answer.replace(
        b"HTTP/1.1 200 Reason\r\n",
        b"HTTP/1.1 %03d Reason\r\n%b" % (status, headers),
    )


def build_interim(status: int) -> bytes:
    """Builds the head of an interim response."""
    return b"HTTP/1.1 %d Interim\r\nLink: </a>\r\n\r\n" % status


class StatusTarget(Listener):
    """A target that sends fixed bytes for each request.

    It leaves its connections open, so that only the other side ends them.

    Attributes:
        answer: The bytes.
        requests: Number of requests that it has received.
        closed: Set when the other side has closed a connection.
        connections: Open connections with their tasks.
    """

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.requests = 0
        self.closed = asyncio.Event()
        self.connections: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def close(self) -> None:
        """Closes the listener and its connections."""
        await super().close()
        for writer in self.connections.values():
            writer.close()
        await asyncio.gather(*self.connections)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of a connection until it is closed."""
        task = asyncio.current_task()
        self.connections[task] = writer
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = LENGTH_PATTERN.search(head)
                if length is not None:
                    await reader.readexactly(int(length.group(1)))
                self.requests += 1
                writer.write(self.answer)
        self.closed.set()
        writer.close()
        del self.connections[task]

    async def wait_until_closed(self) -> None:
        """Waits until the other side has closed a connection."""
        async with asyncio.timeout(CLOSE_SECONDS):
            await self.closed.wait()
