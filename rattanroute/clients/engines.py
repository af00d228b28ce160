"""Runs attempts on engines that hold a whole model."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib

import aiohttp
import msgspec

from rattanroute.clients.attempts import AttemptSpec
from rattanroute.clients.attempts import TokenChunk
from rattanroute.clients.attempts import Usage
from rattanroute.clients.failures import AttemptContext

MAX_EVENT_BYTES = 256 * 1024
"""Longest line of an event stream, in bytes; bounds the memory that a faulty
engine can make the router use."""
MAX_REFUSAL_BYTES = 2048
END_OF_STREAM_TIMEOUT_S = 0.1
"""Longest wait for the end of the body after `[DONE]`. A target takes a
connection that closes before it for a cancellation."""
CANCEL_TIMEOUT_S = 2.0
PAUSE_CHECK_S = 0.05
"""Extension of the watchdog's deadline while the caller is slow, in seconds."""

EXCHANGE_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class ChoiceDelta(msgspec.Struct, gc=False):
    """Text that a choice adds to the answer."""

    content: str | None = None


class StreamChoice(msgspec.Struct, gc=False):
    """The only choice of an event."""

    delta: ChoiceDelta
    finish_reason: str | None = None


class StreamUsage(msgspec.Struct, gc=False):
    """Token counts in the last event of the stream."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class StreamEvent(msgspec.Struct, gc=False):
    """An event of the stream; unknown fields are ignored."""

    id: str
    attempt: int
    choices: list[StreamChoice]
    index: int = -1
    usage: StreamUsage | None = None


DECODER = msgspec.json.Decoder(StreamEvent)
ENCODER = msgspec.json.Encoder()


class StreamReader:
    """Validates the event stream of an attempt and converts it to chunks.

    Attributes:
        usage: The usage of the attempt; None until its event arrives.
        done: Whether `[DONE]` has arrived.
    """

    def __init__(self, spec: AttemptSpec, context: AttemptContext) -> None:
        self.spec = spec
        self.context = context
        self.buffer = bytearray()
        self.usage: Usage | None = None
        self.done = False

    def feed(self, data: bytes) -> Iterable[TokenChunk]:
        """Returns the tokens of all lines that are complete.

        Engines write one event at a time, which usually arrives by itself;
        such data is decoded without being split into lines.

        Raises:
            AttemptError: If the stream violates the protocol.
        """
        if (
            not self.buffer
            and data.startswith(b"data: {")
            and data.endswith(b"\n\n")
            and data.find(b"\n") == len(data) - 2
            and len(data) <= MAX_EVENT_BYTES
        ):
            chunk = self.read_event(data[6:])
            return () if chunk is None else (chunk,)
        return self.read_lines(data)

    def read_lines(self, data: bytes) -> Iterator[TokenChunk]:
        """Splits buffered data into lines and yields their tokens.

        Bytes are joined once a line is complete, however few arrive at a time.
        """
        lines = []
        if b"\n" in data:
            *lines, data = (bytes(self.buffer) + data).split(b"\n")
            self.buffer.clear()
        self.buffer += data
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise self.context.build_error("read stream", "line is too long")
        for line in lines:
            if not line.startswith(b"data:"):
                continue
            if self.done or len(line) > MAX_EVENT_BYTES:
                raise self.context.build_error(
                    "read stream", "unexpected line in the event stream"
                )
            chunk = self.read_event(line[5:].strip())
            if chunk is not None:
                yield chunk

    def read_event(self, data: bytes) -> TokenChunk | None:
        """Validates one event and returns its token if it has one."""
        if data == b"[DONE]":
            if self.usage is None:
                raise self.context.build_error(
                    "read stream", "stream ended without usage"
                )
            self.done = True
            return None
        try:
            event = DECODER.decode(data)
        except msgspec.DecodeError as error:
            raise self.context.build_error("read stream", str(error)) from error
        spec = self.spec
        if event.id != spec.request_id or event.attempt != spec.attempt:
            raise self.context.build_error(
                "check answer",
                f"answer belongs to request {event.id!r} attempt "
                f"{event.attempt}",
            )
        if len(event.choices) != 1 or self.usage is not None:
            raise self.context.build_error(
                "check answer",
                "expected one choice and no event after the usage",
            )
        choice = event.choices[0]
        if choice.finish_reason is not None:
            self.store_usage(event, choice)
            return None
        if choice.delta.content is None:
            return None
        return self.build_chunk(event.index, choice.delta.content)

    def build_chunk(self, index: int, text: str) -> TokenChunk:
        """Builds the chunk of a token after checking its index."""
        context = self.context
        if index != context.next_index:
            raise context.build_error(
                "check answer",
                f"token {index} arrived, expected {context.next_index}",
            )
        context.next_index += 1
        return TokenChunk(index=index, text=text)

    def store_usage(self, event: StreamEvent, choice: StreamChoice) -> None:
        """Stores the usage; the generated tokens are counted by the router."""
        if choice.delta.content:
            raise self.context.build_error(
                "check answer", "last event contains a token"
            )
        numbers = event.usage or StreamUsage()
        self.usage = Usage(
            tokens_in=numbers.prompt_tokens,
            tokens_out=self.context.next_index - self.context.first_index,
            cached_tokens=numbers.cached_tokens,
            finish_reason=choice.finish_reason or "stop",
        )


class Watchdog:
    """Detects that no token arrives in time.

    It reports a silence, which ends with the next token, and raises a timeout
    in the reader of the body at the deadline of the attempt, or at once if
    nobody wants the report. One timer serves the whole stream and is usually
    rescheduled only when it fires; a timeout around each read would take a
    tenth of the relay's time.

    Attributes:
        content: The body.
        deadline: End of the current wait, on the event loop's clock.
        final_deadline: Deadline of the attempt, on the same clock.
        on_silence: Called when no token arrives in time; None to time out.
        due: Time at which the timer fires, at or before the deadline.
        waiting: Whether the router waits for the target; False while the
            caller consumes a token.
    """

    def __init__(
        self,
        content: aiohttp.StreamReader,
        deadline: float,
        final_deadline: float,
        on_silence: Callable[[], None] | None,
    ) -> None:
        self.content = content
        self.deadline = deadline
        self.final_deadline = final_deadline
        self.on_silence = on_silence
        self.due = deadline
        self.waiting = True
        self.loop = asyncio.get_running_loop()
        self.timer = self.schedule()

    def schedule(self) -> asyncio.TimerHandle:
        """Schedules the timer for the current deadline."""
        self.due = self.deadline
        return self.loop.call_at(self.due, self.check)

    def wait_until(self, deadline: float, timeout_s: float) -> None:
        """Starts the wait for the next token."""
        self.deadline = min(deadline, self.loop.time() + timeout_s)
        self.waiting = True
        if self.deadline < self.due:
            self.timer.cancel()
            self.timer = self.schedule()

    def check(self) -> None:
        """Times the reader out at the deadline, else reschedules the timer."""
        now = self.loop.time()
        if not self.waiting:
            self.deadline = max(self.deadline, now + PAUSE_CHECK_S)
        elif now >= self.deadline and not self.report_silence():
            self.content.set_exception(TimeoutError())
            return
        self.timer = self.schedule()

    def report_silence(self) -> bool:
        """Reports a silence; returns False if the attempt has to end."""
        if self.on_silence is None or self.deadline >= self.final_deadline:
            return False
        self.deadline = self.final_deadline
        self.on_silence()
        return True

    def cancel(self) -> None:
        """Stops the timer."""
        self.timer.cancel()


class EngineClient:
    """Runs attempts on whole-model engines over a shared HTTP session."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def run(
        self, spec: AttemptSpec
    ) -> AsyncGenerator[TokenChunk | Usage, None]:
        """Runs an attempt; closing the generator cancels it on the target.

        Use it within `contextlib.aclosing`, so that an abandoned attempt is
        cancelled immediately.

        Yields:
            A `TokenChunk` for each token, then one `Usage`.

        Raises:
            AttemptError: If the attempt fails.
        """
        first = len(spec.resume_tokens)
        context = AttemptContext(
            target_id=spec.target_id, first_index=first, next_index=first
        )
        now = asyncio.get_running_loop().time()
        deadline = now + spec.deadline_s
        token_deadline = min(deadline, now + spec.first_token_timeout_s)
        response = await self.send(spec, context, token_deadline, deadline)
        content = response.content
        if spec.on_silence is not None and self.has_passed(token_deadline):
            token_deadline = deadline
        watchdog = Watchdog(content, token_deadline, deadline, spec.on_silence)
        try:
            reader = StreamReader(spec, context)
            while not reader.done:
                try:
                    data = await content.readany()
                except EXCHANGE_ERRORS as error:
                    raise context.convert_error("read stream", error) from error
                if not data and reader.usage is None:
                    raise context.build_error(
                        "read stream", "stream ended early", crashed=True
                    )
                if not data:
                    break
                for chunk in reader.feed(data):
                    watchdog.waiting = False
                    yield chunk
                if not watchdog.waiting:
                    watchdog.wait_until(deadline, spec.token_timeout_s)
            await self.read_end(response)
            yield reader.usage
        finally:
            watchdog.cancel()
            response.close()

    def has_passed(self, deadline: float) -> bool:
        """Returns whether a time on the event loop's clock has passed."""
        return asyncio.get_running_loop().time() >= deadline

    async def send(
        self,
        spec: AttemptSpec,
        context: AttemptContext,
        until: float,
        deadline: float,
    ) -> aiohttp.ClientResponse:
        """Sends the request and returns the response if its status is 200.

        Args:
            spec: Parameters of the attempt.
            context: Progress of the attempt.
            until: Time at which a silence is reported, or ends the attempt if
                nobody wants the report.
            deadline: Deadline of the attempt.
        """
        timer: asyncio.TimerHandle | None = None
        if spec.on_silence is not None and until < deadline:
            loop = asyncio.get_running_loop()
            timer = loop.call_at(until, spec.on_silence)
            until = deadline
        body = dict(spec.body)
        body["stream"] = True
        if spec.resume_tokens:
            body["resume_tokens"] = spec.resume_tokens
        headers = spec.headers
        headers["Content-Type"] = "application/json"
        try:
            async with asyncio.timeout_at(until):
                response = await self.session.post(
                    f"{spec.address}/v1/chat/completions",
                    data=ENCODER.encode(body),
                    headers=headers,
                    allow_redirects=False,
                )
        except EXCHANGE_ERRORS as error:
            raise context.convert_error("request", error) from error
        finally:
            if timer is not None:
                timer.cancel()
        if response.status == 200:
            return response
        try:
            raise await read_refusal(response, context)
        finally:
            response.close()

    async def read_end(self, response: aiohttp.ClientResponse) -> None:
        """Waits for the end of the body, or until it is overdue."""
        with contextlib.suppress(*EXCHANGE_ERRORS):
            async with asyncio.timeout(END_OF_STREAM_TIMEOUT_S):
                await response.content.readany()

    async def cancel(
        self, *, address: str, request_id: str, attempt: int
    ) -> None:
        """Requests a target to cancel an attempt whose connection is lost.

        Failures are ignored, as the target also cancels an attempt when its
        connection closes.
        """
        data = {"request_id": request_id, "attempt": attempt}
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                async with self.session.post(
                    f"{address}/v1/cancel",
                    data=ENCODER.encode(data),
                    allow_redirects=False,
                ):
                    pass
        except EXCHANGE_ERRORS:
            return


async def read_refusal(
    response: aiohttp.ClientResponse, context: AttemptContext
) -> Exception:
    """Builds the error of a refusal from its status and start of body."""
    try:
        async with asyncio.timeout(CANCEL_TIMEOUT_S):
            body = await response.content.read(MAX_REFUSAL_BYTES)
    except EXCHANGE_ERRORS:
        body = b""
    return context.build_refusal_error(response.status, response.headers, body)
