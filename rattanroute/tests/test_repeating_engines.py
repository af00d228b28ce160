"""Tests of attempts on engines that answer some requests twice."""

import asyncio
import time

import msgspec

from rattanroute.actions import Hop
from rattanroute.clients.attempts import AttemptError
from rattanroute.clients.engines import EngineClient
from rattanroute.clients.stage_sockets import copy_cache
from rattanroute.clients.stage_sockets import StageSocket
from rattanroute.requests.sessions import describe_rejection
from rattanroute.tests.repeating_engines import build_answer
from rattanroute.tests.repeating_engines import build_cache
from rattanroute.tests.repeating_engines import build_engine_answer
from rattanroute.tests.repeating_engines import build_upgrade
from rattanroute.tests.repeating_engines import EngineRequest
from rattanroute.tests.repeating_engines import RandomEngine
from rattanroute.tests.repeating_engines import RepeatingEngine
from rattanroute.tests.repeating_engines import Script
from rattanroute.tests.repeating_engines import ScriptedAnswer
from rattanroute.tests.repeating_engines import STREAM_TOKENS
from rattanroute.tests.standin_support import build_spec
from rattanroute.tests.standin_support import collect
from rattanroute.tests.standin_support import StandinTestCase

POSITION = 4
SEEDS = range(1, 4)
REQUESTS = 100
CONCURRENT_CALLERS = 4
# Longer than the engine's wait before a second answer on an idle connection.
PAUSE_SECONDS = 0.03
CONNECT_SECONDS = 2.0


class RepeatingEngineTestCase(StandinTestCase):
    """Serves scripts on loopback, over the daemon's kind of session."""

    async def serve(self, script: Script) -> RepeatingEngine:
        engine = RepeatingEngine(script)
        await engine.start()
        self.addCleanup(engine.close)
        return engine

    async def try_run(
        self, engine: RepeatingEngine, request_id: str
    ) -> tuple[AttemptError | None, list[str]]:
        """Runs an attempt; returns its error if it fails, and its tokens."""
        texts: list[str] = []
        spec = build_spec(engine.address, request_id=request_id)
        client = EngineClient(session=self.session)
        try:
            await collect(client.run(spec), texts)
        except AttemptError as error:
            return error, texts
        return None, texts


def expected_tokens(request_id: str) -> list[str]:
    """Returns the tokens of a request's answer."""
    return [f" {request_id}.{index}" for index in range(STREAM_TOKENS)]


def build_hop(engine: RepeatingEngine) -> Hop:
    """Builds a hop to an engine."""
    return Hop(target_id="e1", address=engine.address, last_layer=7)


class RepeatedAnswerTest(RepeatingEngineTestCase):
    """Guards against an answer taken for that to a later request."""

    async def run_behind(
        self, first: int, second: int, *, idle: bool
    ) -> tuple[AttemptError | None, list[str]]:
        """Runs a sound request after one that was answered twice."""

        def script(request: EngineRequest) -> ScriptedAnswer:
            if request.request_id == "r1":
                return ScriptedAnswer(first=build_engine_answer(request, 200))
            return ScriptedAnswer(
                first=build_engine_answer(request, first),
                second=build_engine_answer(request, second),
                idle=idle,
            )

        engine = await self.serve(script)
        await self.try_run(engine, "r0")
        if idle:
            await asyncio.sleep(PAUSE_SECONDS)
        return await self.try_run(engine, "r1")

    async def test_second_answers(self) -> None:
        """Guards against a sound request that a second answer ends."""
        cases = [
            (first, second, idle)
            for first in (200, 503)
            for second in (200, 400, 429, 500, 503)
            for idle in (False, True)
        ]
        for first, second, idle in cases:
            with self.subTest(first=first, second=second, idle=idle):
                error, texts = await self.run_behind(first, second, idle=idle)
                self.assertIsNone(error)
                self.assertEqual(texts, expected_tokens("r1"))

    async def test_rejection_of_another_request(self) -> None:
        """Guards against a caller who is sent the refusal of another one."""
        error, _ = await self.run_behind(400, 400, idle=False)
        refusal = describe_rejection(error) if error is not None else None
        self.assertIsNone(refusal)

    async def test_many_callers(self) -> None:
        """Guards against an outcome that is not the engine's own."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                script = RandomEngine(seed)
                engine = await self.serve(script)
                results = await self.run_callers(engine)
                self.assertEqual(results, script.statuses)

    async def run_callers(self, engine: RepeatingEngine) -> dict[str, int]:
        """Runs many requests; returns the status that each one got."""
        results: dict[str, int] = {}

        async def call(caller: int) -> None:
            for number in range(REQUESTS // CONCURRENT_CALLERS):
                name = f"r{caller}-{number}"
                error, texts = await self.try_run(engine, name)
                results[name] = 200 if error is None else error.status
                if error is None:
                    self.assertEqual(texts, expected_tokens(name))

        await asyncio.gather(*map(call, range(CONCURRENT_CALLERS)))
        return results


class RepeatedStageAnswerTest(RepeatingEngineTestCase):
    """Guards stages and copies of caches against second answers."""

    async def test_stage_after_a_refused_request(self) -> None:
        """Guards against a stage that is replaced for an old refusal."""

        def script(request: EngineRequest) -> ScriptedAnswer:
            if request.method == "GET":
                return ScriptedAnswer(first=build_upgrade(request))
            refusal = build_engine_answer(request, 503)
            return ScriptedAnswer(first=refusal, second=refusal)

        engine = await self.serve(script)
        await self.try_run(engine, "r0")
        socket = await StageSocket.connect(
            session=self.session,
            spec=build_spec(request_id="r1"),
            hop=build_hop(engine),
            attempt=1,
            position=0,
            until=time.monotonic() + CONNECT_SECONDS,
        )
        await socket.close()

    async def copy_caches(self, get: Script, put: Script) -> list[bool]:
        """Copies the caches of two requests; returns which were copied."""
        self.source = await self.serve(get)
        self.destination = await self.serve(put)
        return [
            await copy_cache(
                session=self.session,
                request_id=request_id,
                old=build_hop(self.source),
                hop=build_hop(self.destination),
                attempt=1,
                position=POSITION,
            )
            for request_id in ("r0", "r1")
        ]

    async def test_cache_of_another_request(self) -> None:
        """Guards against tokens made from another request's cache."""

        def get(request: EngineRequest) -> ScriptedAnswer:
            cache = build_cache(request, POSITION)
            return ScriptedAnswer(first=cache, second=cache)

        def put(request: EngineRequest) -> ScriptedAnswer:
            return ScriptedAnswer(first=build_answer(200))

        self.assertEqual(await self.copy_caches(get, put), [True, True])
        found = [
            (request.request_id, msgspec.msgpack.decode(request.body))
            for request in self.destination.requests
        ]
        self.assertEqual(
            [(name, cache["request"]) for name, cache in found],
            [("r0", "r0"), ("r1", "r1")],
        )

    async def test_cache_that_was_not_stored(self) -> None:
        """Guards against a stage that starts without its cache."""

        def get(request: EngineRequest) -> ScriptedAnswer:
            return ScriptedAnswer(first=build_cache(request, POSITION))

        def put(request: EngineRequest) -> ScriptedAnswer:
            stored = build_answer(200)
            if request.request_id == "r0":
                return ScriptedAnswer(first=stored, second=stored)
            return ScriptedAnswer(first=build_answer(507))

        self.assertEqual(await self.copy_caches(get, put), [True, False])
