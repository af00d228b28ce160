"""HTTP/1.1 server with one listener."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from rattanroute.http1.connection_limits import ConnectionLimit
from rattanroute.http1.exchanges import Disconnect
from rattanroute.http1.exchanges import Exchange
from rattanroute.http1.memory_budgets import MemoryBudget
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.pipelined_requests import PipelinePacer
from rattanroute.http1.server_connections import ServerConnection
from rattanroute.http1.socket_buffers import SocketBuffers
from rattanroute.tasks import wait_for_event

SWEEP_INTERVAL_SECONDS = 0.5
# Steps of the event loop that accept a connection, read from it and start the
# handler of its request.
READ_STEPS = 10

Handler = Callable[[Exchange], Awaitable[None]]


class HttpServer:
    """An HTTP/1.1 server with one listener.

    Args:
        handler: Called to answer each request.
        limits: Limits of requests; its fields may be changed at any time.
        budget: Memory of all clients of the process; by default one of the
            server's own.
        connection_limit: Limit of the connections of all clients of the
            process; by default there is none.
        buffers: Buffers of the sockets of these connections; by default the
            kernel chooses them.
        pacer: Lets connections with pipelined requests take turns, on all
            listeners of the process; by default one of the server's own.

    Attributes:
        connections: Open connections.
        draining_at: Time of the event loop at which draining started; None
            before that.
        draining: Whether connections close once the requests that were read
            are answered.
        closing_idle: Whether connections without a request are closed.
        empty: Set after `stop_accepting` once no connection is open.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: RequestLimits,
        budget: MemoryBudget | None = None,
        connection_limit: ConnectionLimit | None = None,
        buffers: SocketBuffers | None = None,
        pacer: PipelinePacer | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.draining = False
        self.draining_at: float | None = None
        self.closing_idle = False
        self.empty = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        clock = self.loop.time
        self.budget = budget or MemoryBudget(clock=clock)
        self.connection_limit = connection_limit or ConnectionLimit(clock=clock)
        self.buffers = buffers
        self.pacer = pacer or PipelinePacer(clock=clock)
        self.listener: asyncio.Server | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        """Opens the listener and starts the sweep task.

        Raises:
            OSError: If the address is unavailable.
        """
        loop = asyncio.get_running_loop()
        address: dict[str, object] = {"host": host, "port": port}
        if self.buffers is not None:
            address = {"sock": self.buffers.open_listener(host, port)}
        self.listener = await loop.create_server(
            lambda: ServerConnection(server=self),
            backlog=self.connection_limit.backlog,
            **address,
        )
        self.sweeper = loop.create_task(self.sweep())

    async def sweep(self) -> None:
        """Periodically closes idle and slow connections."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            counts_sockets = self.counts_sockets
            for connection in list(self.connections):
                if counts_sockets or connection.memory.socket_bytes:
                    connection.memory.count_socket()
                connection.sweep(loop.time())
            self.budget.enforce()

    @property
    def counts_sockets(self) -> bool:
        """Whether unread responses in the kernel count towards the budget.

        It takes a system call for each connection.
        """
        if self.buffers is None:
            return False
        return len(self.budget.users) > self.buffers.sizes.max_uncounted

    @property
    def busy(self) -> int:
        """Number of requests that are being answered."""
        return sum(x.exchange is not None for x in self.connections)

    def check_empty(self) -> None:
        """Sets `empty` if the server has stopped accepting and has drained."""
        if self.closing_idle and not self.connections:
            self.empty.set()

    def start_draining(self) -> None:
        """Makes each connection close once its requests are answered."""
        self.draining = True
        self.draining_at = self.loop.time()

    async def read_arrived(self) -> None:
        """Accepts connections and reads requests that the kernel holds.

        After a pause of the process there may be some; a close would reset
        them.
        """
        for _ in range(READ_STEPS):
            await asyncio.sleep(0)

    def stop_accepting(self) -> None:
        """Closes the listener and the idle connections.

        `empty` is set once the other connections have closed.
        """
        self.closing_idle = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.sweep(self.loop.time())
        self.check_empty()

    async def wait_until_empty(self, until: float) -> None:
        """Waits until no connection is open after `stop_accepting`.

        Args:
            until: End of the wait, on the event loop's clock.
        """
        await wait_for_event(self.empty, until)

    def end_requests(self) -> None:
        """Makes all handlers refuse or break off their open requests."""
        for connection in list(self.connections):
            connection.end_request()

    async def close(self) -> None:
        """Stops the sweep task; closes the listener and all connections."""
        if self.sweeper is not None:
            self.sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.sweeper
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.log_unsent()
            connection.disconnect_reason = Disconnect.STOP
            connection.close()
