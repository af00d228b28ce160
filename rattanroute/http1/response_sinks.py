"""Receivers of responses on client connections."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from rattanroute.errors import RouterError
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.response_buffers import ResponseBuffers

if TYPE_CHECKING:
    from rattanroute.http1.clients import ClientConnection


class ResponseSink:
    """Base class for receivers of one response; its methods do nothing."""

    def expects(self, head: ResponseHead) -> bool:
        """Returns whether a head may belong to the open request.

        On a connection that carried other requests, any other response is
        skipped: the target may have answered one of them once more.
        """
        return True

    def receive_head(self, head: ResponseHead) -> None:
        """Handles the head."""

    def receive_body(self, data: bytes) -> None:
        """Handles a part of the body."""

    def receive_end(self) -> None:
        """Handles the end of the body."""

    def receive_error(self, error: RouterError) -> None:
        """Handles the loss of the connection before the end of the response."""


class CollectingSink(ResponseSink):
    """Collects a complete response.

    Args:
        connection: The connection that receives the response.
        buffers: Responses of the process, which have a limit together.
        max_bytes: Largest body.
        expects: Returns whether a head may belong to the request.

    Attributes:
        reused: Whether the connection carried another request before.
        buffer: The body received so far.
        body: The complete body.
        done: Completes with the response, or with the error that ended it.
    """

    def __init__(
        self,
        *,
        connection: "ClientConnection",
        buffers: ResponseBuffers,
        max_bytes: int,
        expects: Callable[[ResponseHead], bool] = lambda _: True,
    ) -> None:
        self.is_expected = expects
        self.connection = connection
        self.reused = connection.request_count > 0
        self.max_bytes = max_bytes
        self.head: ResponseHead | None = None
        self.body = b""
        self.buffer = buffers.create(
            peer=connection.address, on_evicted=self.handle_eviction
        )
        self.done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    def expects(self, head: ResponseHead) -> bool:
        """Returns whether a head may belong to the request."""
        return self.is_expected(head)

    def receive_head(self, head: ResponseHead) -> None:
        """Stores the head."""
        self.head = head
        if not self.expects(head):
            # On a new connection this is a fault of the target.
            self.connection.usable = False

    def receive_body(self, data: bytes) -> None:
        """Stores a part of the body; fails if the body is too long."""
        if self.done.done():
            return
        if self.buffer.size + len(data) > self.max_bytes:
            self.break_off("body too long")
            return
        self.buffer.append(data)

    def handle_eviction(self) -> None:
        """Fails, as the limit of all responses was reached."""
        self.break_off("too many bytes of responses are buffered")

    def break_off(self, message: str) -> None:
        """Fails and closes the connection, which may send without end."""
        self.connection.fail(
            RouterError(
                step="read response",
                peer=self.connection.address,
                message=message,
            )
        )

    def receive_end(self) -> None:
        """Completes the future."""
        if not self.done.done():
            self.body = self.buffer.take()
            self.done.set_result(None)

    def release(self) -> None:
        """Ends the exchange if it is open, and frees the body."""
        # A complete response has already returned the connection to the pool.
        if self.connection.sink is self:
            self.connection.cancel()
        self.body = b""
        self.buffer.release()
        if self.done.done() and not self.done.cancelled():
            # Marks the exception as retrieved, and breaks its reference cycle.
            self.done.exception()

    def receive_error(self, error: RouterError) -> None:
        """Fails the future with the error and frees the body."""
        self.buffer.release()
        if not self.done.done():
            self.done.set_exception(error)
