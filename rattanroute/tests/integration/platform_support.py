"""Base of tests that run the platform's programs as processes."""

import asyncio
from collections.abc import Mapping
import types
import unittest

import aiohttp

from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool
from rattanroute.platform.trial_deployments import build_call
from rattanroute.platform.trial_deployments import build_configuration
from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import Machine
from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.platform.trial_deployments import timeout_s
from rattanroute.tools.soak_clients import ClientSink
from rattanroute.tools.soak_fleets import SoakFleet
from rattanroute.tools.soak_replicas import DEFAULT_REPLICA_OPTIONS
from rattanroute.tools.soak_replicas import ReplicaOptions

START_SECONDS = 30.0
POLL_SECONDS = 0.1
CONNECT_SECONDS = 1.0
ANSWER_EVENTS = 5


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of test cases that start their own deployment."""

    async def start_fleet(
        self,
        *,
        fronts: int = 1,
        crash_marker: str = "",
        crash_part: str = "",
        options: ReplicaOptions = DEFAULT_REPLICA_OPTIONS,
        limits: Mapping[str, float] = types.MappingProxyType({}),
    ) -> None:
        """Starts a deployment and configures it.

        Args:
            fronts: Number of fronts in each zone.
            crash_marker: Text in a request body that crashes replicas.
            crash_part: Part of a prompt that crashes replicas.
            options: Options of the replicas.
            limits: Size of the machines, as the fields of `limits` in their
                settings.
        """
        self.fleet = SoakFleet(
            bounds=SoakBounds(),
            fronts=fronts,
            crash_marker=crash_marker,
            crash_part=crash_part,
            options=options,
            limits=limits,
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
        """Sends a configuration; returns the status, 0 without an answer."""
        try:
            async with self.fleet.client.put(
                machine.configuration_url, data=body
            ) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def wait_for_success(self, url: str) -> str:
        """Waits until a URL answers with status 200 and returns the body."""
        async with asyncio.timeout(START_SECONDS):
            while True:
                try:
                    async with self.fleet.client.get(url) as response:
                        if response.status == 200:
                            return await response.text()
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_SECONDS)

    async def wait_for_log(self, name: str, text: str) -> None:
        """Waits until the log of a program contains a text."""
        async with asyncio.timeout(START_SECONDS):
            while text not in self.fleet.read_log(name):
                await asyncio.sleep(POLL_SECONDS)

    async def call(
        self,
        front: Machine,
        kind: CallKind,
        body: bytes,
        request_id: str,
        parts: tuple[str, ...] = (),
    ) -> int:
        """Sends a request to a front; returns the status, 0 if unanswered."""
        head = build_call(
            request_id,
            f"/{kind.value}/x",
            time_left_s=timeout_s(kind),
            answer_tokens=ANSWER_EVENTS if kind is CallKind.STREAM else 0,
            parts=parts,
        )
        sink = ClientSink()
        try:
            connection = await ConnectionPool().take(
                front.front_address, timeout_s=CONNECT_SECONDS, identifier=None
            )
        except ConnectError:
            return 0
        connection.send(head, body, sink)
        await asyncio.wait((sink.ended,), timeout=timeout_s(kind))
        connection.cancel()
        return sink.head.status if sink.head is not None else 0
