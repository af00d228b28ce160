"""Tests of requests that arrive just before an HTTP server stops."""

import asyncio
import socket

from rattanroute.tests.test_http1_servers import REQUEST
from rattanroute.tests.test_http1_servers import ServerTestCase

READ_BYTES = 65_536
# Longer than a step of the event loop.
STEP_SECONDS = 0.05


class IdleConnectionTest(ServerTestCase):
    """Guards against requests that arrive as idle connections close."""

    async def test_request_that_has_arrived_but_was_not_read(self) -> None:
        """Guards against a loss when the process pauses before the close.

        The request is in the socket when the server stops accepting.
        """
        self.gate.set()
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.connect(("127.0.0.1", self.port))
        await asyncio.sleep(STEP_SECONDS)
        caller.sendall(REQUEST)
        self.server.start_draining()
        await self.server.read_arrived()
        self.server.stop_accepting()
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(caller, READ_BYTES)
        self.assertTrue(data.endswith(b"done"))

    async def test_connection_that_was_not_accepted_yet(self) -> None:
        """Guards against a loss of what waits at the listener.

        The kernel has accepted the connection and taken the request.
        """
        self.gate.set()
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.connect(("127.0.0.1", self.port))
        caller.sendall(REQUEST)
        self.server.start_draining()
        await self.server.read_arrived()
        self.server.stop_accepting()
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(caller, READ_BYTES)
        self.assertTrue(data.endswith(b"done"))
