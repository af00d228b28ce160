"""Tests of state queries to engines."""

import asyncio
import unittest

from rattanroute.errors import RouterError
from rattanroute.gateway.engine_control_clients import EngineControlClient
from rattanroute.gateway.engine_control_clients import TargetPausedError
from rattanroute.gateway.inspectors import TargetInspector
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.servers import Exchange
from rattanroute.http1.servers import HttpServer
from rattanroute.platform.replica_codecs import ReplicaCodec
from rattanroute.systems.inspections import InspectionSystem
from rattanroute.systems.inspections import MAX_UNANSWERED
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.support import build_report

PAUSE_SECONDS = 0.4


class EngineControlClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against state queries to an engine that asked for a pause."""

    async def asyncSetUp(self) -> None:
        """Starts an engine that answers with `answer`."""
        self.answer = ResponseHead(status=200)
        self.request_count = 0
        server = HttpServer(handler=self.handle, limits=RequestLimits())
        await server.start("127.0.0.1", 0)
        self.addAsyncCleanup(server.close)
        port = server.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        pool = ConnectionPool()
        self.addCleanup(pool.close)
        self.engine_control = EngineControlClient(
            pool=pool, codec=ReplicaCodec()
        )

    async def handle(self, exchange: Exchange) -> None:
        """Answers a state query."""
        self.request_count += 1
        exchange.send(self.answer, b'{"born":5}')

    def ask_for_pause(self) -> None:
        """Makes the engine answer with a pause."""
        headers = [(b"Retry-After", b"%g" % PAUSE_SECONDS)]
        self.answer = ResponseHead(status=503, headers=headers)

    async def test_paused_engine_is_queried_after_its_pause(self) -> None:
        self.ask_for_pause()
        for _ in range(5):
            with self.assertRaises(TargetPausedError):
                await self.engine_control.fetch_state(self.address)
        self.assertEqual(self.request_count, 1)
        self.answer = ResponseHead(status=200)
        await asyncio.sleep(PAUSE_SECONDS)
        state = await self.engine_control.fetch_state(self.address)
        self.assertEqual(state.incarnation, 5)

    async def test_failed_query_returns_no_state(self) -> None:
        """Guards against a failed query that looks like an idle engine."""
        self.answer = ResponseHead(status=503)
        with self.assertRaises(RouterError):
            await self.engine_control.fetch_state(self.address)

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
            engine_control=self.engine_control,
            execute=lambda actions: None,
            on_leaving=left.append,
        )

    async def test_pause_does_not_count_as_silence(self) -> None:
        """Guards against considering a paused engine gone."""
        inspector = self.build_inspector([])
        self.ask_for_pause()
        for _ in range(MAX_UNANSWERED + 1):
            inspector.run()
            await asyncio.gather(*inspector.tasks)
        self.assertEqual(self.request_count, 1)
        self.assertEqual(inspector.system.rows["t1"].unanswered, 0)

    async def test_departure_in_an_answer_is_reported(self) -> None:
        """Guards against new work until the departure report arrives."""
        left: list[TargetReport] = []
        inspector = self.build_inspector(left)
        headers = [(b"Server-Leaving", b"1")]
        self.answer = ResponseHead(status=200, headers=headers)
        inspector.run()
        await asyncio.gather(*inspector.tasks)
        self.assertEqual([x.target_id for x in left], ["t1"])
