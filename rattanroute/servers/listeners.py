"""HTTP listeners that bound the time until a connection's first request."""

import asyncio

from aiohttp import web

# A client that sends its headers slower than this is disconnected; open
# connections without a request must not use up the file descriptors.
FIRST_REQUEST_SECONDS = 10.0
KEEPALIVE_SECONDS = 30.0


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
        protocol = self._runner.server()
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
