"""Slow readers, callers that go away and deadlines."""

import asyncio
import contextlib
import json
import pathlib
import socket
import time

from rattanroute.tests.integration.support import ClusterTestCase
from rattanroute.tools.cluster_hosts import CALLERS_PORT
from rattanroute.tools.clusters import LocalCluster
from rattanroute.tools.demo_configuration import apply_configuration
from rattanroute.tools.demo_configuration import NOTES_KEY

READERS = 50
SLOTS = 60
LONG_TOKENS = 20_000
# A few megabytes for 50 readers.
MAX_GROWTH_BYTES = 8 * 1024 * 1024
BUFFER_BYTES = 4096
# The engine reports 20 000 tokens/s, so that a long answer is admitted, and
# then gives each of the 50 readers 200 tokens/s.
SLOW_FACTOR = 100.0
STUCK_SECONDS = 12.0
START_SECONDS = 10.0
# The buffers of all connections must fill first; below the readers' deadline.
SETTLE_SECONDS = 100.0
CANCEL_SECONDS = 1.0
DEADLINE_SECONDS = 2.0
# Ticks are 50 ms apart; the rest is for a busy machine.
DEADLINE_MARGIN_SECONDS = 0.5
KIBIBYTE = 1024


class StuckReader:
    """A caller that sends a request and reads only when told to.

    Args:
        address: IP number of the VM.
        tokens: Length of the answer.
        deadline_s: Deadline of the request.
    """

    def __init__(self, address: str, tokens: int, deadline_s: float) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        self.socket.connect((address, CALLERS_PORT))
        body = json.dumps(
            {
                "model": "chat",
                "stream": True,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": "a long answer"}],
            }
        )
        self.socket.sendall(
            (
                "POST /v1/chat/completions HTTP/1.1\r\n"
                f"Host: {address}\r\n"
                f"Authorization: Bearer {NOTES_KEY}\r\n"
                f"X-Deadline-Ms: {int(deadline_s * 1000)}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
        )

    def close(self) -> None:
        """Goes away."""
        self.socket.close()


class BackpressureTest(ClusterTestCase):
    """A caller costs no more than it takes and no longer than it stays."""

    data_centres = {"dc-a": 1}

    async def asyncSetUp(self) -> None:
        # Without the proxy, whose own buffers would hide a pause.
        self.cluster = LocalCluster(data_centres=self.data_centres)
        await self.cluster.__aenter__()
        self.addAsyncCleanup(self.cluster.close)
        await self.start_targets()
        await apply_configuration(self.cluster)
        await self.wait_targets(1)
        # The first slices of the shares are leased after the start.
        await self.wait_for(self.is_served, seconds=START_SECONDS)

    async def is_served(self) -> bool:
        """Returns whether the VM serves a request."""
        answer = await self.chat("dc-a-1", f"start {time.monotonic()}")
        return answer.done

    async def start_targets(self) -> None:
        await self.add_chat_engine("engine-a", 20_000.0)

    async def add_chat_engine(self, name: str, speed: float) -> None:
        """Starts an engine with small buffers and a short log."""
        await self.cluster.add_engine(
            name,
            "dc-a",
            model="chat",
            tokens_per_second=speed,
            slots=SLOTS,
            max_executions=1000,
            send_buffer_bytes=BUFFER_BYTES,
        )

    def read_memory(self) -> int:
        """Returns the resident memory of the daemon, in bytes."""
        pid = self.cluster.processes["dc-a-1"].pid
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        (line,) = (x for x in status.splitlines() if x.startswith("VmRSS:"))
        return int(line.split()[1]) * KIBIBYTE

    async def health(self, engine: str) -> dict[str, object]:
        """Returns the present report of an engine."""
        url = f"{self.cluster.targets[engine].url}/healthz"
        async with self.cluster.client.get(url) as response:
            return await response.json()

    async def is_idle(self) -> bool:
        """Returns whether no engine runs a request."""
        reports = [await self.health(name) for name in self.cluster.targets]
        return not any(item["running"] for item in reports)

    def open_reader(
        self, tokens: int = LONG_TOKENS, deadline_s: float = 120.0
    ) -> StuckReader:
        """Opens a reader that reads nothing."""
        address = self.cluster.vms["dc-a-1"].address
        reader = StuckReader(address, tokens, deadline_s)
        self.addCleanup(reader.close)
        return reader

    async def wait_paused(self, count: int) -> None:
        """Waits until the engine makes no progress with open requests.

        An engine that is never paused completes a request instead.
        """
        ends_at = time.monotonic() + SETTLE_SECONDS
        before: object = None
        started = False
        while time.monotonic() < ends_at:
            await asyncio.sleep(1.0)
            now = await self.executions("engine-a")
            running = (await self.health("engine-a"))["running"]
            self.assertTrue(running == count or not started, running)
            started = running == count
            if started and now == before:
                return
            before = now
        self.fail(f"the engine was not paused; {running} run")

    async def test_slow_readers_cost_bounded_memory(self) -> None:
        """Guards against answers that pile up for readers that are slow."""
        # What as many open requests cost is no part of the growth.
        prompts = [f"warm up {number}" for number in range(READERS)]
        for prompt, answer in zip(
            prompts,
            await asyncio.gather(
                *(self.chat("dc-a-1", text, tokens=64) for text in prompts)
            ),
            strict=True,
        ):
            self.assert_complete(answer, prompt, 64)
        await self.set_target_faults("engine-a", slow_factor=SLOW_FACTOR)
        before = self.read_memory()
        readers = [self.open_reader() for _ in range(READERS)]
        await self.wait_paused(READERS)
        growth = self.read_memory() - before
        self.assertLess(growth, MAX_GROWTH_BYTES)
        answer = await self.chat("dc-a-1", "a fast reader", tokens=64)
        self.assert_complete(answer, "a fast reader", 64)
        for reader in readers:
            reader.close()
        await self.wait_for(self.is_idle, seconds=5.0)

    async def test_stuck_reader_is_disconnected(self) -> None:
        """Guards against a connection that a stuck reader holds for ever."""
        await self.set_target_faults("engine-a", slow_factor=SLOW_FACTOR / 4)
        reader = self.open_reader(deadline_s=STUCK_SECONDS)
        started = time.monotonic()
        await self.wait_paused(1)
        await self.wait_for(self.is_idle, seconds=STUCK_SECONDS + 5.0)
        seconds = time.monotonic() - started
        self.assertLess(
            seconds, STUCK_SECONDS + DEADLINE_MARGIN_SECONDS + CANCEL_SECONDS
        )

        async def is_closed() -> bool:
            return not await self.has_connection(reader)

        await self.wait_for(is_closed, seconds=10.0)

    async def has_connection(self, reader: StuckReader) -> bool:
        """Returns whether the daemon's side of a connection is open."""
        port = reader.socket.getsockname()[1]
        pid = self.cluster.processes["dc-a-1"].pid
        text = pathlib.Path(f"/proc/{pid}/net/tcp").read_text()
        for line in text.splitlines()[1:]:
            fields = line.split()
            remote_port = int(fields[2].rpartition(":")[2], 16)
            local_port = int(fields[1].rpartition(":")[2], 16)
            inode = int(fields[9])
            if (local_port, remote_port) == (CALLERS_PORT, port):
                return inode != 0
        return False

    async def test_caller_gone_cancels_work(self) -> None:
        """Guards against work for a caller that has gone away."""
        for tokens_read in (0, 3):
            with self.subTest(tokens_read=tokens_read):
                await self.set_target_faults(
                    "engine-a", slow_factor=500.0, freeze=tokens_read == 0
                )
                await self.check_gone(tokens_read)

    async def check_gone(self, tokens_read: int) -> None:
        """Leaves before the first or after some tokens."""
        reached = asyncio.Event()

        async def on_token(count: int) -> None:
            if count == tokens_read:
                reached.set()

        task = asyncio.create_task(
            self.chat(
                "dc-a-1", f"gone {tokens_read}", tokens=500, on_token=on_token
            )
        )

        async def is_running() -> bool:
            return not await self.is_idle()

        await self.wait_for(is_running, seconds=5.0)
        if tokens_read:
            await asyncio.wait_for(reached.wait(), 10)
        # No further token tells the daemon that the connection is closed.
        await self.set_target_faults("engine-a", freeze=True)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await self.wait_for(self.is_idle, seconds=CANCEL_SECONDS)

    async def test_deadline_reaches_engine_and_shrinks(self) -> None:
        """Guards against a retry that is given the time already used."""
        # The engine closes the stream after 15 tokens, that is after 0.3 s.
        await self.set_target_faults(
            "engine-a", slow_factor=400.0, close_at=15, only_marker="broken"
        )
        await self.add_chat_engine("engine-b", 100.0)
        await self.wait_targets(2)
        limits: list[int] = []
        for number in range(5):
            prompt = f"broken {number}"
            answer = await self.chat(
                "dc-a-1",
                prompt,
                tokens=20,
                headers={"X-Deadline-Ms": "9000"},
            )
            self.assert_complete(answer, prompt, 20)
            limits = await self.read_limits(answer.request_id)
            if len(limits) == 2:
                break
        self.assertEqual(len(limits), 2)
        self.assertLessEqual(limits[0], 9000)
        self.assertGreater(limits[0], 9000 - 1000 * DEADLINE_MARGIN_SECONDS)
        self.assertLess(limits[1], limits[0] - 200)

    async def read_limits(self, request_id: str) -> list[int]:
        """Returns the deadlines told to the engines, in milliseconds."""
        found = []
        for target in self.cluster.targets.values():
            url = f"{target.url}/v1/received"
            async with self.cluster.client.get(url) as response:
                items = (await response.json())["received"]
            found += [
                (item["received_at"], int(item["headers"]["x-deadline-ms"]))
                for item in items
                if item["headers"]["x-request-id"] == request_id
            ]
        return [limit for _, limit in sorted(found)]

    async def test_request_past_deadline_ends_at_once(self) -> None:
        """Guards against answers that come late and work that goes on."""
        warm = await self.chat("dc-a-1", "warm up", tokens=200)
        self.assert_complete(warm, "warm up", 200)
        # The engine becomes slower than its reports and the past tell.
        await self.set_target_faults("engine-a", slow_factor=5000.0)
        started = time.monotonic()
        answer = await self.chat(
            "dc-a-1",
            "too late",
            tokens=100,
            headers={"X-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000))},
        )
        seconds = time.monotonic() - started
        self.assertFalse(answer.done)
        self.assertEqual(answer.error["type"], "deadline_exceeded")
        self.assertGreaterEqual(seconds, DEADLINE_SECONDS - 0.1)
        self.assertLess(seconds, DEADLINE_SECONDS + DEADLINE_MARGIN_SECONDS)
        await self.wait_for(self.is_idle, seconds=CANCEL_SECONDS)
