"""Targets that write the bytes of a test on their connections."""

import abc
import asyncio
from collections.abc import Callable
import contextlib

# Separates two writes, so that they arrive as two segments.
SEGMENT_SECONDS = 0.002

Plan = Callable[[int], list[bytes]]


class Listener(abc.ABC):
    """A listener on loopback.

    Attributes:
        address: Its address as `IP:port`.
    """

    async def open(self) -> None:
        """Opens the listener."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Closes the listener."""
        self.server.close()

    @abc.abstractmethod
    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of a connection."""


class ListeningTarget(Listener):
    """A listener that answers each request with segments of bytes.

    Args:
        plan: Returns the segments for a request, from the number of requests
            that the target has received before on any connection.

    Attributes:
        requests: Number of requests that it has received.
        connections: Number of connections that it has accepted.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.requests = 0
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of a connection, which have one-byte bodies."""
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            try:
                while True:
                    await self.serve_request(reader, writer)
            finally:
                writer.close()

    async def serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Reads a request and answers it."""
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(1)
        number = self.requests
        self.requests += 1
        for segment in self.plan(number):
            writer.write(segment)
            await asyncio.sleep(SEGMENT_SECONDS)


def build_answer(status: int, request_id: str, body: bytes) -> bytes:
    """Builds an answer whose stamp names its request and status."""
    return (
        f"HTTP/1.1 {status} Reason\r\nRattanroute-Request-Id: {request_id}\r\n"
        f"Rattanroute-Replica-Stamp: {request_id}.{status}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def build_promise(request_id: str) -> bytes:
    """Builds an answer that states that its request has not run."""
    return (
        f"HTTP/1.1 503 Full\r\nRattanroute-Not-Executed: 1\r\n"
        f"Rattanroute-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
    ).encode()
