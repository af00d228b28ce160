"""Clients of a soak with planned work: long streams over kept connections."""

import asyncio
from collections.abc import Callable
import dataclasses
import random as randoms
import socket

from rattanroute.errors import RouterError
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import encode_request
from rattanroute.platform.standin_records import WIDE_PREFIX
from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import Machine
from rattanroute.tools.soak_clients import ClientSink
from rattanroute.tools.soak_clients import CONNECT_TIMEOUT_SECONDS
from rattanroute.tools.soak_clients import FrontSelector
from rattanroute.tools.soak_clients import SoakClient
from rattanroute.tools.soak_clients import THINK_SECONDS
from rattanroute.tools.soak_crashing_clients import FIRST_PART
from rattanroute.tools.soak_records import Attempt
from rattanroute.tools.soak_records import SoakLog

LONG_CLIENTS_PER_ZONE = 3
# A small buffer, so that a slow reader's answer waits at the front.
RECEIVE_BUFFER_BYTES = 16_384
# A slow reader pauses after this many bytes, mostly for a short time.
READ_BYTES = 65_536
READ_POLL_SECONDS = 0.02
SHORT_PAUSE_SECONDS = (0.05, 0.2)
LONG_PAUSE_SECONDS = (1.0, 2.5)
LONG_PAUSE_PROBABILITY = 0.05
# A second request follows an open one after up to this time.
MAX_BEHIND_SECONDS = 2.0
REPEATABLE_KINDS = (CallKind.REPEATABLE, CallKind.STREAM)


@dataclasses.dataclass(kw_only=True)
class SlowClient(SoakClient):
    """Reads large answers with pauses."""

    async def open(self, front: Machine) -> ClientConnection:
        """Opens a connection with a small receive buffer.

        Raises:
            OSError: If it cannot be opened.
            TimeoutError: If it cannot be opened in time.
        """
        loop = asyncio.get_running_loop()
        host, _, port = front.front_address.rpartition(":")
        opened = socket.socket()
        opened.setblocking(False)
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.sock_connect(opened, (host, int(port)))
        except (OSError, TimeoutError):
            opened.close()
            raise
        _, connection = await loop.create_connection(
            lambda: ClientConnection(address=front.front_address), sock=opened
        )
        connection.pool = ConnectionPool()
        return connection

    async def wait_for_end(
        self, connection: ClientConnection, sink: ClientSink, seconds: float
    ) -> None:
        """Reads in turns with pauses until the response ends."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        read = 0
        while not sink.ended.done() and loop.time() < end:
            await asyncio.wait((sink.ended,), timeout=READ_POLL_SECONDS)
            if len(sink.body) - read >= READ_BYTES:
                connection.pause()
                await asyncio.sleep(self.draw_pause())
                connection.resume()
                read = len(sink.body)
        left_s = max(0.0, end - loop.time())
        await super().wait_for_end(connection, sink, left_s)

    def draw_pause(self) -> float:
        """Returns the duration of a pause, in seconds."""
        if self.random.random() < LONG_PAUSE_PROBABILITY:
            return self.random.uniform(*LONG_PAUSE_SECONDS)
        return self.random.uniform(*SHORT_PAUSE_SECONDS)

    def start_attempt(
        self, kind: CallKind, expected_events: int, time_left_s: float
    ) -> Attempt:
        """Returns an attempt of a slow reader."""
        attempt = super().start_attempt(kind, expected_events, time_left_s)
        attempt.slow = True
        return attempt


class PipelineSink(ClientSink):
    """Collects a response, and then the next one of its connection.

    Args:
        connection: The connection.

    Attributes:
        successor: Receives the next response; None if no request follows.
    """

    def __init__(self, connection: ClientConnection) -> None:
        super().__init__()
        self.connection = connection
        self.successor: PipelineSink | None = None

    def receive_end(self) -> None:
        """Expects the next response if a request has been sent for it."""
        super().receive_end()
        if self.successor is not None:
            self.connection.sink = self.successor
            self.connection.parser.expect(self.connection, b"POST")

    def receive_error(self, error: RouterError) -> None:
        """Ends both responses."""
        super().receive_error(error)
        if self.successor is not None:
            self.successor.receive_error(error)


@dataclasses.dataclass(kw_only=True, slots=True)
class OpenRequest:
    """A request that waits for its response."""

    attempt: Attempt
    body: bytes
    sink: PipelineSink


@dataclasses.dataclass(kw_only=True)
class PipeliningClient(SoakClient):
    """Sends a second request of a repeatable kind behind an open one."""

    async def run(self, is_finished: Callable[[], bool]) -> None:
        """Sends pairs of requests until the soak is over."""
        while not is_finished():
            await self.send_pair()
            await asyncio.sleep(THINK_SECONDS * self.random.random())

    async def send_pair(self) -> None:
        """Sends a stream and, while it is open, a second request."""
        connection = await self.connect()
        if connection is None:
            return
        first = self.build_request(
            connection, CallKind.STREAM, self.log.shape.max_events
        )
        head = self.build_head(first.attempt, first.body)
        connection.send(head, first.body, first.sink)
        first_done = asyncio.ensure_future(self.finish(connection, first))
        delay_s = self.random.uniform(0.0, MAX_BEHIND_SECONDS)
        kind = self.random.choice(REPEATABLE_KINDS)
        await asyncio.wait((first.sink.ended,), timeout=delay_s)
        if not first.sink.ended.done() and connection.usable:
            second = self.build_request(
                connection, kind, self.log.shape.max_events // 2
            )
            second.attempt.behind = True
            first.sink.successor = second.sink
            head = self.build_head(second.attempt, second.body)
            connection.transport.write(encode_request(head, second.body))
            await self.finish(connection, second, first.sink)
        await first_done
        if not connection.usable or connection.sink is not None:
            self.connection = None
            connection.cancel()

    def build_request(
        self, connection: ClientConnection, kind: CallKind, max_events: int
    ) -> OpenRequest:
        """Returns a request that is sent now."""
        shape = self.log.shape
        events = self.random.randint(shape.min_events, max_events)
        return OpenRequest(
            attempt=self.start_attempt(
                kind,
                events if kind is CallKind.STREAM else 0,
                shape.timeout_s(kind),
            ),
            body=self.build_body(),
            sink=PipelineSink(connection),
        )

    async def finish(
        self,
        connection: ClientConnection,
        request: OpenRequest,
        previous: PipelineSink | None = None,
    ) -> None:
        """Waits for the response of a request and records it.

        Args:
            connection: The connection of both requests.
            request: The request.
            previous: Receives the response before it, if any.
        """
        seconds = 2 * self.log.shape.timeout_s(CallKind.STREAM)
        await self.wait_for_end(connection, request.sink, seconds)
        if previous is not None:
            request.attempt.turn_at = previous.ended_at
        self.record_outcome(request.attempt, request.body, request.sink)
        self.log.attempts.append(request.attempt)


def build_planned_clients(
    seed: int,
    *,
    zones: tuple[str, ...],
    front_selector: FrontSelector,
    log: SoakLog,
    pipelining: bool,
) -> list[SoakClient]:
    """Builds the clients of all zones.

    Args:
        seed: Seed of the traffic.
        zones: The zones.
        front_selector: Chooses fronts for new connections.
        log: Records the attempts.
        pipelining: Whether some send a second request behind an open one.
    """
    clients: list[SoakClient] = []

    def add(
        client_type: type[SoakClient], zone: str, name: str, **values: object
    ) -> None:
        clients.append(
            client_type(
                name=f"{zone}-{name}",
                zone=zone,
                front_selector=front_selector,
                log=log,
                random=randoms.Random(f"{seed} {zone} {name}"),
                parts=(FIRST_PART,),
                **values,
            )
        )

    for zone in zones:
        for number in range(LONG_CLIENTS_PER_ZONE):
            add(SoakClient, zone, f"long-{number}", kinds=(CallKind.STREAM,))
        add(SoakClient, zone, "short", kinds=tuple(CallKind))
        add(
            SlowClient,
            zone,
            "slow",
            kinds=(CallKind.STREAM,),
            prefix=WIDE_PREFIX,
        )
        if pipelining:
            add(PipeliningClient, zone, "pair")
    return clients
