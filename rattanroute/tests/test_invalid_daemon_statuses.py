"""Tests of answers whose status HTTP does not define, in the daemon."""

import dataclasses
import time

from rattanroute.actions import Hop
from rattanroute.clients.attempts import AttemptError
from rattanroute.clients.engines import EngineClient
from rattanroute.clients.orders import OrderClient
from rattanroute.clients.services import ServiceClient
from rattanroute.clients.stage_sockets import copy_cache
from rattanroute.clients.stage_sockets import FailureKind
from rattanroute.clients.stage_sockets import StageError
from rattanroute.clients.stage_sockets import StageSocket
from rattanroute.events import Provenance
from rattanroute.tables.placements import Order
from rattanroute.tables.placements import OrderKind
from rattanroute.tests.standin_support import build_spec
from rattanroute.tests.standin_support import collect
from rattanroute.tests.standin_support import StandinTestCase
from rattanroute.tests.status_support import build_interim
from rattanroute.tests.status_support import build_invalid
from rattanroute.tests.status_support import INTERIM_STATUSES
from rattanroute.tests.status_support import INVALID_STATUSES
from rattanroute.tests.status_support import StatusTarget
from rattanroute.tests.status_support import UNDEFINED_STATUSES
from rattanroute.tests.test_placements import FakeLease
from rattanroute.tests.test_services import build_call

# A pause that is asked for in no answer.
PAUSE = b"Retry-After: 5\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
EVENTS = (
    b'data: {"id": "r1", "attempt": 1, "choices": [{"delta": {}, '
    b'"finish_reason": "stop"}]}\n\ndata: [DONE]\n\n'
)
REASON = "invalid status"


class DaemonStatusTest(StandinTestCase):
    """Guards against invalid statuses as answers to the daemon."""

    async def add(self, answer: bytes) -> StatusTarget:
        """Starts a target."""
        target = StatusTarget(answer)
        await target.open()
        self.addAsyncCleanup(target.close)
        return target

    async def add_invalid(self, status: int) -> StatusTarget:
        """Starts a target that answers with a status."""
        return await self.add(build_invalid(status, headers=PAUSE))

    def check_error(self, error: AttemptError) -> None:
        """Checks that an attempt may have run and counts as a failure."""
        self.assertIs(error.provenance, Provenance.UNKNOWN)
        self.assertEqual(error.status, 0)
        # The target would count as paused instead.
        self.assertIsNone(error.retry_after_s)
        self.assertIn(REASON, error.message)

    async def test_service(self) -> None:
        """Guards against a caller that gets an answer without a status."""
        client = ServiceClient()
        self.addAsyncCleanup(client.close)
        for status in INVALID_STATUSES:
            for repeatable in (False, True):
                with self.subTest(status=status, repeatable=repeatable):
                    target = await self.add_invalid(status)
                    call = build_call(
                        f"http://{target.address}", repeatable=repeatable
                    )
                    with self.assertRaises(AttemptError) as caught:
                        await client.call(call)
                    self.check_error(caught.exception)
                    self.assertEqual(target.requests, 1)
                    await target.wait_until_closed()

    async def test_engine(self) -> None:
        """Guards against an engine at fault that seems to ask for a pause."""
        client = EngineClient(session=self.session)
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                target = await self.add_invalid(status)
                spec = build_spec(f"http://{target.address}")
                with self.assertRaises(AttemptError) as caught:
                    await collect(client.run(spec), [])
                self.check_error(caught.exception)
                self.assertEqual(target.requests, 1)
                await target.wait_until_closed()

    async def test_stage(self) -> None:
        """Guards against the same of a stage of a pipeline.

        A stage is asked to switch protocols.
        """
        for status in UNDEFINED_STATUSES:
            with self.subTest(status=status):
                target = await self.add_invalid(status)
                with self.assertRaises(StageError) as caught:
                    await self.open_stage(target)
                error = caught.exception
                self.assertIs(error.kind, FailureKind.PROTOCOL)
                self.assertEqual((error.status, error.retry_after_s), (0, None))
                self.assertIn(REASON, error.message)
                await target.wait_until_closed()

    async def open_stage(self, target: StatusTarget) -> StageSocket:
        """Opens a connection to a stage."""
        address = f"http://{target.address}"
        return await StageSocket.connect(
            session=self.session,
            spec=build_spec(address),
            hop=Hop(target_id="t", address=address, last_layer=7),
            attempt=1,
            position=0,
            until=time.monotonic() + 5,
        )

    async def test_copy_of_a_cache(self) -> None:
        """Guards against a cache from an answer that is none."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                target = await self.add_invalid(status)
                address = f"http://{target.address}"
                hop = Hop(target_id="t", address=address, last_layer=7)
                is_copied = await copy_cache(
                    session=self.session,
                    request_id="r1",
                    old=hop,
                    hop=dataclasses.replace(hop, target_id="u"),
                    attempt=1,
                    position=0,
                )
                self.assertFalse(is_copied)
                self.assertEqual(target.requests, 1)

    async def test_order(self) -> None:
        """Guards against an order that seems not to have been sent."""
        client = OrderClient(session=self.session, lease=FakeLease())
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                target = await self.add_invalid(status)
                outcome = await client.send(
                    Order(
                        order_id="7-1",
                        target_id="e1",
                        address=f"http://{target.address}",
                        kind=OrderKind.LOAD_VERSION,
                        fencing_token=7,
                        expires_at=1e9,
                        model="other",
                        version="2",
                    )
                )
                self.assertEqual(
                    (outcome.accepted, outcome.sent), (False, True)
                )
                self.assertIn(REASON, outcome.reason)
                await target.wait_until_closed()

    async def test_interim_responses(self) -> None:
        """Guards against interim responses that fail an attempt."""
        heads = b"".join(map(build_interim, INTERIM_STATUSES))
        client = ServiceClient()
        self.addAsyncCleanup(client.close)
        target = await self.add(heads + ANSWER)
        answer = await client.call(build_call(f"http://{target.address}"))
        self.assertEqual((answer.status, answer.body), (200, b"{}"))
        length = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(EVENTS)
        target = await self.add(heads + length + EVENTS)
        spec = build_spec(f"http://{target.address}")
        await collect(EngineClient(session=self.session).run(spec), [])
