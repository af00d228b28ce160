"""Connects other VMs, which have lost their links, to targets."""

import asyncio
from collections.abc import Callable
import contextlib
import socket
import struct

from rattanroute.http1.socket_options import set_user_timeout
from rattanroute.logs import get_logger
from rattanroute.systems.target_links import TargetLinkSystem
from rattanroute.systems.target_links import TunnelReply
from rattanroute.tasks import wait_for_event
from rattanroute.tasks import wait_for_reply
from rattanroute.tunnels.frames import decode_command
from rattanroute.tunnels.frames import encode_frame
from rattanroute.tunnels.frames import END_FRAME
from rattanroute.tunnels.frames import MAX_LINE_BYTES

# Shorter than the connect timeout of the VM that asks.
CONNECT_TIMEOUT_SECONDS = 0.15
COMMAND_TIMEOUT_SECONDS = 1.0
# Two descriptors each.
MAX_TUNNELS = 300
BACKLOG = 256
# Closes with a reset, so that a broken answer does not look complete.
LINGER_RESET = struct.pack("ii", 1, 0)

log = get_logger(__name__)


def reset(transport: asyncio.Transport | None) -> None:
    """Closes a connection with a reset."""
    if transport is None or transport.is_closing():
        return
    found = transport.get_extra_info("socket")
    if found is not None:
        with contextlib.suppress(OSError):
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


class TunnelEnd(asyncio.Protocol):
    """The connection to a target; passes its bytes on in frames."""

    def __init__(self, *, tunnel: "Tunnel") -> None:
        self.tunnel = tunnel
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = transport
        set_user_timeout(transport)

    def data_received(self, data: bytes) -> None:
        """Passes bytes of the target on."""
        self.tunnel.write_back(encode_frame(data))

    def eof_received(self) -> bool:
        """Passes the end of the target's direction on."""
        self.tunnel.write_back(END_FRAME)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the tunnel; with a reset after an error."""
        self.tunnel.end(exc)

    def pause_writing(self) -> None:
        """Stops reading from the asking VM while the target is slow."""
        self.tunnel.pause_reading()

    def resume_writing(self) -> None:
        """Reads from the asking VM again."""
        self.tunnel.resume_reading()


class Tunnel(asyncio.Protocol):
    """A connection of another VM that asks for a target.

    Args:
        server: The server that accepted it.
    """

    def __init__(self, *, server: "TunnelServer") -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.line = bytearray()
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.target: TunnelEnd | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Waits for the command."""
        self.transport = transport
        set_user_timeout(transport)
        self.server.tunnels.add(self)
        self.timer = self.loop.call_later(
            COMMAND_TIMEOUT_SECONDS, transport.abort
        )

    def data_received(self, data: bytes) -> None:
        """Reads the command, or passes bytes on to the target."""
        if self.target is not None:
            self.target.transport.write(data)
            return
        if self.task is not None:
            # Nothing may be sent before the reply.
            self.transport.abort()
            return
        self.line += data
        if b"\n" in self.line:
            self.timer.cancel()
            self.task = self.loop.create_task(self.connect())
        elif len(self.line) > MAX_LINE_BYTES:
            self.transport.abort()

    async def connect(self) -> None:
        """Connects to the target and replies."""
        reply = await self.try_connect(decode_command(bytes(self.line)))
        if self.transport.is_closing():
            return
        self.transport.write(reply.value)
        if reply is not TunnelReply.CONNECTED:
            self.transport.close()

    async def try_connect(self, address: str) -> TunnelReply:
        """Connects to a target and returns the reply."""
        reply = self.server.check(address)
        if reply is not None:
            return reply
        links = self.server.links
        host, _, port = address.rpartition(":")
        try:
            _, target = await wait_for_reply(
                self.loop.create_connection(
                    lambda: TunnelEnd(tunnel=self), host, int(port)
                ),
                CONNECT_TIMEOUT_SECONDS,
            )
        except (OSError, TimeoutError, ValueError) as error:
            links.note_direct(address, connected=False, now=self.loop.time())
            if isinstance(error, ConnectionRefusedError):
                return TunnelReply.REFUSED
            return TunnelReply.UNREACHED
        links.note_direct(address, connected=True, now=self.loop.time())
        if self.transport.is_closing():
            target.transport.abort()
            return TunnelReply.UNREACHED
        self.target = target
        return TunnelReply.CONNECTED

    def write_back(self, data: bytes) -> None:
        """Writes bytes to the asking VM."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def end(self, error: Exception | None) -> None:
        """Closes the connection of the asking VM after that of the target."""
        if error is not None:
            reset(self.transport)
        elif not self.transport.is_closing():
            self.transport.close()

    def pause_reading(self) -> None:
        """Stops reading from the asking VM."""
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads from the asking VM again."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Stops reading from the target while the asking VM is slow."""
        target = self.target
        if target is not None and not target.transport.is_closing():
            target.transport.pause_reading()

    def resume_writing(self) -> None:
        """Reads from the target again."""
        target = self.target
        if target is not None and not target.transport.is_closing():
            target.transport.resume_reading()

    def eof_received(self) -> bool:
        """Closes the tunnel, as its client never ends only one direction."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the connection to the target, which drops the request."""
        self.server.discard(self)
        self.timer.cancel()
        if self.task is not None and not self.task.done():
            self.task.cancel()
        if self.target is not None:
            self.target.transport.abort()


class TunnelServer:
    """Accepts connections of VMs that ask for a connection to a target.

    Args:
        links: Links of this VM to the targets.
        is_target: Returns whether an address belongs to a known target.

    Attributes:
        tunnels: Open connections.
        draining: Whether no further connection is made.
        empty: Set once no connection is open after `start_draining`.
    """

    def __init__(
        self, *, links: TargetLinkSystem, is_target: Callable[[str], bool]
    ) -> None:
        self.links = links
        self.is_target = is_target
        self.tunnels: set[Tunnel] = set()
        self.draining = False
        self.empty = asyncio.Event()
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Opens the listener.

        Raises:
            OSError: If the address is unavailable.
        """
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: Tunnel(server=self), host, port, backlog=BACKLOG
        )

    def check(self, address: str) -> TunnelReply | None:
        """Returns why no connection is made; None if one may be made.

        A VM never asks a further one, so that a request passes two at most.
        """
        if self.draining:
            return TunnelReply.DRAINING
        if self.links.lost:
            return TunnelReply.LINKS_LOST
        if len(self.tunnels) > MAX_TUNNELS:
            return TunnelReply.BUSY
        if not self.is_target(address):
            return TunnelReply.UNKNOWN_TARGET
        return None

    def discard(self, tunnel: Tunnel) -> None:
        """Removes a closed connection."""
        self.tunnels.discard(tunnel)
        if self.draining and not self.tunnels:
            self.empty.set()

    def start_draining(self) -> None:
        """Makes no further connections; open ones go on."""
        self.draining = True
        if not self.tunnels:
            self.empty.set()

    async def wait_until_empty(self, until: float) -> None:
        """Waits until no connection is open after `start_draining`.

        Args:
            until: End of the wait, on the event loop's clock.
        """
        await wait_for_event(self.empty, until)

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self.listener is not None:
            self.listener.close()
        if self.tunnels:
            log.info("closing tunnelled connections", count=len(self.tunnels))
        for tunnel in list(self.tunnels):
            reset(tunnel.transport)
