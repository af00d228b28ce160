"""HTTP/1.1 client connections, pooled by address."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import itertools
import re

from rattanroute.errors import RouterError
from rattanroute.http1.heads import encode_request
from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.paced_readers import PacedReader
from rattanroute.http1.parsers import ProtocolError
from rattanroute.http1.parsers import ResponseParser
from rattanroute.http1.response_buffers import ResponseBuffers
from rattanroute.http1.response_sinks import ResponseSink
from rattanroute.http1.socket_options import set_user_timeout
from rattanroute.logs import get_logger
from rattanroute.tasks import wait_for_reply

# Assumed idle timeout of a target that sends no `Keep-Alive: timeout`.
DEFAULT_IDLE_TIMEOUT_SECONDS = 3.0
# Subtracted from the target's timeout, because a request and the target's
# close may cross on the network.
IDLE_MARGIN_SECONDS = 1.0
MAX_IDLE_PER_ADDRESS = 8
# Bounds the memory for the identifiers of requests.
MAX_REQUESTS_PER_CONNECTION = 256
# Limit of unread response bytes buffered per connection.
READ_LIMIT_BYTES = 65_536
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout=(\d+)")

# Digests of a request without an identifier, and of a query.
NO_IDENTIFIER = hash("")
QUERY = None

CONNECTION_NUMBERS = itertools.count(1)

log = get_logger(__name__)


@dataclasses.dataclass(kw_only=True)
class ConnectError(RouterError):
    """A connection could not be opened, so that nothing was sent.

    Attributes:
        refused: Whether the remote host refused the connection.
    """

    refused: bool = False


class ClientConnection(asyncio.Protocol):
    """A connection to a target that carries one request at a time.

    Attributes:
        number: Number of the connection in this process, for the logs.
        opened_at: Time of the event loop at which it was created.
        carried: Digests of the identifiers of the requests that it carried;
            `QUERY` stands for all queries.
        digest: Digest of the identifier of the request that is sent next.
        repeated: Whether it had carried the identifier of the latest request
            before.
        sink: Receives the response to the open request.
        usable: Whether another request may be sent.
        idle_since: Time of the event loop at which it became idle.
        idle_timeout_s: Idle time in seconds after which it is not reused.
        pooled: Whether it is in the pool's idle list.
        tunnelled: Whether it leads through another VM.
        sent_at: Time of the event loop at which the latest request was sent.
        reader: Passes the received bytes to the parser.
        paused: Whether reading is paused because the caller is slow.
        skipping: Whether the current response belongs to another request.
    """

    tunnelled = False

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.number = next(CONNECTION_NUMBERS)
        self.loop = asyncio.get_running_loop()
        self.opened_at = self.loop.time()
        self.carried: set[int | None] = set()
        self.digest: int | None = QUERY
        self.repeated = False
        self.parser = ResponseParser()
        self.reader = PacedReader(
            read=self.parse,
            on_wait=self.update_reading,
            on_resume=self.update_reading,
        )
        self.paused = False
        self.skipping = False
        self.transport: asyncio.Transport | None = None
        self.sink: ResponseSink | None = None
        self.usable = True
        self.idle_since = 0.0
        self.sent_at = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_SECONDS
        self.request_count = 0
        self.pool: ConnectionPool | None = None
        self.pooled = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets its TCP user timeout."""
        self.transport = transport
        set_user_timeout(transport)

    def data_received(self, data: bytes) -> None:
        """Passes bytes from the target to the parser."""
        if self.pool is not None and not self.tunnelled:
            self.pool.received_at = self.loop.time()
        self.reader.feed(data)

    def parse(self, data: bytes | memoryview) -> None:
        """Parses bytes from the target; closes on unexpected data."""
        try:
            self.parser.feed(data)
        except ProtocolError as error:
            self.fail(error)
            return
        if self.parser.unexpected_data:
            self.close()

    def eof_received(self) -> bool:
        """Completes a response whose body ends when the connection closes."""
        self.usable = False
        self.reader.finish(self.parser.handle_eof)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the pool and fails the open request."""
        self.usable = False
        self.reader.close()
        if self.pooled and self.pool is not None:
            self.pool.remove_closed(self)
        self.fail(
            RouterError(
                step="read response",
                peer=self.address,
                message=str(exc) if exc else "the connection was closed",
            )
        )

    # Callbacks of the response parser.

    def receive_head(self, head: ResponseHead) -> None:
        """Reads the idle timeout and passes the head to the sink."""
        timeout = find_header(head.headers, b"keep-alive")
        found = KEEP_ALIVE_TIMEOUT_PATTERN.search(timeout or b"")
        if found is not None:
            self.idle_timeout_s = max(
                0.0, int(found.group(1)) - IDLE_MARGIN_SECONDS
            )
        if self.is_foreign(head):
            self.skip_response(head)
            return
        if self.sink is not None:
            self.sink.receive_head(head)
        if self.parser.method == b"HEAD":
            self.usable = False
            self.parser.receiver = None
            self.receive_end()

    def is_foreign(self, head: ResponseHead) -> bool:
        """Returns whether a head belongs to an earlier request."""
        if self.sink is None or self.request_count == 1:
            return False
        return not self.sink.expects(head)

    def skip_response(self, head: ResponseHead) -> None:
        """Skips a response; the connection then carries no other request."""
        log.info(
            "response to another request skipped",
            peer=self.address,
            connection=self.number,
            status=head.status,
            requests=self.request_count,
        )
        self.skipping = True
        self.usable = False

    def receive_body(self, data: bytes) -> None:
        """Passes a part of the body to the sink."""
        if self.sink is not None and not self.skipping:
            self.sink.receive_body(data)

    def receive_end(self) -> None:
        """Returns the connection to the pool and ends the response."""
        if self.skipping:
            self.skipping = False
            self.parser.expect(self, self.parser.method)
            return
        sink = self.end_request()
        self.usable &= (
            self.parser.keep_alive
            and NO_IDENTIFIER not in self.carried
            and len(self.carried) < MAX_REQUESTS_PER_CONNECTION
            and not self.parser.unexpected_data
            and not self.reader.unread
        )
        # A slow reader of this response must not delay the next one.
        self.resume()
        if self.pool is not None:
            self.pool.put(self)
        if sink is not None:
            sink.receive_end()

    # Requests.

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent; a close may not be handled yet."""
        return self.usable and not self.transport.is_closing()

    def is_reusable(self, now: float) -> bool:
        """Returns whether it is open and has not been idle for too long."""
        return self.is_open and now - self.idle_since < self.idle_timeout_s

    def send(self, head: RequestHead, body: bytes, sink: ResponseSink) -> None:
        """Sends a request; the sink receives its response."""
        self.sink = sink
        self.sent_at = self.loop.time()
        if self.pool is not None:
            self.pool.busy.add(self)
        self.request_count += 1
        self.carried.add(self.digest)
        self.parser.expect(self, head.method)
        self.transport.write(encode_request(head, body))

    def may_carry(self, identifier: str | None) -> bool:
        """Returns whether a request's answer can be told from earlier ones.

        The target may answer an earlier request once more, and only the
        identifier tells which request an answer belongs to. The answer to a
        query has none, and some rejections of requests have none; queries have
        connections of their own.

        Args:
            identifier: Identifier of the request; empty if its sender gave it
                none; None if it is a query, whose answers never have one.
        """
        if identifier is None:
            return self.carried <= {QUERY}
        if not identifier:
            return not self.carried
        return self.carried.isdisjoint((QUERY, hash(identifier)))

    def reserve(self, identifier: str | None) -> None:
        """Stores the identifier of the request that is sent next.

        Args:
            identifier: The identifier; None for a query.
        """
        self.digest = QUERY if identifier is None else hash(identifier)
        self.repeated = identifier is not None and self.digest in self.carried

    def describe_use(self) -> str:
        """Describes the connection before a request is sent, for the logs.

        Returns:
            Its number, its age in seconds, the number of requests that it
            carried, and 1 if one of these had the same identifier.
        """
        age_s = self.loop.time() - self.opened_at
        return (
            f"{self.number}:{age_s:.3f}:{self.request_count}:{self.repeated:d}"
        )

    def end_request(self) -> ResponseSink | None:
        """Detaches the sink of the open request, if any, and returns it."""
        sink, self.sink = self.sink, None
        if self.pool is not None:
            self.pool.busy.discard(self)
        return sink

    def fail(self, error: RouterError) -> None:
        """Closes the connection and fails the open request with an error."""
        sink = self.end_request()
        self.close()
        if sink is not None:
            sink.receive_error(error)

    def cancel(self) -> None:
        """Aborts the connection; the sink receives no further calls."""
        self.end_request()
        self.usable = False
        self.reader.close()
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        """Pauses reading from the target while the caller is slow."""
        self.paused = True
        self.update_reading()

    def resume(self) -> None:
        """Resumes reading from the target."""
        self.paused = False
        self.update_reading()

    def update_reading(self) -> None:
        """Pauses or resumes reading, for the caller and the event loop."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.paused or self.reader.waiting:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def retire(self) -> None:
        """Lets it carry no further request; one that is open goes on.

        A complete answer has returned the connection to the pool, and another
        call may be using it before the answer is judged.
        """
        self.usable = False
        if self.pooled and self.pool is not None:
            self.pool.discard(self)

    def close(self) -> None:
        """Closes the connection."""
        self.usable = False
        self.reader.close()
        if self.transport is not None:
            self.transport.close()


async def open_direct(address: str) -> ClientConnection:
    """Opens a connection to a target.

    Raises:
        OSError: If it cannot be opened.
        ValueError: If the address is malformed.
    """
    host, _, port = address.rpartition(":")
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: ClientConnection(address=address), host, int(port)
    )
    return connection


class ConnectionPool:
    """A pool of connections by address.

    Attributes:
        open: Opens a connection to an address.
        busy: Connections with an open request.
        received_at: Time of the event loop at which bytes of any target last
            arrived on a direct connection.
        idle: Connections without a request by address, last used last.
        on_idle_closed: Called with the address when a target closes an idle
            connection.
        connect_attempts: Number of attempts to open a connection.
        buffers: Responses that have not been passed on yet.
    """

    def __init__(self) -> None:
        self.open: Callable[[str], Awaitable[ClientConnection]] = open_direct
        self.busy: set[ClientConnection] = set()
        self.received_at = 0.0
        self.on_idle_closed: Callable[[str], None] | None = None
        self.idle: dict[str, collections.deque[ClientConnection]] = {}
        self.connect_attempts = 0
        self.buffers = ResponseBuffers()

    async def take(
        self,
        address: str,
        *,
        timeout_s: float,
        identifier: str | None,
        fresh: bool = False,
    ) -> ClientConnection:
        """Returns an idle connection, or opens one.

        Args:
            address: Target as `IP:port`.
            timeout_s: Longest time to open a connection, in seconds.
            identifier: Identifier of the request that will be sent; None for
                a query. No connection carries an identifier twice.
            fresh: Whether to open a new connection in any case.

        Raises:
            ConnectError: If no connection can be opened in time.
        """
        connection = None if fresh else self.take_idle(address, identifier)
        if connection is None:
            connection = await self.connect(address, timeout_s)
        connection.reserve(identifier)
        return connection

    async def connect(self, address: str, timeout_s: float) -> ClientConnection:
        """Opens a connection.

        Raises:
            ConnectError: If that fails or takes too long.
        """
        self.connect_attempts += 1
        try:
            connection = await wait_for_reply(self.open(address), timeout_s)
        except (OSError, TimeoutError, ValueError) as error:
            raise ConnectError(
                step="connect",
                peer=address,
                message=str(error) or "timed out",
                refused=isinstance(error, ConnectionRefusedError),
            ) from error
        if not connection.is_open:
            raise ConnectError(
                step="connect", peer=address, message="closed at once"
            )
        connection.pool = self
        return connection

    def take_idle(
        self, address: str, identifier: str | None
    ) -> ClientConnection | None:
        """Returns the last used idle connection that may carry a request."""
        idle = self.idle.get(address, collections.deque())
        now = asyncio.get_running_loop().time()
        for connection in reversed(list(idle)):
            is_usable = connection.is_reusable(now)
            if is_usable and not connection.may_carry(identifier):
                continue
            idle.remove(connection)
            connection.pooled = False
            if is_usable:
                return connection
            connection.close()
        return None

    def put(self, connection: ClientConnection) -> None:
        """Returns a connection to the pool; closes it if it is not usable."""
        if not connection.usable:
            connection.close()
            return
        connection.idle_since = connection.loop.time()
        idle = self.idle.setdefault(connection.address, collections.deque())
        idle.append(connection)
        connection.pooled = True
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            self.close_idle(idle.popleft())

    def close_idle(self, connection: ClientConnection) -> None:
        """Closes a connection that was removed from the idle list."""
        connection.pooled = False
        connection.close()

    def discard(self, connection: ClientConnection) -> None:
        """Removes an idle connection and closes it."""
        self.idle[connection.address].remove(connection)
        self.close_idle(connection)

    def remove_closed(self, connection: ClientConnection) -> None:
        """Removes an idle connection that its target closed."""
        connection.pooled = False
        idle = self.idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)
        if self.on_idle_closed is not None:
            self.on_idle_closed(connection.address)

    def close_idle_where(
        self, is_unwanted: Callable[[ClientConnection], bool]
    ) -> None:
        """Closes the idle connections that meet a condition."""
        for address, idle in list(self.idle.items()):
            for connection in [x for x in idle if is_unwanted(x)]:
                idle.remove(connection)
                self.close_idle(connection)
            if not idle:
                del self.idle[address]

    def sweep(self) -> None:
        """Closes connections whose idle timeout has passed."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self.idle.items()):
            while idle and (
                not idle[0].usable
                or now - idle[0].idle_since >= idle[0].idle_timeout_s
            ):
                self.close_idle(idle.popleft())
            if not idle:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self.idle.values():
            for connection in idle:
                self.close_idle(connection)
        self.idle.clear()
