"""HTTP server base of stand-in targets, run as a process or in a test."""

import argparse
import asyncio
import collections
from collections.abc import Callable
import os
import pathlib
import signal
import time

from aiohttp import web
import msgspec

from rattanroute.addresses import parse_address
from rattanroute.standins.announcers import Announcer
from rattanroute.standins.settings import FaultSettings
from rattanroute.standins.settings import load_settings
from rattanroute.standins.settings import TargetSettings
from rattanroute.tables.targets import TargetReport

MAX_RECEIVED_REQUESTS = 10_000
MAX_BODY_BYTES = 64 * 1024 * 1024
CRASH_EXIT_CODE = 70
POLL_INTERVAL_S = 0.02


class StandinServer:
    """Base class of the HTTP servers of stand-in targets.

    Attributes:
        settings: Settings of the target.
        faults: Active fault injection settings.
        executions: Log of executed work and orders, oldest first.
        exit_process: Called with an exit code to crash; tests replace it.
        leaving: Whether a graceful stop is in progress.
        active: Number of requests in progress.
        received: Headers and arrival times of the latest requests that have a
            request ID.
        address: Base URL announced to the VMs.
    """

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings
        self.faults = settings.faults.model_copy()
        self.executions: collections.deque[tuple[object, ...]] = (
            collections.deque(maxlen=settings.max_executions)
        )
        self.exit_process: Callable[[int], None] = os._exit
        self.received: collections.deque[dict[str, object]] = collections.deque(
            maxlen=MAX_RECEIVED_REQUESTS
        )
        self.leaving = False
        self.active = 0
        self.runner: web.AppRunner | None = None
        self.address = settings.advertise
        self.announcer = Announcer(
            addresses=settings.announce_to,
            build_report=self.build_report,
            heartbeat_s=settings.heartbeat_s,
            token=settings.token,
            silent=lambda: self.faults.silent_heartbeats,
        )

    def build_report(self) -> TargetReport:
        """Returns the current report."""
        raise NotImplementedError

    def build_app(self) -> web.Application:
        """Builds the application with the shared routes."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self.record_received]
        )
        app.router.add_get("/v1/received", self.get_received)
        app.router.add_get("/v1/executions", self.get_executions)
        app.router.add_post("/v1/faults", self.set_faults)
        app.router.add_get("/healthz", self.get_health)
        return app

    @web.middleware
    async def record_received(
        self, request: web.Request, handler: object
    ) -> web.StreamResponse:
        """Stores the headers of a request that the router sent."""
        if "X-Request-Id" in request.headers:
            headers = {k.lower(): v for k, v in request.headers.items()}
            self.received.append(
                {"headers": headers, "received_at": time.monotonic()}
            )
        return await handler(request)

    async def get_received(self, request: web.Request) -> web.Response:
        """Answers with the headers of the latest requests, oldest first."""
        return json_response({"received": list(self.received)})

    async def get_executions(self, request: web.Request) -> web.Response:
        """Answers with the executions log."""
        return json_response({"executions": list(self.executions)})

    async def get_health(self, request: web.Request) -> web.Response:
        """Answers with the current report."""
        return json_response(msgspec.to_builtins(self.build_report()))

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces all fault settings; omitted ones get their defaults."""
        self.faults = FaultSettings.model_validate_json(await request.read())
        return json_response(self.faults.model_dump())

    async def pause(self, seconds: float) -> None:
        """Sleeps for the duration of some work, and while frozen."""
        await asyncio.sleep(seconds * self.faults.slow_factor)
        while self.faults.freeze:
            await asyncio.sleep(POLL_INTERVAL_S)

    def crash(self) -> None:
        """Exits the process at once, without cleanup or answers."""
        self.exit_process(CRASH_EXIT_CODE)

    async def start(self) -> None:
        """Binds the port and starts the announcer."""
        self.runner = web.AppRunner(
            self.build_app(), handler_cancellation=True, access_log=None
        )
        await self.runner.setup()
        host, port = parse_address(self.settings.listen)
        await web.TCPSite(self.runner, host, port).start()
        bound = self.runner.addresses[0][1]
        self.address = self.address or f"http://{host}:{bound}"
        self.announcer.start()

    async def drain(self) -> None:
        """Announces the departure and waits for running requests to end."""
        self.leaving = True
        await self.announcer.leave()
        while self.active:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Stops the announcer and closes the port."""
        await self.announcer.stop()
        if self.runner is not None:
            await self.runner.cleanup()


def break_connection(request: web.Request) -> None:
    """Aborts a request's connection and ends its handler.

    Raises:
        asyncio.CancelledError: Always. Only on this error does aiohttp end a
            handler without sending a response or logging an error.
    """
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def json_response(data: object, status: int = 200, **headers: str):
    """Builds a JSON response; `_` in header names becomes `-`."""
    return web.Response(
        body=msgspec.json.encode(data),
        status=status,
        content_type="application/json",
        headers={name.replace("_", "-"): v for name, v in headers.items()},
    )


def error_response(status: int, kind: str, **headers: str) -> web.Response:
    """Builds an error response of a given error type."""
    return json_response({"error": {"type": kind}}, status, **headers)


async def serve(server: StandinServer) -> None:
    """Serves until SIGTERM or SIGINT, then stops gracefully."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    await server.start()
    print(f"listening address={server.address}", flush=True)
    await stopping.wait()
    await server.drain()
    await server.stop()


def main(server_type: type[StandinServer], kind: type[TargetSettings]) -> None:
    """Runs a stand-in target as the main program of a process.

    Args:
        server_type: Class of the server; its docstring is the help text.
        kind: Settings model of the configuration file.
    """
    parser = argparse.ArgumentParser(description=server_type.__doc__)
    parser.add_argument("--config", type=pathlib.Path, required=True)
    path = parser.parse_args().config
    asyncio.run(serve(server_type(load_settings(path, kind))))
