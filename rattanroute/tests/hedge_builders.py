"""Builders of calls and attempts without connections, for tests of hedging."""

import dataclasses
from types import SimpleNamespace

from rattanroute.gateway.calls import Call
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.header_codecs import RequestMetadata
from rattanroute.gateway.stream_attempts import StreamAttempt
from rattanroute.gateway.stream_attempts import StreamRun
from rattanroute.gateway.stream_sinks import StreamSink
from rattanroute.http1.response_buffers import ResponseBuffers
from rattanroute.platform.headers import PlatformHeaderCodec
from rattanroute.tables.routes import Route
from rattanroute.tables.routes import RouteKind
from rattanroute.tests.gateway_support import build_service

DEADLINE_SECONDS = 3.0


class ExchangeStub:
    """Collects what a client receives.

    Attributes:
        body: The events that were written.
        started: Whether the head was sent.
        ended: Whether the answer is complete.
    """

    def __init__(self) -> None:
        self.body = b""
        self.started = False
        self.ended = False
        self.writable = True
        self.received_at = 0.0
        headers = [(b"Rattanroute-Request-Id", b"r1")]
        self.request = SimpleNamespace(head=SimpleNamespace(headers=headers))

    def start(self, head: object) -> None:
        """Sends the head."""
        self.started = True

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        self.body += data

    def end(self) -> None:
        """Ends the answer."""
        self.ended = True


class SenderStub:
    """Records which attempts are ended.

    Attributes:
        released: Attempts whose connection was closed, in order.
    """

    def __init__(self) -> None:
        self.released: list[StreamAttempt] = []

    def release(self, attempt: StreamAttempt) -> None:
        """Closes the connection of an attempt."""
        self.released.append(attempt)


def build_call(**changes: object) -> Call:
    """Builds a call of a resumable stream that was sent once."""
    route = Route(
        name="stream",
        host="a.example",
        prefix=b"/stream/",
        kind=RouteKind.STREAM,
        timeout_s=DEADLINE_SECONDS,
        goal_s=0.2,
        max_attempts=2,
        resumable=True,
    )
    route = dataclasses.replace(route, **changes)
    return Call(
        exchange=ExchangeStub(),
        metadata=RequestMetadata(request_id="r1"),
        route=route,
        service=build_service(),
        workspace="w1",
        priority=0,
        deadline=DEADLINE_SECONDS,
        revision=1,
        sends=1,
        dispatches=1,
    )


def build_chain(target_id: str) -> tuple[ChainHop, ...]:
    """Builds a chain of one target."""
    hop = ChainHop(
        target_id=target_id, address="10.0.0.1:80", first_layer=0, end_layer=80
    )
    return (hop,)


def build_attempt(
    chain: tuple[ChainHop, ...],
    run: StreamRun,
    *,
    sent_at: float,
    hedge: bool = False,
) -> StreamAttempt:
    """Builds an attempt whose connection is a stub."""
    connection = SimpleNamespace(
        address="10.0.0.1:80",
        parser=SimpleNamespace(until_close=False),
        request_count=1,
        usable=True,
        sent_at=sent_at,
    )
    sink = StreamSink(
        state=run.state,
        codec=PlatformHeaderCodec(),
        connection=connection,
        buffers=ResponseBuffers(),
        on_metadata=lambda metadata: None,
        on_begun=lambda: None,
    )
    return StreamAttempt(
        chain=chain,
        sink=sink,
        tokens=10,
        prompt_tokens=10,
        sent_at=sent_at,
        checked_at=sent_at,
        hedge=hedge,
    )
