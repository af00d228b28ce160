"""Tests of sessions of chat completions."""

import asyncio
from collections.abc import AsyncIterator
import random
import time
import unittest

from rattanroute.actions import Action
from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.actions import Finish
from rattanroute.actions import Hop
from rattanroute.clients.attempts import AttemptError
from rattanroute.clients.attempts import AttemptSpec
from rattanroute.clients.attempts import TokenChunk
from rattanroute.clients.attempts import Usage
from rattanroute.events import CallerDisconnected
from rattanroute.events import Event
from rattanroute.events import Provenance
from rattanroute.metrics import MetricsRegistry
from rattanroute.requests.attempt_runs import AttemptUsage
from rattanroute.requests.chat_sessions import ChatSession
from rattanroute.requests.core_systems import CoreSettings
from rattanroute.requests.cores import RequestCore
from rattanroute.requests.sessions import SessionRegistry
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestTable
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.support import build_report
from rattanroute.tests.support import build_request
from rattanroute.traces import TraceRecorder

TOKENS = [" a", " b", " c", " d"]


class FakeEngines:
    """Engines that yield the tokens, optionally with delays and failures.

    Attributes:
        delays: Seconds before each token, by target.
        failures: Index of the token at which a target fails, by target.
        running: Targets that run an attempt.
        specs: Parameters of the latest attempt, by target.
        gate: Event that must be set before an attempt completes.
    """

    def __init__(self) -> None:
        self.delays: dict[str, float] = {}
        self.failures: dict[str, int] = {}
        self.running: set[str] = set()
        self.specs: dict[str, AttemptSpec] = {}
        self.gate = asyncio.Event()
        self.gate.set()

    async def run(self, spec: AttemptSpec) -> AsyncIterator[object]:
        """Runs an attempt."""
        name = spec.target_id
        self.specs[name] = spec
        self.running.add(name)
        try:
            for index in range(len(spec.resume_tokens), len(TOKENS)):
                await asyncio.sleep(self.delays.get(name, 0.0))
                if self.failures.get(name) == index:
                    raise AttemptError(
                        step="read",
                        peer=name,
                        message="broke",
                        provenance=Provenance.STARTED,
                    )
                yield TokenChunk(index=index, text=TOKENS[index])
            await self.gate.wait()
            yield Usage(tokens_in=3, tokens_out=len(TOKENS))
        finally:
            self.running.discard(name)


class FakeHost:
    """A daemon with the real core and fake engines."""

    def __init__(self) -> None:
        self.engines = FakeEngines()
        self.metrics = MetricsRegistry()
        self.traces = TraceRecorder(vm_id="vm-1", file=None, otlp_endpoint="")
        self.sessions = SessionRegistry()
        self.usages: list[AttemptUsage] = []
        self.events: list[Event] = []
        self.targets = TargetTable()
        self.core = RequestCore(
            vm_id="vm-1",
            data_centre="dc-a",
            targets=self.targets,
            requests=RequestTable(),
            configuration=Configuration,
            settings=CoreSettings(),
            random=random.Random(1),
        )
        for name in ("t1", "t2"):
            self.targets.record(
                report=build_report(name),
                observer="vm-1",
                received_at=time.monotonic(),
            )

    def handle(self, event: Event) -> None:
        """Passes an event to the core."""
        self.events.append(event)
        self.deliver(self.core.handle(event, now=time.monotonic()))

    def deliver(self, actions: list[Action]) -> None:
        """Passes actions to the sessions."""
        for action in actions:
            self.sessions.deliver(action)

    def open_account(self, request: Request, attempt: int) -> str:
        """Returns an account tag."""
        return f"{request.request_id}/{attempt}"

    def record_usage(self, usage: AttemptUsage) -> None:
        """Stores a usage record."""
        self.usages.append(usage)


class ChatSessionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost, repeated or mixed tokens and leaked slots."""

    async def asyncSetUp(self) -> None:
        self.host = FakeHost()
        self.written: list[str] = []

    def open_session(self, **changes: object) -> ChatSession:
        """Builds a session with a deadline in 10 s."""
        now = time.monotonic()
        request = build_request(arrived_at=now, deadline=now + 10.0, **changes)
        return ChatSession(
            host=self.host,
            request=request,
            span=self.host.traces.start("entry", request_id="r1"),
            body={"messages": []},
            write=self.write,
        )

    async def write(self, text: str) -> None:
        """Records a token of a stream."""
        self.written.append(text)

    def in_flight(self) -> int:
        """Returns the number of attempts that the core counts as running."""
        return sum(row.in_flight for row in self.host.targets)

    async def test_stream_resumes_without_a_gap_or_a_repeat(self) -> None:
        self.host.engines.failures = {"t1": 2, "t2": 3}
        session = self.open_session(stream=True)
        run = asyncio.create_task(session.run())
        await asyncio.sleep(0.05)
        self.host.engines.failures.clear()
        while not run.done():
            now = time.monotonic()
            self.host.deliver(self.host.core.tick(now=now))
            await asyncio.sleep(0.01)
        await run
        self.assertEqual(self.written, TOKENS)
        self.assertEqual(sum(u.tokens_out for u in self.host.usages), 4)

    async def test_faster_hedge_answers_and_the_late_attempt_is_cancelled(self):
        """Guards against mixed answers and against an ignored hedge."""
        session = self.open_session()
        run = asyncio.create_task(session.run())
        await asyncio.sleep(0)
        self.host.engines.delays = {"t1": 0.2, "t2": 0.2}
        await asyncio.sleep(0.05)
        first = session.request.attempts[0].chain[0].target_id
        other = "t2" if first == "t1" else "t1"
        self.host.engines.delays[first] = 5.0
        self.host.engines.delays[other] = 0.01
        report = self.host.targets.get(other).report
        hop = Hop(target_id=other, address=report.address, last_layer=7)
        self.host.deliver(
            self.host.core.dispatch(session.request, (hop,), time.monotonic())
        )
        await asyncio.wait_for(run, 2.0)
        await asyncio.sleep(0.05)
        self.assertEqual(session.tokens, TOKENS)
        self.assertEqual(self.host.engines.running, set())
        self.assertEqual(self.in_flight(), 0)

    async def test_both_attempts_end_in_one_iteration(self) -> None:
        """Guards against the tokens of two complete attempts in one answer."""
        self.host.engines.gate.clear()
        session = self.open_session()
        run = asyncio.create_task(session.run())
        await asyncio.sleep(0)
        first = session.request.attempts[0].chain[0].target_id
        other = "t2" if first == "t1" else "t1"
        hop = Hop(target_id=other, address="a", last_layer=7)
        self.host.deliver(
            self.host.core.dispatch(session.request, (hop,), time.monotonic())
        )
        await asyncio.sleep(0.05)
        self.assertEqual(self.host.engines.running, {"t1", "t2"})
        self.host.engines.gate.set()
        await asyncio.wait_for(run, 2.0)
        self.assertEqual(session.tokens, TOKENS)

    async def test_broken_connection_releases_the_slot(self) -> None:
        """Guards against slots that stay in use after a failed write."""

        async def fail(_: str) -> None:
            raise ConnectionResetError

        session = self.open_session(stream=True)
        session.write = fail
        with self.assertRaises(ConnectionResetError):
            await session.run()
        self.assertEqual(self.in_flight(), 0)
        self.assertIsInstance(self.host.events[-1], CallerDisconnected)
        self.assertEqual(self.host.usages[0].outcome, "cancelled")

    async def test_attempt_cancelled_before_its_dispatch_never_runs(self):
        """Guards against running attempts that the core no longer counts."""
        session = self.open_session()
        dispatch = Dispatch(
            request_id="r1",
            attempt=7,
            chain=(Hop(target_id="t1", address="a"),),
        )
        session.receive(dispatch)
        session.receive(CancelAttempt(request_id="r1", attempt=7))
        session.receive(Finish(request_id="r1"))
        action = await session.inbox.get()
        await session.execute_action(action)
        self.assertEqual(self.host.engines.specs, {})
