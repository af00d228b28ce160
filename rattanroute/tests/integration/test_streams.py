"""Streamed answers while engines and links fail."""

import asyncio
import time

from rattanroute.standins.reference_models import reference_tokens
from rattanroute.tests.integration.cluster_support import ClientAnswer
from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tools.demo_configuration import LAYERS
from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import FaultKind

TOKENS = 24
FAULT_INDEX = 7
SLOTS = 4
MARKER = "faulty"
ENGINE_FAULTS = (
    "wrong_request_id_at",
    "duplicate_at",
    "skip_at",
    "malformed_at",
    "close_at",
)
CANCEL_SECONDS = 2.0
RECOVERY_SECONDS = 15.0


class StreamTest(ClusterTestCase):
    """A client receives the complete answer to its own request."""

    data_centres = {"dc-a": 2, "dc-b": 1}

    async def start_targets(self) -> None:
        # The router prefers the faster engine, which gets the injected faults.
        for name, data_centre, speed in (
            ("engine-a", "dc-a", 100.0),
            ("engine-b", "dc-b", 50.0),
        ):
            await self.cluster.add_engine(
                name,
                data_centre,
                model="chat",
                tokens_per_second=speed,
                slots=SLOTS,
            )

    async def count_running(self, engine: str) -> int:
        """Returns how many requests an engine is running."""
        url = f"{self.cluster.targets[engine].url}/healthz"
        async with self.cluster.client.get(url) as response:
            return (await response.json())["running"]

    async def read_positions(self, engine: str, request_id: str) -> list[int]:
        """Returns the positions that an engine ran for a request."""
        entries = (await self.executions(engine))["executions"]
        return [
            position
            for request, _, position, layer in entries
            if request == request_id and layer == 0
        ]

    def assert_failed_stream(self, answer: ClientAnswer, prompt: str) -> None:
        """Checks that a stream ended with an error event, not `[DONE]`."""
        self.assertEqual(answer.status, 200)
        self.assertFalse(answer.done, "the stream ended as if complete")
        self.assertIsNotNone(answer.error, "the stream ended silently")
        self.assertNotEqual(answer.error["execution"], "not_run")
        expected = reference_tokens(prompt, LAYERS, TOKENS)
        self.assertEqual(answer.tokens, expected[: len(answer.tokens)])

    async def test_faulty_engine_is_replaced(self) -> None:
        """Guards against forwarding wrong data of a faulty engine.

        The engine in the data centre of the entry VM answers for another
        request, duplicates or skips a token, sends a malformed chunk or
        closes mid-stream.
        """
        for name in ENGINE_FAULTS:
            with self.subTest(fault=name):
                await self.set_target_faults(
                    "engine-a", only_marker=MARKER, **{name: FAULT_INDEX}
                )
                await self.check_fault(name)
        await self.set_target_faults("engine-a")

    async def check_fault(self, name: str) -> None:
        """Sends rounds of requests until one reaches the faulty engine.

        All must complete. A round fills both engines, because an engine that
        failed gets requests only when the other one is full.
        """
        ends_at = time.monotonic() + RECOVERY_SECONDS
        while time.monotonic() < ends_at:
            prompts = [
                f"{MARKER if i % 4 == 0 else 'other'} {name} {i} "
                f"{time.monotonic()}"
                for i in range(2 * SLOTS)
            ]
            answers = await asyncio.gather(
                *(self.chat("dc-a-1", text, tokens=TOKENS) for text in prompts)
            )
            for prompt, answer in zip(prompts, answers, strict=True):
                self.assert_complete(answer, prompt, TOKENS)
            for answer in answers[::4]:
                if await self.read_positions("engine-a", answer.request_id):
                    return
        self.fail("the faulty engine was not tried")

    async def test_stream_that_cannot_go_on_ends_with_error(self) -> None:
        """Guards against `[DONE]` or a silent close of a failed stream."""
        for name in ("engine-a", "engine-b"):
            await self.set_target_faults(
                name, only_marker=MARKER, close_at=FAULT_INDEX
            )
        prompt = f"a {MARKER} answer everywhere"
        answer = await self.chat("dc-a-1", prompt, tokens=TOKENS)
        self.assert_failed_stream(answer, prompt)
        self.assertEqual(len(answer.tokens), FAULT_INDEX)
        await self.check_all_engines_killed()

    async def check_all_engines_killed(self) -> None:
        """Kills both engines in the middle of a stream."""
        for name in ("engine-a", "engine-b"):
            await self.set_target_faults(name)

        async def on_token(count: int) -> None:
            if count == FAULT_INDEX:
                await self.cluster.kill("engine-a")
                await self.cluster.kill("engine-b")

        prompt = "an answer that no engine can finish"
        answer = await self.chat(
            "dc-a-2",
            prompt,
            tokens=TOKENS,
            on_token=on_token,
            headers={"X-Deadline-Ms": "10000"},
        )
        self.assert_failed_stream(answer, prompt)

    async def test_streams_survive_reset_and_kill(self) -> None:
        """Guards against mixed, truncated or repeated concurrent answers.

        First a client disconnects mid-stream. Then the proxy resets the
        connections of the engine mid-stream, and the engine is killed under
        load.
        """
        await self.check_client_disconnect()
        await self.cluster.set_faults(
            Fault(
                route="target:engine-a",
                kind=FaultKind.RESET,
                after_bytes=1500,
            )
        )
        await self.check_concurrent_clients("reset")
        await self.cluster.set_faults()

        async def kill(count: int) -> None:
            if count == FAULT_INDEX:
                await self.cluster.kill("engine-a")

        await self.check_concurrent_clients("kill", on_token=kill)

    async def check_concurrent_clients(
        self, topic: str, on_token: object = None
    ) -> None:
        """Sends several requests concurrently and checks each answer."""
        vms = list(self.cluster.vms)
        prompts = [f"{topic} question {i} of many" for i in range(9)]
        answers = await asyncio.gather(
            *(
                self.chat(
                    vms[i % len(vms)],
                    prompt,
                    tokens=TOKENS + i,
                    on_token=on_token if i == 0 else None,
                )
                for i, prompt in enumerate(prompts)
            )
        )
        for i, (prompt, answer) in enumerate(
            zip(prompts, answers, strict=True)
        ):
            self.assert_complete(answer, prompt, TOKENS + i)

    async def check_client_disconnect(self) -> None:
        """Closes a client connection mid-stream; the engine must stop."""
        reached = asyncio.Event()

        async def on_token(count: int) -> None:
            if count == 3:
                reached.set()

        task = asyncio.create_task(
            self.chat("dc-a-1", "a long answer", tokens=2000, on_token=on_token)
        )
        await asyncio.wait_for(reached.wait(), 10)
        total = await self.count_running("engine-a") + await self.count_running(
            "engine-b"
        )
        self.assertEqual(total, 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

        async def is_idle() -> bool:
            return not (
                await self.count_running("engine-a")
                + await self.count_running("engine-b")
            )

        await self.wait_for(is_idle, seconds=CANCEL_SECONDS)
