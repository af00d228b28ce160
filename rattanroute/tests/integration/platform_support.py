"""The platform's programs as processes, for tests."""

import asyncio
import unittest

import aiohttp

from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool
from rattanroute.platform.trials import Bounds
from rattanroute.platform.trials import build_call
from rattanroute.platform.trials import build_configuration
from rattanroute.platform.trials import CallKind
from rattanroute.platform.trials import Machine
from rattanroute.platform.trials import timeout_s
from rattanroute.tools.soak_clients import ClientSink
from rattanroute.tools.soak_fleets import SoakFleet

START_SECONDS = 30.0
POLL_SECONDS = 0.1
CONNECT_SECONDS = 1.0
ANSWER_EVENTS = 5


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    """A test with a deployment of its own."""

    async def start_fleet(
        self, *, fronts: int = 1, crash_marker: str = ""
    ) -> None:
        """Starts a deployment and configures it.

        Args:
            fronts: Fronts of each zone.
            crash_marker: Content of a request that crashes replicas.
        """
        self.fleet = SoakFleet(
            bounds=Bounds(), fronts=fronts, crash_marker=crash_marker
        )
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        await self.configure()

    async def configure(self) -> None:
        """Sends a configuration until it is accepted."""
        body = build_configuration(1)
        async with asyncio.timeout(START_SECONDS):
            while True:
                for machine in self.fleet.core:
                    if await self.put(machine, body) == 200:
                        return
                await asyncio.sleep(POLL_SECONDS)

    async def put(self, machine: Machine, body: bytes) -> int:
        """Sends a configuration; returns the status, 0 without one."""
        try:
            async with self.fleet.client.put(
                machine.configuration_url, data=body
            ) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def wait_status(self, url: str) -> str:
        """Waits until a URL answers with status 200; returns its body."""
        async with asyncio.timeout(START_SECONDS):
            while True:
                try:
                    async with self.fleet.client.get(url) as response:
                        if response.status == 200:
                            return await response.text()
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_SECONDS)

    async def wait_logged(self, name: str, text: str) -> None:
        """Waits until a program has logged a text."""
        async with asyncio.timeout(START_SECONDS):
            while text not in self.fleet.read_log(name):
                await asyncio.sleep(POLL_SECONDS)

    async def call(
        self, front: Machine, kind: CallKind, body: bytes, request_id: str
    ) -> int:
        """Sends a request to a front; returns the status, 0 without one."""
        head = build_call(
            request_id,
            f"/{kind.value}/x",
            time_left_s=timeout_s(kind),
            answer_tokens=ANSWER_EVENTS if kind is CallKind.STREAM else 0,
        )
        sink = ClientSink()
        try:
            connection = await ConnectionPool().take(
                front.front_address, timeout_s=CONNECT_SECONDS
            )
        except ConnectError:
            return 0
        connection.send(head, body, sink)
        await asyncio.wait((sink.ended,), timeout=timeout_s(kind))
        connection.cancel()
        return sink.head.status if sink.head is not None else 0
