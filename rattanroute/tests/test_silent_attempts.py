"""Tests of attempts whose target is silent for a while but still works."""

import asyncio
import time
import unittest
from unittest import mock

from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.actions import Finish
from rattanroute.actions import Refuse
from rattanroute.actions import ReplaceStage
from rattanroute.clients.engines import EngineClient
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptStarted
from rattanroute.events import AttemptSucceeded
from rattanroute.events import AttemptSuspected
from rattanroute.events import Provenance
from rattanroute.events import RequestArrived
from rattanroute.events import StageDegraded
from rattanroute.requests import chat_sessions
from rattanroute.requests.attempt_runs import AttemptRun
from rattanroute.requests.chat_sessions import ChatSession
from rattanroute.requests.cores import RequestCore
from rattanroute.requests.refusals import RequestRefusedError
from rattanroute.standins.engine import StandinEngine
from rattanroute.standins.reference_models import reference_tokens
from rattanroute.standins.settings import FaultSettings
from rattanroute.systems.pipelines import PipelinePlanner
from rattanroute.tables.links import LinkTable
from rattanroute.tables.targets import TargetHealth
from rattanroute.tests.standin_support import build_body
from rattanroute.tests.standin_support import StandinTestCase
from rattanroute.tests.support import build_core
from rattanroute.tests.support import build_report
from rattanroute.tests.support import build_request
from rattanroute.tests.test_chat_sessions import FakeHost

TOKENS = 12
PROMPT = "one two three"
EXPECTED = reference_tokens(PROMPT, 8, TOKENS)
TOKEN_TIMEOUT_SECONDS = 0.1
# Several times the timeout.
SILENCE_SECONDS = 0.5
LIMIT_SECONDS = 5.0
# Longer than the time within which an attempt must start.
UNSTARTED_SECONDS = 3.5
# Longer than the age at which a report is no longer used.
LATE_REPORT_SECONDS = 3.0


class SilentStreamTest(StandinTestCase):
    """Guards against begun answers that end because their engine pauses."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.host = FakeHost()
        for name in ("t1", "t2"):
            self.host.targets.remove(name)
        self.host.engines = EngineClient(session=self.session)
        self.engines: dict[str, StandinEngine] = {}
        self.written: list[str] = []
        self.freeze_after: dict[int, str] = {}
        patch = mock.patch.object(
            chat_sessions, "TOKEN_TIMEOUT_SECONDS", TOKEN_TIMEOUT_SECONDS
        )
        patch.start()
        self.addCleanup(patch.stop)

    async def add_engine(self, name: str) -> None:
        """Starts an engine and records its report."""
        engine = await self.start_engine(name, tokens_per_second=100.0)
        self.engines[name] = engine
        self.host.targets.record(
            report=build_report(name, address=engine.address),
            observer="vm-1",
            received_at=time.monotonic() + LIMIT_SECONDS,
        )

    def set_frozen(self, name: str, frozen: bool) -> None:
        """Freezes or thaws an engine; its connections stay open."""
        self.engines[name].faults = FaultSettings(freeze=frozen)

    async def write(self, text: str) -> None:
        """Records a token; freezes an engine after some of them."""
        self.written.append(text)
        name = self.freeze_after.pop(len(self.written), None)
        if name is not None:
            self.set_frozen(name, True)

    def open_session(self, **changes: object) -> ChatSession:
        """Builds the session of a request."""
        now = time.monotonic()
        values: dict[str, object] = {"stream": True, "max_tokens": TOKENS}
        values.update(changes)
        return ChatSession(
            host=self.host,
            request=build_request(
                arrived_at=now, deadline=now + LIMIT_SECONDS, **values
            ),
            span=self.host.traces.start("entry", request_id="r1"),
            body=build_body(PROMPT, TOKENS),
            write=self.write,
        )

    async def run_session(self, session: ChatSession) -> None:
        """Runs a session beside the ticks of the core."""
        run = asyncio.create_task(session.run())
        async with asyncio.timeout(LIMIT_SECONDS):
            while not run.done():
                now = time.monotonic()
                self.host.deliver(self.host.core.tick(now=now))
                await asyncio.sleep(0.01)
        await run

    def thaw_later(self, name: str) -> None:
        """Thaws an engine after the silence."""
        asyncio.get_running_loop().call_later(
            SILENCE_SECONDS, self.set_frozen, name, False
        )

    def in_flight(self) -> int:
        """Returns the number of attempts that the core counts as running."""
        return sum(row.in_flight for row in self.host.targets)

    async def test_only_engine_pauses(self) -> None:
        """Guards against a pause that uses up the attempts of a stream."""
        await self.add_engine("t1")
        self.freeze_after = {3: "t1"}
        self.thaw_later("t1")
        session = self.open_session()
        await self.run_session(session)
        self.assertEqual(self.written, EXPECTED)
        self.assertEqual(len(session.request.attempts), 1)
        self.assertEqual(self.in_flight(), 0)

    async def test_no_budget_for_another_attempt(self) -> None:
        """Guards against pauses on a busy machine that end many streams."""
        for name in ("t1", "t2"):
            await self.add_engine(name)
        self.host.core.retries.budget.tokens = 0.0
        session = self.open_session()

        async def freeze(text: str) -> None:
            self.written.append(text)
            if len(self.written) == 3:
                name = session.request.attempts[0].chain[0].target_id
                self.set_frozen(name, True)
                self.thaw_later(name)

        session.write = freeze
        await self.run_session(session)
        self.assertEqual(self.written, EXPECTED)
        self.assertEqual(len(session.request.attempts), 1)

    async def test_replacement_is_silent_too(self) -> None:
        """Guards against closing the first engine before the second works."""
        for name in ("t1", "t2"):
            await self.add_engine(name)
        session = self.open_session()

        async def freeze(text: str) -> None:
            self.written.append(text)
            if len(self.written) == 3:
                first = session.request.attempts[0].chain[0].target_id
                for name in self.engines:
                    self.set_frozen(name, True)
                self.thaw_later(first)

        session.write = freeze
        await self.run_session(session)
        self.assertEqual(self.written, EXPECTED)
        self.assertEqual(len(session.request.attempts), 2)
        self.assertEqual(self.in_flight(), 0)

    async def test_replacement_continues_and_ends_the_silent_attempt(
        self,
    ) -> None:
        """Guards against mixed tokens and attempts that are left over."""
        for name in ("t1", "t2"):
            await self.add_engine(name)
        session = self.open_session()

        async def freeze(text: str) -> None:
            self.written.append(text)
            if len(self.written) == 3:
                first = session.request.attempts[0].chain[0].target_id
                self.set_frozen(first, True)
                self.thaw_later(first)

        session.write = freeze
        await self.run_session(session)
        await asyncio.sleep(SILENCE_SECONDS)
        self.assertEqual(self.written, EXPECTED)
        self.assertEqual(len(session.request.attempts), 2)
        self.assertEqual(self.in_flight(), 0)
        self.assertEqual(
            sum(usage.tokens_out for usage in self.host.usages), TOKENS
        )

    async def test_whole_answer_continues_from_the_silent_attempt(self) -> None:
        """Guards against tokens that are generated again after a silence."""
        for name in ("t1", "t2"):
            await self.add_engine(name)
        session = self.open_session(stream=False)
        buffer_token = session.buffer_token

        async def freeze(run: AttemptRun, text: str) -> None:
            await buffer_token(run, text)
            if run.attempt == 1 and len(run.tokens) == 3:
                self.set_frozen(run.first_target_id, True)

        session.buffer_token = freeze
        await self.run_session(session)
        self.assertEqual(session.tokens, EXPECTED)
        self.assertEqual(len(session.request.attempts), 2)
        self.assertEqual(
            sum(usage.tokens_out for usage in self.host.usages), TOKENS
        )
        self.assertEqual(self.in_flight(), 0)

    async def test_refusal_after_the_deadline_is_partial(self) -> None:
        """Guards against a wrong statement about a stream that never ends."""
        await self.add_engine("t1")
        self.freeze_after = {3: "t1"}
        session = self.open_session()
        session.request.deadline = time.monotonic() + 1.0
        with self.assertRaises(RequestRefusedError) as caught:
            await self.run_session(session)
        self.assertEqual(caught.exception.refusal.type, "deadline_exceeded")
        self.assertEqual(caught.exception.refusal.execution.value, "partial")


class LateReportTest(unittest.TestCase):
    """Guards against begun streams that end because reports are late."""

    def fail_begun(self, **changes: object) -> tuple[RequestCore, list]:
        """Fails an engine while the report of the other one is late."""
        core = build_core(build_report("t1"), build_report("t2"))
        request = build_request(stream=True, **changes)
        [first] = core.handle(RequestArrived(request=request), now=0.0)
        core.handle(AttemptStarted(request_id="r1", attempt=1), now=0.5)
        event = AttemptFailed(
            request_id="r1",
            attempt=1,
            target_id=first.chain[0].target_id,
            provenance=Provenance.STARTED,
            crashed=True,
            tokens_out=5,
        )
        self.other = ({"t1", "t2"} - {event.target_id}).pop()
        return core, core.handle(event, now=LATE_REPORT_SECONDS)

    def test_stream_continues_when_the_report_arrives(self) -> None:
        core, actions = self.fail_begun()
        self.assertEqual(actions, [])
        self.assertEqual(core.tick(now=LATE_REPORT_SECONDS + 2.0), [])
        core.targets.record(
            report=build_report(self.other, sequence=1),
            observer="vm-1",
            received_at=LATE_REPORT_SECONDS + 2.5,
        )
        [second] = core.tick(now=LATE_REPORT_SECONDS + 3.0)
        self.assertEqual(second.chain[0].target_id, self.other)

    def test_stream_in_the_queue_continues(self) -> None:
        """Guards against the shorter patience with waiting requests."""
        core = build_core(build_report("t1", slots=1))
        request = build_request(stream=True)
        core.handle(RequestArrived(request=request), now=0.0)
        core.handle(AttemptStarted(request_id="r1", attempt=1), now=0.5)
        core.handle(
            AttemptFailed(
                request_id="r1",
                attempt=1,
                target_id="t1",
                provenance=Provenance.STARTED,
                tokens_out=5,
            ),
            now=1.0,
        )
        other = build_request("r2", stream=True, arrived_at=1.0)
        core.handle(RequestArrived(request=other), now=1.0)
        core.tick(now=1.5)
        self.assertEqual(request.live, [])
        self.assertEqual(len(other.live), 1)
        for now in (3.0, 3.5, 4.0, 4.5):
            self.assertEqual(core.tick(now=now), [])
        core.targets.record(
            report=build_report("t1", slots=2, sequence=1),
            observer="vm-1",
            received_at=5.0,
        )
        core.tick(now=5.0)
        self.assertEqual(len(request.live), 1)

    def test_stream_ends_if_no_report_arrives(self) -> None:
        """Guards against a wait without a bound."""
        core, _ = self.fail_begun()
        actions = []
        for step in range(1, 13):
            actions += core.tick(now=LATE_REPORT_SECONDS + step / 2)
        [refuse] = actions
        self.assertEqual(refuse.refusal.type, "no_target")
        self.assertEqual(refuse.refusal.execution.value, "partial")


class SilentAttemptTest(unittest.TestCase):
    """Guards against refusals of requests whose target is only slow."""

    def start(
        self, *names: str, **changes: object
    ) -> tuple[RequestCore, list[object]]:
        """Starts a request; lets the time for its first token pass."""
        core = build_core(*map(build_report, names))
        request = build_request(**changes)
        [first] = core.handle(RequestArrived(request=request), now=0.0)
        self.first = first
        self.refresh(core, UNSTARTED_SECONDS)
        return core, core.tick(now=UNSTARTED_SECONDS)

    def refresh(self, core: RequestCore, now: float) -> None:
        """Makes the reports of all targets recent."""
        for row in core.targets:
            row.received_at = now

    def succeed(self, core: RequestCore, now: float, attempt: int = 1) -> list:
        """Completes an attempt."""
        event = AttemptSucceeded(request_id="r1", attempt=attempt, tokens_out=5)
        return core.handle(event, now=now)

    def fail_attempt(self, core: RequestCore, now: float, attempt: int) -> list:
        """Fails an attempt after its dispatch."""
        event = AttemptFailed(
            request_id="r1",
            attempt=attempt,
            target_id=core.requests.get("r1")
            .attempts[attempt - 1]
            .chain[0]
            .target_id,
            provenance=Provenance.UNKNOWN,
        )
        return core.handle(event, now=now)

    def test_slow_answer_of_the_only_target(self) -> None:
        """Guards against an answer that is given up for nothing."""
        core, actions = self.start("t1")
        self.assertEqual(actions, [])
        self.refresh(core, 8.0)
        self.assertEqual(core.tick(now=8.0), [])
        [finish, *_] = self.succeed(core, 9.0)
        self.assertIsInstance(finish, Finish)

    def test_begun_stream_at_its_deadline_ran_in_part(self) -> None:
        """Guards against "unknown" for a stream with tokens at the caller."""
        core, _ = self.start("t1", stream=True, deadline=9.0)
        core.handle(AttemptStarted(request_id="r1", attempt=1), now=4.0)
        self.refresh(core, 9.0)
        [refuse] = [x for x in core.tick(now=9.0) if isinstance(x, Refuse)]
        self.assertEqual(refuse.refusal.execution.value, "partial")

    def test_second_target_fails(self) -> None:
        """Guards against a lost answer after a replacement that fails."""
        core, [second] = self.start("t1", "t2")
        self.assertIsInstance(second, Dispatch)
        self.assertNotEqual(second.chain, self.first.chain)
        self.assertEqual(self.fail_attempt(core, 4.0, 2), [])
        [finish, *_] = self.succeed(core, 5.0)
        self.assertIsInstance(finish, Finish)

    def test_first_complete_answer_cancels_the_other_attempt(self) -> None:
        """Guards against attempts that run on after the answer."""
        core, _ = self.start("t1", "t2")
        finish, *rest = self.succeed(core, 4.0, 2)
        self.assertIsInstance(finish, Finish)
        cancelled = [x.attempt for x in rest if isinstance(x, CancelAttempt)]
        self.assertEqual(cancelled, [1])

    def test_first_token_of_a_stream_cancels_the_other_attempt(self) -> None:
        """Guards against two engines that continue one stream."""
        core, _ = self.start("t1", "t2", stream=True)
        event = AttemptStarted(request_id="r1", attempt=2)
        actions = core.handle(event, now=4.0)
        cancelled = [x.attempt for x in actions if isinstance(x, CancelAttempt)]
        self.assertEqual(cancelled, [1])
        self.assertEqual(core.handle(event, now=4.1), [])

    def test_all_attempts_fail(self) -> None:
        """Guards against a request without an end."""
        core, _ = self.start("t1", "t2")
        self.fail_attempt(core, 4.0, 2)
        core.retries.budget.tokens = 0.0
        [refuse] = self.fail_attempt(core, 5.0, 1)
        self.assertIsInstance(refuse, Refuse)

    def test_superseded_attempts_do_not_use_up_the_attempts(self) -> None:
        """Guards against a stream that ends after a few pauses."""
        core, _ = self.start("t1", "t2", stream=True)
        request = core.requests.get("r1")
        for number in range(1, 7):
            event = AttemptStarted(request_id="r1", attempt=1)
            core.handle(event, now=4.0)
            self.assertEqual(len(request.live), 1)
            silent = AttemptSuspected(
                request_id="r1",
                attempt=1,
                target_id=self.first.chain[0].target_id,
            )
            core.handle(silent, now=4.0)
            for row in core.targets:
                row.blocked_until = 0.0
                row.health = TargetHealth.HEALTHY
            self.refresh(core, 4.0 + number)
            core.tick(now=4.0 + number)
        self.assertFalse(core.retries.is_exhausted(request))

    def test_silent_stage_is_replaced_within_the_budget(self) -> None:
        """Guards against a silent stage that ends its begun request.

        The caller has tokens of the request, whatever happens later.
        """
        halves = {"t1": (0, 3), "t2": (4, 7), "t3": (0, 3)}
        core = build_core(
            *(
                build_report(name, first_layer=first, last_layer=last)
                for name, (first, last) in halves.items()
            )
        )
        core.selections.planner = PipelinePlanner(
            data_centre="dc-a", links=LinkTable(), eligible=lambda *_: True
        )
        request = build_request(stream=True)
        [first] = core.handle(RequestArrived(request=request), now=0.0)
        core.handle(AttemptStarted(request_id="r1", attempt=1), now=0.1)
        event = StageDegraded(
            request_id="r1",
            attempt=1,
            target_id=first.chain[0].target_id,
            silent=True,
            tokens_out=5,
        )
        core.retries.budget.tokens = 0.0
        self.assertEqual(core.handle(event, now=1.0), [])
        self.assertEqual([x.number for x in request.live], [1])
        core.retries.budget.tokens = 1.0
        [replaced] = core.handle(event, now=2.0)
        self.assertIsInstance(replaced, ReplaceStage)
        self.assertEqual(request.tokens_out, 5)
        self.assertEqual(core.retries.budget.tokens, 0.0)

    def test_silent_chain_moves_only_to_another_chain(self) -> None:
        """Guards against a chain that ends although it is the only one.

        Without a first token it is not known which of its targets is silent.
        """
        halves = {"t1": (0, 3), "t2": (4, 7), "t3": (0, 3)}
        reports = {
            name: build_report(name, first_layer=first, last_layer=last)
            for name, (first, last) in halves.items()
        }
        core = build_core(reports["t1"], reports["t2"])
        core.selections.planner = PipelinePlanner(
            data_centre="dc-a", links=LinkTable(), eligible=lambda *_: True
        )
        event = RequestArrived(request=build_request())
        [first] = core.handle(event, now=0.0)
        self.assertEqual([x.target_id for x in first.chain], ["t1", "t2"])
        self.refresh(core, UNSTARTED_SECONDS)
        self.assertEqual(core.tick(now=UNSTARTED_SECONDS), [])
        core.targets.record(
            report=reports["t3"], observer="vm-1", received_at=8.0
        )
        self.refresh(core, 8.0)
        cancel, second = core.tick(now=8.0)
        self.assertIsInstance(cancel, CancelAttempt)
        self.assertIsInstance(second, Dispatch)
        self.assertEqual([x.target_id for x in second.chain], ["t3", "t2"])

    def test_another_target_appears_later(self) -> None:
        """Guards against a silent target that is never replaced."""
        core, _ = self.start("t1")
        core.targets.record(
            report=build_report("t2"), observer="vm-1", received_at=5.0
        )
        self.refresh(core, 5.0)
        [second] = core.tick(now=5.0)
        self.assertEqual(second.chain[0].target_id, "t2")


if __name__ == "__main__":
    unittest.main()
