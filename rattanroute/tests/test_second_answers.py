"""Tests of second answers in all forms, to requests with own identifiers."""

import asyncio
import contextlib
import dataclasses
import random

from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.second_answer_targets import Plays
from rattanroute.tests.second_answer_targets import RepeatingListener
from rattanroute.tests.second_answer_targets import Run
from rattanroute.tests.second_answer_targets import STATUSES_WITHOUT_BODY

PATHS = ("safe", "safe", "safe", "once", "deskstream", "desksingle")
AT_MOST_ONCE_PATHS = ("once", "desksingle")
METHODS = ("GET", "GET", "GET", "POST", "HEAD")
REFUSED = (408, 421, 429, 503)
TARGETS = 4
CALLERS = 6
# Connections of callers, and the most requests on one of them.
CHANNELS = 60
MAX_CALLS = 4
PIPELINED_SHARE = 0.3
LEAVING_SHARE = 0.05
MAX_STAY_SECONDS = 0.01
DEADLINE_MS = 600
CHANNEL_SECONDS = 10


@dataclasses.dataclass(kw_only=True)
class CallerCall:
    """A call of a caller.

    Attributes:
        status: Status of the answer; 0 before it.
        body: Body of the answer; None if it is not complete.
    """

    request_id: str
    path: str
    method: str
    status: int = 0
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes | None = None

    def encode(self) -> bytes:
        """Encodes the request."""
        body = "x" if self.method == "POST" else ""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        return (
            f"{self.method} /{self.path}/x HTTP/1.1\r\nHost: a.example\r\n"
            f"Rattanroute-Request-Id: {self.request_id}\r\n"
            "Authorization: Bearer k1\r\n"
            f"Rattanroute-Request-Deadline: {DEADLINE_MS}\r\n"
            f"{length}\r\n{body}"
        ).encode()

    async def read_answer(self, reader: asyncio.StreamReader) -> None:
        """Reads the answer."""
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.lower().split(b"\r\n")
        self.status = int(lines[0].removeprefix(b"http/1.1 ")[:3])
        self.headers = dict(x.split(b": ", 1) for x in lines[1:] if x)
        self.body = await self.read_body(reader)

    async def read_body(self, reader: asyncio.StreamReader) -> bytes:
        """Reads the body as its framing requires."""
        if self.method == "HEAD" or self.status in STATUSES_WITHOUT_BODY:
            return b""
        if b"transfer-encoding" not in self.headers:
            size = int(self.headers[b"content-length"])
            return await reader.readexactly(size)
        body = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]


class SecondAnswersTest(GatewayTestCase):
    """Guards against answers that belong to other requests or are mixed."""

    async def test_seed_0(self) -> None:
        await self.play(0)

    async def test_seed_1(self) -> None:
        await self.play(1)

    async def test_seed_2(self) -> None:
        await self.play(2)

    async def play(self, seed: int) -> None:
        """Lets callers use channels beside each other."""
        self.random = random.Random(seed)
        self.plays = Plays(random=random.Random(seed))
        self.calls: list[CallerCall] = []
        for number in range(TARGETS):
            target = RepeatingListener(self.plays)
            await target.open()
            self.addAsyncCleanup(target.close)
            self.record_target(f"t{number}", target.address, "desk")
        channels = iter(range(CHANNELS))
        await asyncio.gather(
            *(self.use(seed, channels) for _ in range(CALLERS))
        )
        for call in self.calls:
            self.check(call)
        self.assertTrue(any(x.body for x in self.calls))

    async def use(self, seed: int, channels: object) -> None:
        """Uses one channel after the other."""
        for number in channels:
            calls = [
                CallerCall(
                    request_id=f"{seed}-{number}-{n}",
                    path=self.random.choice(PATHS),
                    method=self.random.choice(METHODS),
                )
                for n in range(self.random.randint(1, MAX_CALLS))
            ]
            self.calls += calls
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
            leaves = self.random.random() < LEAVING_SHARE
            stay_s = self.random.uniform(0, MAX_STAY_SECONDS)
            errors = (asyncio.IncompleteReadError, ConnectionError)
            try:
                with contextlib.suppress(*errors):
                    async with asyncio.timeout(
                        stay_s if leaves else CHANNEL_SECONDS
                    ):
                        await self.exchange(calls, reader, writer)
                        writer.write_eof()
                        self.assertEqual(await reader.read(), b"")
            except TimeoutError:
                self.assertTrue(leaves, "an answer did not come")
            finally:
                writer.close()

    async def exchange(
        self,
        calls: list[CallerCall],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Sends the calls of a channel at once or one after the other."""
        if self.random.random() < PIPELINED_SHARE:
            writer.write(b"".join(x.encode() for x in calls))
            for call in calls:
                await call.read_answer(reader)
            return
        for call in calls:
            writer.write(call.encode())
            await call.read_answer(reader)

    def find_runs(self, call: CallerCall) -> list[Run]:
        """Returns the runs of a call."""
        runs = self.plays.runs.values()
        return [x for x in runs if x.request_id == call.request_id]

    def check(self, call: CallerCall) -> None:
        """Checks an answer against what the targets ran."""
        runs = self.find_runs(call)
        if call.path in AT_MOST_ONCE_PATHS:
            self.assertLess(len(runs), 2, f"{call} ran twice")
        if call.status in REFUSED:
            self.assertEqual(runs, [], f"{call} was refused and has run")
        stamp = call.headers.get(b"rattanroute-replica-stamp", b"").decode()
        if not stamp:
            self.assertTrue(not call.status or call.status >= 400, str(call))
            return
        run = self.plays.runs[stamp]
        self.assertEqual(
            (run.request_id, run.status), (call.request_id, call.status)
        )
        if call.body is not None:
            self.assertEqual(run.body, call.body, str(call))
