"""Clients and targets of a daemon that hold its memory and descriptors.

The sizes of the crowds and the bounds are fixed. The tests check no times, as
these depend on the load of the machine.
"""

from rattanroute.tests.integration.untrusted_support import ANNOUNCE_PATH
from rattanroute.tests.integration.untrusted_support import CHAT_PATH
from rattanroute.tests.integration.untrusted_support import FEW_DESCRIPTORS
from rattanroute.tests.integration.untrusted_support import UntrustedTestCase
from rattanroute.tests.untrusted_requests import build_head
from rattanroute.tests.untrusted_requests import build_many_lines
from rattanroute.tests.untrusted_requests import build_pipelined
from rattanroute.tests.untrusted_requests import build_short_body
from rattanroute.tests.untrusted_requests import build_tiny_chunks
from rattanroute.tests.untrusted_requests import EMPTY_LINE
from rattanroute.tests.untrusted_requests import ODD_LINE
from rattanroute.tools.cluster_hosts import TARGETS_PORT
from rattanroute.tools.demo_configuration import NOTES_KEY

BODY_BYTES = 1_000_000
REPORT_BYTES = 250_000


class CallersTest(UntrustedTestCase):
    """Guards against clients that exhaust memory or descriptors."""

    async def test_heads_of_empty_lines(self) -> None:
        data = build_many_lines(CHAT_PATH, NOTES_KEY, EMPTY_LINE)
        await self.check_crowd(count=150, data=data)

    async def test_heads_of_odd_lines(self) -> None:
        data = build_many_lines(CHAT_PATH, NOTES_KEY, ODD_LINE)
        await self.check_crowd(count=150, data=data + b"\r\n")

    async def test_large_chunks(self) -> None:
        data = build_short_body(CHAT_PATH, NOTES_KEY, BODY_BYTES)
        await self.check_crowd(count=150, data=data)

    async def test_tiny_chunks(self) -> None:
        data = build_tiny_chunks(CHAT_PATH, NOTES_KEY, 40_000)
        await self.check_crowd(count=150, data=data)

    async def test_pipelined_requests_without_route(self) -> None:
        data = build_pipelined("/nothing", 3_000)
        await self.check_crowd(count=150, data=data)

    async def test_pipelined_metrics(self) -> None:
        """Guards against answers larger than their requests."""
        data = build_pipelined("/metrics", 1_000)
        await self.check_crowd(count=150, data=data)


class TargetsTest(UntrustedTestCase):
    """Guards against the same on the interface for targets."""

    port = TARGETS_PORT

    async def test_heads_of_empty_lines(self) -> None:
        data = build_many_lines(ANNOUNCE_PATH, "x", EMPTY_LINE)
        await self.check_crowd(count=150, data=data)

    async def test_large_chunks(self) -> None:
        data = build_short_body(ANNOUNCE_PATH, "x", REPORT_BYTES)
        await self.check_crowd(count=150, data=data)

    async def test_tiny_chunks(self) -> None:
        data = build_tiny_chunks(ANNOUNCE_PATH, "x", 40_000)
        await self.check_crowd(count=150, data=data)

    async def test_pipelined_reports(self) -> None:
        body = b'{"target_id": "stranger"}'
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        request = build_head(ANNOUNCE_PATH, "x", length) + body
        await self.check_crowd(count=150, data=request * 2_000)


class CallersDescriptorsTest(UntrustedTestCase):
    """Guards against clients that take all descriptors."""

    max_descriptors = FEW_DESCRIPTORS

    async def test_idle_connections(self) -> None:
        await self.check_crowd(count=400, data=b"")

    async def test_used_connections(self) -> None:
        """Guards against connections that are idle after a request."""
        await self.check_crowd(count=400, data=build_pipelined("/healthz", 1))


class TargetsDescriptorsTest(UntrustedTestCase):
    """Guards against the same on the interface for targets."""

    port = TARGETS_PORT
    max_descriptors = FEW_DESCRIPTORS

    async def test_idle_connections(self) -> None:
        await self.check_crowd(count=400, data=b"")
