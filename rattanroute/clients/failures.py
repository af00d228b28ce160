"""Opens HTTP sessions and classifies the failures of their exchanges.

A failure is classified by what it proves about the dispatch of the attempt.
"""

from collections.abc import Mapping
import dataclasses
import math
import socket

import aiohttp
from aiohttp import hdrs

from rattanroute.clients.attempts import AttemptError
from rattanroute.events import Provenance
from rattanroute.http1.heads import is_valid_status
from rattanroute.http1.heads import SWITCHING_PROTOCOLS

CONNECT_TIMEOUT_S = 2.0
MAX_RETRY_AFTER_S = 600.0

NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
"""Errors that aiohttp raises before it writes the first byte."""

CONNECTION_LOST_ERRORS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    ConnectionError,
)
"""Errors that a crash of the target can cause after the request was sent."""
READ_BUFFER_BYTES = 16 * 1024
"""Bytes of a stream that are buffered for a slow caller before the target is
paused; aiohttp keeps up to twice as much."""

RECEIVE_BUFFER_BYTES = 131_072
"""Receive buffer of the kernel for one connection, in bytes. Its default limit
is megabytes, which a target would fill for each slow caller before it is
paused."""


class InvalidStatusError(aiohttp.ClientError):
    """An answer has no valid status, so that it is no answer."""


async def check_status(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a request and checks the status of the response.

    The request may have run. None of the response is used: its headers, such
    as `Retry-After`, are no more reliable than its status.

    Raises:
        InvalidStatusError: If the status is undefined, or switches protocols
            without having been asked to.
    """
    response = await handler(request)
    status = response.status
    asks_to_switch = hdrs.UPGRADE in request.headers
    if is_valid_status(status):
        return response
    if status == SWITCHING_PROTOCOLS and asks_to_switch:
        return response
    response.close()
    raise InvalidStatusError(f"invalid status {status:03d}")


def open_socket(addr_info: tuple[object, ...]) -> socket.socket:
    """Opens a socket with a bounded receive buffer.

    Args:
        addr_info: Family, type, protocol, canonical name and address.
    """
    family, kind, protocol, _, _ = addr_info
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return opened


def build_session(*, source: str = "") -> aiohttp.ClientSession:
    """Builds an HTTP session for requests to targets.

    Each connection serves one request. A target may answer a request twice,
    and the head of an answer bears no identifier: on a kept connection, the
    second answer could be taken for the answer to the next request.

    Args:
        source: Local IP address from which connections are opened; empty for
            the system's choice.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        use_dns_cache=False,
        local_addr=(source, 0) if source else None,
        socket_factory=open_socket,
        force_close=True,
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        middlewares=(check_status,),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class AttemptContext:
    """Tracks the progress of one attempt and builds its errors.

    Attributes:
        target_id: The target.
        first_index: Index of the attempt's first token.
        next_index: Index of the next token.
    """

    target_id: str
    first_index: int = 0
    next_index: int = 0

    def build_error(
        self,
        step: str,
        message: str,
        *,
        crashed: bool = False,
        dispatched: bool = True,
        retry_after_s: float | None = None,
        status: int = 0,
    ) -> AttemptError:
        """Builds an error with the provenance that the progress implies."""
        tokens_out = self.next_index - self.first_index
        if not dispatched:
            provenance = Provenance.NOT_DISPATCHED
        elif tokens_out:
            provenance = Provenance.STARTED
        else:
            provenance = Provenance.UNKNOWN
        return AttemptError(
            step=step,
            peer=self.target_id,
            message=message,
            provenance=provenance,
            crashed=crashed,
            retry_after_s=retry_after_s,
            tokens_out=tokens_out,
            status=status,
        )

    def convert_error(self, step: str, error: Exception) -> AttemptError:
        """Converts an error of aiohttp, asyncio or the operating system."""
        if isinstance(error, NOT_SENT_ERRORS):
            return self.build_error(
                "connect", describe_error(error), dispatched=False
            )
        if isinstance(error, TimeoutError):
            return self.build_error(step, "no answer in time")
        crashed = isinstance(error, CONNECTION_LOST_ERRORS)
        return self.build_error(step, describe_error(error), crashed=crashed)

    def build_refusal_error(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> AttemptError:
        """Builds the error of a response with an error status."""
        text = body.decode(errors="replace")
        return self.build_error(
            "request",
            f"status {status}: {text}",
            retry_after_s=parse_retry_after(headers),
            status=status,
        )


def describe_error(error: Exception) -> str:
    """Returns an error's text on one line, or its type if it has no text."""
    return " ".join(str(error).split()) or type(error).__name__


def parse_retry_after(headers: Mapping[str, str]) -> float | None:
    """Parses `Retry-After` in seconds; ignores dates and invalid values."""
    try:
        seconds = float(headers.get("Retry-After", ""))
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return min(seconds, MAX_RETRY_AFTER_S)
