"""A stand-in replica of the platform, run as a process by the soak.

It keeps a record of all that reaches it in a file that outlives it. A plain
service answers after a fixed time. An engine starts without layers, takes
orders, and sends the events of a stream while all members of the chain
answer.
"""

import asyncio
import os
import pathlib
import signal
import time

import click
import msgspec
import uvloop
import xxhash

from rattanroute.errors import RouterError
from rattanroute.gateway.engine_control_clients import EngineControlClient
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.servers import Exchange
from rattanroute.http1.servers import HttpServer
from rattanroute.platform import headers
from rattanroute.platform.replicas import DRAINING
from rattanroute.platform.replicas import ORDER_PATH
from rattanroute.platform.replicas import PlatformOrders
from rattanroute.platform.replicas import READY
from rattanroute.platform.replicas import REPORT_PATH

MEMBER_PATH = b"/standin/member"
MISDIRECTED = 421
UNAVAILABLE = 503
CONFLICT = 409
BEAT_SECONDS = 0.5
ACK_SECONDS = 1.0
# A replica that gets no acknowledgement of its notice ends after this time.
NOTICE_SECONDS = 4.0
STALL_SECONDS = 2.0
EVENT_SECONDS = 0.04
LOAD_SECONDS = 0.2
# Status of a process that a request crashed.
CRASH_STATUS = 70


class StandInSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a stand-in replica.

    Attributes:
        replica_id: Identifier of this start.
        listen: Own address, as `IP:port`.
        advertise: Address for others; that of a proxy, perhaps.
        control: Addresses that take liveness reports.
        records: File of what reached the replica.
        kind: Accelerator; empty for a plain service.
        layers: Layers of the model; 0 for a plain service.
        max_layers: Layers that fit in the memory.
        work_s: Time that a plain call takes.
        drain_s: Time that the replica serves after its notice is taken.
        crash_marker: Content of a body that ends the process once the request
            begins to run; empty for none.
    """

    replica_id: str
    listen: str
    advertise: str
    control: list[str]
    records: str
    service: str
    zone: str
    kind: str = ""
    layers: int = 0
    max_layers: int = 0
    slots: int = 16
    work_s: float = 0.02
    drain_s: float = 2.0
    crash_marker: str = ""


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Something that happened at a replica.

    Attributes:
        at: Time of the system's monotonic clock, in seconds.
        event: `arrival`, `run`, `chain`, `order`, `overload`, `notice` or
            `crash`.
        request_id: Identifier of the request.
        replica_id: The replica.
        service: Its service.
        chain: Layers of each member of a chain, or of an order.
    """

    at: float
    event: str
    request_id: str = ""
    replica_id: str = ""
    service: str = ""
    chain: list[tuple[int, int]] = []


def build_answer(request_id: str, body: bytes) -> bytes:
    """Returns the body of a plain service's answer to a request."""
    return f"{request_id}:{xxhash.xxh3_64_hexdigest(body)}".encode()


def build_event(body: bytes, number: int) -> bytes:
    """Returns an event of the answer to a streamed request."""
    digest = xxhash.xxh3_64_hexdigest(body)
    return b"id: %d\ndata: %s-%d\n\n" % (number, digest.encode(), number)


class StandInReplica:
    """A replica of a plain service or of an engine.

    Args:
        settings: Settings of this start.
    """

    def __init__(self, *, settings: StandInSettings) -> None:
        self.settings = settings
        self.records = os.open(
            settings.records, os.O_WRONLY | os.O_CREAT | os.O_APPEND
        )
        self.engine_control = EngineControlClient(
            pool=ConnectionPool(), codec=PlatformOrders()
        )
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.orders = 0
        self.busy = False
        self.held = (0, 0)
        self.active = 0
        self.draining = False
        self.stalled: dict[str, str] = {}
        self.server = HttpServer(handler=self.handle, limits=RequestLimits())

    def record(self, event: str, **values: object) -> None:
        """Adds a record to the file."""
        settings = self.settings
        entry = Record(
            at=time.monotonic(),
            event=event,
            replica_id=settings.replica_id,
            service=settings.service,
            **values,
        )
        os.write(self.records, msgspec.json.encode(entry) + b"\n")

    async def handle(self, exchange: Exchange) -> None:
        """Answers a request."""
        path = exchange.request.head.path
        if path == REPORT_PATH:
            exchange.send(ResponseHead(status=200), self.describe())
        elif path == ORDER_PATH:
            self.take_order(exchange)
        elif path == MEMBER_PATH:
            self.answer_member(exchange)
        else:
            await self.serve(exchange)

    def describe(self) -> bytes:
        """Returns the report of the replica's state."""
        return msgspec.json.encode(
            {
                "sequence": self.orders,
                "busy": self.busy,
                "born": self.born,
                "active": self.active,
                "layers": {"from": self.held[0], "to": self.held[1]},
                "stalled": [
                    {"id": key, "address": address}
                    for key, address in self.stalled.items()
                ],
            }
        )

    def take_order(self, exchange: Exchange) -> None:
        """Takes an order to hold layers.

        An order for more layers than the memory holds ends the process.
        """
        order = msgspec.json.decode(exchange.request.body)
        wanted = (order["from"], order["to"])
        if order.get("expected", self.orders) != self.orders or self.busy:
            exchange.send(ResponseHead(status=CONFLICT))
            return
        self.record("order", chain=[wanted])
        if wanted[1] - wanted[0] > self.settings.max_layers:
            self.record("overload", chain=[wanted])
            os._exit(1)
        if wanted == self.held:
            exchange.send(ResponseHead(status=200))
            return
        self.orders += 1
        self.busy = True
        kept = (max(wanted[0], self.held[0]), min(wanted[1], self.held[1]))
        self.held = kept if kept[0] < kept[1] else (0, 0)
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_SECONDS, self.finish_load, wanted)
        exchange.send(ResponseHead(status=202))

    def finish_load(self, held: tuple[int, int]) -> None:
        """Holds the layers that were ordered."""
        self.held = held
        self.busy = False

    def answer_member(self, exchange: Exchange) -> None:
        """Tells the first member of a chain whether this one does its part."""
        first, _, end = exchange.request.body.partition(b"-")
        if not self.holds(int(first), int(end)):
            exchange.send(ResponseHead(status=MISDIRECTED))
        else:
            exchange.send(ResponseHead(status=200))

    def holds(self, first: int, end: int) -> bool:
        """Whether the replica holds layers."""
        return self.held[0] <= first < end <= self.held[1]

    async def serve(self, exchange: Exchange) -> None:
        """Serves a request of a caller."""
        values = exchange.request.head.headers
        request_id = (
            find_header(values, headers.REQUEST_ID.lower()) or b""
        ).decode()
        self.record("arrival", request_id=request_id)
        expected = find_header(values, headers.EXPECTED_TARGET.lower())
        if expected not in (None, self.settings.replica_id.encode()):
            self.refuse(exchange, MISDIRECTED, request_id)
            return
        if self.active >= self.settings.slots:
            self.refuse(exchange, UNAVAILABLE, request_id)
            return
        self.active += 1
        try:
            if self.settings.layers:
                await self.stream(exchange, request_id)
            else:
                await self.answer(exchange, request_id)
        finally:
            self.active -= 1

    def begin(self, request_id: str, body: bytes) -> None:
        """Begins to run a request, which may end the process."""
        self.record("run", request_id=request_id)
        marker = self.settings.crash_marker
        if marker and marker.encode() in body:
            self.record("crash", request_id=request_id)
            os._exit(CRASH_STATUS)

    def refuse(
        self, exchange: Exchange, status: int, request_id: str, at: str = ""
    ) -> None:
        """Answers that the request did not run."""
        fields = [
            (headers.REQUEST_ID, request_id.encode()),
            (headers.NOT_RUN, b"1"),
        ]
        if at:
            fields.append((headers.FAULTY_TARGET, at.encode()))
        exchange.send(ResponseHead(status=status, headers=fields))

    def build_head(self, request_id: str) -> ResponseHead:
        """Returns the head of an answer."""
        return ResponseHead(
            status=200,
            headers=[
                (headers.REQUEST_ID, request_id.encode()),
                (headers.STAMP, self.settings.replica_id.encode()),
            ],
        )

    async def answer(self, exchange: Exchange, request_id: str) -> None:
        """Runs a plain call."""
        self.begin(request_id, exchange.request.body)
        await asyncio.sleep(self.settings.work_s)
        body = build_answer(request_id, exchange.request.body)
        exchange.send(self.build_head(request_id), body)

    async def stream(self, exchange: Exchange, request_id: str) -> None:
        """Sends the events of a stream over a chain."""
        values = exchange.request.head.headers
        chain = self.read_chain(values)
        own = chain[0]
        if not self.holds(own[1], own[2]):
            at = self.settings.advertise
            self.refuse(exchange, MISDIRECTED, request_id, at)
            return
        self.record(
            "chain", request_id=request_id, chain=[x[1:] for x in chain]
        )
        failed = await self.check_members(request_id, chain[1:])
        if failed:
            status, address = failed
            self.refuse(exchange, status, request_id, address)
            return
        last = find_header(values, headers.LAST_EVENT.lower()) or b"0"
        tokens = find_header(values, headers.TOKENS.lower()) or b"0,0"
        count = int(tokens.partition(b",")[2])
        self.begin(request_id, exchange.request.body)
        exchange.start(self.build_head(request_id))
        for number in range(int(last) + 1, count + 1):
            await asyncio.sleep(EVENT_SECONDS)
            if exchange.disconnected:
                return
            if await self.check_members(request_id, chain[1:]):
                exchange.abort()
                return
            exchange.write(build_event(exchange.request.body, number))
        exchange.end()

    def read_chain(
        self, values: list[tuple[bytes, bytes]]
    ) -> list[tuple[str, int, int]]:
        """Returns address, first layer and end of each member."""
        text = find_header(values, headers.CHAIN.lower())
        if text is None:
            return [(self.settings.advertise, 0, self.settings.layers)]
        chain = []
        for part in text.decode().split(","):
            address, _, layers = part.partition("=")
            first, _, end = layers.partition("-")
            chain.append((address, int(first), int(end)))
        return chain

    async def check_members(
        self, request_id: str, members: list[tuple[str, int, int]]
    ) -> tuple[int, str] | None:
        """Returns status and address of a member that fails, if any."""
        for address, first, end in members:
            self.stalled[request_id] = address
            try:
                status = await self.ask_member(address, first, end)
            finally:
                del self.stalled[request_id]
            if status != 200:
                return status, address
        return None

    async def ask_member(self, address: str, first: int, end: int) -> int:
        """Asks a member to do its part; a dead one is 503 after a while."""
        question = RequestHead(method=b"POST", target=MEMBER_PATH, headers=[])
        try:
            async with asyncio.timeout(STALL_SECONDS):
                answer, _ = await self.engine_control.send(
                    address, question, b"%d-%d" % (first, end)
                )
        except (TimeoutError, RouterError):
            return UNAVAILABLE
        return answer.status

    async def beat(self) -> bool:
        """Sends a liveness report; returns whether it was acknowledged."""
        settings = self.settings
        self.sequence += 1
        report: dict[str, object] = {
            "service": settings.service,
            "address": settings.advertise,
            "zone": settings.zone,
            "slots": settings.slots,
            "state": DRAINING if self.draining else READY,
            "sequence": self.sequence,
            "born": self.born,
        }
        if settings.layers:
            report["kind"] = settings.kind
            report["layers"] = {"from": self.held[0], "to": self.held[1]}
        return await self.call_control(b"PUT", msgspec.json.encode(report))

    async def call_control(self, method: bytes, body: bytes) -> bool:
        """Calls the control addresses in turn until one acknowledges."""
        path = b"/rattanroute/replicas/" + self.settings.replica_id.encode()
        head = RequestHead(method=method, target=path, headers=[])
        control = self.settings.control
        start = self.sequence % len(control)
        for address in control[start:] + control[:start]:
            try:
                async with asyncio.timeout(ACK_SECONDS):
                    answer, _ = await self.engine_control.send(
                        address, head, body
                    )
            except (TimeoutError, RouterError):
                continue
            if answer.status == 200:
                return True
        return False

    async def run(self) -> None:
        """Serves until a signal; then leaves as planned."""
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        host, _, port = self.settings.listen.rpartition(":")
        await self.server.start(host, int(port))
        while not stopped.is_set():
            await self.beat()
            try:
                async with asyncio.timeout(BEAT_SECONDS):
                    await stopped.wait()
            except TimeoutError:
                continue
        await self.leave()

    async def leave(self) -> None:
        """Gives notice, serves for a while and ends."""
        self.draining = True
        try:
            async with asyncio.timeout(NOTICE_SECONDS):
                while not await self.beat():
                    await asyncio.sleep(BEAT_SECONDS / 2)
        except TimeoutError:
            return
        self.record("notice")
        # The time for which a departing replica goes on, and its open work.
        await asyncio.sleep(self.settings.drain_s + 1.0)
        while self.active:
            await asyncio.sleep(EVENT_SECONDS)
        await self.call_control(b"DELETE", b"")


@click.command()
@click.option(
    "--config", required=True, type=click.Path(path_type=pathlib.Path)
)
def main(config: pathlib.Path) -> None:
    """Run a stand-in replica."""
    settings = msgspec.json.decode(config.read_bytes(), type=StandInSettings)

    async def run() -> None:
        await StandInReplica(settings=settings).run()

    uvloop.run(run())


if __name__ == "__main__":
    main()
