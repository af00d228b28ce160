"""Connections without a token to the gRPC interfaces of a daemon.

The sizes of the crowds and the bounds are fixed. The tests check no times, as
these depend on the load of the machine.
"""

import asyncio
import pathlib
import tempfile
import time

from rattanroute.tests.integration.untrusted_support import ANSWER_SECONDS
from rattanroute.tests.integration.untrusted_support import FEW_DESCRIPTORS
from rattanroute.tests.integration.untrusted_support import RETRY_SECONDS
from rattanroute.tests.integration.untrusted_support import UntrustedTestCase
from rattanroute.tests.untrusted_requests import build_endless_headers
from rattanroute.tests.untrusted_requests import build_pings
from rattanroute.tests.untrusted_requests import build_unanswered_calls
from rattanroute.tools.cluster_hosts import OPERATORS_PORT
from rattanroute.tools.cluster_hosts import PEERS_PORT

PEERS_TOKEN = "peers-token"
EXCHANGE_PATH = "/rattanroute.peers.Peers/Exchange"
STATUS_PATH = "/rattanroute.operators.Operators/Status"


class GrpcTestCase(UntrustedTestCase):
    """A test with a VM that requires tokens of peers and operators."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "peers.token"
        path.write_text(PEERS_TOKEN + "\n", encoding="utf-8")
        self.settings = {"security": {"peers_token_file": str(path)}}
        await super().asyncSetUp()

    async def check_answer(self) -> None:
        """Checks that clients, targets and operators are answered."""
        await super().check_answer()
        ends_at = time.monotonic() + ANSWER_SECONDS
        while (result := await self.cluster.run_tool("status")).code:
            self.assertLess(time.monotonic(), ends_at, result)
            await asyncio.sleep(RETRY_SECONDS)


class PeersTest(GrpcTestCase):
    """Guards against peers without a token that exhaust the memory."""

    port = PEERS_PORT

    async def test_endless_headers(self) -> None:
        await self.check_crowd(count=150, data=build_endless_headers(60))

    async def test_unread_answers_to_pings(self) -> None:
        data = build_pings(400_000)
        await self.check_crowd(count=20, data=data, max_growth_mb=32.0)

    async def test_unread_refusals(self) -> None:
        data = build_unanswered_calls(EXCHANGE_PATH, 20_000)
        await self.check_crowd(count=20, data=data)


class OperatorsTest(GrpcTestCase):
    """Guards against operators without a token that do the same."""

    port = OPERATORS_PORT

    async def test_endless_headers(self) -> None:
        await self.check_crowd(count=150, data=build_endless_headers(60))

    async def test_unread_answers_to_pings(self) -> None:
        data = build_pings(400_000)
        await self.check_crowd(count=20, data=data, max_growth_mb=32.0)

    async def test_unread_refusals(self) -> None:
        data = build_unanswered_calls(STATUS_PATH, 20_000)
        await self.check_crowd(count=20, data=data)


class PeersDescriptorsTest(GrpcTestCase):
    """Guards against peers that take all descriptors."""

    port = PEERS_PORT
    max_descriptors = FEW_DESCRIPTORS

    async def test_silent_connections(self) -> None:
        await self.check_crowd(count=400, data=b"")


class OperatorsDescriptorsTest(GrpcTestCase):
    """Guards against operators that take all descriptors."""

    port = OPERATORS_PORT
    max_descriptors = FEW_DESCRIPTORS

    async def test_silent_connections(self) -> None:
        await self.check_crowd(count=400, data=b"")
