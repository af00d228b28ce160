"""Tests of the client that runs attempts on a chain of stages."""

import asyncio
import collections
import contextlib
import unittest
from unittest import mock

from aiohttp import web
import msgspec

from rattanroute.actions import Hop
from rattanroute.actions import ReplaceStage
from rattanroute.clients import stages
from rattanroute.clients.attempts import AttemptError
from rattanroute.clients.link_monitors import LinkMonitor
from rattanroute.clients.stages import PipelineClient
from rattanroute.clients.stages import StageFailure
from rattanroute.events import Provenance
from rattanroute.standins.engine import StandinEngine
from rattanroute.standins.reference_models import reference_tokens
from rattanroute.standins.settings import FaultSettings
from rattanroute.tests.standin_support import build_body
from rattanroute.tests.standin_support import build_engine_hop
from rattanroute.tests.standin_support import build_spec
from rattanroute.tests.standin_support import collect
from rattanroute.tests.standin_support import StandinTestCase

PROMPT = "one two three " * 40
PROMPT_TOKENS = 121
COUNT = 10
POSITIONS = PROMPT_TOKENS + COUNT - 1
EXPECTED = reference_tokens(PROMPT, 8, COUNT)
RANGES = {
    "first": (0, 2),
    "middle": (3, 5),
    "last": (6, 7),
    "spare-first": (0, 3),
    "spare-middle": (3, 5),
    "spare-last": (5, 7),
    "half-a": (2, 4),
    "half-b": (5, 6),
}


class PipelineTestCase(StandinTestCase):
    """Starts a chain of stages, spare stages and a client."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.hosts: dict[str, StandinEngine] = {}
        for name, (first, last) in RANGES.items():
            self.hosts[name] = await self.start_engine(
                name, first_layer=first, last_layer=last
            )
        self.client = PipelineClient(session=self.session)
        self.addAsyncCleanup(self.client.close)
        self.texts: list[str] = []
        self.failures: list[StageFailure] = []
        self.replacements: dict[str, tuple[Hop, ...]] = {}

    def hop(self, name: str, first: int, last: int) -> Hop:
        address = self.hosts[name].address
        return Hop(
            target_id=name, address=address, first_layer=first, last_layer=last
        )

    def build_action(
        self, failed: str, hops: tuple[Hop, ...], attempt: int = 2
    ) -> ReplaceStage:
        return ReplaceStage(
            request_id="r1", attempt=attempt, failed_target_id=failed, hops=hops
        )

    async def replace(self, failure: StageFailure) -> ReplaceStage | None:
        """Returns the test's replacement of a failed stage."""
        self.failures.append(failure)
        failed = failure.hop.target_id
        if failed not in self.replacements:
            return None
        return self.build_action(
            failed, self.replacements[failed], 2 + len(self.failures)
        )

    def open_run(
        self, count: int = COUNT, **changes: object
    ) -> stages.PipelineRun:
        chain = tuple(
            build_engine_hop(self.hosts[name])
            for name in ("first", "middle", "last")
        )
        return self.client.open(
            spec=build_spec(body=build_body(PROMPT, count), **changes),
            chain=chain,
            on_failure=self.replace,
        )

    def assert_complete(self) -> None:
        """Checks the answer and that no attempt ran a layer twice."""
        self.assertEqual(self.texts, EXPECTED)
        runs = collections.Counter(
            (name, entry)
            for name, host in self.hosts.items()
            for entry in host.executions
        )
        self.assertEqual(set(runs.values()), {1})
        self.assertEqual(self.client.journal_bytes, 0)

    def attempts_of(self, name: str) -> set[int]:
        return {entry[1] for entry in self.hosts[name].executions}


class PipelineRunTest(PipelineTestCase):
    """Runs chains with and without failing stages."""

    async def test_chain_equals_reference(self) -> None:
        """Guards against layers skipped, repeated or out of order."""
        usage = await collect(self.open_run().run(), self.texts)
        self.assert_complete()
        self.assertEqual(usage.tokens_out, COUNT)
        for name in ("first", "middle", "last"):
            runs = len(self.hosts[name].executions)
            first, last = RANGES[name]
            self.assertEqual(runs, POSITIONS * (last - first + 1))

    async def test_only_the_crashed_stage_is_rebuilt(self) -> None:
        """Guards against lost tokens and against work on other stages."""
        spares = {
            "first": (self.hop("spare-first", 0, 2),),
            "middle": (self.hop("spare-middle", 3, 5),),
            "last": (self.hop("spare-last", 6, 7),),
        }
        for name, hops in spares.items():
            for position in (0, 70, PROMPT_TOKENS, POSITIONS - 1):
                with self.subTest(name, position=position):
                    self.reset()
                    self.replacements = {name: hops}
                    faults = FaultSettings(close_at=position)
                    self.hosts[name].faults = faults
                    await collect(self.open_run().run(), self.texts)
                    self.assert_complete()
                    self.assertEqual(len(self.failures), 1)
                    for other in set(spares) - {name}:
                        self.assertEqual(self.attempts_of(other), {1})

    def reset(self) -> None:
        self.texts.clear()
        self.failures.clear()
        for host in self.hosts.values():
            host.faults = FaultSettings()
            host.executions.clear()

    async def test_wrong_answers_fail_the_stage(self) -> None:
        """Guards against wrong positions, attempts and repeated answers."""
        self.replacements = {"middle": (self.hop("spare-middle", 3, 5),)}
        for fault in (
            {"skip_at": 125},
            {"malformed_at": 125},
            {"wrong_request_id_at": 125},
            {"duplicate_at": 125},
        ):
            with self.subTest(fault):
                self.reset()
                self.hosts["middle"].faults = FaultSettings(**fault)
                await collect(self.open_run().run(), self.texts)
                self.assert_complete()
                kind = self.failures[0].kind
                self.assertEqual(kind, stages.FailureKind.PROTOCOL)

    async def test_one_stage_is_replaced_by_two(self) -> None:
        """Guards against gaps at the start of a new stage's journal."""
        self.replacements = {
            "middle": (self.hop("half-a", 3, 4), self.hop("half-b", 5, 5)),
            "half-b": (self.hop("spare-middle", 5, 5),),
        }
        self.hosts["middle"].faults = FaultSettings(close_at=124)
        self.hosts["half-b"].faults = FaultSettings(close_at=127)
        await collect(self.open_run().run(), self.texts)
        self.assert_complete()
        self.assertEqual(self.attempts_of("half-a"), {3})
        self.assertEqual(self.attempts_of("spare-middle"), {4})

    async def test_replacement_crashes_later(self) -> None:
        """Guards against a retry that adds a block to the journal twice."""
        self.replacements = {
            "middle": (self.hop("spare-middle", 3, 5),),
            "spare-middle": (
                self.hop("half-a", 3, 4),
                self.hop("half-b", 5, 5),
            ),
        }
        self.hosts["middle"].faults = FaultSettings(close_at=124)
        self.hosts["spare-middle"].faults = FaultSettings(close_at=127)
        await collect(self.open_run().run(), self.texts)
        self.assert_complete()

    async def test_replacement_crashes_during_replay(self) -> None:
        """Guards against keeping a partially rebuilt replacement."""
        self.replacements = {
            "middle": (self.hop("half-a", 3, 4), self.hop("half-b", 5, 5)),
            "half-a": (self.hop("spare-middle", 3, 4),),
        }
        self.hosts["middle"].faults = FaultSettings(close_at=124)
        self.hosts["half-a"].faults = FaultSettings(close_at=80)
        await collect(self.open_run().run(), self.texts)
        self.assert_complete()
        self.assertEqual(len(self.failures), 2)

    async def test_frozen_stage_times_out(self) -> None:
        """Guards against waiting for a stage that no longer answers."""
        self.replacements = {"middle": (self.hop("spare-middle", 3, 5),)}
        run = self.open_run(token_timeout_s=0.2)
        async with contextlib.aclosing(run.run()) as items:
            async for item in items:
                if isinstance(item, stages.TokenChunk):
                    self.texts.append(item.text)
                    self.hosts["middle"].faults.freeze = len(self.texts) == 3
        self.assert_complete()
        kind = self.failures[0].kind
        self.assertEqual(kind, stages.FailureKind.TIMEOUT)

    async def test_silent_stage_without_a_spare_goes_on(self) -> None:
        """Guards against a begun answer that a pause of one stage ends."""
        run = self.open_run(token_timeout_s=0.1)
        faults = self.hosts["middle"].faults
        async with asyncio.timeout(5), contextlib.aclosing(run.run()) as items:
            async for item in items:
                if isinstance(item, stages.TokenChunk):
                    self.texts.append(item.text)
                    if len(self.texts) == 3:
                        faults.freeze = True
                        asyncio.get_running_loop().call_later(
                            0.5, setattr, faults, "freeze", False
                        )
        self.assert_complete()
        self.assertEqual(self.attempts_of("middle"), {1})
        kinds = {failure.kind for failure in self.failures}
        self.assertEqual(kinds, {stages.FailureKind.TIMEOUT})

    async def test_silent_stage_is_replaced_when_a_spare_appears(self) -> None:
        """Guards against waiting until the deadline despite a spare."""
        run = self.open_run(token_timeout_s=0.1)
        async with asyncio.timeout(5), contextlib.aclosing(run.run()) as items:
            async for item in items:
                if isinstance(item, stages.TokenChunk):
                    self.texts.append(item.text)
                    if len(self.texts) == 3:
                        self.hosts["middle"].faults.freeze = True
                        asyncio.get_running_loop().call_later(
                            0.4,
                            self.replacements.update,
                            {"middle": (self.hop("spare-middle", 3, 5),)},
                        )
        self.assert_complete()
        self.assertGreater(len(self.failures), 1)

    async def test_silent_stage_ends_the_attempt_at_the_deadline(self) -> None:
        """Guards against a wait without a bound."""
        run = self.open_run(token_timeout_s=0.1, deadline_s=1.0)
        with self.assertRaises(AttemptError) as caught:
            async with (
                asyncio.timeout(5),
                contextlib.aclosing(run.run()) as items,
            ):
                async for _ in items:
                    self.hosts["middle"].faults.freeze = True
        self.assertEqual(caught.exception.provenance, Provenance.STARTED)
        self.assertEqual(caught.exception.peer, "middle")

    async def test_cache_of_a_leaving_stage_is_copied(self) -> None:
        """Guards against a replay when the cache can be copied."""
        run = self.open_run()
        hops = (self.hop("half-a", 3, 4), self.hop("half-b", 5, 5))
        async with contextlib.aclosing(run.run()) as items:
            async for item in items:
                if isinstance(item, stages.TokenChunk):
                    self.texts.append(item.text)
                    if len(self.texts) == 3:
                        run.replace_stage(self.build_action("middle", hops))
        self.assert_complete()
        self.assertFalse(self.failures)
        first = min(entry[2] for entry in self.hosts["half-b"].executions)
        self.assertEqual(first, PROMPT_TOKENS + 2)

    async def test_failed_copy_falls_back_to_replay(self) -> None:
        """Guards against a replacement with an incomplete cache."""
        run = self.open_run()
        hops = (self.hop("half-a", 3, 4), self.hop("half-b", 5, 5))
        copy = stages.copy_cache

        async def copy_first(**values: object) -> bool:
            done = await copy(**values)
            return done and values["hop"].target_id == "half-a"

        with mock.patch.object(stages, "copy_cache", copy_first):
            async with contextlib.aclosing(run.run()) as items:
                async for item in items:
                    if isinstance(item, stages.TokenChunk):
                        self.texts.append(item.text)
                        if len(self.texts) == 3:
                            run.replace_stage(self.build_action("middle", hops))
        self.assert_complete()
        self.assertFalse(self.failures)

    async def test_full_journal_recomputes_from_tokens(self) -> None:
        """Guards against unbounded memory and against a gap at the limit."""
        self.replacements = {"middle": (self.hop("spare-middle", 3, 5),)}
        self.hosts["middle"].faults = FaultSettings(close_at=126)
        with mock.patch.object(stages, "MAX_JOURNAL_BYTES", 1000):
            await collect(self.open_run().run(), self.texts)
        self.assert_complete()
        self.assertEqual(self.attempts_of("first"), {1, 3})

    async def test_copied_stage_crashes_later(self) -> None:
        """Guards against replaying a journal that lacks its first positions."""
        self.replacements = {"half-b": (self.hop("spare-middle", 5, 5),)}
        self.hosts["half-b"].faults = FaultSettings(close_at=126)
        run = self.open_run()
        hops = (self.hop("half-a", 3, 4), self.hop("half-b", 5, 5))
        async with contextlib.aclosing(run.run()) as items:
            async for item in items:
                if isinstance(item, stages.TokenChunk):
                    self.texts.append(item.text)
                    if len(self.texts) == 2:
                        run.replace_stage(self.build_action("middle", hops))
        self.assert_complete()

    async def test_no_replacement_fails_the_attempt(self) -> None:
        """Guards against a wrong provenance of a failed attempt."""
        cases = (
            (FaultSettings(refuse=True), "first", Provenance.NOT_DISPATCHED),
            (FaultSettings(close_at=0), "last", Provenance.UNKNOWN),
            (FaultSettings(close_at=123), "last", Provenance.STARTED),
        )
        for faults, name, provenance in cases:
            with self.subTest(provenance):
                self.reset()
                self.hosts[name].faults = faults
                with self.assertRaises(AttemptError) as caught:
                    await collect(self.open_run().run(), self.texts)
                error = caught.exception
                self.assertEqual(error.provenance, provenance)
                self.assertEqual(error.peer, name)
                self.assertEqual(error.tokens_out, len(self.texts))
                self.assertEqual(self.texts, EXPECTED[: len(self.texts)])

    async def test_repeated_failures_end_the_attempt(self) -> None:
        """Guards against a request that uses up any number of spares."""
        spare = (self.hop("spare-middle", 3, 5),)
        self.replacements = {"middle": spare, "spare-middle": spare}
        for name in ("middle", "spare-middle"):
            self.hosts[name].faults = FaultSettings(close_at=0)
        with self.assertRaises(AttemptError):
            await collect(self.open_run().run(), self.texts)
        self.assertEqual(len(self.failures), stages.MAX_RECOVERIES)

    async def test_replacement_must_cover_the_layers(self) -> None:
        """Guards against a chain that skips or repeats a layer."""
        self.hosts["middle"].faults = FaultSettings(close_at=124)
        for first, last in ((3, 4), (4, 5), (2, 5)):
            with self.subTest(layers=(first, last)):
                hop = self.hop("spare-middle", first, last)
                self.replacements = {"middle": (hop,)}
                with self.assertRaisesRegex(AttemptError, "differ"):
                    await collect(self.open_run().run(), self.texts)

    async def test_attempt_number_is_used_once(self) -> None:
        """Guards against late answers taken for the current attempt's."""
        run = self.open_run()
        hops = (self.hop("spare-middle", 3, 5),)
        run.replace_stage(self.build_action("middle", hops, attempt=1))
        with self.assertRaisesRegex(AttemptError, "attempt 1 twice"):
            await collect(run.run(), self.texts)

    async def test_closing_frees_the_stages(self) -> None:
        """Guards against stages that stay busy after a cancellation."""
        async with contextlib.aclosing(self.open_run().run()) as items:
            await anext(items)
        async with asyncio.timeout(2):
            while any(host.slots.running for host in self.hosts.values()):
                await asyncio.sleep(0.01)
        self.assertEqual(self.client.journal_bytes, 0)

    async def test_degraded_link_is_reported(self) -> None:
        """Guards against a request that stays on a link that became slow."""
        self.replacements = {"middle": (self.hop("spare-middle", 3, 5),)}
        run = self.open_run(count=30)
        async with contextlib.aclosing(run.run()) as items:
            async for item in items:
                if isinstance(item, stages.TokenChunk):
                    self.texts.append(item.text)
                    if len(self.texts) == 12:
                        self.hosts["middle"].faults.slow_factor = 500
        self.assertEqual(self.texts, reference_tokens(PROMPT, 8, 30))
        kinds = [failure.kind for failure in self.failures]
        self.assertEqual(kinds, [stages.FailureKind.DEGRADED])
        self.assertTrue(self.hosts["spare-middle"].executions)


class LateAnswerTest(StandinTestCase):
    """Runs a target that answers for an earlier attempt first."""

    async def serve(self, layers: tuple[int, int]) -> str:
        async def handle(request: web.Request) -> web.WebSocketResponse:
            socket = web.WebSocketResponse()
            await socket.prepare(request)
            attempt = int(request.query["attempt"])
            async for message in socket:
                frame = msgspec.msgpack.decode(message.data)
                for number, text in ((attempt - 1, b"old"), (attempt, b"new")):
                    answer = {
                        "position": frame["position"],
                        "attempt": number,
                        "layers": layers,
                        "outputs": [text] * len(frame["inputs"]),
                    }
                    data = msgspec.msgpack.encode(answer)
                    await socket.send_bytes(data)
            return socket

        app = web.Application()
        app.router.add_get("/v1/stages/{request_id}", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return f"http://127.0.0.1:{runner.addresses[0][1]}"

    async def run_chain(self, layers: tuple[int, int]) -> list[str]:
        async def give_up(failure: StageFailure) -> None:
            return None

        hop = Hop(target_id="t", address=await self.serve(layers), last_layer=7)
        client = PipelineClient(session=self.session)
        self.addAsyncCleanup(client.close)
        run = client.open(
            spec=build_spec(attempt=2), chain=(hop,), on_failure=give_up
        )
        texts: list[str] = []
        await collect(run.run(), texts)
        return texts

    async def test_late_answer_is_dropped(self) -> None:
        """Guards against a token of an earlier attempt."""
        self.assertEqual(await self.run_chain((0, 7)), ["new"] * 8)

    async def test_wrong_layers_fail(self) -> None:
        """Guards against an engine that ran other layers than requested."""
        with self.assertRaisesRegex(AttemptError, "layers"):
            await self.run_chain((0, 6))


class LinkMonitorTest(unittest.TestCase):
    """Detects slow links."""

    def test_single_pauses_are_not_a_degradation(self) -> None:
        """Guards against replacing a stage for one slow position."""
        monitor = LinkMonitor()
        for number in range(100):
            monitor.record(0.5 if number % 4 == 0 else 0.01)
            self.assertFalse(monitor.degraded)

    def test_mean_excludes_slow_positions(self) -> None:
        """Guards against a mean raised by the slow positions themselves."""
        monitor = LinkMonitor()
        for _ in range(10):
            monitor.record(0.01)
        for _ in range(5):
            self.assertFalse(monitor.degraded)
            monitor.record(0.1)
        self.assertTrue(monitor.degraded)
