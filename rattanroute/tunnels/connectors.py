"""Connects to targets directly, or through other VMs if that fails."""

import asyncio
from collections.abc import Callable

from rattanroute.errors import RouterError
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import open_direct
from rattanroute.logs import get_logger
from rattanroute.systems.target_links import TargetLinkSystem
from rattanroute.systems.target_links import TunnelReply
from rattanroute.tasks import wait_for_reply
from rattanroute.tunnels.frames import encode_command
from rattanroute.tunnels.frames import FrameDecoder

# A direct connection within a region takes a few milliseconds. After this time
# a peer is asked as well, and after it again the next peer.
HEAD_START_SECONDS = 0.06
# A direct connection that takes longer has failed; on a busy VM it may be late.
DIRECT_TIMEOUT_SECONDS = 0.25

log = get_logger(__name__)


class UnhelpfulPeerError(OSError):
    """A peer could not try to connect to a target."""


class TunnelConnection(ClientConnection):
    """A connection to a target through another VM.

    Attributes:
        peer: The other VM.
        reply: Resolves to its reply.
    """

    tunnelled = True

    def __init__(self, *, address: str, peer: str) -> None:
        super().__init__(address=address)
        self.peer = peer
        self.reply: asyncio.Future[TunnelReply] = self.loop.create_future()
        self.decoder = FrameDecoder()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asks for the connection."""
        super().connection_made(transport)
        transport.write(encode_command(self.address))

    def data_received(self, data: bytes) -> None:
        """Reads the reply, then the frames with the target's bytes."""
        if not self.reply.done():
            self.reply.set_result(decode_reply(data[:1]))
            data = data[1:]
        try:
            parts = self.decoder.feed(data)
        except RouterError as error:
            self.fail(error)
            return
        for part in parts:
            super().data_received(part)
        if self.decoder.ended:
            self.usable = False
            self.reader.finish(self.end_response)

    def end_response(self) -> None:
        """Completes a response that ends with the target's connection."""
        self.parser.handle_eof()
        self.close()

    def eof_received(self) -> bool:
        """Fails the open request unless the target has ended its answer."""
        self.usable = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the wait for a reply; fails the open request."""
        if not self.reply.done():
            self.reply.set_result(TunnelReply.BUSY)
        super().connection_lost(exc)


class TunnelConnector:
    """Opens connections to targets in the best way that is known.

    A connection through a peer is tried when the direct one fails or takes
    long, so that no caller pays for the loss of this VM's links. The first
    connection that is made is used.

    Args:
        links: Links of this VM to the targets.
        port: Tunnel port of all VMs.
        find_host: Returns the IP address of a VM.
    """

    def __init__(
        self,
        *,
        links: TargetLinkSystem,
        port: int,
        find_host: Callable[[str], str],
    ) -> None:
        self.links = links
        self.port = port
        self.find_host = find_host

    async def open(self, address: str) -> ClientConnection:
        """Opens a connection to a target.

        Raises:
            OSError: If there is no way to it.
            ValueError: If the address is malformed.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        plan = self.links.plan(address, started_at)
        ways = [self.connect_directly(address)] if plan.direct else []
        ways += [self.connect_through(address, x) for x in plan.peers]
        try:
            connection, errors = await race(ways, HEAD_START_SECONDS)
        except asyncio.CancelledError:
            if loop.time() - started_at > (len(ways) + 1) * HEAD_START_SECONDS:
                self.links.note_unreached(address, loop.time())
            raise
        if connection is not None:
            return connection
        self.links.note_unreached(address, loop.time())
        raise choose_error(errors)

    async def connect_directly(self, address: str) -> ClientConnection:
        """Connects to a target without another VM.

        The attempt goes on when another way is faster, as its result tells
        whether the link is sound.

        Raises:
            OSError: If that fails.
        """
        attempt = asyncio.create_task(self.try_directly(address))
        try:
            return await asyncio.shield(attempt)
        except asyncio.CancelledError:
            attempt.add_done_callback(close_late)
            raise

    async def try_directly(self, address: str) -> ClientConnection:
        """Connects to a target directly and records the result.

        Raises:
            OSError: If that fails.
        """
        loop = asyncio.get_running_loop()
        try:
            connection = await wait_for_reply(
                open_direct(address), DIRECT_TIMEOUT_SECONDS
            )
        except OSError:
            self.links.note_direct(address, connected=False, now=loop.time())
            raise
        self.links.note_direct(address, connected=True, now=loop.time())
        return connection

    async def connect_through(
        self, address: str, peer: str
    ) -> ClientConnection:
        """Connects to a target through another VM.

        Raises:
            OSError: If that fails.
        """
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: TunnelConnection(address=address, peer=peer),
                self.find_host(peer),
                self.port,
            )
        except OSError as error:
            self.links.avoid(peer, loop.time())
            raise UnhelpfulPeerError(f"peer {peer} not reached") from error
        try:
            reply = await connection.reply
        except asyncio.CancelledError:
            connection.cancel()
            raise
        self.links.note_reply(address, peer, reply, loop.time())
        if reply is TunnelReply.CONNECTED:
            log.info("connected through a peer", target=address, peer=peer)
            return connection
        connection.close()
        if reply is TunnelReply.REFUSED:
            raise ConnectionRefusedError(f"refused at {peer}")
        message = f"peer {peer} replied {reply.name}"
        if reply is TunnelReply.UNREACHED:
            raise OSError(message)
        raise UnhelpfulPeerError(message)


def decode_reply(data: bytes) -> TunnelReply:
    """Returns the reply of a peer; a malformed one means that it is no help."""
    try:
        return TunnelReply(data)
    except ValueError:
        return TunnelReply.BUSY


async def race(
    ways: list[object], interval_s: float
) -> tuple[ClientConnection | None, list[Exception]]:
    """Tries ways one after the other, without waiting for slow ones.

    Args:
        ways: Coroutines that open a connection.
        interval_s: Seconds after which the next one is started as well.

    Returns:
        The first connection that is opened, None if there is none, and the
        errors of the ways that failed, in their order.
    """
    waiting = list(ways)
    running: dict[asyncio.Task[ClientConnection], int] = {}
    errors: dict[int, Exception] = {}
    try:
        while waiting or running:
            if waiting:
                number = len(ways) - len(waiting)
                task = asyncio.create_task(waiting.pop(0))
                running[task] = number
            done, _ = await asyncio.wait(
                running,
                timeout=interval_s if waiting else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                number = running.pop(task)
                error = task.exception()
                if error is None:
                    return task.result(), []
                if not isinstance(error, OSError | ValueError):
                    raise error
                errors[number] = error
        return None, [errors[x] for x in sorted(errors)]
    finally:
        for way in waiting:
            way.close()
        for task in running:
            task.add_done_callback(close_late)
            task.cancel()


def close_late(task: asyncio.Task[ClientConnection]) -> None:
    """Closes a connection that was opened although it is not needed."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()


def choose_error(errors: list[Exception]) -> Exception:
    """Returns the error that describes best why there is no connection.

    A target counts as refusing only if no way says otherwise. Peers that were
    no help say nothing about it.
    """
    telling = [x for x in errors if not isinstance(x, UnhelpfulPeerError)]
    if not telling:
        return errors[0] if errors else OSError("no way to the target")
    for error in telling:
        if not isinstance(error, ConnectionRefusedError):
            return error
    return telling[0]
