"""A gateway with scripted targets on loopback connections, for tests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import unittest

from rattanroute.gateway.chain_finders import ChainFinder
from rattanroute.gateway.crash_detectors import CrashDetector
from rattanroute.gateway.engine_control_clients import EngineControlClient
from rattanroute.gateway.handlers import GatewayHandler
from rattanroute.gateway.outcomes import CallFinisher
from rattanroute.gateway.send_budgets import SendBudget
from rattanroute.gateway.service_forwarders import ServiceForwarder
from rattanroute.gateway.stall_inspectors import StallInspector
from rattanroute.gateway.stream_forwarders import StreamForwarder
from rattanroute.gateway.stream_health import StreamHealthRecorder
from rattanroute.gateway.target_probes import TargetProbes
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.servers import Exchange
from rattanroute.http1.servers import HttpServer
from rattanroute.metrics import MetricsRegistry
from rattanroute.platform.headers import PlatformHeaderCodec
from rattanroute.platform.replica_codecs import ReplicaCodec
from rattanroute.systems.chain_choices import ChainChooser
from rattanroute.systems.chain_rooms import ChainRoomEstimator
from rattanroute.systems.crash_bans import CrashBanSystem
from rattanroute.systems.outlier_detections import OutlierDetectionSystem
from rattanroute.systems.retry_budgets import RetryBudget
from rattanroute.systems.version_freshness import ConfigurationLag
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import index_routes
from rattanroute.tables.routes import Route
from rattanroute.tables.routes import RouteKind
from rattanroute.tables.routes import RoutingTable
from rattanroute.tables.routes import Split
from rattanroute.tables.routes import WorkspaceKey
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.gateway_support import build_limiter
from rattanroute.tests.gateway_support import build_service
from rattanroute.tests.gateway_support import LAYERS
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.support import MemberStub

# Name of the service that is not an engine.
PLAIN_SERVICE = "desk"
STAMP = (b"Rattanroute-Replica-Stamp", b"s")

Script = Callable[["FakeTarget", Exchange], Awaitable[None]]


class FakeTarget:
    """A target that answers requests with a script of the test.

    Attributes:
        script: Answers each request except state queries.
        seen: Requests that arrived, without state queries.
        disconnected: Set when a client closes its connection before the answer.
        report: Body of the answer to state queries.
        report_delay_s: Delay of that answer, in seconds.
    """

    def __init__(self, *, target_id: str, script: Script) -> None:
        self.target_id = target_id
        self.script = script
        self.seen: list[Exchange] = []
        self.disconnected = asyncio.Event()
        self.report = b"{}"
        self.report_delay_s = 0.0

    async def start(self) -> None:
        """Opens the listener."""
        self.server = HttpServer(handler=self.handle, limits=RequestLimits())
        await self.server.start("127.0.0.1", 0)
        port = self.server.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def handle(self, exchange: Exchange) -> None:
        """Answers a request."""
        if exchange.request.head.path == b"/rattanroute/report":
            await asyncio.sleep(self.report_delay_s)
            exchange.send(ResponseHead(status=200), self.report)
            return
        exchange.on_disconnect = self.disconnected.set
        self.seen.append(exchange)
        await self.script(self, exchange)

    def header(self, number: int, name: bytes) -> bytes | None:
        """Returns a header of a received request."""
        return find_header(self.seen[number].request.head.headers, name)


def build_head(
    exchange: Exchange, status: int = 200, **options: float
) -> ResponseHead:
    """Builds the head of a target's answer."""
    request_id = find_header(
        exchange.request.head.headers, b"rattanroute-request-id"
    )
    headers = [(b"Rattanroute-Request-Id", request_id)]
    if options.get("stamped", True):
        headers.append(STAMP)
    if options.get("not_run", False):
        headers.append((b"Rattanroute-Not-Executed", b"1"))
    if options.get("leaving", False):
        headers.append((b"Server-Leaving", b"1"))
    if "limit_per_s" in options:
        headers.append((b"Server-Limit", b"%g" % options["limit_per_s"]))
    if "pause_s" in options:
        headers.append((b"Retry-After", b"%g" % options["pause_s"]))
    return ResponseHead(status=status, headers=headers)


def build_events(first: int, end: int) -> bytes:
    """Builds the events numbered from `first` to before `end`."""
    return b"".join(
        b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(first, end)
    )


@dataclasses.dataclass(kw_only=True)
class Answer:
    """The answer that a client received.

    Attributes:
        status: Status; 0 if there was no answer.
        headers: Values by lower-case name.
        body: Decoded body.
        complete: Whether the body ended as its framing requires.
    """

    status: int = 0
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


def decode_answer(data: bytes) -> Answer:
    """Decodes the bytes that a client received on a connection."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return Answer()
    lines = head.split(b"\r\n")
    headers = dict(line.lower().split(b": ", 1) for line in lines[1:])
    answer = Answer(status=int(lines[0].split()[1]), headers=headers)
    if b"content-length" in headers:
        answer.body = rest
        answer.complete = len(rest) == int(headers[b"content-length"])
        return answer
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if size == b"0":
            answer.complete = True
            break
        answer.body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return answer


class ConfigurationStub:
    """A configuration that is confirmed as the test says.

    Attributes:
        confirmed: Whether the configuration counts as current.
        confirmations: Number of calls that asked for the newest one.
    """

    def __init__(self) -> None:
        self.confirmed = True
        self.confirmations = 0

    def measure_lag(self) -> ConfigurationLag:
        """Returns that nothing is known."""
        return ConfigurationLag()

    def is_confirmed(self, within_s: float) -> bool:
        """Whether the configuration counts as current."""
        return self.confirmed

    def confirm(self) -> None:
        """Counts the call."""
        self.confirmations += 1


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with its own gateway and targets."""

    async def asyncSetUp(self) -> None:
        """Starts the gateway."""
        self.targets = TargetTable()
        self.pool = ConnectionPool()
        self.suspected: list[str] = []
        self.departed: set[str] = set()
        self.bans = CrashBanSystem(
            vm_id="front-1",
            voter=False,
            members=lambda: (MemberStub(vm_id="front-1"),),
        )
        self.table = build_table()
        self.configuration = ConfigurationStub()
        self.handler = self.build_handler()
        self.server = HttpServer(
            handler=self.handler.handle, limits=RequestLimits()
        )
        await self.server.start("127.0.0.1", 0)
        self.port = self.server.listener.sockets[0].getsockname()[1]

    async def asyncTearDown(self) -> None:
        """Closes the gateway and its connections."""
        await self.server.close()
        self.pool.close()

    def build_handler(self) -> GatewayHandler:
        """Builds the gateway's handler with its forwarders."""
        codec = PlatformHeaderCodec()
        limiter = build_limiter(self.targets)
        selector = TargetSelector(
            data_centre="dc-a",
            targets=self.targets,
            detections=OutlierDetectionSystem(targets=self.targets),
            limiter=limiter,
            has_departed=lambda report: report.target_id in self.departed,
            suspect=lambda row: self.suspected.append(row.report.target_id),
            announce_departure=lambda report: self.departed.add(
                report.target_id
            ),
            random=random.Random(1),
        )
        probes = TargetProbes(pool=self.pool)
        self.crashes = CrashDetector(
            probes=probes,
            targets=self.targets,
            bans=self.bans,
            lost_attempts=MetricsRegistry().lost_attempts,
        )
        shared = {
            "crashes": self.crashes,
            "codec": codec,
            "pool": self.pool,
            "selector": selector,
            "budget": SendBudget(
                retry_budget=RetryBudget(ratio=0.2, extra=100, window_s=10),
                vms=lambda: 1,
            ),
            "finisher": CallFinisher(codec=codec, random=random.Random(1)),
        }
        engine_control = EngineControlClient(
            pool=self.pool, codec=ReplicaCodec()
        )
        loads = EngineLoadTable()
        self.streams = StreamForwarder(
            **shared,
            probes=probes,
            finder=ChainFinder(
                selector=selector,
                chooser=ChainChooser(
                    data_centre="dc-a",
                    targets=self.targets,
                    loads=loads,
                    random=random.Random(1),
                    is_usable=selector.is_usable,
                    vms=lambda: 1,
                    limiter=limiter,
                    rooms=ChainRoomEstimator(
                        targets=self.targets,
                        loads=loads,
                        random=random.Random(1),
                        arrival_rate=lambda service, now: 0.0,
                    ),
                ),
            ),
            health=StreamHealthRecorder(
                selector=selector, crashes=self.crashes
            ),
            inspector=StallInspector(
                engine_control=engine_control, selector=selector
            ),
        )
        startup_done = asyncio.Event()
        startup_done.set()
        return GatewayHandler(
            codec=codec,
            routing=lambda: self.table,
            services=ServiceForwarder(**shared),
            streams=self.streams,
            random=random.Random(1),
            startup_done=startup_done,
            configuration=self.configuration,
        )

    async def add_target(
        self, target_id: str, script: Script, *, service: str = PLAIN_SERVICE
    ) -> FakeTarget:
        """Starts a target and records its first report."""
        target = FakeTarget(target_id=target_id, script=script)
        await target.start()
        self.addAsyncCleanup(target.server.close)
        self.record_target(target_id, target.address, service)
        return target

    def record_target(self, target_id: str, address: str, service: str) -> None:
        """Records the first report of a target; an engine has all layers."""
        layers = LAYERS if service == SERVICE else 0
        report = TargetReport(
            target_id=target_id,
            address=address,
            data_centre=f"dc-{target_id}" if layers else "dc-a",
            model=service,
            last_layer=layers - 1,
            total_layers=layers,
            accelerator="big" if layers else "",
        )
        now = asyncio.get_running_loop().time()
        self.targets.record(report=report, observer="v", received_at=now)

    async def call(
        self,
        path: str,
        *,
        body: bytes = b"x",
        key: str = "k1",
        deadline_ms: int = 3000,
        leave_after: float | None = None,
        request_id: str = "r1",
        extra: str = "",
    ) -> Answer:
        """Sends a request and returns the answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"Rattanroute-Request-Id: {request_id}\r\n"
            f"Authorization: Bearer {key}\r\n"
            f"Rattanroute-Request-Deadline: {deadline_ms}\r\n{extra}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        data = b""
        try:
            async with asyncio.timeout(leave_after):
                data = await reader.read()
        except (TimeoutError, ConnectionError):
            pass
        writer.close()
        return decode_answer(data)


def build_table() -> RoutingTable:
    """Builds a routing table with a route of each kind."""
    kinds = {
        "safe": RouteKind.REPEATABLE,
        "once": RouteKind.AT_MOST_ONCE,
        "stream": RouteKind.STREAM,
        "single": RouteKind.STREAM,
        "deskstream": RouteKind.STREAM,
        "desksingle": RouteKind.STREAM,
    }
    routes = [
        Route(
            name=name,
            host="a.example",
            prefix=f"/{name}/".encode(),
            kind=kind,
            timeout_s=3.0,
            goal_s=0.2,
            splits=(
                Split(
                    service=SERVICE
                    if name in ("stream", "single")
                    else PLAIN_SERVICE,
                    weight=1.0,
                ),
            ),
            max_attempts=1 if name == "once" else 2,
            resumable=name in ("stream", "deskstream"),
        )
        for name, kind in kinds.items()
    ]
    engine_service = build_service()
    engine = dataclasses.replace(
        engine_service.engine,
        accelerators={
            "big": dataclasses.replace(
                engine_service.engine.accelerators["big"], memory_bytes=900e9
            )
        },
    )
    return RoutingTable(
        revision=1,
        routes=index_routes(routes),
        services={
            SERVICE: dataclasses.replace(engine_service, engine=engine),
            PLAIN_SERVICE: BackendService(
                name=PLAIN_SERVICE, max_connections=100
            ),
        },
        keys={"k1": WorkspaceKey(workspace="w1")},
    )
