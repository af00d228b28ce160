"""Tests of the stand-in engine and service."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import unittest
from unittest import mock

from aiohttp import web
import yaml

from rattanroute.clients.attempts import AttemptError
from rattanroute.clients.attempts import PREFIX_BLOCK_TOKENS
from rattanroute.clients.engines import EngineClient
from rattanroute.events import Provenance
from rattanroute.standins.announcers import LoadHistory
from rattanroute.standins.reference_models import embed
from rattanroute.standins.reference_models import LayerState
from rattanroute.standins.reference_models import reference_tokens
from rattanroute.standins.resources import PrefixCache
from rattanroute.standins.resources import QueueFullError
from rattanroute.standins.resources import SlotQueue
from rattanroute.tests.standin_support import build_body
from rattanroute.tests.standin_support import build_spec
from rattanroute.tests.standin_support import collect
from rattanroute.tests.standin_support import ConcurrentWorks
from rattanroute.tests.standin_support import StandinTestCase

BLOCK = "word " * PREFIX_BLOCK_TOKENS


class ModelTest(unittest.TestCase):
    """Tests of the reference model."""

    def test_each_fault_of_a_layer_changes_the_tokens(self) -> None:
        """Guards against a model that hides faults of a chain of layers.

        Skipped, repeated or reordered layers and the cache of another request
        must change the output.
        """

        def run(order: list[int], states: dict[int, LayerState]) -> bytes:
            hidden = embed("one")
            for layer in order:
                hidden = states[layer].run(hidden)
            return hidden

        def fresh() -> dict[int, LayerState]:
            return {
                n: LayerState(first_layer=n, last_layer=n) for n in range(4)
            }

        right = run([0, 1, 2, 3], fresh())
        for order in ([0, 1, 3], [0, 1, 1, 2, 3], [0, 2, 1, 3]):
            self.assertNotEqual(run(order, fresh()), right)
        used = fresh()
        used[2].run(embed("of another request"))
        self.assertNotEqual(run([0, 1, 2, 3], used), right)


class ResourceTest(unittest.IsolatedAsyncioTestCase):
    """Tests of slots, the prefix cache and delayed load reports."""

    async def test_queue_order_and_limit(self) -> None:
        """Guards against ignored priorities and an unbounded queue."""
        queue = SlotQueue(slots=1, max_queued=2)
        done: list[str] = []

        async def work(name: str, priority: int) -> None:
            async with queue.hold_slot(priority):
                await asyncio.sleep(0.01)
                done.append(name)

        async with asyncio.TaskGroup() as group:
            for name, priority in (("a", 0), ("low", 0), ("high", 1)):
                group.create_task(work(name, priority))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            with self.assertRaises(QueueFullError):
                await queue.acquire(0)
        self.assertEqual(done, ["a", "high", "low"])
        self.assertEqual(queue.running, 0)

    async def test_cancelled_request_releases_its_slot(self) -> None:
        """Guards against losing a slot with each cancelled request.

        The request is cancelled between getting its slot and resuming.
        """
        queue = SlotQueue(slots=1, max_queued=2)
        await queue.acquire(0)
        waiter = asyncio.create_task(queue.acquire(0))
        await asyncio.sleep(0)
        queue.release()
        waiter.cancel()
        await asyncio.gather(waiter, return_exceptions=True)
        self.assertEqual(queue.running, 0)

    def test_cache_is_limited_and_events_have_gaps(self) -> None:
        """Guards against a cache without the limits of real ones."""
        cache = PrefixCache(blocks=2, event_gap=2)
        cache.insert((1, 2, 3))
        self.assertEqual(list(cache.held), [2, 3])
        self.assertEqual(cache.publish(), (1, 3))
        late = PrefixCache(blocks=2, event_lag_s=10.0)
        late.insert((1,))
        self.assertEqual(late.publish(), ())

    def test_load_report_lags(self) -> None:
        """Guards against load reports that are newer than configured."""
        history = LoadHistory(lag_s=0.05)
        history.record(running=1, queued=0)
        self.assertEqual(history.record(running=2, queued=0), (1, 0))
        time.sleep(0.06)
        self.assertEqual(history.record(running=3, queued=0), (2, 0))


class EngineTest(StandinTestCase):
    """Tests of a stand-in engine in the test process."""

    async def test_cached_prefix_is_faster(self) -> None:
        """Guards against a cache whose hits do not shorten the prefill."""
        host = await self.start_engine(prefill_tokens_per_second=320.0)
        client = EngineClient(session=self.session)
        body = build_body(BLOCK * 2, 1)
        seconds = []
        work_seconds = []
        for number in range(2):
            started = time.monotonic()
            spec = build_spec(host.address, body=body, request_id=str(number))
            with mock.patch.object(host, "pause", wraps=host.pause) as pause:
                usage = await collect(client.run(spec), [])
            seconds.append(time.monotonic() - started)
            work_seconds.append(sum(x.args[0] for x in pause.mock_calls))
        self.assertEqual(usage.cached_tokens, 2 * PREFIX_BLOCK_TOKENS)
        self.assertGreater(seconds[0], 0.1)
        # The work that the engine does, as a busy machine may add any delay.
        self.assertGreater(work_seconds[0], 0.1)
        self.assertLess(work_seconds[1], 0.05)

    async def test_requests_run_concurrently(self) -> None:
        """Guards against an engine that serves one request after another."""
        host = await self.start_engine(tokens_per_second=40.0)
        works = ConcurrentWorks(host, count=3)
        client = EngineClient(session=self.session)
        texts: list[list[str]] = [[], [], []]
        processor_started = time.process_time()
        with works.observe():
            await asyncio.gather(
                *(
                    collect(
                        client.run(
                            build_spec(host.address, request_id=str(number))
                        ),
                        found,
                    )
                    for number, found in enumerate(texts)
                )
            )
        self.assertEqual(len(works.tasks), 3)
        processor_seconds = time.process_time() - processor_started
        self.assertLess(works.longest_seconds() + processor_seconds, 0.5)
        for found in texts:
            self.assertEqual(found, reference_tokens("one two three", 8, 8))

    async def test_expired_order_is_refused(self) -> None:
        """Guards against executing an order that arrives after its expiry."""
        host = await self.start_engine()
        order = {
            "order_id": "1",
            "fencing_token": 1,
            "expires_at_ms": int(time.time() * 1000) - 1,
            "action": "load_version",
            "version": "2",
        }
        url = f"{host.address}/v1/orders"
        async with self.session.post(url, json=order) as answer:
            self.assertEqual(answer.status, 410)
        self.assertEqual(host.version, "1")


class FakeVm:
    """Receives target reports; acknowledges usage if `acknowledge` is set."""

    def __init__(self) -> None:
        self.received: list[tuple[str, dict[str, object]]] = []
        self.acknowledge = False
        app = web.Application()
        app.router.add_post("/v1/targets/{kind}", self.handle)
        self.runner = web.AppRunner(app)

    async def start(self, port: int = 0) -> str:
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        return f"127.0.0.1:{self.runner.addresses[0][1]}"

    async def handle(self, request: web.Request) -> web.Response:
        data = await request.json()
        self.received.append((request.match_info["kind"], data))
        usage = data.get("usage", []) if self.acknowledge else []
        return web.json_response({"acknowledged": usage})

    async def wait_for(self, kind: str, count: int = 1) -> dict[str, object]:
        """Returns the latest report once `count` of a kind arrived."""
        async with asyncio.timeout(5):
            while True:
                found = [data for name, data in self.received if name == kind]
                if len(found) >= count:
                    return found[-1]
                await asyncio.sleep(0.01)


class AnnouncementTest(StandinTestCase):
    """Tests of announcements and heartbeats to VMs."""

    async def start_vm(self) -> tuple[FakeVm, str]:
        vm = FakeVm()
        address = await vm.start()
        self.addAsyncCleanup(vm.runner.cleanup)
        return vm, address

    async def test_next_vm_when_one_does_not_answer(self) -> None:
        """Guards against losing a target when one VM fails."""
        first, first_address = await self.start_vm()
        second, second_address = await self.start_vm()
        await self.start_engine(
            announce_to=(first_address, second_address), heartbeat_s=0.02
        )
        before = await first.wait_for("heartbeat", 2)
        await first.runner.cleanup()
        after = await second.wait_for("heartbeat")
        kinds = [kind for kind, _ in second.received]
        self.assertEqual(kinds[0], "announce")
        self.assertGreater(after["sequence"], before["sequence"])
        self.assertEqual(after["incarnation"], before["incarnation"])

    async def test_restarted_vm_gets_an_announcement(self) -> None:
        """Guards against heartbeats to a VM that does not know the target."""
        vm, address = await self.start_vm()
        await self.start_engine(announce_to=(address,), heartbeat_s=0.02)
        await vm.wait_for("heartbeat")
        await vm.runner.cleanup()
        await asyncio.sleep(0.1)
        again = FakeVm()
        await again.start(int(address.split(":")[1]))
        self.addAsyncCleanup(again.runner.cleanup)
        await again.wait_for("heartbeat")
        self.assertEqual(again.received[0][0], "announce")

    async def test_usage_is_repeated_until_acknowledged(self) -> None:
        """Guards against losing usage with one heartbeat."""
        vm, address = await self.start_vm()
        host = await self.start_engine(announce_to=(address,), heartbeat_s=0.02)
        client = EngineClient(session=self.session)
        await collect(client.run(build_spec(host.address, account="acme")), [])
        vm.received.clear()
        for _ in range(2):
            statement = (await vm.wait_for("heartbeat", 3))["usage"][0]
            vm.received.clear()
        seconds = statement.pop("seconds")
        self.assertGreater(seconds, 0)
        self.assertEqual(
            statement,
            {
                "request_id": "r1",
                "attempt": 1,
                "account": "acme",
                "tokens_in": 4,
                "tokens_out": 8,
                "layers": 8,
            },
        )
        vm.acknowledge = True
        await vm.wait_for("heartbeat", 1)
        vm.received.clear()
        self.assertEqual((await vm.wait_for("heartbeat", 2))["usage"], [])


class ProcessTest(StandinTestCase):
    """Tests of stand-in targets as separate processes."""

    async def start_process(
        self, module: str, **values: object
    ) -> tuple[asyncio.subprocess.Process, str]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "target.yaml"
        values = {"target_id": "t", "data_centre": "dc-a", **values}
        path.write_text(yaml.safe_dump(values), encoding="utf-8")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"rattanroute.standins.{module}",
            "--config",
            str(path),
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
        )
        self.addAsyncCleanup(self.end_process, process)
        line = await asyncio.wait_for(process.stdout.readline(), 20)
        return process, line.decode().strip().removeprefix("listening address=")

    async def end_process(self, process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def test_graceful_stop_finishes_streams(self) -> None:
        """Guards against a graceful stop that interrupts a request."""
        vm = FakeVm()
        address = await vm.start()
        self.addAsyncCleanup(vm.runner.cleanup)
        process, base = await self.start_process(
            "engine", tokens_per_second=20.0, announce_to=[address]
        )
        client = EngineClient(session=self.session)
        texts: list[str] = []
        task = asyncio.create_task(collect(client.run(build_spec(base)), texts))
        while not texts:
            await asyncio.sleep(0.01)
        process.send_signal(signal.SIGTERM)
        report = await vm.wait_for("leave")
        self.assertTrue(report["leaving"])
        self.assertLess(len(texts), 8)
        await task
        self.assertEqual(texts, reference_tokens("one two three", 8, 8))
        self.assertEqual(await asyncio.wait_for(process.wait(), 10), 0)

    async def test_crash_marker_ends_the_process(self) -> None:
        """Guards against an injected crash that still sends a response."""
        process, base = await self.start_process(
            "engine", faults={"crash_marker": "poison"}
        )
        client = EngineClient(session=self.session)
        spec = build_spec(base, body=build_body("some poison here"))
        with self.assertRaises(AttemptError) as caught:
            await collect(client.run(spec), [])
        self.assertTrue(caught.exception.crashed)
        self.assertEqual(caught.exception.provenance, Provenance.UNKNOWN)
        self.assertNotEqual(await asyncio.wait_for(process.wait(), 10), 0)

    async def test_service_process_records(self) -> None:
        """Guards against a service that does not start as a process."""
        _, base = await self.start_process("service")
        url = f"{base}/operations/record"
        async with self.session.post(url, json={"weight": 1}) as answer:
            self.assertEqual(answer.status, 200)
        async with self.session.get(f"{base}/v1/executions") as answer:
            data = json.loads(await answer.read())
        self.assertEqual(data["executions"], [["", 1, "record", {"weight": 1}]])
