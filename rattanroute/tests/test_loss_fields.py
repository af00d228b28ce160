"""Tests that the gateway logs what the report of lost value needs."""

import loguru

from rattanroute.logs import format_record
from rattanroute.tests.gateway_hosts import PLAIN_SERVICE
from rattanroute.tests.repeating_targets import ScriptedTarget
from rattanroute.tests.test_silent_streams import pause
from rattanroute.tests.test_silent_streams import SilentEngineTestCase
from rattanroute.tests.test_silent_streams import stream_rest
from rattanroute.tools.loss_causes import attribute_failure
from rattanroute.tools.loss_causes import Cause
from rattanroute.tools.loss_lines import RecordReader
from rattanroute.tools.loss_lines import RequestRecord


class LossFieldTest(SilentEngineTestCase):
    """Guards against a report whose input the gateway does not write."""

    async def asyncSetUp(self) -> None:
        """Starts the gateway and collects its log lines."""
        await super().asyncSetUp()
        self.lines: list[str] = []
        handler = loguru.logger.add(self.lines.append, format=format_record)
        self.addCleanup(loguru.logger.remove, handler)

    def read_record(self) -> RequestRecord:
        """Returns the record of the only request."""
        reader = RecordReader(counts_spent=True)
        records = list(reader.read(self.lines))
        self.assertEqual((len(records), reader.skipped), (1, 0))
        return records[0]

    async def test_pause_that_another_engine_ended(self) -> None:
        """Guards against a pause without the failure that caused it."""
        await self.add_engines(pause, stream_rest)
        await self.check_whole_stream()
        record = self.read_record()
        phases = record.phases
        self.assertEqual(record.data_centres, ("dc-a", "dc-t2"))
        self.assertEqual(phases.gap_failures, ("stalled at t1",))
        self.assertEqual(phases.first_sends, 1)
        self.assertLess(phases.first_sent_s, record.first_event_s)
        self.assertGreater(phases.gap_sent_s, phases.gap_at_s)
        self.assertEqual(
            attribute_failure(phases.gap_failures[0]), Cause.LOST_ENGINE
        )

    async def test_pause_that_the_same_engine_ended(self) -> None:
        """Guards against a pause that is taken for a replacement."""
        await self.add_engines(pause, None)
        await self.check_whole_stream("/single/")
        phases = self.read_record().phases
        self.assertLess(phases.gap_sent_s, phases.gap_at_s)

    async def test_call_of_a_client_that_returned(self) -> None:
        """Guards against the loss of the time before a request arrived."""
        await self.add_target(
            "t1", ScriptedTarget((200, None)), service=PLAIN_SERVICE
        )
        await self.call("/safe/", deadline_ms=2_500)
        record = self.read_record()
        self.assertEqual(
            (record.spent_s, record.goal_s, record.priority), (0.5, 0.2, 0)
        )
