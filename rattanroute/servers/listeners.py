"""HTTP listeners with a timeout for the first request of a connection.

Errors that occur before a handler runs are also answered in JSON.
"""

import asyncio
from collections.abc import Callable
import contextlib

from aiohttp import web

from rattanroute.addresses import parse_address
from rattanroute.http1.socket_options import limit_listener_buffers
from rattanroute.requests.bodies import build_invalid_refusal
from rattanroute.requests.refusals import build_refusal_response
from rattanroute.requests.refusals import INTERNAL
from rattanroute.servers.client_guards import choose_backlog
from rattanroute.servers.client_guards import ClientGuard
from rattanroute.servers.small_reads import SmallReads
from rattanroute.settings import LimitsSettings
from rattanroute.systems.client_budgets import MEMORY_CAUSE
from rattanroute.tables.client_connections import ClientConnectionRow

# Longest time until the first request's headers are complete. Connections
# without a request must not exhaust the file descriptors.
FIRST_REQUEST_TIMEOUT_SECONDS = 10.0
KEEPALIVE_TIMEOUT_SECONDS = 30.0
# Longest wait for handlers that are still running when a listener closes.
# Before that, a planned stop waits for them and ends those that are left.
HANDLER_END_SECONDS = 1.0
# Received bytes of a body that are buffered before reading stops. The buffer
# keeps an object for each chunk, up to one chunk for 16 bytes of this.
READ_BUFFER_BYTES = 32_768
# Time for a client to receive the refusal of a body that it still sends.
REFUSED_LINGER_SECONDS = 2.0
# Memory of a connection whose queue of pipelined requests is full: the library
# parses 32 of them, of about 3 KB each, and keeps the rest of a read.
FULL_QUEUE_BYTES = 131_072
MALFORMED_CAUSE = "malformed"
FIRST_REQUEST_CAUSE = "first_request"


def build_error_response(status: int, message: str) -> web.Response:
    """Returns an error of the HTTP layer as a JSON refusal."""
    refusal = INTERNAL
    if status < INTERNAL.status:
        refusal = build_invalid_refusal(message, status=status)
    return build_refusal_response(refusal, "", {})


@web.middleware
async def convert_client_errors(
    http_request: web.Request, handler: object
) -> web.StreamResponse:
    """Converts 4xx errors, such as unknown paths, to JSON responses."""
    try:
        return await handler(http_request)
    except web.HTTPClientError as error:
        response = build_error_response(error.status, error.reason)
        if "Allow" in error.headers:
            response.headers["Allow"] = error.headers["Allow"]
        return response


class JsonRequestHandler(web.RequestHandler):
    """Answers requests that cannot be parsed with a JSON error.

    It is the `BodyMeter` of its requests.

    Attributes:
        guard: Registers the connection while it is open.
        row: What the connection makes the process hold.
        abandon: Stops receiving the body of the current request; None while
            no body is received.
        handling: Whether a request has no complete answer yet.
    """

    __slots__ = ("abandon", "guard", "handling", "row")

    def __init__(
        self,
        manager: web.Server,
        *,
        guard: "ConnectionGuard",
        **options: object,
    ) -> None:
        super().__init__(manager, **options)
        self.guard = guard

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        super().connection_made(transport)
        self.abandon: Callable[[], None] | None = None
        self.handling = False
        self.guard.add(self, transport)
        self.row: ClientConnectionRow = self.guard.clients.open(
            self.guard.name, self.refuse
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection; its buffered data has been sent or lost."""
        self.guard.remove(self)
        self.guard.clients.remove(self.row)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Counts the bytes and parses them, unless they are refused.

        Without data, it parses what was received while parsing was paused.
        """
        if data:
            row = self.row
            row.used_at = self._loop.time()
            if not row.refused:
                size = row.unparsed_bytes + len(data)
                self.guard.clients.set_part(row, "unparsed_bytes", size)
            if row.refused:
                return
        super().data_received(data)

    def pause_writing(self) -> None:
        """Counts the answers that the client does not read."""
        super().pause_writing()
        if self.transport is not None and not self.row.refused:
            size = self.transport.get_write_buffer_size()
            self.set_part("unsent_bytes", size)

    def resume_writing(self) -> None:
        """Counts them no more."""
        super().resume_writing()
        self.set_part("unsent_bytes", 0)

    def set_part(self, part: str, size: int) -> None:
        """Sets a part of the connection's cost."""
        self.guard.clients.set_part(self.row, part, size)

    def refuse(self, cause: str) -> None:
        """Refuses the body that is being received, or closes the connection."""
        # A new connection may be refused before it has its row.
        receives = self.handling and not self.row.waiting
        if cause == MEMORY_CAUSE and receives:
            # The handler answers with the refusal, or does so already.
            self._lingering_time = REFUSED_LINGER_SECONDS
            if self.abandon is not None:
                self.abandon()
        elif self.transport is not None:
            self.transport.abort()

    def start_request(self) -> None:
        """Notes that a request is handled; its head is parsed."""
        self.handling = True
        self.row.waiting = True
        self.note_parsed()

    def note_parsed(self) -> None:
        """Notes that received bytes are parsed, unless parsing is paused."""
        if self._buffer_paused:
            size = max(self.row.unparsed_bytes, FULL_QUEUE_BYTES)
            self.set_part("unparsed_bytes", size)
        elif not self._reading_paused:
            self.set_part("unparsed_bytes", 0)

    def start_body(self, abandon: Callable[[], None]) -> None:
        """Notes that a body is being received."""
        self.abandon = abandon
        self.row.waiting = False
        self.row.receiving = True

    def note_body(self, size: int) -> bool:
        """Notes the bytes received so far; returns whether to go on."""
        if not self.row.refused:
            self.note_parsed()
            self.set_part("body_bytes", size)
        return not self.row.refused

    def stop_body(self) -> None:
        """Notes that no body is being received."""
        self.abandon = None
        self.row.receiving = False

    def finish_body(self, body: bytes) -> bool:
        """Notes a complete body; returns whether to serve the request."""
        if not self.row.refused:
            self.guard.clients.hold_body(self.row, body)
        self.row.waiting = not self.row.refused
        return self.row.waiting

    def note_answered(self) -> None:
        """Notes that the answer to the current request is written."""
        self.handling = False
        self.row.waiting = False
        self.row.answered += 1
        self.row.used_at = self._loop.time()
        self.set_part("body_bytes", 0)
        self.note_parsed()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Writes a response, which takes a while if the caller reads slowly."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.note_answered()
            self.guard.note_answered(self)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Logs an error and returns its response; the connection closes.

        Malformed requests are only counted: the library would log a traceback
        for each, which lets clients fill the log.
        """
        if status >= INTERNAL.status:
            super().handle_error(request, status, exc, message)
        else:
            self.guard.clients.count(self.guard.name, MALFORMED_CAUSE)
        if request.writer.output_size > 0:
            raise ConnectionError("the answer to a request has begun")
        response = build_error_response(status, message or "malformed request")
        response.force_close()
        return response


class GuardedSite(web.BaseSite):
    """A TCP listener whose connections must send a request in time.

    Args:
        runner: The application's runner.
        guard: Enforces the timeout; its middleware is in the application.
        host: IP address to listen on.
        port: TCP port.
    """

    def __init__(
        self,
        *,
        runner: web.AppRunner,
        guard: "ConnectionGuard",
        host: str,
        port: int,
    ) -> None:
        super().__init__(runner)
        self.guard = guard
        self.host = host
        self.port = port

    @property
    def name(self) -> str:
        """URL of the listener."""
        return f"http://{self.host}:{self.port}"

    async def start(self) -> None:
        """Starts listening."""
        await super().start()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self.open_connection,
            self.host,
            self.port,
            backlog=choose_backlog(),
        )
        limit_listener_buffers(self._server)

    def open_connection(self) -> asyncio.BufferedProtocol:
        """Returns the protocol of a new connection."""
        handler = JsonRequestHandler(
            self._runner.server,
            guard=self.guard,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            access_log=None,
            read_bufsize=READ_BUFFER_BYTES,
        )
        return SmallReads(handler)


class ConnectionGuard:
    """Tracks the connections and unanswered requests of a listener.

    It aborts connections whose first request does not arrive in time.

    Args:
        name: Name of the listener.
        clients: Applies the budget of clients.

    Attributes:
        transports: Transports of the open connections. A connection that is
            being closed stays open until its buffered data is sent.
        closed: Set while no connection is open.
        waiting: Connections that have not sent a request yet.
        unanswered: Connections with a request whose head has arrived and
            whose answer is not yet written.
        answered: Set when one of them is answered or lost.
        closing: Whether answers announce that their connections close.
    """

    def __init__(self, *, name: str, clients: ClientGuard) -> None:
        self.name = name
        self.clients = clients
        self.transports: dict[asyncio.Protocol, asyncio.BaseTransport] = {}
        self.closed = asyncio.Event()
        self.closed.set()
        self.waiting: set[asyncio.Protocol] = set()
        self.unanswered: set[asyncio.Protocol] = set()
        self.answered = asyncio.Event()
        self.closing = False

    @web.middleware
    async def middleware(
        self, http_request: web.Request, handler: object
    ) -> web.StreamResponse:
        """Marks the connection as used and its request as unanswered."""
        self.waiting.discard(http_request.protocol)
        self.unanswered.add(http_request.protocol)
        http_request.protocol.start_request()
        response = await handler(http_request)
        refused = http_request.protocol.row.refused
        if (self.closing or refused) and not response.prepared:
            response.force_close()
        return response

    def note_answered(self, protocol: asyncio.Protocol) -> None:
        """Records that the answer to a connection's request is written."""
        self.unanswered.discard(protocol)
        self.answered.set()

    def add(
        self, protocol: asyncio.Protocol, transport: asyncio.BaseTransport
    ) -> None:
        """Registers a new connection and starts its timeout."""
        self.transports[protocol] = transport
        self.closed.clear()
        self.waiting.add(protocol)
        asyncio.get_running_loop().call_later(
            FIRST_REQUEST_TIMEOUT_SECONDS, self.check, protocol
        )

    def remove(self, protocol: asyncio.Protocol) -> None:
        """Removes a connection that has closed."""
        self.waiting.discard(protocol)
        self.note_answered(protocol)
        self.transports.pop(protocol, None)
        if not self.transports:
            self.closed.set()

    def check(self, protocol: asyncio.Protocol) -> None:
        """Aborts a connection that has not sent a request."""
        if protocol not in self.waiting:
            return
        self.waiting.discard(protocol)
        if not protocol.row.refused:
            self.clients.count(self.name, FIRST_REQUEST_CAUSE)
        self.transports[protocol].abort()

    def abort_all(self) -> None:
        """Aborts all connections; their buffered data is lost."""
        for transport in list(self.transports.values()):
            transport.abort()


class HttpListener:
    """Serves an application on an address.

    Args:
        application: The application; its middlewares are extended.
        address: Listening address as `IP:port`.
        name: Name of the listener in metrics and logs.
        clients: Applies the budget of clients; None for one of its own with
            the default settings.
    """

    def __init__(
        self,
        *,
        application: web.Application,
        address: str,
        name: str = "callers",
        clients: ClientGuard | None = None,
    ) -> None:
        self.address = address
        self.guard = ConnectionGuard(
            name=name,
            clients=clients or ClientGuard(limits=LimitsSettings()),
        )
        application.middlewares.extend(
            [self.guard.middleware, convert_client_errors]
        )
        self.runner = web.AppRunner(
            application,
            handler_cancellation=True,
            shutdown_timeout=HANDLER_END_SECONDS,
        )

    @property
    def port(self) -> int:
        """The port on which the listener accepts connections."""
        return self.runner.addresses[0][1]

    async def open(self) -> None:
        """Starts listening.

        Raises:
            OSError: If the address cannot be used.
        """
        await self.runner.setup()
        host, port = parse_address(self.address)
        site = GuardedSite(
            runner=self.runner, guard=self.guard, host=host, port=port
        )
        await site.start()

    def announce_close(self) -> None:
        """Lets each further answer close its connection.

        A caller that keeps its connection could otherwise send a request at
        the moment at which the listener closes it.
        """
        self.guard.closing = True

    async def wait_until_answered(self) -> None:
        """Waits until the requests that are open now are answered.

        Later ones do not prolong the wait; a stopping daemon refuses them.
        """
        guard = self.guard
        pending = set(guard.unanswered)
        while pending := pending & guard.unanswered:
            guard.answered.clear()
            await guard.answered.wait()

    async def close(self, *, grace_s: float) -> None:
        """Stops listening and closes all connections.

        A written answer may still be in the buffer of its connection, which
        closes once the caller has read it.

        Args:
            grace_s: Time for callers to receive the answers, in seconds;
                connections that are still open then are aborted.
        """
        await self.runner.cleanup()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await self.guard.closed.wait()
        self.guard.abort_all()
