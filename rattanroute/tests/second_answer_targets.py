"""Targets that answer requests again in all forms, for tests.

Each answer is written as a whole and in order; a second answer to a request
comes behind it, while the connection is idle, or before the next answer. It
may come in two parts, and the second part may never come.
"""

import asyncio
import contextlib
import dataclasses
import random

from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.listening_targets import Listener

STATUSES = (200, 200, 200, 200, 500, 504, 204, 304, 404, 503, 421)
PROMISES = frozenset({503, 421})
STATUSES_WITHOUT_BODY = frozenset({204, 304})
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
COPIED_SHARE = 0.5
MAX_COPIES = 3
# Share of the copies that come in parts, and of these the ones without an end.
SPLIT_SHARE = 0.5
CUT_SHARE = 0.3
INTERIM_SHARE = 0.15
CLOSE_SHARE = 0.05
UNFRAMED_SHARE = 0.05
# Share of repeatable requests whose answer is late enough for another attempt.
LATE_SHARE = 0.03
LATE_SECONDS = 0.25
MAX_DELAY_SECONDS = 0.004
MAX_IDLE_SECONDS = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A request that a target ran.

    Attributes:
        request_id: Identifier of the request.
        status: Status of its answer.
        body: Body of its answer.
    """

    request_id: str
    status: int
    body: bytes


@dataclasses.dataclass(kw_only=True)
class Channel:
    """A connection of a target.

    Attributes:
        due: Bytes to write before the next answer.
        late: Bytes to write while the connection is idle, or with `due`.
    """

    writer: asyncio.StreamWriter
    due: bytes = b""
    late: bytes = b""


@dataclasses.dataclass(kw_only=True)
class Plays:
    """What several targets share.

    Attributes:
        runs: Requests that ran, by the stamp of their answers.
        copies: Number of second answers by their form.
    """

    random: random.Random
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    copies: dict[str, int] = dataclasses.field(default_factory=dict)


class RepeatingListener(Listener):
    """A target that answers some of its requests several times."""

    def __init__(self, plays: Plays) -> None:
        self.plays = plays
        self.random = plays.random

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of a connection."""
        channel = Channel(writer=writer)
        errors = (asyncio.IncompleteReadError, ConnectionError)
        with contextlib.suppress(*errors):
            try:
                while await self.serve_request(reader, channel):
                    pass
            finally:
                writer.close()

    async def serve_request(
        self, reader: asyncio.StreamReader, channel: Channel
    ) -> bool:
        """Answers a request; returns whether the connection goes on."""
        head = await self.read_head(reader, channel)
        lines = head.lower().split(b"\r\n")
        headers = dict(x.split(b": ", 1) for x in lines[1:] if x)
        request_id = headers[b"rattanroute-request-id"].decode()
        method, path, _ = head.split(b" ", 2)
        early = self.random.random() < INTERIM_SHARE
        if not early:
            await reader.readexactly(int(headers.get(b"content-length", 0)))
        await asyncio.sleep(self.choose_delay(path))
        answer, goes_on = self.build_first(request_id, method)
        channel.writer.write(channel.late + channel.due + answer)
        channel.late = channel.due = b""
        if goes_on and method != b"HEAD":
            self.add_copies(channel, request_id)
        if early:
            await reader.readexactly(int(headers.get(b"content-length", 0)))
        return goes_on

    async def read_head(
        self, reader: asyncio.StreamReader, channel: Channel
    ) -> bytes:
        """Reads a head; writes bytes that are due while there is none."""
        reading = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
        try:
            if channel.late:
                pause = self.random.uniform(0, MAX_IDLE_SECONDS)
                await asyncio.wait([reading], timeout=pause)
                channel.writer.write(channel.late)
                channel.late = b""
            return await reading
        finally:
            reading.cancel()

    def choose_delay(self, path: bytes) -> float:
        """Returns the seconds until the answer to a request."""
        if path.startswith(b"/safe/") and self.random.random() < LATE_SHARE:
            return LATE_SECONDS
        return self.random.uniform(0, MAX_DELAY_SECONDS)

    def build_first(self, request_id: str, method: bytes) -> tuple[bytes, bool]:
        """Builds the answer; returns it and whether the connection goes on."""
        status = self.random.choice(STATUSES)
        stamp = ""
        if status not in PROMISES:
            stamp = f"s{len(self.plays.runs)}"
        body = b"" if method == b"HEAD" else build_body(status, stamp)
        if stamp:
            self.plays.runs[stamp] = Run(
                request_id=request_id, status=status, body=body
            )
        last = self.random.random() < CLOSE_SHARE
        unframed = self.random.random() < UNFRAMED_SHARE
        if method == b"HEAD":
            unframed = False
            data = self.build(request_id, status, stamp, b"", close=last)
        else:
            data = self.build(
                request_id, status, stamp, body, close=last, unframed=unframed
            )
        if self.random.random() < INTERIM_SHARE:
            data = INTERIM + data
        return data, not (last or unframed)

    def build(
        self,
        request_id: str,
        status: int,
        stamp: str,
        body: bytes,
        *,
        close: bool = False,
        unframed: bool = False,
    ) -> bytes:
        """Builds an answer with one of the ways to mark its end."""
        lines = [f"HTTP/1.1 {status} Some Reason"]
        lines.append(f"Rattanroute-Request-Id: {request_id}")
        if stamp:
            lines.append(f"Rattanroute-Replica-Stamp: {stamp}")
        else:
            lines.append("Rattanroute-Not-Executed: 1")
        lines.append("Connection: close" if close else "Keep-Alive: timeout=9")
        if status in STATUSES_WITHOUT_BODY:
            body = b""
        elif unframed:
            pass
        elif body and self.random.random() < 0.4:
            lines.append("Transfer-Encoding: chunked")
            body = self.encode_chunks(body)
        else:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    def encode_chunks(self, body: bytes) -> bytes:
        """Encodes a body in two chunks, partly with a trailer."""
        cut = self.random.randrange(1, len(body))
        parts = [
            b"%x\r\n%b\r\n" % (len(x), x) for x in (body[:cut], body[cut:])
        ]
        trailer = self.random.choice(
            (b"", b"Rattanroute-Request-Id: other\r\n")
        )
        return b"".join(parts) + b"0\r\n" + trailer + b"\r\n"

    def add_copies(self, channel: Channel, request_id: str) -> None:
        """Writes or plans second answers to a request."""
        if self.random.random() > COPIED_SHARE:
            return
        stamp = f"s{len(self.plays.runs) - 1}"
        data = b""
        for _ in range(self.random.randint(1, MAX_COPIES)):
            status = self.random.choice(STATUSES)
            is_promise = status in PROMISES
            data += self.build(
                request_id,
                status,
                "" if is_promise else stamp,
                build_body(status, stamp),
                unframed=self.random.random() < UNFRAMED_SHARE,
            )
        places = ["behind", "idle", "next"]
        first = self.random.choice(places)
        form = first
        parts = [data, b""]
        if self.random.random() < SPLIT_SHARE:
            cut = self.random.randrange(1, len(data))
            parts = [data[:cut], data[cut:]]
            if self.random.random() < CUT_SHARE:
                parts[1] = b""
                form += ", cut"
            else:
                form += ", split"
        self.plays.copies[form] = self.plays.copies.get(form, 0) + 1
        if first == "behind":
            channel.writer.write(parts[0])
            channel.late = parts[1]
        elif first == "idle":
            channel.late, channel.due = parts
        else:
            channel.due = parts[0] + parts[1]


def build_body(status: int, stamp: str) -> bytes:
    """Builds the body of an answer."""
    if status in STATUSES_WITHOUT_BODY or status in PROMISES:
        return b""
    if status == 200:
        return build_events(1, 4).replace(b"data: ", f"data: {stamp}.".encode())
    return f"failure {status} {stamp}".encode()
