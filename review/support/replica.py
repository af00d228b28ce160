"""A stand-in replica of the platform, built on the standard library.

It follows PROTOCOL.md: liveness reports, `Rattanroute-Expect-Replica`, stamped
answers, state queries, layer orders and event streams. A line of JSON is
appended to the record file for each event.

Usage: replica.py SETTINGS, where SETTINGS is a JSON object (see `Settings`).
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import signal
import sys
import time

HEARTBEAT_SECONDS = 1.2
EVENT_SECONDS = 0.04
CRASH_EVENT = 3
CRASH_EXIT_CODE = 70
# Text without the end of an event, two bytes in each chunk.
ENDLESS_BLOCK = b"2\r\nab\r\n" * 2_000
# Answers that the trouble `endless` spoils in each process.
MAX_ENDLESS = 1


@dataclasses.dataclass(kw_only=True)
class Settings:
    """Settings of one replica.

    Attributes:
        replica_id: Identifier of this incarnation.
        service: Service of the replica.
        host: Loopback address to listen on.
        port: Port to listen on.
        zone: Data centre of the replica.
        control: Control addresses that accept liveness reports.
        records: Path of the record file.
        switch: Path of a file; while it exists, the trouble is active.
        trouble: Kind of the trouble; empty for none. `endless` sends bytes that
            are no answer without end, in some answers; `crash` ends the process
            in the middle of an event.
        streams: Whether a plain service answers with streams that have neither
            a length nor chunks.
        layers: Layers of the model; 0 for a plain service.
        max_layers: Layers that its memory holds; an order for more crashes it.
        kind: Kind of accelerator; empty for a plain service.
        slots: Requests that run at once.
        work_s: Seconds that a call of a plain service takes.
    """

    replica_id: str
    service: str
    host: str
    port: int
    zone: str
    control: list[str]
    records: str
    switch: str = ""
    trouble: str = ""
    layers: int = 0
    max_layers: int = 8
    kind: str = ""
    slots: int = 16
    work_s: float = 0.03
    streams: bool = False


@dataclasses.dataclass(kw_only=True)
class Request:
    """A request that was read whole.

    Attributes:
        method: Method.
        target: Path and query.
        headers: Headers by name in lower case.
        body: Body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return Request(method=method, target=target, headers=headers, body=body)


class Replica:
    """Serves requests and reports itself.

    Args:
        settings: Settings of the replica.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.orders = 0
        self.held = (0, 0)
        self.active = 0
        self.endless = 0
        self.reported = False
        self.file = os.open(
            settings.records, os.O_WRONLY | os.O_CREAT | os.O_APPEND
        )

    def record(
        self, event: str, request_id: str = "", **values: object
    ) -> None:
        """Appends a record with the time of the steady clock in seconds."""
        entry = {
            "at": round(time.monotonic(), 3),
            "event": event,
            "replica": self.settings.replica_id,
            "service": self.settings.service,
            "request": request_id,
            **values,
        }
        os.write(self.file, json.dumps(entry).encode() + b"\n")

    @property
    def in_trouble(self) -> bool:
        """Whether the trouble is active now."""
        settings = self.settings
        return bool(settings.trouble) and os.path.exists(settings.switch)

    def describe_layers(self) -> dict[str, int]:
        """Returns the layers that the replica holds."""
        return {"from": self.held[0], "to": self.held[1], "version": 1}

    def build_report(self) -> dict[str, object]:
        """Returns the next liveness report."""
        settings = self.settings
        self.sequence += 1
        report: dict[str, object] = {
            "service": settings.service,
            "address": f"{settings.host}:{settings.port}",
            "zone": settings.zone,
            "version": "v1",
            "slots": settings.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if settings.layers:
            report["kind"] = settings.kind
            report["layers"] = self.describe_layers()
        return report

    def note_report(self) -> None:
        """Records the first liveness report that was acknowledged."""
        if not self.reported:
            self.reported = True
            self.record("reported")

    async def beat(self) -> None:
        """Sends liveness reports until the process ends."""
        number = 0
        while True:
            body = json.dumps(self.build_report()).encode()
            path = f"/rattanroute/replicas/{self.settings.replica_id}"
            for _ in self.settings.control:
                address = self.settings.control[
                    number % len(self.settings.control)
                ]
                try:
                    async with asyncio.timeout(1.0):
                        if await put(address, path, body) == 200:
                            self.note_report()
                            break
                except (OSError, TimeoutError, ValueError):
                    pass
                number += 1
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_request(reader)) is not None:
                await self.serve(request, writer)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()

    async def serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request."""
        if request.target == "/rattanroute/report":
            send(writer, 200, {}, json.dumps(self.describe_state()).encode())
        elif request.target == "/rattanroute/order":
            self.handle_order(request, writer)
        elif request.target == "/health":
            identity = {"Rattanroute-Replica-Id": self.settings.replica_id}
            send(writer, 200, identity, b"")
        else:
            await self.run(request, writer)

    def describe_state(self) -> dict[str, object]:
        """Returns the answer to a state query."""
        return {
            "busy": False,
            "born": self.born,
            "sequence": self.orders,
            "queued": 0,
            "active": self.active,
            "pace": 1.0,
            "layers": self.describe_layers(),
            "stalled": [],
        }

    def handle_order(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Carries out a layer order at once, as PROTOCOL.md describes it."""
        order = json.loads(request.body)
        asked = (order["from"], order["to"])
        expected = request.headers.get("rattanroute-expect-replica")
        if expected not in (None, self.settings.replica_id):
            self.record("misdirected order", layers=list(asked))
            own = {"Rattanroute-Replica-Id": self.settings.replica_id}
            send(writer, 421, own)
            return
        if order.get("expected", self.orders) != self.orders:
            send(writer, 409, {}, b"")
            return
        self.record("order", layers=list(asked))
        if asked[1] - asked[0] > self.settings.max_layers:
            self.record("overload", layers=list(asked))
            os._exit(CRASH_EXIT_CODE)
        if asked == self.held:
            send(writer, 200, {}, b"")
            return
        self.orders += 1
        self.held = asked
        send(writer, 202, {}, b"")

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Runs a request of a client, or refuses it."""
        request_id = request.headers.get("rattanroute-request-id", "")
        expected = request.headers.get("rattanroute-expect-replica")
        if expected not in (None, self.settings.replica_id):
            self.record("misdirected", request_id)
            own = {"Rattanroute-Replica-Id": self.settings.replica_id}
            send(writer, 421, {**own, "Rattanroute-Request-Id": request_id})
            return
        if self.active >= self.settings.slots:
            self.record("full", request_id)
            refused = {"Rattanroute-Not-Executed": "1"}
            send(writer, 503, {**refused, "Rattanroute-Request-Id": request_id})
            return
        self.active += 1
        self.record("run", request_id, target=request.target)
        try:
            await self.answer(request, request_id, writer)
        finally:
            self.active -= 1
            self.record("end", request_id)

    async def answer(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Writes the answer to a request that runs."""
        headers = {
            "Rattanroute-Request-Id": request_id,
            "Rattanroute-Replica-Stamp": self.settings.replica_id,
        }
        spoils = self.settings.trouble == "endless" and self.in_trouble
        if spoils and self.endless < MAX_ENDLESS:
            await self.answer_without_end(request_id, headers, writer)
        if self.settings.streams:
            await self.stream_until_close(request, headers, writer)
            return
        if not self.settings.layers:
            await asyncio.sleep(self.settings.work_s)
            send(writer, 200, headers, b"done " + request_id.encode())
            return
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        writer.write(build_head(200, headers))
        for number in list_events(request):
            await asyncio.sleep(EVENT_SECONDS)
            event = build_event(number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def answer_without_end(
        self,
        request_id: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Sends bytes that are no answer until the caller closes.

        Raises:
            ConnectionError: When the caller has closed.
        """
        self.endless += 1
        self.record("endless", request_id)
        chunked = {"Transfer-Encoding": "chunked"}
        writer.write(build_head(200, {**headers, **chunked}))
        while True:
            writer.write(ENDLESS_BLOCK)
            await writer.drain()

    async def stream_until_close(
        self,
        request: Request,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Writes a stream that ends with its connection.

        While the trouble is active, the process ends by a crash in the middle
        of the third event.
        """
        headers["Content-Type"] = "text/event-stream"
        headers["Connection"] = "close"
        writer.write(build_head(200, headers))
        for position, number in enumerate(list_events(request), start=1):
            await asyncio.sleep(EVENT_SECONDS)
            event = build_event(number)
            if self.in_trouble and position == CRASH_EVENT:
                writer.write(event[: len(event) // 2])
                await writer.drain()
                request_id = headers["Rattanroute-Request-Id"]
                self.record("crash", request_id, target=f"in event {number}")
                os._exit(CRASH_EXIT_CODE)
            writer.write(event)
            await writer.drain()
        writer.close()


def list_events(request: Request) -> range:
    """Returns the numbers of the events that are left for a stream."""
    tokens = request.headers.get("rattanroute-token-count", "0,10")
    first = int(request.headers.get("last-event-id", "0")) + 1
    return range(first, int(tokens.partition(",")[2]) + 1)


def build_event(number: int) -> bytes:
    """Returns an event of a stream."""
    return b"id: %d\ndata: token\n\n" % number


def build_head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def send(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes = b"",
) -> None:
    """Writes a complete answer with its length."""
    framing = {"Content-Length": str(len(body)), "Keep-Alive": "timeout=5"}
    writer.write(build_head(status, {**headers, **framing}) + body)


async def put(address: str, path: str, body: bytes) -> int:
    """Sends a document to a control address; returns the status.

    Raises:
        OSError: If the connection fails.
        ValueError: If there is no valid answer.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = (
            f"PUT {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        line = await reader.readline()
        return int(line.split(b" ")[1]) if line else 0
    finally:
        writer.close()


async def main() -> None:
    """Runs the replica until SIGTERM."""
    replica = Replica(Settings(**json.loads(sys.argv[1])))
    settings = replica.settings
    server = await asyncio.start_server(
        replica.handle, settings.host, settings.port, limit=1 << 20
    )
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    beats = asyncio.create_task(replica.beat())
    await stopped.wait()
    beats.cancel()
    server.close()
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(main())
