"""Slow readers, clients that disconnect, and deadlines."""

import asyncio
import contextlib
import json
import pathlib
import socket
import time

from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tools.cluster_hosts import CALLERS_PORT
from rattanroute.tools.clusters import LocalCluster
from rattanroute.tools.demo_configuration import apply_configuration
from rattanroute.tools.demo_configuration import NOTES_KEY

READERS = 50
SLOTS = 60
LONG_TOKENS = 20_000
# A few megabytes in total for 50 readers.
MAX_GROWTH_BYTES = 8 * 1024 * 1024
BUFFER_BYTES = 4096
# The engine reports 20 000 tokens/s, so that a long answer is admitted, and
# then sends each of the 50 readers 200 tokens/s.
SLOW_FACTOR = 100.0
# The engine waits for no timer between tokens: its waits, each of which lasts
# longer on a busy machine, would keep the buffers from filling in time.
UNPACED_FACTOR = 1e-3
STALLED_DEADLINE_SECONDS = 12.0
START_SECONDS = 10.0
# The buffers of all connections must fill first; less than the deadline of
# the readers.
PAUSE_TIMEOUT_SECONDS = 100.0
CANCEL_SECONDS = 1.0
DEADLINE_SECONDS = 2.0
# Ticks are 50 ms apart; the remainder allows for a loaded machine.
DEADLINE_MARGIN_SECONDS = 0.5
KIBIBYTE = 1024


class StalledReader:
    """A client that sends a request and never reads the answer.

    Args:
        address: IP address of the VM.
        tokens: Length of the answer, in tokens.
        deadline_s: Deadline of the request, in seconds.
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
        """Closes the connection."""
        self.socket.close()


class BackpressureTest(ClusterTestCase):
    """Memory and engine work are bounded by what a client reads."""

    data_centres = {"dc-a": 1}

    async def asyncSetUp(self) -> None:
        # Without the proxy, whose buffers would hide that the engine pauses.
        self.cluster = LocalCluster(data_centres=self.data_centres)
        await self.cluster.__aenter__()
        self.addAsyncCleanup(self.cluster.close)
        await self.start_targets()
        await apply_configuration(self.cluster)
        await self.wait_targets(1)
        # The first leases of the shares are granted after the start.
        await self.wait_for(self.is_served, seconds=START_SECONDS)

    async def is_served(self) -> bool:
        """Returns whether the VM answers a request."""
        answer = await self.chat("dc-a-1", f"start {time.monotonic()}")
        return answer.done

    async def start_targets(self) -> None:
        await self.add_chat_engine("engine-a", 20_000.0)

    async def add_chat_engine(self, name: str, speed: float) -> None:
        """Starts an engine with small buffers and a short execution log."""
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
        """Returns the current report of an engine."""
        url = f"{self.cluster.targets[engine].url}/healthz"
        async with self.cluster.client.get(url) as response:
            return await response.json()

    async def is_idle(self) -> bool:
        """Returns whether no engine runs a request."""
        reports = [await self.health(name) for name in self.cluster.targets]
        return not any(item["running"] for item in reports)

    def open_reader(
        self, tokens: int = LONG_TOKENS, deadline_s: float = 120.0
    ) -> StalledReader:
        """Sends a request whose answer is not read."""
        address = self.cluster.vms["dc-a-1"].address
        reader = StalledReader(address, tokens, deadline_s)
        self.addCleanup(reader.close)
        return reader

    async def wait_paused(self, count: int) -> None:
        """Waits until the engine stops making progress on open requests.

        Without backpressure, a request completes and the check fails.
        """
        ends_at = time.monotonic() + PAUSE_TIMEOUT_SECONDS
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
        """Guards against unbounded buffering of answers for slow readers."""
        # Excludes the memory of as many open requests from the growth.
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

    async def test_stalled_reader_is_disconnected(self) -> None:
        """Guards against a stalled reader that holds a connection forever."""
        await self.set_target_faults("engine-a", slow_factor=UNPACED_FACTOR)
        reader = self.open_reader(deadline_s=STALLED_DEADLINE_SECONDS)
        started = time.monotonic()
        await self.wait_paused(1)
        await self.wait_for(
            self.is_idle, seconds=STALLED_DEADLINE_SECONDS + 5.0
        )
        seconds = time.monotonic() - started
        self.assertLess(
            seconds,
            STALLED_DEADLINE_SECONDS + DEADLINE_MARGIN_SECONDS + CANCEL_SECONDS,
        )

        async def is_closed() -> bool:
            return not await self.has_connection(reader)

        await self.wait_for(is_closed, seconds=10.0)

    async def has_connection(self, reader: StalledReader) -> bool:
        """Returns whether the daemon has a connection open to a reader."""
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

    async def test_client_disconnect_cancels_work(self) -> None:
        """Guards against work for a client that has disconnected."""
        for tokens_read in (0, 3):
            with self.subTest(tokens_read=tokens_read):
                await self.set_target_faults(
                    "engine-a", slow_factor=500.0, freeze=tokens_read == 0
                )
                await self.check_disconnect(tokens_read)

    async def check_disconnect(self, tokens_read: int) -> None:
        """Disconnects after some tokens; 0 is before the first one."""
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
        # Without further tokens, no failed write shows the closed connection.
        await self.set_target_faults("engine-a", freeze=True)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await self.wait_for(self.is_idle, seconds=CANCEL_SECONDS)

    async def test_deadline_reaches_engine_and_shrinks(self) -> None:
        """Guards against a retry whose deadline includes time already used."""
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
        """Returns the deadlines sent to the engines, in milliseconds."""
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

    async def test_request_past_deadline_ends_promptly(self) -> None:
        """Guards against answers and engine work after the deadline."""
        warm = await self.chat("dc-a-1", "warm up", tokens=200)
        self.assert_complete(warm, "warm up", 200)
        # The engine becomes slower than its reports and past requests suggest.
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
