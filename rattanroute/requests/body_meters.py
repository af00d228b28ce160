"""Accounts for the bodies of requests while they are received and served."""

from collections.abc import Callable
from typing import Protocol

from aiohttp import web

from rattanroute.actions import Refusal

RETRY_SECONDS = 1.0

OVERLOADED = Refusal(
    type="overloaded",
    message="this VM holds too much data of clients at present",
    status=503,
    retry_after_s=RETRY_SECONDS,
)


class BodyMeter(Protocol):
    """A connection that accounts for the body of its request."""

    def start_body(self, abandon: Callable[[], None]) -> None:
        """Notes that a body is being received.

        Args:
            abandon: Called to stop receiving it.
        """
        ...

    def note_body(self, size: int) -> bool:
        """Notes the bytes received so far; returns whether to go on."""
        ...

    def stop_body(self) -> None:
        """Notes that no body is being received; nothing can be abandoned."""
        ...

    def finish_body(self, body: bytes) -> bool:
        """Notes a complete body; returns whether to serve the request."""
        ...


class UnlimitedMeter:
    """Accounts for nothing; used without a listener of this program."""

    def start_body(self, abandon: Callable[[], None]) -> None:
        """Does nothing."""

    def note_body(self, size: int) -> bool:
        """Goes on."""
        del size
        return True

    def stop_body(self) -> None:
        """Does nothing."""

    def finish_body(self, body: bytes) -> bool:
        """Serves the request."""
        del body
        return True


def find_meter(http_request: web.Request) -> BodyMeter:
    """Returns the meter of the connection of a request."""
    protocol = http_request.protocol
    if hasattr(protocol, "finish_body"):
        return protocol
    return UnlimitedMeter()
