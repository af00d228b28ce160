"""Tests of how sessions execute the actions of the core."""

import asyncio
import time
import unittest

from opentelemetry import trace

from rattanroute.actions import Action
from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.actions import Finish
from rattanroute.actions import Hop
from rattanroute.clients.attempts import AttemptError
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptSucceeded
from rattanroute.events import CallerDisconnected
from rattanroute.events import Event
from rattanroute.events import Provenance
from rattanroute.events import RequestArrived
from rattanroute.metrics import MetricsRegistry
from rattanroute.requests.sessions import AttemptUsage
from rattanroute.requests.sessions import Session
from rattanroute.requests.sessions import SessionRegistry
from rattanroute.tests.support import build_request
from rattanroute.traces import TraceRecorder

REQUEST_ID = "r1"
WAIT_SECONDS = 5.0


def build_dispatch(attempt: int) -> Dispatch:
    """Builds the dispatch of an attempt to a whole-model engine."""
    hop = Hop(
        target_id=f"t{attempt}",
        first_layer=0,
        last_layer=7,
        address="http://127.0.0.1:9",
    )
    return Dispatch(request_id=REQUEST_ID, attempt=attempt, chain=(hop,))


class FakeHost:
    """Responds to each event with the next planned actions."""

    def __init__(self) -> None:
        self.metrics = MetricsRegistry()
        self.traces = TraceRecorder(vm_id="vm-1", file=None, otlp_endpoint="")
        self.sessions = SessionRegistry()
        self.events: list[Event] = []
        self.plan: list[tuple[Action, ...]] = []
        self.usages: list[AttemptUsage] = []

    def handle(self, event: Event) -> None:
        """Records an event and delivers the next planned actions."""
        self.events.append(event)
        for action in self.plan.pop(0) if self.plan else ():
            self.sessions.deliver(action)

    def open_account(self, request: object, attempt: int) -> str:
        """Returns no account."""
        return ""

    def record_usage(self, usage: AttemptUsage) -> None:
        """Records the usage of an attempt."""
        self.usages.append(usage)


class ScriptedSession(Session):
    """A session whose attempts end with predefined outcomes."""

    def __init__(self, **values: object) -> None:
        super().__init__(**values)
        self.outcomes: list[object] = []
        self.executed: list[int] = []
        self.running = asyncio.Event()

    async def execute(
        self, dispatch: Dispatch, span: trace.Span
    ) -> AttemptSucceeded | AttemptFailed:
        """Ends an attempt with the next outcome; waits if there is none."""
        self.executed.append(dispatch.attempt)
        self.running.set()
        if not self.outcomes:
            await asyncio.sleep(WAIT_SECONDS)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return AttemptSucceeded(request_id=REQUEST_ID, attempt=dispatch.attempt)


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against attempts that run or are counted when they must not."""

    def setUp(self) -> None:
        self.host = FakeHost()
        now = time.monotonic()
        self.session = ScriptedSession(
            host=self.host,
            request=build_request(
                REQUEST_ID, arrived_at=now - 1.0, deadline=now + 60.0
            ),
            span=trace.INVALID_SPAN,
        )

    def build_failure(self, provenance: Provenance) -> AttemptError:
        """Builds the failure of an attempt."""
        return AttemptError(
            step="request",
            peer="t1",
            message="it broke",
            provenance=provenance,
        )

    async def test_queue_wait_is_observed_once(self) -> None:
        """Guards against retries that are counted as queue waits."""
        self.host.plan = [
            (build_dispatch(1),),
            (build_dispatch(2),),
            (Finish(request_id=REQUEST_ID),),
        ]
        self.session.outcomes = [
            self.build_failure(Provenance.NOT_DISPATCHED),
            "done",
        ]
        await self.session.run()
        value = self.host.metrics.queue_wait.get({"kind": "chat"})
        self.assertEqual(value["count"], 1)
        self.assertGreaterEqual(value["sum"], 1.0)
        self.assertEqual(self.session.executed, [1, 2])

    async def test_undispatched_attempt_is_not_accounted(self) -> None:
        """Guards against charging for work that no target did."""
        self.host.plan = [
            (build_dispatch(1),),
            (build_dispatch(2),),
            (Finish(request_id=REQUEST_ID),),
        ]
        self.session.outcomes = [
            self.build_failure(Provenance.NOT_DISPATCHED),
            "done",
        ]
        await self.session.run()
        found = [(usage.attempt, usage.outcome) for usage in self.host.usages]
        self.assertEqual(found, [(2, "done")])

    async def test_attempt_cancelled_before_its_dispatch(self) -> None:
        """Guards against work that the core has already cancelled."""
        self.host.plan = [
            (
                build_dispatch(1),
                CancelAttempt(request_id=REQUEST_ID, attempt=1),
                Finish(request_id=REQUEST_ID),
            )
        ]
        await self.session.run()
        self.assertEqual(self.session.executed, [])

    async def test_cancel_ends_the_running_attempt(self) -> None:
        """Guards against a cancelled attempt that goes on or is not UNKNOWN."""
        self.host.plan = [
            (build_dispatch(1),),
            (Finish(request_id=REQUEST_ID),),
        ]
        task = asyncio.create_task(self.session.run())
        await self.session.running.wait()
        self.host.sessions.deliver(
            CancelAttempt(request_id=REQUEST_ID, attempt=1)
        )
        await asyncio.wait_for(task, WAIT_SECONDS / 2)
        (event,) = (e for e in self.host.events if isinstance(e, AttemptFailed))
        self.assertIs(event.provenance, Provenance.UNKNOWN)

    async def test_caller_gone(self) -> None:
        """Guards against a session that outlives its caller's connection."""
        self.host.plan = [(build_dispatch(1),)]
        task = asyncio.create_task(self.session.run())
        await self.session.running.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertIsInstance(self.host.events[0], RequestArrived)
        self.assertIsInstance(self.host.events[-1], CallerDisconnected)
        self.assertEqual(self.host.sessions.sessions, {})
        (usage,) = self.host.usages
        self.assertEqual(usage.outcome, "cancelled")
