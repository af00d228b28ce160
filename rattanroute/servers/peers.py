"""gRPC server that receives the messages of peer daemons."""

import asyncio
from collections.abc import Callable
import time

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Stream

from rattanroute import codecs
from rattanroute.errors import CodecError
from rattanroute.logs import get_logger
from rattanroute.metrics import MetricsRegistry
from rattanroute.proto.peers_grpc import PeersBase
from rattanroute.proto.peers_pb2 import Frame

ACK_INTERVAL_SECONDS = 0.5
STREAM_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)

log = get_logger(__name__)


class PeersServer(PeersBase):
    """Receives the messages of peers; `protect_server` authenticates them.

    Args:
        vm_id: Identifier of this VM.
        deliver: Called with each message and the identifier of its sender.
        learn: Called with the identifier and address of each peer that opens
            a stream, so that replies can be sent to a peer that is not yet
            in the membership.
        metrics: Metrics of the daemon.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        deliver: Callable[[str, object], None],
        learn: Callable[[str, str], None],
        metrics: MetricsRegistry,
    ) -> None:
        self.vm_id = vm_id
        self.learn = learn
        self.deliver = deliver
        self.metrics = metrics

    async def Exchange(self, stream: "Stream[Frame, Frame]") -> None:  # noqa: N802
        """Receives the frames of one peer until its stream ends."""
        hello = await stream.recv_message()
        if hello is None or not hello.vm_id:
            raise GRPCError(Status.INVALID_ARGUMENT, "first frame has no vm_id")
        if hello.address:
            self.learn(hello.vm_id, hello.address)
        await stream.send_message(Frame(vm_id=self.vm_id))
        acknowledger = StreamAcknowledger(stream=stream)
        try:
            while (frame := await stream.recv_message()) is not None:
                acknowledger.note_received()
                self.receive(hello.vm_id, frame)
        finally:
            acknowledger.close()

    def receive(self, peer: str, frame: Frame) -> None:
        """Decodes and delivers the messages of a frame; skips invalid ones."""
        labels = {"direction": "in"}
        size = sum(len(item.body) for item in frame.items)
        self.metrics.peer_messages.add(labels, len(frame.items))
        self.metrics.peer_bytes.add(labels, size)
        for item in frame.items:
            try:
                message = codecs.decode(
                    kind=item.kind, body=item.body, peer=peer
                )
            except CodecError as error:
                log.warning("peer message refused", peer=peer, error=error)
                continue
            self.deliver(peer, message)


class StreamAcknowledger:
    """Periodically acknowledges the received frames of a stream.

    Args:
        stream: The peer's stream.
    """

    def __init__(self, *, stream: "Stream[Frame, Frame]") -> None:
        self.stream = stream
        self.received = 0
        self.last_sent = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def note_received(self) -> None:
        """Counts a frame; schedules an acknowledgement if none is pending."""
        self.received += 1
        if self.timer is not None:
            return
        due = self.last_sent + ACK_INTERVAL_SECONDS - time.monotonic()
        self.timer = asyncio.get_running_loop().call_later(
            max(0.0, due), self.start_sending
        )

    def start_sending(self) -> None:
        """Starts a task that sends the acknowledgement."""
        self.timer = None
        self.last_sent = time.monotonic()
        task = asyncio.create_task(self.send())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self) -> None:
        """Sends the number of received frames; failures are only logged."""
        try:
            await self.stream.send_message(Frame(received=self.received))
        except STREAM_ERRORS as error:
            log.debug("acknowledgement not sent", error=error)
        except Exception as error:
            # The library may raise undocumented errors while the stream
            # closes; `Exchange` handles the end of the stream.
            log.info("acknowledgement failed", error=error)

    def close(self) -> None:
        """Cancels the pending acknowledgement."""
        if self.timer is not None:
            self.timer.cancel()
