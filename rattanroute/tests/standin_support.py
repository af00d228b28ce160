"""Test support: stand-in targets inside the test process."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import unittest
from unittest import mock

import aiohttp

from rattanroute.actions import Hop
from rattanroute.clients.attempts import AttemptSpec
from rattanroute.clients.attempts import TokenChunk
from rattanroute.clients.failures import build_session
from rattanroute.standins.engine import StandinEngine
from rattanroute.standins.servers import StandinServer
from rattanroute.standins.service import StandinService
from rattanroute.standins.settings import EngineSettings
from rattanroute.standins.settings import ServiceSettings

FAST_TOKENS_PER_SECOND = 2000.0
# Only for requests that never get there; below the timeouts of `build_spec`.
MEETING_SECONDS = 4.0


class StandinTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts stand-ins and a client session for each test."""

    session: aiohttp.ClientSession

    async def asyncSetUp(self) -> None:
        self.session = build_session()
        self.addAsyncCleanup(self.session.close)

    async def start(self, host: StandinServer) -> StandinServer:
        await host.start()
        host.exit_process = lambda code: abort_connections(host)
        self.addAsyncCleanup(host.stop)
        return host

    async def start_engine(
        self, target_id: str = "e1", **changes: object
    ) -> StandinEngine:
        values: dict[str, object] = {
            "target_id": target_id,
            "data_centre": "dc-a",
            "tokens_per_second": FAST_TOKENS_PER_SECOND,
            "prefill_tokens_per_second": 1e6,
            "load_seconds": 0.0,
        }
        values.update(changes)
        return await self.start(StandinEngine(EngineSettings(**values)))

    async def start_service(self, **changes: object) -> StandinService:
        settings = ServiceSettings(
            target_id="s1", data_centre="dc-a", **changes
        )
        return await self.start(StandinService(settings))


class ConcurrentWorks:
    """Lets requests of an engine wait only together, and adds up their waits.

    An engine that runs one request after another never gets all of them to
    their pauses. Waits count with the time asked for, as a busy machine may
    add any delay.

    Attributes:
        host: The engine.
        pause: Its own pause.
        barrier: Meeting point of all requests.
        tasks: Tasks that handle the requests.
        seconds: Waits of each task.
    """

    def __init__(self, host: StandinEngine, *, count: int) -> None:
        self.host = host
        self.pause = host.pause
        self.barrier = asyncio.Barrier(count)
        self.tasks: set[asyncio.Task[object]] = set()
        self.seconds: dict[object, float] = collections.defaultdict(float)
        self.loop = asyncio.get_running_loop()
        self.call_at = self.loop.call_at

    @contextlib.contextmanager
    def observe(self) -> Iterator[None]:
        """Observes the waits of the engine."""
        with (
            mock.patch.object(self.host, "pause", self.pause_together),
            mock.patch.object(self.loop, "call_at", self.call_counted),
        ):
            yield

    async def pause_together(self, seconds: float) -> None:
        """Pauses once all requests are in a pause.

        Raises:
            TimeoutError: If some request does not get there.
        """
        self.tasks.add(asyncio.current_task())
        async with asyncio.timeout(MEETING_SECONDS):
            await self.barrier.wait()
        await self.pause(seconds)

    def longest_seconds(self) -> float:
        """Returns the waits of the request that waited longest."""
        return max(self.seconds[task] for task in self.tasks)

    def call_counted(
        self,
        when: float,
        callback: Callable[..., object],
        *args: object,
        **more,
    ) -> asyncio.TimerHandle:
        """Schedules a call and, when it is made, counts the wait for it."""
        task = asyncio.current_task(self.loop)
        seconds = when - self.loop.time()

        def call(*args: object) -> None:
            self.seconds[task] += seconds
            callback(*args)

        return self.call_at(when, call, *args, **more)


def abort_connections(host: StandinServer) -> None:
    """Aborts all connections of a host, as the end of its process would."""
    for connection in list(host.runner.server.connections):
        if connection.transport is not None:
            connection.transport.abort()
    raise asyncio.CancelledError


def build_spec(address: str = "", **changes: object) -> AttemptSpec:
    """Builds the parameters of an attempt: three-word prompt, eight tokens."""
    values: dict[str, object] = {
        "request_id": "r1",
        "attempt": 1,
        "target_id": "e1",
        "address": address,
        "body": build_body("one two three"),
        "deadline_s": 10.0,
        "first_token_timeout_s": 5.0,
        "token_timeout_s": 5.0,
    }
    values.update(changes)
    return AttemptSpec(**values)


def build_body(prompt: str, max_tokens: int = 8) -> dict[str, object]:
    """Builds a chat body with one user message."""
    return {
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
    }


def build_engine_hop(host: StandinEngine) -> Hop:
    """Builds a hop with all layers that an engine holds."""
    return Hop(
        target_id=host.settings.target_id,
        address=host.address,
        first_layer=host.first_layer,
        last_layer=host.last_layer,
    )


async def collect(items, texts: list[str]) -> object:
    """Appends the tokens of a run to `texts` and returns its usage."""
    usage = None
    async with contextlib.aclosing(items):
        async for item in items:
            if isinstance(item, TokenChunk):
                texts.append(item.text)
            else:
                usage = item
    return usage
