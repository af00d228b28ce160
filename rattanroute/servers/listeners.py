"""HTTP listeners with a timeout for the first request of a connection.

Errors that occur before a handler runs are also answered in JSON.
"""

import asyncio

from aiohttp import web

from rattanroute.requests.bodies import build_invalid_refusal
from rattanroute.requests.refusals import build_refusal_response
from rattanroute.requests.refusals import INTERNAL

# Longest time until the first request's headers are complete. Connections
# without a request must not exhaust the file descriptors.
FIRST_REQUEST_TIMEOUT_SECONDS = 10.0
KEEPALIVE_TIMEOUT_SECONDS = 30.0


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
    """Answers requests that cannot be parsed with a JSON error."""

    __slots__ = ()

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
        """Returns the protocol of a new connection and starts its timeout."""
        protocol = JsonRequestHandler(
            self._runner.server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            access_log=None,
        )
        self.guard.watch(protocol)
        return protocol


class ConnectionGuard:
    """Aborts connections whose first request does not arrive in time.

    Attributes:
        waiting: Connections that have not sent a request yet.
    """

    def __init__(self) -> None:
        self.waiting: set[asyncio.Protocol] = set()

    @web.middleware
    async def middleware(
        self, http_request: web.Request, handler: object
    ) -> web.StreamResponse:
        """Marks a connection as having sent a request."""
        self.waiting.discard(http_request.protocol)
        return await handler(http_request)

    def watch(self, protocol: asyncio.Protocol) -> None:
        """Starts the timeout of a new connection."""
        self.waiting.add(protocol)
        asyncio.get_running_loop().call_later(
            FIRST_REQUEST_TIMEOUT_SECONDS, self.check, protocol
        )

    def check(self, protocol: asyncio.Protocol) -> None:
        """Aborts a connection that has not sent a request."""
        if protocol not in self.waiting:
            return
        self.waiting.discard(protocol)
        if protocol.transport is not None:
            protocol.transport.abort()
