"""gRPC servers that bound what clients without a token can hold."""

import asyncio
import ssl

from grpclib.events import listen
from grpclib.events import RecvRequest
from grpclib.protocol import H2Protocol
from grpclib.server import Handler
from grpclib.server import Server

from rattanroute.addresses import parse_address
from rattanroute.errors import RouterError
from rattanroute.security import protect_server
from rattanroute.security import TokenFile
from rattanroute.servers.client_guards import choose_backlog
from rattanroute.servers.client_guards import ClientGuard
from rattanroute.servers.small_reads import SmallReads

# Longest time until the first call is accepted. The library itself waits for
# calls without a limit.
FIRST_CALL_TIMEOUT_SECONDS = 10.0
TLS_HANDSHAKE_TIMEOUT_SECONDS = 5.0
# Received before the first call is accepted. A client sends at most 65,535
# bytes of a message before it knows the window of the server; the library
# keeps incomplete headers of up to 1 MB.
MAX_UNAUTHENTICATED_BYTES = 131_072
# Incomplete headers are held as received and as frames.
HEADER_COPIES = 2
UNAUTHENTICATED_CAUSE = "unauthenticated"


class GuardedProtocol(H2Protocol):
    """A connection of a peer or an operator, registered while it is open.

    Args:
        server: The server that accepted it.
        handler: Runs its calls.

    Attributes:
        feeding: Whether the library is parsing bytes or sending answers.
        dropped: Whether the state of the connection was dropped at a refusal.
    """

    def __init__(self, *, server: "GuardedServer", handler: Handler) -> None:
        super().__init__(handler, server._config, server._h2_config)
        self.server = server
        self.clients = server.clients
        self.feeding = False
        self.dropped = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts the timeout of its first call."""
        super().connection_made(transport)
        self.transport = transport
        self.address = transport.get_extra_info("peername")
        self.server.protocols[self.address] = self
        self.timer = asyncio.get_running_loop().call_later(
            FIRST_CALL_TIMEOUT_SECONDS, self.check
        )
        self.row = self.clients.open(self.server.name, self.refuse)

    def data_received(self, data: bytes) -> None:
        """Passes bytes on; closes a connection that sends too much too early.

        The bytes of the latest read are not counted yet when they are judged,
        as the first call may be among them.
        """
        row = self.row
        row.used_at = asyncio.get_running_loop().time()
        if row.refused:
            return
        if not row.trusted:
            if row.unparsed_bytes > HEADER_COPIES * MAX_UNAUTHENTICATED_BYTES:
                self.clients.refuse(row, UNAUTHENTICATED_CAUSE)
                return
            size = row.unparsed_bytes + HEADER_COPIES * len(data)
            self.clients.set_part(row, "unparsed_bytes", size)
            if row.refused:
                return
        self.feeding = True
        try:
            super().data_received(data)
        finally:
            self.feeding = False

    def accept(self) -> None:
        """Notes that a call was accepted."""
        self.timer.cancel()
        self.row.trusted = True
        self.clients.set_part(self.row, "unparsed_bytes", 0)

    def check(self) -> None:
        """Closes a connection that has not sent a call with a valid token."""
        if not self.row.trusted and not self.row.refused:
            self.clients.refuse(self.row, UNAUTHENTICATED_CAUSE)

    def refuse(self, cause: str) -> None:
        """Closes the connection and drops what it has received.

        `connection_lost` is called only after the event loop has read from all
        other connections of a crowd.
        """
        del cause
        self.transport.abort()
        if not self.feeding:
            self.dropped = True
            self.processor.close("refused")
            del self.connection._connection

    def pause_writing(self) -> None:
        """Stops reading, as each frame may ask for another answer."""
        super().pause_writing()
        if self.transport.is_closing():
            return
        self.transport.pause_reading()
        size = self.transport.get_write_buffer_size()
        self.clients.set_part(self.row, "unsent_bytes", size)

    def resume_writing(self) -> None:
        """Reads again."""
        super().resume_writing()
        self.clients.set_part(self.row, "unsent_bytes", 0)
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection."""
        self.timer.cancel()
        self.clients.remove(self.row)
        if self.server.protocols.get(self.address) is self:
            del self.server.protocols[self.address]
        if not self.dropped:
            super().connection_lost(exc)


class GuardedServer(Server):
    """A gRPC server whose connections count against the budget of clients.

    Args:
        name: Name of the listener.
        service: The service.
        tokens: Valid tokens; None accepts every client.
        clients: Applies the budget.

    Attributes:
        protocols: Open connections by the address of the client.
    """

    def __init__(
        self,
        *,
        name: str,
        service: object,
        tokens: TokenFile | None,
        clients: ClientGuard,
    ) -> None:
        super().__init__([service])
        self.name = name
        self.clients = clients
        self.protocols: dict[object, GuardedProtocol] = {}
        protect_server(self, tokens)
        # Called only for calls that the check above has accepted.
        listen(self, RecvRequest, self.note_accepted)

    async def note_accepted(self, event: RecvRequest) -> None:
        """Trusts the connection of an accepted call."""
        protocol = self.protocols.get(event.peer.addr())
        if protocol is not None and not protocol.row.trusted:
            protocol.accept()

    def _protocol_factory(self) -> SmallReads:
        """Returns the protocol of a new connection; the library calls this."""
        protocol = super()._protocol_factory()
        return SmallReads(
            GuardedProtocol(server=self, handler=protocol.handler)
        )

    async def open(self, address: str, context: ssl.SSLContext | None) -> None:
        """Starts listening.

        The library's `start` does not limit the time of a TLS handshake.

        Args:
            address: Listening address as `IP:port`.
            context: TLS context; None without TLS.

        Raises:
            RouterError: If the address cannot be used.
        """
        timeout_s = TLS_HANDSHAKE_TIMEOUT_SECONDS if context else None
        host, port = parse_address(address)
        try:
            self._server = await self._loop.create_server(
                self._protocol_factory,
                host,
                port,
                backlog=choose_backlog(),
                ssl=context,
                ssl_handshake_timeout=timeout_s,
            )
        except OSError as error:
            raise build_listen_error(address, error) from error
        self._server_closed_fut = self._loop.create_future()


def build_listen_error(address: str, error: OSError) -> RouterError:
    """Returns the error of a listener that cannot be opened."""
    reason = error.strerror or str(error)
    return RouterError(step="listen", peer=address, message=reason)
