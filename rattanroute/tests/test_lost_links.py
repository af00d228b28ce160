"""Tests of a gateway that loses its links to the targets."""

import asyncio
import random

from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import open_direct
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.response_sinks import CollectingSink
from rattanroute.http1.servers import Exchange
from rattanroute.tables.targets import TargetHealth
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.link_hosts import FAR_PEER
from rattanroute.tests.link_hosts import LATE_SECONDS
from rattanroute.tests.link_hosts import LostLinksTestCase
from rattanroute.tests.link_hosts import NEAR_PEER

EVENTS = 6
ALL_EVENTS = build_events(1, EVENTS + 1)
EVENT_PAUSE_SECONDS = 0.1
# Callers find a new way within this time, and a stream under way.
NEW_WAY_SECONDS = 0.4
RESUME_SECONDS = 2.0


async def answer(target: FakeTarget, exchange: Exchange) -> None:
    """Answers with success."""
    exchange.send(build_head(exchange), b"body of " + target.target_id.encode())


async def stream(target: FakeTarget, exchange: Exchange) -> None:
    """Sends the events after the one that the request names, with pauses."""
    last = int(target.header(-1, b"last-event-id") or 0)
    exchange.start(build_head(exchange))
    for number in range(last + 1, EVENTS + 1):
        exchange.write(build_events(number, number + 1))
        await asyncio.sleep(EVENT_PAUSE_SECONDS)
    exchange.end()


async def answer_unframed(target: FakeTarget, exchange: Exchange) -> None:
    """Begins an answer without a length and keeps its connection open."""
    exchange.connection.write(
        b"HTTP/1.1 200 OK\r\nRattanroute-Request-Id: r1\r\n"
        b"Rattanroute-Replica-Stamp: s\r\n\r\npart"
    )
    await asyncio.sleep(5)


async def end_unframed(target: FakeTarget, exchange: Exchange) -> None:
    """Sends a whole answer whose end is the end of its connection."""
    exchange.connection.write(
        b"HTTP/1.1 200 OK\r\nRattanroute-Request-Id: r1\r\n"
        b"Rattanroute-Replica-Stamp: s\r\n\r\nwhole"
    )
    exchange.connection.close()


async def answer_late(target: FakeTarget, exchange: Exchange) -> None:
    """Answers after a while."""
    await asyncio.sleep(0.5)
    await answer(target, exchange)


class FirstChoice(random.Random):
    """A random generator that selects the first element."""

    def choice(self, items: list[str]) -> str:
        """Returns the first element."""
        return items[0]


class CutGatewayTest(LostLinksTestCase):
    """Guards against callers who are not served by a cut VM."""

    async def add_targets(self) -> None:
        """Starts two plain targets and two engines."""
        for name in ("t1", "t2"):
            await self.add_target(name, answer)
        for name in ("t3", "t4"):
            await self.add_target(name, stream, service=SERVICE)

    async def check_calls(self) -> None:
        """Checks that calls of each kind are served in time."""
        loop = asyncio.get_running_loop()
        for number, path in enumerate(("/safe/", "/once/", "/stream/") * 3):
            started = loop.time()
            answered = await self.call(path, request_id=f"r{number}")
            self.assertEqual(answered.status, 200, path)
            self.assertTrue(answered.complete, path)
            if path != "/stream/":
                self.assertLess(loop.time() - started, NEW_WAY_SECONDS)

    def check_no_blame(self) -> None:
        """Checks that no target is blamed for the lost links."""
        for target in self.targets:
            self.assertEqual(target.health, TargetHealth.HEALTHY)
        self.assertEqual(self.suspected, [])

    async def test_connections_that_hang(self) -> None:
        await self.add_targets()
        self.cut = "hang"
        await self.check_calls()
        self.assertTrue(self.links.lost)
        self.check_no_blame()

    async def test_connections_that_are_refused(self) -> None:
        await self.add_targets()
        self.cut = "refuse"
        await self.check_calls()
        self.assertTrue(self.links.lost)
        self.check_no_blame()

    async def test_peers_of_the_data_centre_are_cut_as_well(self) -> None:
        await self.add_targets()
        self.cut = "hang"
        self.tunnel_servers[NEAR_PEER].links.lost = True
        await self.check_calls()
        self.check_no_blame()

    async def test_late_connections(self) -> None:
        """Guards against a busy VM that takes its links for lost.

        All its open requests would be sent twice.
        """
        await self.add_targets()
        self.cut = "late"
        await self.check_calls()
        await asyncio.sleep(LATE_SECONDS)
        self.assertEqual(self.losses, 0)
        self.check_no_blame()

    async def test_links_that_return(self) -> None:
        """Guards against a VM that goes on through peers without need."""
        await self.add_targets()
        self.cut = "hang"
        await self.check_calls()
        self.cut = ""
        await asyncio.sleep(RESUME_SECONDS)
        self.assertFalse(self.links.lost)
        self.pool.close()
        await self.check_calls()
        self.assertEqual(
            [x for x in self.tunnel_servers.values() if x.tunnels], []
        )

    async def test_links_return_although_one_target_is_preferred(self) -> None:
        """Guards against tests of one target again and again.

        Two targets must accept before the links count as restored.
        """
        await self.add_targets()
        self.checker.random = FirstChoice()
        self.cut = "hang"
        await self.check_calls()
        self.cut = ""
        await asyncio.sleep(RESUME_SECONDS)
        self.assertFalse(self.links.lost)

    async def test_links_return_beside_a_hanging_call(self) -> None:
        """Guards against tests of the one target that an old call holds."""
        await self.add_targets()
        await self.add_target("t5", answer_unframed, service="other")
        self.cut = "hang"
        await self.check_calls()
        held = await open_direct(self.targets.get("t5").report.address)
        held.pool = self.pool
        sink = CollectingSink(
            connection=held, buffers=self.pool.buffers, max_bytes=10
        )
        head = RequestHead(method=b"GET", target=b"/", headers=[])
        held.send(head, b"", sink)
        self.cut = ""
        await asyncio.sleep(RESUME_SECONDS)
        self.assertFalse(self.links.lost)
        held.cancel()

    async def test_stream_under_way(self) -> None:
        """Guards against a stream that ends with the link it came over."""
        await self.add_targets()
        call = asyncio.create_task(self.call("/stream/"))
        await asyncio.sleep(2.5 * EVENT_PAUSE_SECONDS)
        self.cut = "hang"
        self.hold_direct_bytes()
        async with asyncio.timeout(RESUME_SECONDS):
            answered = await call
        self.assertEqual(answered.body, ALL_EVENTS)
        self.assertTrue(answered.complete)
        self.check_no_blame()

    async def test_idle_connections_that_hang(self) -> None:
        """Guards against callers who each pay for an idle connection."""
        await self.add_targets()
        await asyncio.gather(*(self.call("/safe/") for _ in range(6)))
        self.cut = "hang"
        self.hold_direct_bytes()
        loop = asyncio.get_running_loop()
        first = await self.call("/safe/", request_id="first")
        self.assertEqual(first.status, 200)
        for number in range(4):
            started = loop.time()
            answered = await self.call("/safe/", request_id=f"r{number}")
            self.assertEqual(answered.status, 200)
            self.assertLess(loop.time() - started, NEW_WAY_SECONDS)

    async def test_client_that_leaves(self) -> None:
        """Guards against work for nobody at the end of a tunnelled request."""
        target = await self.add_target("t1", answer_late)
        self.cut = "refuse"
        await self.call("/once/", leave_after=0.2)
        self.assertEqual(len(target.seen), 1)
        async with asyncio.timeout(0.3):
            await target.disconnected.wait()


class DeadTargetTest(LostLinksTestCase):
    """Guards against the failure of targets taken for that of the links."""

    async def test_targets_that_no_peer_reaches(self) -> None:
        servers = [await self.add_target(f"t{x}", answer) for x in range(3)]
        for server in servers:
            await server.server.close()
        loop = asyncio.get_running_loop()
        started = loop.time()
        answered = await self.call("/safe/")
        self.assertEqual(answered.status, 503)
        self.assertLess(loop.time() - started, 2 * NEW_WAY_SECONDS)
        self.assertFalse(self.links.lost)

    async def test_target_that_refuses_beside_peers_that_do_not_help(
        self,
    ) -> None:
        """Guards against a crash that is found late.

        Only a refused connection proves at once that a target has ended.
        """
        target = await self.add_target("t1", answer)
        await target.server.close()
        for server in self.tunnel_servers.values():
            server.start_draining()
        with self.assertRaises(ConnectError) as caught:
            await self.pool.take(target.address, timeout_s=1.0, identifier=None)
        self.assertTrue(caught.exception.refused)

    async def test_one_silent_target(self) -> None:
        """Guards against a suspicion of the links for one slow target."""
        await self.add_target("t1", answer_late)
        answered = await self.call("/once/")
        self.assertEqual(answered.status, 200)
        self.assertFalse(self.links.lost)


class TunnelTest(LostLinksTestCase):
    """Guards against answers that a peer damages, and open proxies."""

    async def test_peer_that_ends_in_an_unframed_answer(self) -> None:
        """Guards against half an answer that looks complete."""
        await self.add_target("t1", answer_unframed)
        self.cut = "refuse"
        call = asyncio.create_task(self.call("/once/"))
        await asyncio.sleep(0.2)
        for server in self.tunnel_servers.values():
            for tunnel in list(server.tunnels):
                tunnel.transport.close()
        answered = await call
        self.assertEqual(answered.status, 502)

    async def test_whole_unframed_answer(self) -> None:
        await self.add_target("t1", end_unframed)
        self.cut = "refuse"
        answered = await self.call("/once/")
        self.assertEqual((answered.status, answered.body), (200, b"whole"))

    async def test_peer_that_stops(self) -> None:
        """Guards against a request that a peer's planned stop cuts off."""
        await self.add_target("t1", answer_late)
        self.cut = "refuse"
        call = asyncio.create_task(self.call("/once/"))
        await asyncio.sleep(0.2)
        for server in self.tunnel_servers.values():
            server.start_draining()
        answered = await call
        self.assertEqual(answered.status, 200)
        self.pool.close()
        until = asyncio.get_running_loop().time() + 1
        for server in self.tunnel_servers.values():
            await server.wait_until_empty(until)
            self.assertEqual(server.tunnels, set())
        refused = await self.call("/once/", request_id="r2")
        self.assertEqual(refused.status, 503)

    async def ask(self, command: bytes) -> bytes:
        """Sends a command to a peer and returns its reply."""
        port = (
            self.tunnel_servers[FAR_PEER].listener.sockets[0].getsockname()[1]
        )
        reader, writer = await asyncio.open_connection(FAR_PEER, port)
        writer.write(command)
        try:
            return await asyncio.wait_for(reader.read(1), 2)
        except ConnectionError:
            return b""
        finally:
            writer.close()

    async def test_only_targets_are_connected_to(self) -> None:
        target = await self.add_target("t1", answer)
        self.assertEqual(
            await self.ask(b"CONNECT " + target.address.encode() + b"\n"), b"C"
        )
        port = self.port
        self.assertEqual(await self.ask(b"CONNECT 127.0.0.1:%d\n" % port), b"N")
        self.assertEqual(await self.ask(b"GET / HTTP/1.1\n"), b"N")
        self.assertEqual(await self.ask(b"x" * 100_000), b"")
        self.assertEqual(await self.ask(b""), b"")
