"""HTTP listeners that bound the time until a connection's first request.

Errors that arise before a handler runs are answered in JSON, too.
"""

import asyncio

from aiohttp import web

from rattanroute.requests.bodies import build_invalid_refusal
from rattanroute.requests.refusals import build_refusal_response
from rattanroute.requests.refusals import INTERNAL

# A client that sends its headers slower than this is disconnected; open
# connections without a request must not use up the file descriptors.
FIRST_REQUEST_SECONDS = 10.0
KEEPALIVE_SECONDS = 30.0


def answer_error(status: int, message: str) -> web.Response:
    """Returns an error of the HTTP layer as a refusal in JSON."""
    refusal = INTERNAL
    if status < INTERNAL.status:
        refusal = build_invalid_refusal(message, status=status)
    return build_refusal_response(refusal, "", {})


@web.middleware
async def answer_errors(
    http_request: web.Request, handler: object
) -> web.StreamResponse:
    """Answers unknown paths and methods in JSON."""
    try:
        return await handler(http_request)
    except web.HTTPClientError as error:
        response = answer_error(error.status, error.reason)
        if "Allow" in error.headers:
            response.headers["Allow"] = error.headers["Allow"]
        return response


class JsonRequestHandler(web.RequestHandler):
    """Answers requests that do not parse in JSON."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Logs an error and returns its answer; the connection closes."""
        super().handle_error(request, status, exc, message)
        response = answer_error(status, message or "malformed request")
        response.force_close()
        return response


class GuardedSite(web.BaseSite):
    """A TCP listener that closes connections without a request.

    Args:
        runner: The application's runner.
        guard: Guard whose middleware the application has.
        host: IP number.
        port: Port.
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
        """Address of the listener."""
        return f"http://{self.host}:{self.port}"

    async def start(self) -> None:
        """Starts to listen."""
        await super().start()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self.open_connection, self.host, self.port, backlog=1024
        )

    def open_connection(self) -> asyncio.Protocol:
        """Returns the protocol of a new connection, under guard."""
        protocol = JsonRequestHandler(
            self._runner.server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=KEEPALIVE_SECONDS,
            access_log=None,
        )
        self.guard.watch(protocol)
        return protocol


class ConnectionGuard:
    """Closes connections that send no complete request in time."""

    def __init__(self) -> None:
        self.waiting: set[asyncio.Protocol] = set()

    @web.middleware
    async def middleware(
        self, http_request: web.Request, handler: object
    ) -> web.StreamResponse:
        """Notes that a connection has sent a request."""
        self.waiting.discard(http_request.protocol)
        return await handler(http_request)

    def watch(self, protocol: asyncio.Protocol) -> None:
        """Schedules the check of a new connection."""
        self.waiting.add(protocol)
        asyncio.get_running_loop().call_later(
            FIRST_REQUEST_SECONDS, self.check, protocol
        )

    def check(self, protocol: asyncio.Protocol) -> None:
        """Closes a connection that has sent no request."""
        if protocol not in self.waiting:
            return
        self.waiting.discard(protocol)
        if protocol.transport is not None:
            protocol.transport.abort()
