"""TCP proxy that injects faults between processes under test.

`PUT /faults` on the control address replaces the list of faults, which apply
to open and new connections. `PUT /routes` replaces the list of routes.
"""

import asyncio
import dataclasses
import enum
import fnmatch
import sys

from aiohttp import web
import msgspec
import uvloop

from rattanroute.tasks import run_concurrently

CHUNK_BYTES = 64 * 1024
POLL_SECONDS = 0.01


class FaultKind(enum.StrEnum):
    """Effects of a fault on the connections that it matches."""

    HOLD = "hold"
    RESET = "reset"
    REFUSE = "refuse"
    DELAY = "delay"
    SLOW = "slow"


class Direction(enum.StrEnum):
    """Directions of the data that a fault affects."""

    BOTH = "both"
    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A listening address and the upstream of its connections.

    Attributes:
        name: Name that the patterns of faults match.
        listen: Listening address, as `IP:port`.
        upstream: Address that connections are forwarded to, as `IP:port`.
    """

    name: str
    listen: str
    upstream: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """A fault on the routes whose name matches a pattern.

    Attributes:
        route: Shell-style pattern of route names.
        kind: HOLD withholds data, like a network partition that is short
            enough for TCP connections to survive; RESET aborts connections;
            REFUSE aborts new connections only; DELAY and SLOW act on each
            chunk of data.
        source: Prefix of the client's IP address; empty for all clients.
        direction: Direction in which data is affected.
        seconds: Delay of each chunk, in seconds.
        bytes_per_second: Data rate of a slow link.
        after_bytes: Bytes sent to the client before a RESET takes effect.
    """

    route: str
    kind: FaultKind
    source: str = ""
    direction: Direction = Direction.BOTH
    seconds: float = 0.0
    bytes_per_second: float = 0.0
    after_bytes: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Connection:
    """A client's connection through a route.

    Attributes:
        route: Name of the route.
        source: IP address of the client.
        bytes_to_client: Bytes forwarded to the client so far.
    """

    route: str
    source: str
    bytes_to_client: int = 0


class FaultProxy:
    """Forwards the connections of all routes and applies the faults."""

    def __init__(self) -> None:
        self.faults: tuple[Fault, ...] = ()
        self.servers: dict[Route, asyncio.Server] = {}
        self.connections: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Closes all routes and connections."""
        await self.set_routes([])
        for task in self.connections:
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    def find_matching_faults(
        self, connection: Connection, direction: Direction
    ) -> list[Fault]:
        """Returns the faults that apply to one direction of a connection."""
        return [
            fault
            for fault in self.faults
            if fault.direction in (Direction.BOTH, direction)
            and connection.source.startswith(fault.source)
            and fnmatch.fnmatchcase(connection.route, fault.route)
        ]

    async def set_routes(self, routes: list[Route]) -> None:
        """Opens new routes and closes those no longer listed."""
        for route in list(self.servers):
            if route not in routes:
                self.servers.pop(route).close()
        for route in routes:
            if route not in self.servers:
                self.servers[route] = await self.open_route(route)

    async def open_route(self, route: Route) -> asyncio.Server:
        """Starts listening for connections of a route."""

        def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.create_task(self.serve(route, reader, writer))
            self.connections.add(task)
            task.add_done_callback(self.connections.discard)

        host, _, port = route.listen.rpartition(":")
        return await asyncio.start_server(serve, host, int(port))

    async def serve(
        self,
        route: Route,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forwards one connection until both directions end or one fails."""
        source = writer.get_extra_info("peername")[0]
        connection = Connection(route=route.name, source=source)
        host, _, port = route.upstream.rpartition(":")
        writers = [writer]
        try:
            await self.wait_while_held(connection)
            server = await asyncio.open_connection(host, int(port))
            writers.append(server[1])
            await run_concurrently(
                self.forward_direction(
                    connection, Direction.TO_SERVER, reader, server[1]
                ),
                self.forward_direction(
                    connection, Direction.TO_CLIENT, server[0], writer
                ),
                until=asyncio.FIRST_EXCEPTION,
            )
        except OSError:
            for side in writers:
                side.transport.abort()
        finally:
            for side in writers:
                side.close()

    async def wait_while_held(self, connection: Connection) -> None:
        """Waits while a HOLD fault applies to a new connection.

        Raises:
            ConnectionRefusedError: If a fault refuses or resets it.
        """
        while True:
            faults = self.find_matching_faults(connection, Direction.TO_SERVER)
            kinds = {f.kind for f in faults if f.after_bytes == 0}
            if kinds & {FaultKind.REFUSE, FaultKind.RESET}:
                raise ConnectionRefusedError("refused by a fault")
            if FaultKind.HOLD not in kinds:
                return
            await asyncio.sleep(POLL_SECONDS)

    async def forward_direction(
        self,
        connection: Connection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forwards one direction of a connection, including its end of file.

        Raises:
            ConnectionResetError: If a fault resets the connection.
        """
        while True:
            read = asyncio.ensure_future(reader.read(CHUNK_BYTES))
            while not read.done():
                self.raise_on_reset(connection, direction)
                await asyncio.wait([read], timeout=5 * POLL_SECONDS)
            data = read.result()
            await self.apply_faults(connection, direction, len(data))
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            if direction is Direction.TO_CLIENT:
                connection.bytes_to_client += len(data)
            writer.write(data)
            await writer.drain()

    def raise_on_reset(
        self, connection: Connection, direction: Direction
    ) -> None:
        """Raises an error if a RESET fault applies to the connection.

        Raises:
            ConnectionResetError: If one does.
        """
        for fault in self.find_matching_faults(connection, direction):
            if (
                fault.kind is FaultKind.RESET
                and connection.bytes_to_client >= fault.after_bytes
            ):
                raise ConnectionResetError("reset by a fault")

    async def apply_faults(
        self, connection: Connection, direction: Direction, size: int
    ) -> None:
        """Waits before a chunk is forwarded, according to the faults.

        Raises:
            ConnectionResetError: If a fault resets the connection.
        """
        while any(
            fault.kind is FaultKind.HOLD
            for fault in self.find_matching_faults(connection, direction)
        ):
            await asyncio.sleep(POLL_SECONDS)
        self.raise_on_reset(connection, direction)
        wait = 0.0
        for fault in self.find_matching_faults(connection, direction):
            if fault.kind is FaultKind.DELAY:
                wait += fault.seconds
            elif fault.kind is FaultKind.SLOW:
                wait += size / fault.bytes_per_second
        if wait:
            await asyncio.sleep(wait)


class ControlServer:
    """HTTP interface that sets the routes and faults of a proxy.

    Args:
        proxy: Proxy to control.
    """

    def __init__(self, *, proxy: FaultProxy) -> None:
        self.proxy = proxy

    def build_application(self) -> web.Application:
        """Returns the web application."""
        application = web.Application()
        application.router.add_put("/routes", self.put_routes)
        application.router.add_put("/faults", self.put_faults)
        return application

    async def put_routes(self, http_request: web.Request) -> web.Response:
        """Replaces the routes."""
        routes = msgspec.json.decode(
            await http_request.read(), type=list[Route]
        )
        await self.proxy.set_routes(routes)
        return web.json_response({"routes": len(routes)})

    async def put_faults(self, http_request: web.Request) -> web.Response:
        """Replaces the faults."""
        faults = msgspec.json.decode(
            await http_request.read(), type=list[Fault]
        )
        self.proxy.faults = tuple(faults)
        return web.json_response({"faults": len(faults)})


async def run(control: str) -> None:
    """Serves the control address until cancelled."""
    runner = web.AppRunner(
        ControlServer(proxy=FaultProxy()).build_application()
    )
    await runner.setup()
    host, _, port = control.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()


def main() -> None:
    """Run the proxy; the argument is the control address."""
    uvloop.run(run(sys.argv[1]))


if __name__ == "__main__":
    main()
