"""Tests of connections that a target closes as soon as they are open."""

import asyncio
import unittest

from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool


class ClosedAtOnceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a request that is written to a closed connection."""

    async def test_close_before_the_connection_is_used(self) -> None:
        """Guards against an error that is not a failed connection.

        The close is read in the step in which the connection is open.
        """
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection

        async def create_and_close(*args: object) -> tuple[object, object]:
            transport, connection = await create_connection(*args)
            transport.abort()
            return transport, connection

        loop.create_connection = create_and_close
        with self.assertRaises(ConnectError):
            await ConnectionPool().take(
                f"{host}:{port}", timeout_s=1.0, identifier=None
            )
        server.close()

    async def test_close_of_an_idle_connection(self) -> None:
        """Guards against reuse before the close is handled."""
        server = await asyncio.start_server(
            lambda reader, writer: None, "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool()
        address = f"{host}:{port}"
        first = await pool.take(address, timeout_s=1.0, identifier=None)
        pool.put(first)
        first.transport.abort()
        second = await pool.take(address, timeout_s=1.0, identifier=None)
        self.assertIsInstance(second, ClientConnection)
        self.assertIsNot(second, first)
        second.close()
        server.close()
