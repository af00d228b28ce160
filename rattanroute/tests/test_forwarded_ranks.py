"""Tests of the ranks of requests at engines."""

import dataclasses
import unittest

import msgspec

from rattanroute.platform.manifests import decode_manifest
from rattanroute.tables.routes import index_routes
from rattanroute.tables.routes import RoutingTable
from rattanroute.tables.routes import WorkspaceKey
from rattanroute.tests.gateway_hosts import build_table
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.test_gateway_stream_forwarders import ALL_EVENTS
from rattanroute.tests.test_gateway_stream_forwarders import stream
from rattanroute.tests.test_gateway_stream_forwarders import stream_part
from rattanroute.tests.test_platform_manifests import build_document

RANK = b"rattanroute-request-priority"


def rank_routes(table: RoutingTable, **priorities: int) -> RoutingTable:
    """Returns a table whose routes have priorities, by name."""
    routes = [x for group in table.routes.values() for x in group]
    ranked = [
        dataclasses.replace(x, priority=priorities.get(x.name, x.priority))
        for x in routes
    ]
    return dataclasses.replace(table, routes=index_routes(ranked))


class RankedServiceTest(unittest.TestCase):
    """Guards against ranks where all requests have the same one."""

    def test_services_with_different_priorities(self) -> None:
        table = build_table()
        self.assertEqual(table.ranked_services, frozenset())
        same = rank_routes(table, stream=2, single=2)
        self.assertEqual(same.ranked_services, frozenset())
        different = rank_routes(table, stream=2)
        self.assertEqual(different.ranked_services, {SERVICE})

    def test_plain_services_have_no_ranks(self) -> None:
        table = rank_routes(build_table(), safe=2, deskstream=1)
        self.assertEqual(table.ranked_services, frozenset())

    def test_keys_with_a_priority_of_their_own(self) -> None:
        """Guards against a key whose priority differs from all routes'."""
        keys = {
            "k1": WorkspaceKey(workspace="w1"),
            "k2": WorkspaceKey(workspace="w2", priority=1),
        }
        table = dataclasses.replace(build_table(), keys=keys)
        self.assertEqual(table.ranked_services, {SERVICE})
        equal = {**keys, "k2": WorkspaceKey(workspace="w2", priority=0)}
        table = dataclasses.replace(build_table(), keys=equal)
        self.assertEqual(table.ranked_services, frozenset())

    def test_keys_that_override_all_routes(self) -> None:
        keys = {"k1": WorkspaceKey(workspace="w1", priority=1)}
        table = rank_routes(build_table(), stream=2)
        table = dataclasses.replace(table, keys=keys)
        self.assertEqual(table.ranked_services, frozenset())

    def test_decoded_manifest(self) -> None:
        document = build_document()
        table = decode_manifest(msgspec.json.encode(document))
        self.assertEqual(table.ranked_services, frozenset())
        notes = document["routes"][0]
        urgent = {**notes, "name": "u", "pathPrefix": "/u/", "priority": 0}
        document["routes"].append(urgent)
        table = decode_manifest(msgspec.json.encode(document))
        self.assertEqual(table.ranked_services, {"llm"})


class ForwardedRankTest(GatewayTestCase):
    """Guards against engines that serve all ranks alike."""

    async def add_engine(self, target_id: str, script: object) -> FakeTarget:
        """Starts an engine that holds all layers."""
        return await self.add_target(target_id, script, service=SERVICE)

    async def test_rank_of_the_route(self) -> None:
        self.table = rank_routes(self.table, stream=2)
        engine = await self.add_engine("t1", stream)
        await self.call("/stream/")
        await self.call("/single/")
        self.assertEqual(engine.header(0, RANK), b"2")
        self.assertEqual(engine.header(1, RANK), b"0")

    async def test_rank_of_the_key(self) -> None:
        keys = {
            "k1": WorkspaceKey(workspace="w1", priority=3),
            "k2": WorkspaceKey(workspace="w2"),
        }
        self.table = dataclasses.replace(self.table, keys=keys)
        engine = await self.add_engine("t1", stream)
        await self.call("/stream/")
        await self.call("/stream/", key="k2")
        self.assertEqual(engine.header(0, RANK), b"3")
        self.assertEqual(engine.header(1, RANK), b"0")

    async def test_resumed_stream_keeps_its_rank(self) -> None:
        self.table = rank_routes(self.table, stream=1)

        async def break_once(target: FakeTarget, exchange: object) -> None:
            """Aborts the first attempt of all engines."""
            broken = len(first.seen) + len(second.seen) == 1
            await (stream_part if broken else stream)(target, exchange)

        first = await self.add_engine("t1", break_once)
        second = await self.add_engine("t2", break_once)
        answer = await self.call("/stream/")
        self.assertEqual(answer.body, ALL_EVENTS)
        self.assertEqual(len(first.seen), 1)
        self.assertEqual(len(second.seen), 1)
        self.assertEqual(first.header(0, RANK), b"1")
        self.assertEqual(second.header(0, RANK), b"1")

    async def test_rank_is_within_those_of_engines(self) -> None:
        """Guards against a value that an engine does not understand."""
        self.table = rank_routes(self.table, stream=12)
        engine = await self.add_engine("t1", stream)
        await self.call("/stream/")
        self.assertEqual(engine.header(0, RANK), b"9")

    async def test_no_rank_where_all_are_alike(self) -> None:
        """Guards against a change for services without ranks."""
        self.table = rank_routes(self.table, stream=2, single=2)
        engine = await self.add_engine("t1", stream)
        await self.call("/stream/", extra="Rattanroute-Request-Priority: 0\r\n")
        self.assertIsNone(engine.header(0, RANK))
