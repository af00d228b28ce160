"""Outgoing streams to other daemons, opened on demand, written in batches."""

import asyncio
from collections.abc import Callable
import ssl
import time

from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError

from rattanroute import codecs
from rattanroute.addresses import parse_address
from rattanroute.clients.message_queues import MessageQueue
from rattanroute.logs import get_logger
from rattanroute.metrics import MetricsRegistry
from rattanroute.proto.peers_grpc import PeersStub
from rattanroute.proto.peers_pb2 import Frame
from rattanroute.proto.peers_pb2 import Item
from rattanroute.tasks import run_concurrently

CONNECT_TIMEOUT_SECONDS = 1.0
# The server acknowledges frames at least every half second; three missing
# acknowledgements mean that the network drops packets without an error.
ACK_TIMEOUT_SECONDS = 1.5
FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.4
# Longer than a round of membership probes over all members at the design scale
# (410 members, one probe per second). A probe that opens a link costs 0.56% of
# a CPU core and 540 B/s more than one on an open link; an open link takes about
# 60 KiB of memory.
IDLE_CLOSE_SECONDS = 900.0
LINK_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
)

log = get_logger(__name__)


class PeerLink:
    """A stream of messages from this VM to one peer.

    Args:
        vm_id: Identifier of this VM.
        own_address: Advertised peer address of this VM.
        address: Address to dial, as `IP:port`.
        batch_seconds: Time for which messages are collected in a batch.
        metadata: Returns the gRPC metadata with the credentials.
        tls: Returns the TLS context of a new connection, or None.
        metrics: Metrics of the daemon.
        on_state: Called with the peer's identifier, which the peer sends
            itself, the dialled address and whether the peer is connected.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        own_address: str,
        address: str,
        batch_seconds: float,
        metadata: Callable[[], dict[str, str]],
        metrics: MetricsRegistry,
        on_state: Callable[[str, str, bool], None],
        tls: Callable[[], ssl.SSLContext | None],
    ) -> None:
        self.vm_id = vm_id
        self.own_address = own_address
        self.address = address
        self.batch_seconds = batch_seconds
        self.metadata = metadata
        self.metrics = metrics
        self.on_state = on_state
        self.tls = tls
        self.peer = ""
        self.round_trip_s: float | None = None
        self.queue = MessageQueue()
        self.wakeup = asyncio.Event()
        self.last_used = time.monotonic()
        self.frames_sent = 0
        self.unacknowledged_since: float | None = None
        self.task = asyncio.create_task(self.run())

    def send(self, kind: int, body: bytes) -> None:
        """Queues a message; drops the oldest ones beyond the size limit."""
        self.queue.put(kind, body)
        self.last_used = time.monotonic()
        self.wakeup.set()

    async def run(self) -> None:
        """Opens the stream and reopens it after each failure."""
        delay = FIRST_RETRY_SECONDS
        while True:
            started = time.monotonic()
            try:
                await self.exchange()
            except LINK_ERRORS as error:
                log.debug("peer link lost", address=self.address, error=error)
            except Exception as error:
                # The link is reopened even after an unexpected error; the peer
                # would otherwise receive nothing until a restart.
                log.exception(
                    "peer link failed", address=self.address, error=error
                )
            if self.peer:
                self.on_state(self.peer, self.address, False)
            if time.monotonic() - started > MAX_RETRY_SECONDS:
                delay = FIRST_RETRY_SECONDS
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_SECONDS)

    async def exchange(self) -> None:
        """Opens the stream and sends batches until the stream fails."""
        host, port = parse_address(self.address)
        channel = Channel(host, port, ssl=self.tls())
        try:
            async with PeersStub(channel).Exchange.open(
                metadata=self.metadata()
            ) as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await stream.send_request()
                    sent_at = time.monotonic()
                    await stream.send_message(
                        Frame(vm_id=self.vm_id, address=self.own_address)
                    )
                    hello = await stream.recv_message()
                    self.round_trip_s = time.monotonic() - sent_at
                if hello is None:
                    return
                self.peer = hello.vm_id
                self.frames_sent = 0
                self.unacknowledged_since = None
                self.on_state(self.peer, self.address, True)
                await run_concurrently(
                    self.read_acknowledgements(stream),
                    self.write_batches(stream),
                    until=asyncio.FIRST_COMPLETED,
                )
        finally:
            channel.close()

    async def read_acknowledgements(self, stream: object) -> None:
        """Reads acknowledgements and records whether all frames have one."""
        while True:
            frame = await stream.recv_message()
            if frame is None:
                raise ConnectionResetError("peer ended the stream")
            self.unacknowledged_since = (
                time.monotonic() if frame.received < self.frames_sent else None
            )

    async def write_batches(self, stream: object) -> None:
        """Sends queued messages, several in one frame."""
        while True:
            await self.wait_for_work()
            if not self.queue:
                continue
            frame = self.take_frame()
            self.frames_sent += 1
            if self.unacknowledged_since is None:
                self.unacknowledged_since = time.monotonic()
            async with asyncio.timeout(ACK_TIMEOUT_SECONDS):
                await stream.send_message(frame)

    async def wait_for_work(self) -> None:
        """Waits for messages and collects them for one batch.

        The wait has a timeout only while an acknowledgement is missing:
        regular wakeups of idle links would make the CPU use of a daemon grow
        with the number of its peers.

        Raises:
            TimeoutError: If an acknowledgement is overdue.
        """
        missing = self.unacknowledged_since is not None
        try:
            async with asyncio.timeout(
                ACK_TIMEOUT_SECONDS if missing else None
            ):
                await self.wakeup.wait()
            await asyncio.sleep(self.batch_seconds)
        except TimeoutError:
            pass
        self.wakeup.clear()
        since = self.unacknowledged_since
        if since and time.monotonic() - since > ACK_TIMEOUT_SECONDS:
            raise TimeoutError("peer did not acknowledge in time")

    def take_frame(self) -> Frame:
        """Moves queued messages into a frame of limited size."""
        messages = self.queue.take_frame()
        items = [Item(kind=kind, body=body) for kind, body in messages]
        size = sum(len(body) for _, body in messages)
        if self.queue:
            self.wakeup.set()
        self.metrics.peer_messages.add({"direction": "out"}, len(items))
        self.metrics.peer_bytes.add({"direction": "out"}, size)
        return Frame(items=items)

    async def close(self) -> None:
        """Closes the stream."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class PeerLinkRegistry:
    """Opens and finds links by address; stores the addresses of peers.

    Args:
        vm_id: Identifier of this VM.
        own_address: Advertised peer address of this VM.
        batch_seconds: Time for which messages are collected in a batch.
        address_map: Addresses to dial, by advertised address; others are
            dialled as advertised.
        metadata: Returns the gRPC metadata with the credentials.
        tls: Returns the TLS context of a new connection, or None.
        metrics: Metrics of the daemon.
        on_state: Called with a peer's identifier and whether it is connected.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        own_address: str,
        batch_seconds: float,
        address_map: dict[str, str],
        metadata: Callable[[], dict[str, str]],
        metrics: MetricsRegistry,
        on_state: Callable[[str, bool], None],
        tls: Callable[[], ssl.SSLContext | None],
    ) -> None:
        self.vm_id = vm_id
        self.own_address = own_address
        self.batch_seconds = batch_seconds
        self.address_map = address_map
        self.metadata = metadata
        self.metrics = metrics
        self.on_state = on_state
        self.tls = tls
        self.links: dict[str, PeerLink] = {}
        self.addresses: dict[str, str] = {}

    def learn(self, *, peer: str, address: str) -> None:
        """Stores the advertised address of a peer."""
        self.addresses[peer] = address

    def open(self, address: str) -> PeerLink:
        """Returns the link to an advertised address; opens it if needed."""
        link = self.links.get(address)
        if link is None:
            link = PeerLink(
                vm_id=self.vm_id,
                own_address=self.own_address,
                address=self.address_map.get(address, address),
                batch_seconds=self.batch_seconds,
                metadata=self.metadata,
                metrics=self.metrics,
                on_state=lambda peer, _, up: self.update_state(
                    peer, address, up
                ),
                tls=self.tls,
            )
            self.links[address] = link
        return link

    def update_state(self, peer: str, address: str, connected: bool) -> None:
        """Stores the peer found at an address and reports its state."""
        self.addresses[peer] = address
        self.on_state(peer, connected)

    def round_trips(self) -> dict[str, float]:
        """Returns the measured round trip to each peer, in seconds."""
        return {
            link.peer: link.round_trip_s
            for link in self.links.values()
            if link.round_trip_s is not None
        }

    def send(self, *, peer: str, message: object) -> bool:
        """Queues a message; returns False when no address is known."""
        address = self.addresses.get(peer)
        if address is None:
            return False
        kind, body = codecs.encode(message)
        self.open(address).send(kind, body)
        return True

    async def close_idle(self, *, keep: frozenset[str]) -> None:
        """Closes links that sent nothing for `IDLE_CLOSE_SECONDS`.

        Args:
            keep: Advertised addresses that stay open, such as the seeds'.
        """
        oldest = time.monotonic() - IDLE_CLOSE_SECONDS
        for address, link in list(self.links.items()):
            if link.last_used < oldest and address not in keep:
                del self.links[address]
                await link.close()

    async def close(self) -> None:
        """Closes all links."""
        links = list(self.links.values())
        self.links.clear()
        await asyncio.gather(*(link.close() for link in links))
