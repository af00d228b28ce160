"""A TCP proxy that injects faults between processes under test.

`PUT /faults` on the control address replaces the list of faults; they act on
open connections and on new ones. `PUT /routes` replaces the list of routes.
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
    """What a fault does to the connections that it matches."""

    HOLD = "hold"
    RESET = "reset"
    REFUSE = "refuse"
    DELAY = "delay"
    SLOW = "slow"


class Direction(enum.StrEnum):
    """The side whose bytes a fault acts on."""

    BOTH = "both"
    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A listening address and where its connections go."""

    name: str
    listen: str
    upstream: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """A fault on the routes whose name matches a pattern.

    Attributes:
        route: Shell-style pattern of route names.
        kind: HOLD keeps bytes back, as a cut that TCP outlives; RESET closes
            with a reset; REFUSE resets new connections only; DELAY and SLOW
            act on each piece of data.
        source: Prefix of the client's IP number.
        direction: Side whose bytes are held, delayed or slowed.
        seconds: Delay of each piece.
        bytes_per_second: Rate of a slow link.
        after_bytes: Bytes to the client after which a RESET strikes.
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
    """A client's connection through a route."""

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

    def matching(
        self, connection: Connection, direction: Direction
    ) -> list[Fault]:
        """Returns the faults on one direction of a connection."""
        return [
            fault
            for fault in self.faults
            if fault.direction in (Direction.BOTH, direction)
            and connection.source.startswith(fault.source)
            and fnmatch.fnmatchcase(connection.route, fault.route)
        ]

    async def set_routes(self, routes: list[Route]) -> None:
        """Opens new routes and closes those that are gone."""
        for route in list(self.servers):
            if route not in routes:
                self.servers.pop(route).close()
        for route in routes:
            if route not in self.servers:
                self.servers[route] = await self.open_route(route)

    async def open_route(self, route: Route) -> asyncio.Server:
        """Listens for the connections of a route."""

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
        """Forwards one connection until one side ends or a reset strikes."""
        source = writer.get_extra_info("peername")[0]
        connection = Connection(route=route.name, source=source)
        host, _, port = route.upstream.rpartition(":")
        writers = [writer]
        try:
            await self.wait_opening(connection)
            server = await asyncio.open_connection(host, int(port))
            writers.append(server[1])
            await run_concurrently(
                self.pump(connection, Direction.TO_SERVER, reader, server[1]),
                self.pump(connection, Direction.TO_CLIENT, server[0], writer),
                until=asyncio.FIRST_EXCEPTION,
            )
        except OSError:
            for side in writers:
                side.transport.abort()
        finally:
            for side in writers:
                side.close()

    async def wait_opening(self, connection: Connection) -> None:
        """Waits while a new connection is held.

        Raises:
            ConnectionRefusedError: If a fault refuses the connection.
        """
        while True:
            faults = self.matching(connection, Direction.TO_SERVER)
            kinds = {f.kind for f in faults if f.after_bytes == 0}
            if kinds & {FaultKind.REFUSE, FaultKind.RESET}:
                raise ConnectionRefusedError("refused by a fault")
            if FaultKind.HOLD not in kinds:
                return
            await asyncio.sleep(POLL_SECONDS)

    async def pump(
        self,
        connection: Connection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forwards one direction and passes its end on.

        Raises:
            ConnectionResetError: If a fault resets the connection.
        """
        while True:
            read = asyncio.ensure_future(reader.read(CHUNK_BYTES))
            while not read.done():
                self.check_reset(connection, direction)
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

    def check_reset(self, connection: Connection, direction: Direction) -> None:
        """Raises when a reset strikes the connection."""
        for fault in self.matching(connection, direction):
            if (
                fault.kind is FaultKind.RESET
                and connection.bytes_to_client >= fault.after_bytes
            ):
                raise ConnectionResetError("reset by a fault")

    async def apply_faults(
        self, connection: Connection, direction: Direction, size: int
    ) -> None:
        """Waits as the faults demand before a piece is forwarded."""
        while any(
            fault.kind is FaultKind.HOLD
            for fault in self.matching(connection, direction)
        ):
            await asyncio.sleep(POLL_SECONDS)
        self.check_reset(connection, direction)
        wait = 0.0
        for fault in self.matching(connection, direction):
            if fault.kind is FaultKind.DELAY:
                wait += fault.seconds
            elif fault.kind is FaultKind.SLOW:
                wait += size / fault.bytes_per_second
        if wait:
            await asyncio.sleep(wait)


class ControlServer:
    """HTTP interface that sets routes and faults.

    Args:
        proxy: The proxy.
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
    """Serves the control address for ever."""
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
