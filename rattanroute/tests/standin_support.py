"""Test support: stand-in targets inside the test process."""

import asyncio
import contextlib
import unittest

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
