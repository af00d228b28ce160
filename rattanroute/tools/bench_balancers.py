"""A minimal stand-in for the platform's load balancer.

It forwards requests round-robin to the VMs whose `/readyz` returns 200. It
retries a request on another VM if the connection was refused, so that the
request was certainly not executed, or if the request is repeatable and no byte
of the answer was forwarded.
"""

import asyncio
import itertools
import sys

import aiohttp
from aiohttp import web
import uvloop

PROBE_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 0.5
REPEATABLE_PATH = "/v1/chat/completions"
UNFORWARDED_HEADERS = frozenset(
    {"connection", "content-length", "host", "transfer-encoding"}
)


class Balancer:
    """Forwards requests to ready VMs.

    Args:
        urls: Base URLs of the VMs.
    """

    def __init__(self, *, urls: list[str]) -> None:
        self.urls = urls
        self.ready: list[str] = []
        self.rotation = itertools.count()
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, application: web.Application) -> None:
        """Opens the HTTP client and starts the readiness probes."""
        self.client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
        )
        self.tasks = [asyncio.create_task(self.probe(url)) for url in self.urls]

    async def probe(self, url: str) -> None:
        """Polls the readiness of a VM until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        while True:
            try:
                async with self.client.get(
                    f"{url}/readyz", timeout=timeout
                ) as response:
                    is_ready = response.status == 200
            except (aiohttp.ClientError, TimeoutError):
                is_ready = False
            self.set_ready(url, is_ready)
            await asyncio.sleep(PROBE_SECONDS)

    def set_ready(self, url: str, is_ready: bool) -> None:
        """Adds a VM to the ready VMs or removes it."""
        if is_ready and url not in self.ready:
            self.ready.append(url)
        elif not is_ready and url in self.ready:
            self.ready.remove(url)

    async def handle_ready(self, http_request: web.Request) -> web.Response:
        """Returns status 200 if all VMs are ready, 503 otherwise."""
        complete = len(self.ready) == len(self.urls)
        return web.Response(status=200 if complete else 503)

    async def handle(self, http_request: web.Request) -> web.StreamResponse:
        """Forwards a request and retries it where that is safe."""
        body = await http_request.read()
        headers = {
            name: value
            for name, value in http_request.headers.items()
            if name.lower() not in UNFORWARDED_HEADERS
        }
        tried: set[str] = set()
        while url := self.choose(tried):
            tried.add(url)
            try:
                upstream = await self.client.post(
                    f"{url}{http_request.path}", data=body, headers=headers
                )
                async with upstream:
                    # The answer is buffered completely before it is
                    # forwarded, so that an interrupted one can be retried.
                    answer = await upstream.read()
            except aiohttp.ClientConnectorError:
                self.set_ready(url, False)
                continue
            except (aiohttp.ClientError, TimeoutError, OSError):
                self.set_ready(url, False)
                if http_request.path == REPEATABLE_PATH:
                    continue
                return web.Response(status=502)
            return web.Response(
                body=answer,
                status=upstream.status,
                content_type=upstream.content_type,
            )
        return web.Response(status=503)

    def choose(self, tried: set[str]) -> str:
        """Returns the next ready VM not yet tried, or an empty string."""
        untried = [url for url in self.ready if url not in tried]
        return untried[next(self.rotation) % len(untried)] if untried else ""


def main() -> None:
    """Runs the balancer; arguments: listening host, port, VMs' base URLs."""
    host, port, *urls = sys.argv[1:]
    balancer = Balancer(urls=urls)
    application = web.Application()
    application.on_startup.append(balancer.start)
    application.router.add_get("/readyz", balancer.handle_ready)
    application.router.add_post("/{path:.*}", balancer.handle)
    web.run_app(
        application,
        host=host,
        port=int(port),
        access_log=None,
        loop=uvloop.new_event_loop(),
    )


if __name__ == "__main__":
    main()
