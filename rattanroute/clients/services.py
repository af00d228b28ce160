"""Sends calls to plain services, each call at most once."""

import asyncio
from collections.abc import Mapping
import dataclasses
from urllib.parse import quote

import aiohttp
from yarl import URL

from rattanroute.clients.attempts import AttemptError
from rattanroute.clients.engines import EXCHANGE_ERRORS
from rattanroute.clients.failures import AttemptContext
from rattanroute.clients.failures import build_session
from rattanroute.clients.failures import parse_retry_after
from rattanroute.gateway.stream_events import ends_event
from rattanroute.gateway.stream_events import EVENT_STREAM_TYPE

MAX_ANSWER_BYTES = 1024 * 1024
REFUSAL_STATUSES = frozenset({429, 503})
"""HTTP statuses with which a service declines a call; other error statuses
concern the operation itself and are returned to the caller."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """One attempt of a service call.

    Attributes:
        request_id: The request.
        attempt: Attempt number, from 1.
        target_id: The target.
        address: Base URL of the target.
        operation: Operation name; part of the path.
        body: JSON body of the caller.
        repeatable: Whether the call may run more than once.
        deadline_s: Time left until the caller's deadline, in seconds.
        account: Account to which the target attributes the usage.
        priority: Priority; a higher one runs first.
        trace_headers: Headers that continue the request's trace.
    """

    request_id: str
    attempt: int
    target_id: str
    address: str
    operation: str
    body: bytes
    repeatable: bool = False
    deadline_s: float = 60.0
    account: str = ""
    priority: int = 0
    trace_headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAnswer:
    """The response of a service.

    Attributes:
        status: HTTP status.
        body: The unmodified body.
        content_type: Media type of the body.
    """

    status: int
    body: bytes
    content_type: str = "application/json"


class ServiceClient:
    """Calls services over connections that serve one call each.

    An answer bears no identifier: on a connection that carried another call,
    a second answer to that one could be taken for the answer to this one. On a
    connection that the service is just closing, a call would fail with an
    unknown outcome. Redirects are never followed, as they would send the call
    again.

    Attributes:
        session: Session whose connections serve one request each.
    """

    def __init__(self, *, source: str = "") -> None:
        """Opens the session.

        Args:
            source: Local IP address from which connections are opened; empty
                for the system's choice.
        """
        self.session = build_session(source=source)

    async def close(self) -> None:
        """Closes the session."""
        await self.session.close()

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Sends a call once and returns the response.

        Raises:
            AttemptError: If the call failed; its provenance is NOT_DISPATCHED
                only if no byte of the call was sent.
        """
        context = AttemptContext(target_id=call.target_id)
        try:
            async with asyncio.timeout(max(0.0, call.deadline_s)):
                return await exchange(self.session, call, context)
        except AttemptError:
            raise
        except EXCHANGE_ERRORS as error:
            raise context.convert_error("call service", error) from error


async def exchange(
    session: aiohttp.ClientSession,
    call: ServiceCall,
    context: AttemptContext,
) -> ServiceAnswer:
    """Posts the call and reads the response, whose size is limited."""
    async with session.post(
        URL(
            f"{call.address}/operations/{quote(call.operation, safe='')}",
            encoded=True,
        ),
        data=call.body,
        headers=build_headers(call),
        allow_redirects=False,
    ) as response:
        body = await read_bounded(response.content, context)
        if response.status in REFUSAL_STATUSES:
            raise context.build_error(
                "call service",
                f"status {response.status}",
                retry_after_s=parse_retry_after(response.headers),
                status=response.status,
            )
        if 300 <= response.status < 400:
            raise context.build_error(
                "call service",
                "redirects are not followed",
                status=response.status,
            )
        if response.content_type == EVENT_STREAM_TYPE and not ends_event(body):
            # An answer without a length ends with its connection, also when
            # the target crashes.
            raise context.build_error("read answer", "last event is incomplete")
        return ServiceAnswer(
            status=response.status,
            body=body,
            content_type=response.content_type,
        )


def build_headers(call: ServiceCall) -> dict[str, str]:
    """Builds the headers that describe the attempt to the target."""
    return {
        **call.trace_headers,
        "Content-Type": "application/json",
        "X-Request-Id": call.request_id,
        "X-Attempt": str(call.attempt),
        "X-Deadline-Ms": str(max(0, int(call.deadline_s * 1000))),
        "X-Priority": str(call.priority),
        "X-Account": call.account,
    }


async def read_bounded(
    content: aiohttp.StreamReader, context: AttemptContext
) -> bytes:
    """Reads a body of at most `MAX_ANSWER_BYTES`."""
    body = bytearray()
    async for data in content.iter_any():
        body += data
        if len(body) > MAX_ANSWER_BYTES:
            raise context.build_error("call service", "answer is too long")
    return bytes(body)
