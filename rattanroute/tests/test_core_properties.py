"""Property tests of the request core under random events."""

import dataclasses
import random
import unittest

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st

from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.actions import Execution
from rattanroute.actions import Finish
from rattanroute.actions import Refuse
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptStarted
from rattanroute.events import AttemptSucceeded
from rattanroute.events import AttemptSuspected
from rattanroute.events import CallerDisconnected
from rattanroute.events import Provenance
from rattanroute.events import RequestArrived
from rattanroute.requests.core_systems import CoreSettings
from rattanroute.requests.cores import RequestCore
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.requests import RequestTable
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.support import build_report
from rattanroute.tests.support import build_request

PROFILE = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    suppress_health_check=list(HealthCheck),
)
STEP = st.tuples(st.integers(0, 10), st.integers(0, 7), st.integers(0, 5))


@dataclasses.dataclass
class Host:
    """Drives a core with generated events and checks every action.

    Attributes:
        hedging: Whether the core hedges late attempts.
        now: Current time in seconds.
        arrived: Number of requests so far.
        sequence: Sequence number of the latest reports.
        live: Dispatches of running attempts by (request id, attempt).
        ended: Final action of each ended request.
        ran: Requests that may have been executed.
        gone: Requests whose caller has disconnected.
        requests: All requests by identifier.
    """

    hedging: bool
    now: float = 0.0
    arrived: int = 0
    sequence: int = 0
    live: dict = dataclasses.field(default_factory=dict)
    ended: dict = dataclasses.field(default_factory=dict)
    ran: set = dataclasses.field(default_factory=set)
    gone: set = dataclasses.field(default_factory=set)
    requests: dict = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.core = RequestCore(
            vm_id="vm-1",
            data_centre="dc-a",
            targets=TargetTable(),
            requests=RequestTable(),
            configuration=Configuration,
            settings=CoreSettings(max_queued=4, hedging=self.hedging),
            random=random.Random(3),
        )
        self.report()

    def report(self) -> None:
        """Records new reports of three targets."""
        self.sequence += 1
        for number in range(3):
            target_id = f"t{number}"
            row = self.core.targets.get(target_id)
            report = build_report(
                target_id,
                slots=2,
                sequence=self.sequence,
                running=row.in_flight if row else 0,
            )
            self.core.targets.record(
                report=report, observer="vm-1", received_at=self.now
            )

    def check(self, actions: list) -> None:
        """Executes actions and checks the invariants of each."""
        for action in actions:
            request_id = getattr(action, "request_id", None)
            match action:
                case Dispatch():
                    assert request_id not in self.ended, "attempt after end"
                    assert request_id not in self.gone, "attempt without caller"
                    request = self.requests[request_id]
                    if not request.repeatable:
                        assert request_id not in self.ran, "run twice"
                    self.live[request_id, action.attempt] = action
                    row = self.core.targets.get(action.chain[0].target_id)
                    assert row.load <= row.report.slots, (
                        "more attempts than slots"
                    )
                case CancelAttempt():
                    self.live.pop((request_id, action.attempt))
                    self.ran.add(request_id)
                case Finish() | Refuse():
                    assert request_id not in self.ended, "ended twice"
                    assert request_id not in self.gone, "end without caller"
                    self.ended[request_id] = action
                    if isinstance(action, Refuse):
                        self.check_refusal(request_id, action.refusal)

    def check_refusal(self, request_id: str, refusal: object) -> None:
        """Checks that a refusal states correctly whether the request ran."""
        left = [key for key in self.live if key[0] == request_id]
        assert not left, "refused while running"
        if refusal.execution is Execution.NOT_RUN:
            assert request_id not in self.ran, "run despite NOT_RUN"
        if self.requests[request_id].tokens_out:
            assert refusal.execution is Execution.PARTIAL

    def step(self, kind: int, choice: int, amount: int) -> None:
        """Applies one generated event."""
        core = self.core
        keys = sorted(self.live)
        key = keys[choice % len(keys)] if keys else None
        if kind <= 2:
            self.arrive(choice, amount)
        elif kind == 3:
            self.now += 0.3 * amount
            self.report()
            self.check(core.tick(now=self.now))
        elif kind == 4:
            self.now += 1.5 * amount
            self.check(core.tick(now=self.now))
        elif kind == 5 and self.requests:
            ids = sorted(set(self.requests) - set(self.ended) - self.gone)
            if ids:
                request_id = ids[choice % len(ids)]
                self.gone.add(request_id)
                self.check(
                    core.handle(
                        CallerDisconnected(request_id=request_id), now=self.now
                    )
                )
        elif key is not None:
            self.answer(kind, key, amount)

    def arrive(self, choice: int, amount: int) -> None:
        """Submits a request; some share a fingerprint."""
        self.arrived += 1
        service = choice % 3 == 0
        request = build_request(
            f"r{self.arrived:03}",
            kind=RequestKind.SERVICE if service else RequestKind.CHAT,
            repeatable=not service,
            stream=choice % 2 == 0,
            fingerprint=f"f{choice}",
            arrived_at=self.now,
            deadline=self.now + 0.5 + 4 * amount,
        )
        self.requests[request.request_id] = request
        event = RequestArrived(request=request)
        self.check(self.core.handle(event, now=self.now))

    def answer(self, kind: int, key: tuple, amount: int) -> None:
        """Reports a start, end or silence of an attempt twice."""
        request_id, attempt = key
        names = {"request_id": request_id, "attempt": attempt}
        if kind == 10:
            event = AttemptSuspected(
                **names, target_id=self.live[key].chain[0].target_id
            )
        elif kind == 6:
            event = AttemptStarted(**names)
            self.ran.add(request_id)
        elif kind == 7:
            event = AttemptSucceeded(**names, tokens_out=5)
            self.live.pop(key)
        else:
            provenance = list(Provenance)[amount % 3]
            clean = provenance is Provenance.NOT_DISPATCHED
            event = AttemptFailed(
                **names,
                target_id=self.live.pop(key).chain[0].target_id,
                provenance=provenance,
                crashed=kind == 9,
                tokens_out=amount if provenance is Provenance.STARTED else 0,
            )
            if not clean:
                self.ran.add(request_id)
        self.check(self.core.handle(event, now=self.now))
        self.check(self.core.handle(event, now=self.now))

    def finish(self) -> None:
        """Lets all deadlines pass and checks that no state is left."""
        for _ in range(3):
            self.now += 30
            self.check(self.core.tick(now=self.now))
        assert not self.live
        assert not len(self.core.requests)
        assert set(self.ended) | self.gone == set(self.requests)
        assert all(row.in_flight == 0 for row in self.core.targets)
        assert not self.core.attempts.running
        assert not self.core.admissions.count_queued()


class CoreProperties(unittest.TestCase):
    """Guards the invariants of a request under any order of events."""

    @PROFILE
    @given(st.lists(STEP, min_size=20, max_size=60), st.booleans())
    def test_one_correct_end_and_no_second_run(self, steps, hedging):
        host = Host(hedging=hedging)
        for step in steps:
            host.step(*step)
        host.finish()
