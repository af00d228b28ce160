"""Receives the answer of an engine and forwards complete events."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum

from rattanroute.errors import RouterError
from rattanroute.gateway.calls import Call
from rattanroute.gateway.calls import LongestGap
from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.gateway.header_codecs import HeaderCodec
from rattanroute.gateway.outcomes import Answered
from rattanroute.gateway.outcomes import MISDIRECTED
from rattanroute.gateway.outcomes import NotRun
from rattanroute.gateway.outcomes import Outcome
from rattanroute.gateway.outcomes import Superseded
from rattanroute.gateway.outcomes import Unknown
from rattanroute.gateway.service_forwarders import FIRST_FAILURE_STATUS
from rattanroute.gateway.service_forwarders import NOT_RUN_STATUSES
from rattanroute.gateway.service_forwarders import UNNAMED_REASON
from rattanroute.gateway.stream_events import EventSplitter
from rattanroute.gateway.stream_events import has_other_type
from rattanroute.gateway.stream_events import parse_event_number
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.response_buffers import ResponseBuffers
from rattanroute.http1.response_sinks import ResponseSink
from rattanroute.systems.target_limits import LIMITED_REASON

MAX_FAILURE_BYTES = 65_536
OK = 200


class Shortage(enum.StrEnum):
    """Why no chain is available for a stream."""

    ROOM = "no chain has room"
    LAYERS = "layers are missing"
    TARGETS = "no further target may run the request"
    LIMITS = LIMITED_REASON


@dataclasses.dataclass(kw_only=True, slots=True)
class StreamState:
    """What the client has received of a stream over all attempts.

    Attributes:
        call: The call.
        last_event_id: Identifier of the last event that was forwarded.
        head: Head of the first answer; those of retries are not forwarded.
        event_at: Time of the latest event, in seconds of the event loop's
            clock.
        failures_before: Failed attempts before the latest event.
        waited_before_s: Seconds in the wait queue before the latest event.
        shortage: Why the latest search found no chain.
    """

    call: Call
    last_event_id: bytes = b""
    head: ResponseHead | None = None
    event_at: float = 0.0
    failures_before: int = 0
    waited_before_s: float = 0.0
    shortage: Shortage = Shortage.ROOM


class StreamSink(ResponseSink):
    """Forwards the events of one attempt to the client.

    Attributes:
        on_metadata: Called with the metadata of the answer.
        on_begun: Called at the first event of the attempt.
        on_progress: Called before events are passed to the client.
        is_only_attempt: Returns whether no other attempt is open.
        buffer: Incomplete event, or the body of an error answer.
        unframed: Whether the end of the connection is the end of the answer.
        ended: Resolves to the outcome of the attempt; to None after a
            complete stream.
        event_at: Time of the latest event, or of the start, in seconds of
            the event loop's clock.
        first_event_at: Time of the first event; None before it.
    """

    def __init__(
        self,
        *,
        state: StreamState,
        codec: HeaderCodec,
        connection: ClientConnection,
        buffers: ResponseBuffers,
        on_metadata: Callable[[AnswerMetadata], None],
        on_begun: Callable[[], None],
    ) -> None:
        self.on_metadata = on_metadata
        self.on_begun = on_begun
        self.on_progress: Callable[[], None] = lambda: None
        self.is_only_attempt: Callable[[], bool] = lambda: True
        self.loop = asyncio.get_running_loop()
        self.state = state
        self.codec = codec
        self.connection = connection
        self.buffer = buffers.create(
            peer=connection.address, on_evicted=self.handle_eviction
        )
        self.splitter = EventSplitter(buffer=self.buffer)
        self.head: ResponseHead | None = None
        self.metadata: AnswerMetadata | None = None
        self.is_stream = False
        self.unframed = False
        self.events = 0
        self.event_at = self.loop.time()
        self.first_event_at: float | None = None
        self.ended: asyncio.Future[Outcome | None] = self.loop.create_future()

    def finish(self, outcome: Outcome | None) -> None:
        """Sets the outcome unless it is already set."""
        if not self.ended.done():
            self.ended.set_result(outcome)

    def handle_eviction(self) -> None:
        """Ends the attempt, as the limit of all responses was reached."""
        self.finish(Unknown(reason="too many bytes of responses are buffered"))

    def supersede(self) -> None:
        """Ends the attempt, as another one continues the stream."""
        self.finish(Superseded())

    def expects(self, head: ResponseHead) -> bool:
        """Returns whether a head may belong to the request."""
        metadata = self.codec.read_answer(head)
        return metadata.may_answer(self.state.call.metadata.request_id)

    def receive_head(self, head: ResponseHead) -> None:
        """Checks whether the answer is the requested stream."""
        self.head = head
        self.unframed = self.connection.parser.until_close
        self.metadata = self.codec.read_answer(head)
        call = self.state.call
        is_named = self.metadata.request_id == call.metadata.request_id
        if not self.expects(head):
            self.connection.usable = False
            self.finish(Unknown(reason="answer to another request"))
            return
        if not is_named and self.connection.request_count > 1:
            # It may be a second answer to an earlier request.
            self.connection.usable = False
            self.finish(Unknown(reason=UNNAMED_REASON))
            return
        if head.status != MISDIRECTED:
            self.on_metadata(self.metadata)
        if head.status != OK or has_other_type(head):
            return
        if not is_named or not self.metadata.is_whole:
            self.finish(Unknown(reason="unsigned or encoded answer"))
        else:
            self.is_stream = True
            call.may_have_run = True

    def receive_body(self, data: bytes) -> None:
        """Forwards complete events, or collects the body of an error answer."""
        if self.ended.done():
            return
        if not self.is_stream:
            self.buffer.append(data)
            if self.buffer.size > MAX_FAILURE_BYTES:
                self.finish(Unknown(reason="error answer too long"))
            return
        try:
            events = self.splitter.feed(data)
        except RouterError as error:
            self.finish(Unknown(reason=error.message))
            return
        # Events of an attempt that was dropped meanwhile come again.
        if not events or self.ended.done():
            return
        self.note_event()
        forwarded = []
        for event in events:
            if not self.accept_event(event.event_id):
                continue
            forwarded.append(event.data)
            self.events += 1
        if self.ended.done() or not forwarded:
            return
        self.on_progress()
        self.start_answer()
        self.state.call.events += len(forwarded)
        self.state.call.exchange.write(b"".join(forwarded))
        if not self.state.call.exchange.writable:
            self.connection.pause()

    def note_event(self) -> None:
        """Updates the time to the first event and the longest gap."""
        now = self.loop.time()
        call = self.state.call
        if not call.exchange.started:
            self.note_first_event(now)
        elif now - self.state.event_at > call.longest_gap.seconds:
            self.note_longest_gap(now)
        self.event_at = self.state.event_at = now
        self.state.failures_before = len(call.failures)
        self.state.waited_before_s = call.waited_s
        if self.first_event_at is None:
            self.first_event_at = now
            self.on_begun()

    def note_first_event(self, now: float) -> None:
        """Records what the time to the first event consists of."""
        call = self.state.call
        call.first_event_s = now - call.exchange.received_at
        call.first_sent_s = self.connection.sent_at - call.exchange.received_at
        call.first_waited_s = call.waited_s
        call.first_sends = call.sends

    def note_longest_gap(self, now: float) -> None:
        """Records the gap that ends now, and what happened in it."""
        state, call = self.state, self.state.call
        call.longest_gap = LongestGap(
            seconds=now - state.event_at,
            began_s=state.event_at - call.exchange.received_at,
            sent_s=self.connection.sent_at - call.exchange.received_at,
            waited_s=call.waited_s - state.waited_before_s,
            sends=call.sends,
            failures=tuple(call.failures[state.failures_before :]),
        )

    def may_be_empty(self) -> bool:
        """Whether nothing may be left to send.

        The client has received events of earlier attempts then, and none of
        these is still at work.
        """
        call = self.state.call
        resumed = self.state.last_event_id or call.metadata.last_event_id
        return bool(resumed) and self.is_only_attempt()

    def measure_progress(self) -> float:
        """Returns the seconds since the first event; 0 before it."""
        if self.first_event_at is None:
            return 0.0
        return self.loop.time() - self.first_event_at

    def accept_event(self, event_id: bytes) -> bool:
        """Returns whether an event is new to the client and records it.

        A gap before the first event of the attempt ends the attempt.
        """
        known = parse_event_number(self.state.last_event_id)
        number = parse_event_number(event_id)
        if known is not None and number is not None:
            if number <= known:
                return False
            if number > known + 1 and self.events == 0:
                self.finish(Unknown(reason="events are missing"))
                return False
        if event_id:
            self.state.last_event_id = event_id
        return True

    def start_answer(self) -> None:
        """Sends the answer's head to the client if none was sent yet."""
        exchange = self.state.call.exchange
        if not exchange.started:
            self.state.head = self.head
            exchange.start(self.codec.build_answer(self.head))

    def receive_end(self) -> None:
        """Completes the stream, or classifies an error answer."""
        if self.ended.done():
            return
        if not self.is_stream:
            self.finish(self.classify_failure())
        elif self.buffer.size:
            self.finish(Unknown(reason="last event is incomplete"))
        elif self.unframed and not self.events and not self.may_be_empty():
            self.finish(Unknown(reason="the stream ended without an event"))
        else:
            self.start_answer()
            self.state.call.exchange.end()
            self.finish(None)

    def classify_failure(self) -> Outcome:
        """Determines the outcome of an answer that is not a stream."""
        if self.head.status == MISDIRECTED or self.metadata.not_run:
            faulty_address = self.metadata.faulty_address
            return NotRun(
                reason=f"status {self.head.status} {faulty_address}".strip()
            )
        if self.head.status in NOT_RUN_STATUSES:
            return Unknown(reason=f"status {self.head.status}")
        is_failure = self.head.status >= FIRST_FAILURE_STATUS
        if not is_failure and not self.metadata.is_whole:
            return Unknown(reason="unsigned or encoded answer")
        return Answered(head=self.head, body=bytes(self.buffer.data))

    def receive_error(self, error: RouterError) -> None:
        """Ends the attempt after a connection error."""
        self.finish(Unknown(reason=error.message))
