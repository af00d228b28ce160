"""HTTP listeners with a timeout for the first request of a connection.

Errors that occur before a handler runs are also answered in JSON.
"""

import asyncio
import contextlib

from aiohttp import web

from rattanroute.addresses import parse_address
from rattanroute.requests.bodies import build_invalid_refusal
from rattanroute.requests.refusals import build_refusal_response
from rattanroute.requests.refusals import INTERNAL

# Longest time until the first request's headers are complete. Connections
# without a request must not exhaust the file descriptors.
FIRST_REQUEST_TIMEOUT_SECONDS = 10.0
KEEPALIVE_TIMEOUT_SECONDS = 30.0
# Longest wait for handlers that are still running when a listener closes.
# Before that, a planned stop waits for them and ends those that are left.
HANDLER_END_SECONDS = 1.0


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

    Attributes:
        guard: Registers the connection while it is open.
    """

    __slots__ = ("guard",)

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
        self.guard.add(self, transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection; its buffered data has been sent or lost."""
        self.guard.remove(self)
        super().connection_lost(exc)

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
            self.guard.note_answered(self)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Logs an error and returns its response; the connection closes."""
        super().handle_error(request, status, exc, message)
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
            self.open_connection, self.host, self.port, backlog=1024
        )

    def open_connection(self) -> asyncio.Protocol:
        """Returns the protocol of a new connection."""
        return JsonRequestHandler(
            self._runner.server,
            guard=self.guard,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            access_log=None,
        )


class ConnectionGuard:
    """Tracks the connections and unanswered requests of a listener.

    It aborts connections whose first request does not arrive in time.

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

    def __init__(self) -> None:
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
        response = await handler(http_request)
        if self.closing and not response.prepared:
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
    """

    def __init__(self, *, application: web.Application, address: str) -> None:
        self.address = address
        self.guard = ConnectionGuard()
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
