"""Connects other VMs, which have lost their links, to targets."""

import asyncio
from collections.abc import Callable

from rattanroute.http1.socket_options import abort_with_reset
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
from rattanroute.tunnels.tunnel_limits import IDLE_SECONDS
from rattanroute.tunnels.tunnel_limits import LimitedProtocol
from rattanroute.tunnels.tunnel_limits import RefusalCounter
from rattanroute.tunnels.tunnel_limits import UNUSED_SECONDS

# Shorter than the connect timeout of the VM that asks.
CONNECT_TIMEOUT_SECONDS = 0.15
COMMAND_TIMEOUT_SECONDS = 1.0
# Two descriptors each.
MAX_TUNNELS = 300
BACKLOG = 256
# Connections whose command has not arrived; the oldest ones are closed first.
# The event loop accepts a whole backlog before it reads a command.
MAX_ASKING = BACKLOG

log = get_logger(__name__)


def reset(transport: asyncio.Transport | None) -> None:
    """Closes a connection so that a broken answer does not look complete."""
    if transport is not None and not transport.is_closing():
        abort_with_reset(transport)


class TunnelEnd(LimitedProtocol):
    """The connection to a target; passes its bytes on in frames."""

    def __init__(self, *, tunnel: "Tunnel") -> None:
        self.tunnel = tunnel

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; reads nothing before the reply is sent."""
        self.limit(transport)
        transport.pause_reading()
        set_user_timeout(transport)

    def receive(self, data: bytes) -> None:
        """Passes bytes of the target on."""
        self.tunnel.used_at = self.tunnel.loop.time()
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


class Tunnel(LimitedProtocol):
    """A connection of another VM that asks for a target.

    Args:
        server: The server that accepted it.

    Attributes:
        used: Whether bytes were sent to the target.
        used_at: When bytes last passed, on the event loop's clock.
    """

    def __init__(self, *, server: "TunnelServer") -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.line = b""
        self.used = False
        self.used_at = self.loop.time()
        self.task: asyncio.Task[None] | None = None
        self.target: TunnelEnd | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Waits for the command."""
        self.limit(transport)
        set_user_timeout(transport)
        self.server.add(self)
        self.timer = self.loop.call_later(
            COMMAND_TIMEOUT_SECONDS, transport.abort
        )

    def receive(self, data: bytes) -> None:
        """Reads the command, or passes bytes on to the target."""
        if self.target is not None:
            self.used = True
            self.used_at = self.loop.time()
            self.target.transport.write(data)
            return
        if self.task is not None:
            # Nothing may be sent before the reply.
            self.transport.abort()
            return
        self.line += data
        if len(self.line) > MAX_LINE_BYTES:
            self.transport.abort()
        elif b"\n" in self.line:
            self.timer.cancel()
            self.server.asking.pop(self, None)
            self.task = self.loop.create_task(self.connect())

    async def connect(self) -> None:
        """Connects to the target and replies."""
        reply = await self.try_connect(decode_command(self.line))
        if self.transport.is_closing():
            return
        self.transport.write(reply.value)
        if reply is not TunnelReply.CONNECTED:
            self.transport.close()
        else:
            self.resume_writing()

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
        self.used_at = self.loop.time()
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
        asking: Those of them whose command has not arrived, oldest first.
        refusals: Counts the connections that were closed to admit others.
        draining: Whether no further connection is made.
        empty: Set once no connection is open after `start_draining`.
    """

    def __init__(
        self, *, links: TargetLinkSystem, is_target: Callable[[str], bool]
    ) -> None:
        self.links = links
        self.is_target = is_target
        self.tunnels: set[Tunnel] = set()
        self.asking: dict[Tunnel, None] = {}
        self.refusals = RefusalCounter()
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
        if not self.is_target(address):
            return TunnelReply.UNKNOWN_TARGET
        if not self.make_room():
            return TunnelReply.BUSY
        return None

    def add(self, tunnel: Tunnel) -> None:
        """Adds a connection; closes the oldest one that asks for nothing."""
        self.tunnels.add(tunnel)
        self.asking[tunnel] = None
        if len(self.asking) > MAX_ASKING:
            oldest = next(iter(self.asking))
            del self.asking[oldest]
            self.refusals.note("silent")
            oldest.transport.abort()

    def make_room(self) -> bool:
        """Returns whether a tunnel may be opened; closes an idle one for it.

        The connection that asks is among those that have sent their command.
        """
        if len(self.tunnels) - len(self.asking) <= MAX_TUNNELS:
            return True
        now = asyncio.get_running_loop().time()
        idle = [
            tunnel
            for tunnel in self.tunnels
            if tunnel.target is not None
            and not tunnel.transport.is_closing()
            and now - tunnel.used_at
            > (IDLE_SECONDS if tunnel.used else UNUSED_SECONDS)
        ]
        if not idle:
            self.refusals.note("busy")
            return False
        # An abort ends the connection to the target as well.
        min(idle, key=lambda x: x.used_at).transport.abort()
        self.refusals.note("idle")
        return True

    def discard(self, tunnel: Tunnel) -> None:
        """Removes a closed connection."""
        self.tunnels.discard(tunnel)
        self.asking.pop(tunnel, None)
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
