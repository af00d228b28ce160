"""Minimal aiohttp relay without routing: the baseline of the benchmarks."""

import sys

import aiohttp
from aiohttp import web
import uvloop


class RelayServer:
    """Forwards each chat request to one engine.

    Args:
        upstream: Base URL of the engine.
    """

    def __init__(self, *, upstream: str) -> None:
        self.upstream = upstream

    async def open_client(self, application: web.Application) -> None:
        """Opens the client session."""
        self.client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
        )

    async def handle(self, http_request: web.Request) -> web.StreamResponse:
        """Forwards one request and streams its response back."""
        body = await http_request.read()
        headers = {"X-Request-Id": "relay", "X-Attempt": "1"}
        async with self.client.post(
            f"{self.upstream}/v1/chat/completions", data=body, headers=headers
        ) as upstream:
            response = web.StreamResponse(status=upstream.status)
            response.content_type = upstream.content_type
            await response.prepare(http_request)
            async for data in upstream.content.iter_any():
                await response.write(data)
            await response.write_eof()
            return response

    async def handle_health(self, http_request: web.Request) -> web.Response:
        """Answers health checks while the process runs."""
        return web.Response(text="ok")


def main() -> None:
    """Run the relay; arguments: listening host, port, engine's base URL."""
    host, port, upstream = sys.argv[1:4]
    server = RelayServer(upstream=upstream)
    application = web.Application()
    application.on_startup.append(server.open_client)
    application.router.add_post("/v1/chat/completions", server.handle)
    application.router.add_get("/healthz", server.handle_health)
    web.run_app(
        application,
        host=host,
        port=int(port),
        access_log=None,
        loop=uvloop.new_event_loop(),
    )


if __name__ == "__main__":
    main()
