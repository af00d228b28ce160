"""A stand-in replica of the platform; soak tests run it as a process.

It appends a record of each event to a file that remains after its exit. A plain
service answers after a fixed time. An engine starts without layers, executes
layer orders, and sends the events of a stream while all targets of the chain
answer.
"""

import asyncio
import functools
import os
import pathlib
import signal
import time

import click
import msgspec
import uvloop

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
from rattanroute.platform.replica_codecs import DRAINING
from rattanroute.platform.replica_codecs import ORDER_PATH
from rattanroute.platform.replica_codecs import READY
from rattanroute.platform.replica_codecs import ReplicaCodec
from rattanroute.platform.replica_codecs import STATE_PATH
from rattanroute.platform.standin_answers import FAILURE_BODY
from rattanroute.platform.standin_answers import OK
from rattanroute.platform.standin_answers import read_chain
from rattanroute.platform.standin_answers import read_events
from rattanroute.platform.standin_answers import read_request_id
from rattanroute.platform.standin_answers import StandInAnswers
from rattanroute.platform.standin_records import build_answer
from rattanroute.platform.standin_records import build_event
from rattanroute.platform.standin_records import draw_pause
from rattanroute.platform.standin_records import read_try
from rattanroute.platform.standin_records import ReplicaRecord
from rattanroute.platform.standin_records import RunEnd
from rattanroute.platform.standin_records import StandInSettings

MEMBER_CHECK_PATH = b"/standin/member"
MISDIRECTED = 421
UNAVAILABLE = 503
CONFLICT = 409
LIVENESS_INTERVAL_SECONDS = 0.5
ACK_TIMEOUT_SECONDS = 1.0
# A replica exits after this time if its leave notice is not acknowledged.
NOTICE_TIMEOUT_SECONDS = 4.0
STALL_TIMEOUT_SECONDS = 2.0
# A member that has not answered for this long is reported as stalled. A sound
# one answers within a few milliseconds plus the link delay.
STALL_REPORT_SECONDS = 0.3
# A leaving engine waits for this long after the last check of a chain that it
# belongs to; longer than the pause of a stream.
MEMBER_IDLE_SECONDS = 2.5
EVENT_INTERVAL_SECONDS = 0.04
LAYER_LOAD_SECONDS = 0.2
# Exit code of a process that a request crashed.
CRASH_EXIT_CODE = 70


class StandInReplica:
    """A replica that is a plain service or an engine.

    Args:
        settings: Settings of this process.
    """

    def __init__(self, *, settings: StandInSettings) -> None:
        self.settings = settings
        self.records_file = os.open(
            settings.records, os.O_WRONLY | os.O_CREAT | os.O_APPEND
        )
        self.engine_control = EngineControlClient(
            pool=ConnectionPool(), codec=ReplicaCodec()
        )
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.orders = 0
        self.busy = False
        self.held_layers = (0, 0)
        self.active = 0
        self.draining = False
        self.stalled: dict[str, str] = {}
        # Open runs by number, with the identifiers of their requests.
        self.open_runs: dict[int, str] = {}
        self.runs = 0
        self.member_checked_at = float("-inf")
        self.answers = StandInAnswers(settings=settings)
        self.server = HttpServer(handler=self.handle, limits=RequestLimits())

    def record(self, event: str, **values: object) -> None:
        """Appends a record to the file."""
        settings = self.settings
        entry = ReplicaRecord(
            at=time.monotonic(),
            event=event,
            replica_id=settings.replica_id,
            service=settings.service,
            **values,
        )
        os.write(self.records_file, msgspec.json.encode(entry) + b"\n")

    async def handle(self, exchange: Exchange) -> None:
        """Dispatches a request by its path."""
        path = exchange.request.head.path
        if path == STATE_PATH:
            limit = self.answers.build_limit()
            head = ResponseHead(status=OK, headers=limit)
            self.answers.send(exchange, head, self.encode_state())
        elif path == ORDER_PATH:
            self.handle_order(exchange)
        elif path == MEMBER_CHECK_PATH:
            self.handle_member_check(exchange)
        else:
            await self.serve(exchange)

    def encode_state(self) -> bytes:
        """Returns the answer to a state query."""
        return msgspec.json.encode(
            {
                "sequence": self.orders,
                "busy": self.busy,
                "born": self.born,
                "active": self.active,
                "layers": {
                    "from": self.held_layers[0],
                    "to": self.held_layers[1],
                },
                "stalled": [
                    {"id": key, "address": address}
                    for key, address in self.stalled.items()
                ],
            }
        )

    def handle_order(self, exchange: Exchange) -> None:
        """Handles a layer order.

        An order for more layers than fit into the memory ends the process.
        """
        order = msgspec.json.decode(exchange.request.body)
        requested = (order["from"], order["to"])
        if order.get("expected", self.orders) != self.orders or self.busy:
            self.answers.send(exchange, ResponseHead(status=CONFLICT))
            return
        self.record("order", chain=[requested])
        if requested[1] - requested[0] > self.settings.max_layers:
            self.record("overload", chain=[requested])
            os._exit(1)
        if requested == self.held_layers:
            self.answers.send(exchange, ResponseHead(status=200))
            return
        self.orders += 1
        self.busy = True
        remaining = (
            max(requested[0], self.held_layers[0]),
            min(requested[1], self.held_layers[1]),
        )
        self.held_layers = remaining if remaining[0] < remaining[1] else (0, 0)
        loop = asyncio.get_running_loop()
        loop.call_later(LAYER_LOAD_SECONDS, self.finish_load, requested)
        self.answers.send(exchange, ResponseHead(status=202))

    def finish_load(self, held_layers: tuple[int, int]) -> None:
        """Completes a layer order."""
        self.held_layers = held_layers
        self.busy = False

    def handle_member_check(self, exchange: Exchange) -> None:
        """Answers whether this target holds its layers of a chain."""
        self.member_checked_at = time.monotonic()
        first, _, end = exchange.request.body.partition(b"-")
        if not self.holds_layers(int(first), int(end)):
            self.answers.send(exchange, ResponseHead(status=MISDIRECTED))
        else:
            self.answers.send(exchange, ResponseHead(status=200))

    def holds_layers(self, first: int, end: int) -> bool:
        """Whether the replica holds all layers from `first` up to `end`."""
        return self.held_layers[0] <= first < end <= self.held_layers[1]

    async def serve(self, exchange: Exchange) -> None:
        """Serves a client's request unless the replica must refuse it."""
        values = exchange.request.head.headers
        request_id = read_request_id(exchange)
        self.record(
            "arrival",
            request_id=request_id,
            try_number=read_try(exchange.request.head),
        )
        expected = find_header(values, headers.EXPECTED_TARGET.lower())
        if expected not in (None, self.settings.replica_id.encode()):
            self.refuse(exchange, MISDIRECTED, request_id)
            return
        status = self.answers.draw_status(exchange)
        if self.active >= self.settings.slots or status == UNAVAILABLE:
            self.refuse(exchange, UNAVAILABLE, request_id)
            return
        self.active += 1
        try:
            if self.settings.layers:
                await self.stream(exchange, request_id, status)
            else:
                await self.answer(exchange, request_id, status)
        finally:
            self.active -= 1

    def start_execution(
        self, request_id: str, exchange: Exchange, status: int
    ) -> int:
        """Records the start of a request, which may end the process.

        Args:
            request_id: Identifier of the request.
            exchange: Exchange of the request.
            status: Status of the answer that will follow.

        Returns:
            The number of the run.
        """
        request = exchange.request
        self.runs += 1
        run = self.runs
        self.open_runs[run] = request_id
        self.record(
            "run",
            request_id=request_id,
            try_number=read_try(request.head),
            run=run,
            status=status,
        )
        exchange.on_disconnect = functools.partial(
            self.end_execution, run, RunEnd.LEFT
        )
        marker = self.settings.crash_marker
        parts = find_header(request.head.headers, headers.PROMPT_PARTS.lower())
        shared = headers.parse_shared_parts(parts or b"")
        if self.settings.crash_part in shared or (
            marker and marker.encode() in request.body
        ):
            self.record("crash", request_id=request_id)
            os._exit(CRASH_EXIT_CODE)
        return run

    def end_execution(self, run: int, reason: RunEnd, detail: str = "") -> None:
        """Records the end of a run, unless it has ended before."""
        request_id = self.open_runs.pop(run, None)
        if request_id is None:
            return
        self.record(
            "end", request_id=request_id, run=run, reason=reason, detail=detail
        )

    def refuse(
        self, exchange: Exchange, status: int, request_id: str, at: str = ""
    ) -> None:
        """Answers that the request did not run.

        Args:
            exchange: Exchange to answer.
            status: Status code of the answer.
            request_id: Identifier of the request.
            at: Address of the target at fault; empty if not stated.
        """
        head = self.answers.build_refusal(request_id, status, at)
        self.answers.send(exchange, head)

    async def answer(
        self, exchange: Exchange, request_id: str, status: int
    ) -> None:
        """Runs a request of a plain service."""
        run = self.start_execution(request_id, exchange, status)
        await asyncio.sleep(self.settings.work_s)
        self.send_whole(exchange, request_id, run, status)

    def send_whole(
        self, exchange: Exchange, request_id: str, run: int, status: int
    ) -> None:
        """Sends the whole answer to a request that ran."""
        body = FAILURE_BODY
        if status == OK:
            body = build_answer(request_id, exchange.request.body)
        head = self.answers.build_head(request_id, run, status)
        self.answers.send(exchange, head, body)
        self.end_execution(run, RunEnd.FINISHED)

    async def stream(
        self, exchange: Exchange, request_id: str, status: int
    ) -> None:
        """Streams events while all targets of the chain answer."""
        chain = read_chain(exchange, self.settings)
        own = chain[0]
        if not self.holds_layers(own[1], own[2]):
            at = self.settings.advertise
            self.refuse(exchange, MISDIRECTED, request_id, at)
            return
        self.record(
            "chain", request_id=request_id, chain=[x[1:] for x in chain]
        )
        failed = await self.check_members(request_id, chain[1:])
        if failed:
            self.refuse(exchange, failed[0], request_id, failed[1])
            return
        run = self.start_execution(request_id, exchange, status)
        if status != OK:
            self.send_whole(exchange, request_id, run, status)
            return
        head = self.answers.build_head(request_id, run)
        self.answers.start(exchange, head)
        failed = await self.write_events(exchange, request_id, chain[1:])
        if failed:
            detail = f"{failed[1]} {failed[0]}"
            self.end_execution(run, RunEnd.BROKEN, detail)
            exchange.abort()
            return
        self.answers.end(exchange, head)
        self.end_execution(run, RunEnd.FINISHED)

    async def write_events(
        self,
        exchange: Exchange,
        request_id: str,
        members: list[tuple[str, int, int]],
    ) -> tuple[int, str] | None:
        """Writes the events of a stream until its caller disconnects.

        Returns:
            Status and address of a member that ended the stream, if any.
        """
        numbers = read_events(exchange)
        first = numbers.start
        pause = draw_pause(self.settings, request_id, first, numbers.stop - 1)
        for number in numbers:
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            if number == pause.number:
                await asyncio.sleep(pause.seconds)
            if exchange.disconnected:
                return None
            if (number - first) % self.settings.member_check_events == 0:
                failed = await self.check_members(request_id, members)
                if failed:
                    return failed
            exchange.write(build_event(exchange.request.body, number))
        return None

    async def check_members(
        self, request_id: str, members: list[tuple[str, int, int]]
    ) -> tuple[int, str] | None:
        """Returns status and address of the first target that fails, if any."""
        loop = asyncio.get_running_loop()
        for address, first, end in members:
            report = loop.call_later(
                STALL_REPORT_SECONDS,
                self.stalled.__setitem__,
                request_id,
                address,
            )
            try:
                status = await self.check_member(address, first, end)
            finally:
                report.cancel()
                self.stalled.pop(request_id, None)
            if status != 200:
                return status, address
        return None

    async def check_member(self, address: str, first: int, end: int) -> int:
        """Queries a target of a chain; returns 503 if it does not answer."""
        query = RequestHead(
            method=b"POST", target=MEMBER_CHECK_PATH, headers=[]
        )
        try:
            async with asyncio.timeout(STALL_TIMEOUT_SECONDS):
                answer, _ = await self.engine_control.send(
                    address, query, b"%d-%d" % (first, end)
                )
        except (TimeoutError, RouterError):
            return UNAVAILABLE
        return answer.status

    def is_member(self) -> bool:
        """Whether the replica belongs to the chain of an open stream."""
        idle_s = time.monotonic() - self.member_checked_at
        return idle_s < MEMBER_IDLE_SECONDS

    async def send_liveness_report(self) -> bool:
        """Sends a liveness report and returns whether it was acknowledged."""
        settings = self.settings
        self.sequence += 1
        report: dict[str, object] = {
            "service": settings.service,
            "address": settings.advertise,
            "zone": settings.zone,
            "slots": settings.slots,
            "state": DRAINING if self.draining else READY,
            "version": "v1",
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if settings.layers:
            report["kind"] = settings.kind
            report["layers"] = {
                "from": self.held_layers[0],
                "to": self.held_layers[1],
            }
        return await self.call_control(b"PUT", msgspec.json.encode(report))

    async def call_control(self, method: bytes, body: bytes) -> bool:
        """Tries the control addresses in turn until one acknowledges.

        Returns:
            Whether a control address acknowledged the request.
        """
        path = b"/rattanroute/replicas/" + self.settings.replica_id.encode()
        head = RequestHead(method=method, target=path, headers=[])
        control = self.settings.control
        start = self.sequence % len(control)
        for address in control[start:] + control[:start]:
            try:
                async with asyncio.timeout(ACK_TIMEOUT_SECONDS):
                    answer, _ = await self.engine_control.send(
                        address, head, body
                    )
            except (TimeoutError, RouterError):
                continue
            if answer.status == 200:
                return True
        return False

    async def run(self) -> None:
        """Serves until SIGTERM, then shuts down gracefully."""
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        host, _, port = self.settings.listen.rpartition(":")
        await self.server.start(host, int(port))
        while not stopped.is_set():
            await self.send_liveness_report()
            try:
                async with asyncio.timeout(LIVENESS_INTERVAL_SECONDS):
                    await stopped.wait()
            except TimeoutError:
                continue
        await self.leave()
        for run in list(self.open_runs):
            self.end_execution(run, RunEnd.CLOSED)

    async def leave(self) -> None:
        """Announces the shutdown, drains open requests and leaves."""
        self.draining = True
        try:
            async with asyncio.timeout(NOTICE_TIMEOUT_SECONDS):
                while not await self.send_liveness_report():
                    await asyncio.sleep(LIVENESS_INTERVAL_SECONDS / 2)
        except TimeoutError:
            return
        self.record("notice")
        # A leaving replica serves for `drain_s` and finishes open requests.
        await asyncio.sleep(self.settings.drain_s + 1.0)
        while self.active or self.is_member():
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
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
