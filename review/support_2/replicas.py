"""A stand-in replica of a plain service that follows the pages."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import threading
import time

from support_2.http_calls import Answer
from support_2.http_calls import call

HEARTBEAT_SECONDS = 1.2
# "A 2xx response acknowledges the liveness report if it arrives within a
# second."
ACK_SECONDS = 1.0
REPLICA_PORT = 9000


@dataclasses.dataclass(kw_only=True)
class Received:
    """A request that a replica received.

    Attributes:
        at: Time at which it was complete, in monotonic seconds.
        peer: IP address that it came from.
        method: Its method.
        target: Its path and query.
        headers: Its headers by name in lower case; of several, the last one.
        body: Its body.
        ran: Whether the replica ran it.
    """

    at: float
    peer: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool = False

    @property
    def request_id(self) -> str:
        """The identifier of the request."""
        return self.headers.get("rattanroute-request-id", "")


@dataclasses.dataclass(kw_only=True)
class Reply:
    """What a replica answers.

    Attributes:
        status: Status code.
        body: The body.
        headers: Further headers.
        executed: Whether the request ran.
    """

    status: int = 200
    body: bytes = b"done"
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    executed: bool = True


Work = Callable[["Replica", Received], Awaitable[Reply]]


async def answer_at_once(replica: "Replica", request: Received) -> Reply:
    """Runs a request and answers at once."""
    return Reply(body=f"{replica.replica_id} ran {request.request_id}".encode())


class Replica:
    """A replica with its own address, in a thread of this process.

    Args:
        ip: Its loopback address.
        replica_id: Its identifier.
        service: Its service.
        zone: Its zone.
        controls: Returns the control addresses, in the order of trial.
        work: Answers the requests.

    Attributes:
        received: All requests, in the order of arrival.
        leaving: Whether it leaves, as its answers then say.
        asked: Control addresses of the latest call, in the order of trial.
    """

    def __init__(
        self,
        *,
        ip: str,
        replica_id: str,
        service: str,
        zone: str,
        controls: Callable[[], list[tuple[str, int]]],
        work: Work = answer_at_once,
    ) -> None:
        self.ip = ip
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.controls = controls
        self.work = work
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.received: list[Received] = []
        self.leaving = False
        self.asked: list[tuple[str, int]] = []
        self.beating = threading.Event()
        self.loop = asyncio.new_event_loop()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.thread = threading.Thread(target=self.run_loop, daemon=True)
        self.heart = threading.Thread(target=self.beat_often, daemon=True)

    @property
    def address(self) -> str:
        """Its address as `IP:port`."""
        return f"{self.ip}:{REPLICA_PORT}"

    def start(self) -> None:
        """Listens and begins to send liveness reports."""
        self.thread.start()
        asyncio.run_coroutine_threadsafe(self.listen(), self.loop).result(5)
        self.heart.start()

    def run_loop(self) -> None:
        """Runs the event loop of the replica."""
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    async def listen(self) -> None:
        """Opens the listener."""
        self.server = await asyncio.start_server(
            self.serve, self.ip, REPLICA_PORT, limit=1 << 22
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection, one after the other."""
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns whether there may be another one."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        method, target, _ = first.split(" ")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): v.strip() for name, _, v in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request = Received(
            at=time.monotonic(),
            peer=writer.get_extra_info("peername")[0],
            method=method,
            target=target,
            headers=headers,
            body=body,
        )
        expected = headers.get("rattanroute-expect-replica", self.replica_id)
        if expected != self.replica_id:
            reply = Reply(status=421, body=b"", executed=False)
        else:
            self.received.append(request)
            request.ran = True
            reply = await self.work(self, request)
        writer.write(self.encode(request, reply))
        await writer.drain()
        return True

    def encode(self, request: Received, reply: Reply) -> bytes:
        """Encodes the answer to a request."""
        headers = {"Rattanroute-Request-Id": request.request_id}
        if reply.executed:
            headers["Rattanroute-Replica-Stamp"] = (
                f"{self.replica_id}.{request.request_id}"
            )
        else:
            headers["Rattanroute-Not-Executed"] = "1"
        if self.leaving:
            headers["Server-Leaving"] = "1"
        headers.update(reply.headers)
        headers["Content-Length"] = str(len(reply.body))
        lines = [f"HTTP/1.1 {reply.status} Answer"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + reply.body

    def build_report(self, state: str) -> bytes:
        """Returns the next liveness report."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": state,
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    def tell(self, method: str, body: bytes = b"") -> tuple[int, Answer]:
        """Calls one control address after the other until one acknowledges.

        Returns:
            The place of the address in `asked`, and its answer.
        """
        answer = Answer(problem="no control address")
        self.asked = self.controls()
        for place, address in enumerate(self.asked):
            answer = call(
                address,
                method,
                f"/rattanroute/replicas/{self.replica_id}",
                headers={"Content-Type": "application/json"},
                body=body,
                timeout_s=ACK_SECONDS,
            )
            if 200 <= answer.status < 300:
                return place, answer
        return -1, answer

    def beat_often(self) -> None:
        """Sends liveness reports until told to stop."""
        while not self.beating.is_set():
            state = "draining" if self.leaving else "ready"
            self.tell("PUT", self.build_report(state))
            self.beating.wait(HEARTBEAT_SECONDS)

    def stop_beating(self) -> None:
        """Sends no further liveness reports."""
        self.beating.set()
        self.heart.join()

    def close(self) -> None:
        """Ends the replica; open requests are cut."""

        def stop() -> None:
            if self.server is not None:
                self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()
            self.loop.call_later(0.05, self.loop.stop)

        self.beating.set()
        if self.loop.is_running():
            self.loop.call_soon_threadsafe(stop)
            self.thread.join(2)
