"""Callers and clusters for tests that run real processes."""

import asyncio
from collections.abc import Mapping
import dataclasses
import time
import unittest

import aiohttp
import msgspec

from rattanroute.standins.reference_models import reference_tokens
from rattanroute.tools.clusters import LocalCluster
from rattanroute.tools.demo_configuration import apply_configuration
from rattanroute.tools.demo_configuration import LAYERS
from rattanroute.tools.demo_configuration import NOTES_KEY
from rattanroute.tools.demo_configuration import SERVICE

KNOWN_TARGETS_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 60.0


@dataclasses.dataclass(kw_only=True)
class CallerAnswer:
    """What a caller received.

    Attributes:
        status: HTTP status; 0 when the connection broke.
        tokens: Tokens of a chat answer, in order.
        error: The refusal, if there is one.
        done: Whether the answer is complete.
        body: Body of a service answer.
        headers: Headers of the answer.
        token_times: Times of the tokens, in seconds of the monotonic clock.
    """

    status: int = 0
    tokens: list[str] = dataclasses.field(default_factory=list)
    error: dict[str, object] | None = None
    done: bool = False
    body: dict[str, object] | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    token_times: list[float] = dataclasses.field(default_factory=list)

    @property
    def request_id(self) -> str:
        """Identifier that the router gave the request."""
        return self.headers.get("X-Request-Id", "")

    @property
    def route(self) -> str:
        """Targets that served the request."""
        return self.headers.get("X-Rattanroute-Route", "")


class ClusterTestCase(unittest.IsolatedAsyncioTestCase):
    """A test with a cluster of its own behind the fault-injecting proxy.

    Attributes:
        data_centres: Number of VMs in each data centre.
        settings: Changes to the settings of each daemon.
    """

    data_centres = {"dc-a": 2, "dc-b": 2}
    voters = 1
    settings: dict[str, object] = {}

    async def asyncSetUp(self) -> None:
        self.cluster = LocalCluster(
            data_centres=self.data_centres,
            voters=self.voters,
            proxied=True,
            settings=self.settings,
        )
        await self.cluster.__aenter__()
        self.addAsyncCleanup(self.cluster.close)
        await self.start_targets()
        await apply_configuration(self.cluster)
        await self.wait_targets(len(self.cluster.targets))

    async def start_targets(self) -> None:
        """Starts the targets of the test."""

    async def add_stages(self, *ranges: tuple[str, str, int, int]) -> None:
        """Starts layer-range engines of the model `split`.

        Args:
            *ranges: Name, data centre, first and last layer of each.
        """
        for name, data_centre, first, last in ranges:
            await self.cluster.add_engine(
                name,
                data_centre,
                model="split",
                first_layer=first,
                last_layer=last,
                total_layers=LAYERS,
                tokens_per_second=50.0,
            )

    async def wait_targets(self, count: int, *vms: str) -> None:
        """Waits until VMs, or all of them, know a number of targets."""
        wanted = f"rattanroute_known_targets {count}"
        for name in vms or tuple(self.cluster.vms):
            await self.wait_for(
                lambda name=name: self.has_metric(name, wanted),
                seconds=KNOWN_TARGETS_TIMEOUT_SECONDS,
            )

    async def has_metric(self, vm: str, line: str) -> bool:
        """Returns whether a VM's metrics hold a line."""
        url = f"{self.cluster.vms[vm].callers_url}/metrics"
        async with self.cluster.client.get(url) as response:
            return line in (await response.text()).splitlines()

    async def wait_for(self, condition: object, *, seconds: float) -> None:
        """Waits until an asynchronous condition holds."""
        ends_at = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > ends_at:
                self.fail(f"condition does not hold after {seconds} s")
            await asyncio.sleep(POLL_SECONDS)

    async def executions(self, target: str) -> dict[str, object]:
        """Returns what a stand-in target ran."""
        url = f"{self.cluster.targets[target].url}/v1/executions"
        async with self.cluster.client.get(url) as response:
            return await response.json()

    async def set_target_faults(self, target: str, **faults: object) -> None:
        """Changes the fault switches of a stand-in target."""
        url = f"{self.cluster.targets[target].url}/v1/faults"
        async with self.cluster.client.post(url, json=faults) as response:
            self.assertEqual(response.status, 200, await response.text())

    async def chat(
        self,
        vm: str,
        prompt: str,
        *,
        model: str = "chat",
        tokens: int = 16,
        key: str = NOTES_KEY,
        headers: dict[str, str] | None = None,
        on_token: object = None,
    ) -> CallerAnswer:
        """Sends a streamed chat request and reads its answer to the end."""
        answer = CallerAnswer()
        body = {
            "model": model,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        try:
            async with self.cluster.client.post(
                f"{self.cluster.vms[vm].callers_url}/v1/chat/completions",
                json=body,
                headers={"Authorization": f"Bearer {key}", **(headers or {})},
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
            ) as response:
                answer.status = response.status
                answer.headers = response.headers
                if response.status != 200:
                    answer.error = (await response.json())["error"]
                    return answer
                await read_events(response, answer, on_token)
        except aiohttp.ClientError:
            answer.done = False
        return answer

    async def call(
        self,
        vm: str,
        operation: str,
        body: dict[str, object],
        *,
        idempotency_key: str = "",
        key: str = NOTES_KEY,
        service: str = SERVICE,
        headers: dict[str, str] | None = None,
    ) -> CallerAnswer:
        """Calls an operation of a service."""
        answer = CallerAnswer()
        headers = {"Authorization": f"Bearer {key}", **(headers or {})}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        url = self.cluster.vms[vm].callers_url
        try:
            async with self.cluster.client.post(
                f"{url}/v1/services/{service}/{operation}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
            ) as response:
                answer.status = response.status
                answer.headers = response.headers
                content = await response.json()
        except aiohttp.ClientError:
            return answer
        answer.done = response.status == 200
        if answer.done:
            answer.body = content
        else:
            answer.error = content["error"]
        return answer

    def assert_complete(
        self, answer: CallerAnswer, prompt: str, tokens: int = 16
    ) -> None:
        """Checks that an answer is the whole answer to its own request."""
        self.assertEqual(answer.status, 200, answer.error)
        self.assertTrue(answer.done, answer)
        expected = reference_tokens(prompt, LAYERS, tokens)
        self.assertEqual(answer.tokens, expected)


async def read_events(
    response: aiohttp.ClientResponse, answer: CallerAnswer, on_token: object
) -> None:
    """Reads the events of a stream into an answer."""
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        if line.startswith(b"data: [DONE]"):
            answer.done = True
            return
        event = msgspec.json.decode(line[6:])
        if "error" in event:
            answer.error = event["error"]
            return
        content = event["choices"][0]["delta"].get("content")
        if content is not None:
            answer.tokens.append(content)
            answer.token_times.append(time.monotonic())
            if on_token is not None:
                await on_token(len(answer.tokens))
