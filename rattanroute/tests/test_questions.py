"""Tests of questions to engines."""

import asyncio
import unittest

from rattanroute.errors import RouterError
from rattanroute.gateway.inspectors import TargetInspector
from rattanroute.gateway.questions import PauseError
from rattanroute.gateway.questions import TargetQuestions
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.servers import Exchange
from rattanroute.http1.servers import HttpServer
from rattanroute.platform.replicas import PlatformOrders
from rattanroute.systems.inspections import InspectionSystem
from rattanroute.systems.inspections import MAX_SILENCES
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.support import build_report

PAUSE_SECONDS = 0.4


class QuestionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against questions that an engine does not want."""

    async def asyncSetUp(self) -> None:
        """Starts an engine that answers with `answer`."""
        self.answer = ResponseHead(status=200)
        self.asked = 0
        server = HttpServer(handler=self.handle, limits=RequestLimits())
        await server.start("127.0.0.1", 0)
        self.addAsyncCleanup(server.close)
        port = server.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        pool = ConnectionPool()
        self.addCleanup(pool.close)
        self.questions = TargetQuestions(pool=pool, codec=PlatformOrders())

    async def handle(self, exchange: Exchange) -> None:
        """Answers a question."""
        self.asked += 1
        exchange.send(self.answer, b'{"born":5}')

    def ask_for_pause(self) -> None:
        """Makes the engine answer with a pause."""
        headers = [(b"Retry-After", b"%g" % PAUSE_SECONDS)]
        self.answer = ResponseHead(status=503, headers=headers)

    async def test_paused_engine_is_asked_after_its_pause(self) -> None:
        self.ask_for_pause()
        for _ in range(5):
            with self.assertRaises(PauseError):
                await self.questions.ask_state(self.address)
        self.assertEqual(self.asked, 1)
        self.answer = ResponseHead(status=200)
        await asyncio.sleep(PAUSE_SECONDS)
        state = await self.questions.ask_state(self.address)
        self.assertEqual(state.incarnation, 5)

    async def test_failure_is_no_state(self) -> None:
        """Guards against a failed question that looks like an idle engine."""
        self.answer = ResponseHead(status=503)
        with self.assertRaises(RouterError):
            await self.questions.ask_state(self.address)

    def build_inspector(self, left: list[TargetReport]) -> TargetInspector:
        """Builds the inspector of a voter that knows the engine."""
        targets = TargetTable()
        report = build_report(
            "t1", address=self.address, incarnation=5, total_layers=1
        )
        targets.record(report=report, observer="v", received_at=0.0)
        system = InspectionSystem(
            vm_id="v",
            data_centre=report.data_centre,
            voter=True,
            targets=targets,
            members=lambda: (),
        )
        return TargetInspector(
            system=system,
            questions=self.questions,
            execute=lambda actions: None,
            on_leaving=left.append,
        )

    async def test_pause_is_no_silence(self) -> None:
        """Guards against a paused engine that counts as gone."""
        inspector = self.build_inspector([])
        self.ask_for_pause()
        for _ in range(MAX_SILENCES + 1):
            inspector.run()
            await asyncio.gather(*inspector.tasks)
        self.assertEqual(self.asked, 1)
        self.assertEqual(inspector.system.rows["t1"].silences, 0)

    async def test_engine_that_leaves_says_so(self) -> None:
        """Guards against work for an engine until its notice arrives."""
        left: list[TargetReport] = []
        inspector = self.build_inspector(left)
        headers = [(b"Server-Leaving", b"1")]
        self.answer = ResponseHead(status=200, headers=headers)
        inspector.run()
        await asyncio.gather(*inspector.tasks)
        self.assertEqual([x.target_id for x in left], ["t1"])
