"""Takes the answer of an engine and passes whole events on to the caller."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum

from rattanroute.errors import RouterError
from rattanroute.gateway.calls import Call
from rattanroute.gateway.events import EventSplitter
from rattanroute.gateway.events import number_of
from rattanroute.gateway.outcomes import Answered
from rattanroute.gateway.outcomes import NotRun
from rattanroute.gateway.outcomes import Outcome
from rattanroute.gateway.outcomes import Unknown
from rattanroute.gateway.services import MISDIRECTED
from rattanroute.gateway.services import PROMISES
from rattanroute.gateway.terms import AnswerTerms
from rattanroute.gateway.terms import HeaderCodec
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ResponseSink
from rattanroute.http1.heads import ResponseHead

MAX_FAILURE_BYTES = 65_536
OK = 200


class Shortage(enum.StrEnum):
    """Why there is no chain for a stream."""

    ROOM = "no chain has room"
    LAYERS = "layers are missing"


@dataclasses.dataclass(kw_only=True, slots=True)
class StreamState:
    """What the caller has of a stream over all attempts.

    Attributes:
        call: The call.
        last_event_id: Identifier of the last event that was passed on.
        head: Head of the first answer; later ones are not shown.
        event_at: Time of the latest event.
        shortage: Why the latest search for a chain found none.
    """

    call: Call
    last_event_id: bytes = b""
    head: ResponseHead | None = None
    event_at: float = 0.0
    shortage: Shortage = Shortage.ROOM


class StreamSink(ResponseSink):
    """Passes the events of one attempt on to the caller.

    Attributes:
        on_terms: Gets what the answer of the target says about itself.
        ended: Gets the outcome of the attempt; None after a whole stream.
        event_at: Time of the latest event, or of the start.
        began_at: Time of the first event; None before it.
    """

    def __init__(
        self,
        *,
        state: StreamState,
        codec: HeaderCodec,
        connection: ClientConnection,
        on_terms: Callable[[AnswerTerms], None],
    ) -> None:
        self.on_terms = on_terms
        self.loop = asyncio.get_running_loop()
        self.state = state
        self.codec = codec
        self.connection = connection
        self.splitter = EventSplitter()
        self.head: ResponseHead | None = None
        self.terms: AnswerTerms | None = None
        self.failure: list[bytes] = []
        self.failure_bytes = 0
        self.is_stream = False
        self.events = 0
        self.event_at = self.loop.time()
        self.began_at: float | None = None
        self.ended: asyncio.Future[Outcome | None] = self.loop.create_future()

    def finish(self, outcome: Outcome | None) -> None:
        """Sets the outcome once."""
        if not self.ended.done():
            self.ended.set_result(outcome)

    def receive_head(self, head: ResponseHead) -> None:
        """Decides whether the answer is the stream that was asked for."""
        self.head = head
        self.terms = self.codec.read_answer(head)
        call = self.state.call
        if head.status != MISDIRECTED:
            self.on_terms(self.terms)
        if self.terms.request_id not in ("", call.terms.request_id):
            self.connection.usable = False
            self.finish(Unknown(reason="answer to another request"))
        elif head.status != OK:
            return
        elif not self.terms.stamped or self.terms.encoded:
            self.finish(Unknown(reason="unsigned or encoded answer"))
        else:
            self.is_stream = True
            call.may_have_run = True

    def receive_body(self, data: bytes) -> None:
        """Passes whole events on; collects the body of a failure."""
        if self.ended.done():
            return
        if not self.is_stream:
            self.failure_bytes += len(data)
            if self.failure_bytes > MAX_FAILURE_BYTES:
                self.finish(Unknown(reason="failure too long"))
                return
            self.failure.append(data)
            return
        try:
            events = self.splitter.feed(data)
        except RouterError as error:
            self.finish(Unknown(reason=error.message))
            return
        if not events:
            return
        self.note_event()
        passed = []
        for event in events:
            if not self.accept(event.event_id):
                continue
            passed.append(event.data)
            self.events += 1
        if self.ended.done():
            return
        self.start_answer()
        self.state.call.exchange.write(b"".join(passed))
        if not self.state.call.exchange.writable:
            self.connection.pause()

    def note_event(self) -> None:
        """Measures the time since the start or the last event."""
        now = self.loop.time()
        call = self.state.call
        if not call.exchange.started:
            call.first_event_s = now - call.exchange.received_at
        else:
            gap = now - self.state.event_at
            call.longest_gap_s = max(call.longest_gap_s, gap)
        self.event_at = self.state.event_at = now
        if self.began_at is None:
            self.began_at = now

    def measure_progress(self) -> float:
        """Returns the seconds since the first event; 0 before it."""
        if self.began_at is None:
            return 0.0
        return self.loop.time() - self.began_at

    def accept(self, event_id: bytes) -> bool:
        """Whether an event is the next one for the caller."""
        known = number_of(self.state.last_event_id)
        number = number_of(event_id)
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
        """Sends the head of the first attempt that has an event."""
        exchange = self.state.call.exchange
        if not exchange.started:
            self.state.head = self.head
            exchange.start(self.codec.build_answer(self.head))

    def receive_end(self) -> None:
        """Ends the answer, or judges a failure."""
        if self.ended.done():
            return
        if not self.is_stream:
            self.finish(self.judge_failure())
        elif self.splitter.rest:
            self.finish(Unknown(reason="the last event is not whole"))
        else:
            self.start_answer()
            self.state.call.exchange.end()
            self.finish(None)

    def judge_failure(self) -> Outcome:
        """Decides what an answer without a stream means."""
        if self.head.status == MISDIRECTED or self.terms.not_run:
            place = self.terms.faulty_address
            return NotRun(reason=f"status {self.head.status} {place}".strip())
        if self.head.status in PROMISES:
            return Unknown(reason=f"status {self.head.status}")
        return Answered(head=self.head, body=b"".join(self.failure))

    def receive_error(self, error: RouterError) -> None:
        """Ends the attempt."""
        self.finish(Unknown(reason=error.message))
