"""Client side of HTTP/1.1 connections, with a pool for each address."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses
import re
import socket

from rattanroute.errors import RouterError
from rattanroute.http1.heads import encode_request
from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import ProtocolError
from rattanroute.http1.parsers import ResponseParser
from rattanroute.logs import get_logger

# A target that does not name its timeout is taken to close idle connections
# after this time.
DEFAULT_IDLE_SECONDS = 3.0
# Time before a named timeout at which a connection is no longer used, for
# the flight of the request and of the target's close.
IDLE_MARGIN_SECONDS = 1.0
MAX_IDLE_PER_ADDRESS = 8
# Bytes of unread answers that may wait in one connection.
READ_LIMIT_BYTES = 65_536
# Time without an acknowledgement after which the kernel gives a connection
# up; a connection may go silent without a reset.
USER_TIMEOUT_MS = 2_000
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")

log = get_logger(__name__)


@dataclasses.dataclass(kw_only=True)
class ConnectError(RouterError):
    """A connection could not be opened; nothing was sent.

    Attributes:
        refused: Whether the machine refused it.
    """

    refused: bool = False


class ResponseSink:
    """Takes the parts of one response; a base with empty methods."""

    def take_head(self, head: ResponseHead) -> None:
        """Takes the head."""

    def take_body(self, data: bytes) -> None:
        """Takes a part of the body."""

    def take_end(self) -> None:
        """Notes that the body is complete."""

    def take_loss(self, error: RouterError) -> None:
        """Notes that the connection broke before the end."""


class ClientConnection(asyncio.Protocol):
    """One connection to a target; it carries one request at a time."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.parser = ResponseParser()
        self.transport: asyncio.Transport | None = None
        self.sink: ResponseSink | None = None
        self.usable = True
        self.idle_since = 0.0
        self.idle_seconds = DEFAULT_IDLE_SECONDS
        self.uses = 0
        self.pool: ConnectionPool | None = None
        self.kept = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport and bounds how long it may stay silent."""
        self.transport = transport
        found = transport.get_extra_info("socket")
        if found is not None:
            with contextlib.suppress(OSError):
                found.setsockopt(
                    socket.IPPROTO_TCP,
                    socket.TCP_USER_TIMEOUT,
                    USER_TIMEOUT_MS,
                )

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the target."""
        try:
            self.parser.feed(data)
        except ProtocolError as error:
            self.fail(error)
            return
        if self.parser.surplus:
            self.close()

    def eof_received(self) -> bool:
        """Completes a response that ends with the connection."""
        self.usable = False
        self.parser.finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the open request, or the pool, that the connection broke."""
        self.usable = False
        if self.kept and self.pool is not None:
            self.pool.note_lost(self)
        self.fail(
            RouterError(
                step="read response",
                peer=self.address,
                message=str(exc) if exc else "the connection was closed",
            )
        )

    # Receiver of the parser.

    def take_head(self, head: ResponseHead) -> None:
        """Passes a head on."""
        timeout = find_header(head.headers, b"keep-alive")
        found = KEEP_ALIVE_TIMEOUT.search(timeout or b"")
        if found is not None:
            self.idle_seconds = max(
                0.0, int(found.group(1)) - IDLE_MARGIN_SECONDS
            )
        if self.sink is not None:
            self.sink.take_head(head)
        if self.parser.method == b"HEAD":
            self.usable = False
            self.parser.receiver = None
            self.take_end()

    def take_body(self, data: bytes) -> None:
        """Passes a part of a body on."""
        if self.sink is not None:
            self.sink.take_body(data)

    def take_end(self) -> None:
        """Passes the end on and makes the connection available."""
        sink, self.sink = self.sink, None
        self.usable &= self.parser.keep_alive and not self.parser.surplus
        if self.pool is not None:
            self.pool.put(self)
        if sink is not None:
            sink.take_end()

    # Requests.

    def send(self, head: RequestHead, body: bytes, sink: ResponseSink) -> None:
        """Sends a request whose response goes to a sink."""
        self.sink = sink
        self.uses += 1
        self.parser.expect(self, head.method)
        self.transport.write(encode_request(head, body))

    def fail(self, error: RouterError) -> None:
        """Ends the open request with an error and closes."""
        sink, self.sink = self.sink, None
        self.close()
        if sink is not None:
            sink.take_loss(error)

    def cancel(self) -> None:
        """Closes the connection; its request's sink hears nothing more."""
        self.sink = None
        self.usable = False
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        """Stops reading while the caller is slow."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """Reads again."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def close(self) -> None:
        """Closes the connection."""
        self.usable = False
        if self.transport is not None:
            self.transport.close()


class ConnectionPool:
    """Open connections by address.

    Attributes:
        idle: Connections without a request, the latest used last.
        on_idle_lost: Called with the address when a target closes one.
    """

    def __init__(self) -> None:
        self.on_idle_lost: Callable[[str], None] | None = None
        self.idle: dict[str, collections.deque[ClientConnection]] = {}
        self.opened = 0

    async def take(
        self, address: str, *, timeout_s: float, fresh: bool = False
    ) -> ClientConnection:
        """Returns an idle connection, or opens one.

        Args:
            address: Target as `IP:port`.
            timeout_s: Longest time to open a connection, in seconds.
            fresh: Whether a kept connection may not be used.

        Raises:
            ConnectError: If none can be opened in time.
        """
        if not fresh:
            kept = self.take_idle(address)
            if kept is not None:
                return kept
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(address=address), host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise ConnectError(
                step="connect",
                peer=address,
                message=str(error) or "timed out",
                refused=isinstance(error, ConnectionRefusedError),
            ) from error
        connection.pool = self
        return connection

    def take_idle(self, address: str) -> ClientConnection | None:
        """Returns the connection that was used last, if one is usable."""
        kept = self.idle.get(address)
        now = asyncio.get_running_loop().time()
        while kept:
            connection = kept.pop()
            connection.kept = False
            age = now - connection.idle_since
            if connection.usable and age < connection.idle_seconds:
                return connection
            connection.close()
        return None

    def put(self, connection: ClientConnection) -> None:
        """Keeps a connection whose response is complete."""
        if not connection.usable:
            connection.close()
            return
        connection.idle_since = connection.loop.time()
        kept = self.idle.setdefault(connection.address, collections.deque())
        kept.append(connection)
        connection.kept = True
        if len(kept) > MAX_IDLE_PER_ADDRESS:
            self.drop(kept.popleft())

    def drop(self, connection: ClientConnection) -> None:
        """Closes a connection that is no longer kept."""
        connection.kept = False
        connection.close()

    def note_lost(self, connection: ClientConnection) -> None:
        """Notes that a target closed a kept connection."""
        connection.kept = False
        kept = self.idle.get(connection.address)
        if kept is not None and connection in kept:
            kept.remove(connection)
        if self.on_idle_lost is not None:
            self.on_idle_lost(connection.address)

    def sweep(self) -> None:
        """Closes connections that have been idle too long."""
        now = asyncio.get_running_loop().time()
        for address, kept in list(self.idle.items()):
            while kept and (
                not kept[0].usable
                or now - kept[0].idle_since >= kept[0].idle_seconds
            ):
                self.drop(kept.popleft())
            if not kept:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for kept in self.idle.values():
            for connection in kept:
                self.drop(connection)
        self.idle.clear()


class CollectingSink(ResponseSink):
    """Collects a whole response.

    Args:
        max_bytes: Largest body.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.head: ResponseHead | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def body(self) -> bytes:
        """The body so far."""
        return b"".join(self.parts)

    def take_head(self, head: ResponseHead) -> None:
        """Keeps the head."""
        self.head = head

    def take_body(self, data: bytes) -> None:
        """Keeps a part of the body."""
        self.size += len(data)
        if self.size > self.max_bytes:
            self.take_loss(
                RouterError(step="read response", message="body too long")
            )
            return
        self.parts.append(data)

    def take_end(self) -> None:
        """Wakes the waiting task."""
        if not self.done.done():
            self.done.set_result(None)

    def take_loss(self, error: RouterError) -> None:
        """Passes the error to the waiting task."""
        if not self.done.done():
            self.done.set_exception(error)
