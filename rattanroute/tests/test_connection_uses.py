"""Tests of the connections that calls use, and of what the log says of them."""

import loguru

from rattanroute.http1.clients import MAX_REQUESTS_PER_CONNECTION
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_hosts import PLAIN_SERVICE
from rattanroute.tests.repeating_targets import ScriptedTarget


class ConnectionUseTest(GatewayTestCase):
    """Guards against needless connections, and against logs without a cause."""

    async def test_other_requests_share_a_connection(self) -> None:
        """Guards against a new connection for each call."""
        script = ScriptedTarget(*[(200, None)] * 5)
        target = await self.add_target("t1", script, service=PLAIN_SERVICE)
        for number in range(5):
            await self.call(
                "/safe/", request_id=f"r{number}", body=b"%d" % number
            )
        self.assertEqual(len({id(x.connection) for x in target.seen}), 1)
        self.assertEqual(self.pool.connect_attempts, 1)

    async def test_connection_with_many_requests_is_closed(self) -> None:
        """Guards against identifiers that take memory without end."""
        script = ScriptedTarget((200, None))
        target = await self.add_target("t1", script, service=PLAIN_SERVICE)
        for number in range(MAX_REQUESTS_PER_CONNECTION + 1):
            await self.call("/safe/", request_id=f"r{number}", body=b"0")
        connections = [x.connection for x in target.seen]
        self.assertEqual(len(set(map(id, connections))), 2)
        self.assertIsNot(connections[-1], connections[-2])

    async def test_log_names_connection_and_stamp(self) -> None:
        """Guards against a log that cannot tell where an answer came from."""
        lines: list[dict[str, object]] = []
        sink = loguru.logger.add(
            lambda message: lines.append(message.record["extra"])
        )
        self.addCleanup(loguru.logger.remove, sink)
        script = ScriptedTarget((200, None), (200, None))
        await self.add_target("t1", script, service=PLAIN_SERVICE)
        await self.call("/safe/", request_id="r1", body=b"0")
        await self.call("/safe/", request_id="r2", body=b"1")
        ended = [x for x in lines if "connections" in x]
        self.assertEqual([x["stamp"] for x in ended], ["s0", "s1"])
        uses = [x["connections"].split(":") for x in ended]
        self.assertEqual(uses[0][0], uses[1][0])
        self.assertEqual([x[2:] for x in uses], [["0", "0"], ["1", "0"]])
