"""Tracing of requests, with a span for each hop."""

import asyncio
import collections
import json
import pathlib
from typing import TYPE_CHECKING

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace import Span
from opentelemetry.sdk.trace import SpanProcessor
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from rattanroute.logs import get_logger

if TYPE_CHECKING:
    from opentelemetry.context import Context

MAX_PENDING_SPANS = 4096
MAX_RECENT_REQUESTS = 1024
NANOSECONDS_PER_SECOND = 1e9
REQUEST_ID_ATTRIBUTE = "request.id"

log = get_logger(__name__)


class PendingSpanProcessor(SpanProcessor):
    """Buffers ended spans until the daemon exports them.

    Unlike the batch processor of the library it starts no thread; the daemon
    exports the spans periodically.
    """

    def __init__(self) -> None:
        self.pending: collections.deque[ReadableSpan] = collections.deque(
            maxlen=MAX_PENDING_SPANS
        )
        self.spans_by_request: collections.OrderedDict[
            str, list[ReadableSpan]
        ] = collections.OrderedDict()

    def on_start(
        self, span: Span, parent_context: "Context | None" = None
    ) -> None:
        """Does nothing; only ended spans are buffered."""

    def on_end(self, span: ReadableSpan) -> None:
        """Buffers a span for export and for lookup by request."""
        self.pending.append(span)
        request_id = (span.attributes or {}).get(REQUEST_ID_ATTRIBUTE)
        if not isinstance(request_id, str):
            return
        self.spans_by_request.setdefault(request_id, []).append(span)
        while len(self.spans_by_request) > MAX_RECENT_REQUESTS:
            self.spans_by_request.popitem(last=False)

    def take_pending(self) -> list[ReadableSpan]:
        """Returns the pending spans and clears the buffer."""
        spans = list(self.pending)
        self.pending.clear()
        return spans


def convert_span(span: ReadableSpan) -> dict[str, object]:
    """Converts a span to plain values for one JSON line."""
    context = span.get_span_context()
    return {
        "trace_id": f"{context.trace_id:032x}",
        "span_id": f"{context.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "name": span.name,
        "start_s": (span.start_time or 0) / NANOSECONDS_PER_SECOND,
        "seconds": ((span.end_time or 0) - (span.start_time or 0))
        / NANOSECONDS_PER_SECOND,
        "ok": span.status.is_ok,
        "attributes": dict(span.attributes or {}),
    }


class TraceRecorder:
    """Starts spans and exports them to a file and over OTLP/HTTP.

    Args:
        vm_id: Identifier of this VM.
        file: File to which spans are appended as JSON lines, or None.
        otlp_endpoint: OTLP/HTTP endpoint; empty for none.
    """

    def __init__(
        self, *, vm_id: str, file: pathlib.Path | None, otlp_endpoint: str
    ) -> None:
        self.processor = PendingSpanProcessor()
        self.provider = TracerProvider(
            resource=Resource({"service.name": "rattanroute", "vm": vm_id}),
            shutdown_on_exit=False,
        )
        self.provider.add_span_processor(self.processor)
        self.tracer = self.provider.get_tracer("rattanroute")
        self.propagator = TraceContextTextMapPropagator()
        self.file = file
        self.exporter = (
            OTLPSpanExporter(endpoint=otlp_endpoint) if otlp_endpoint else None
        )

    def start(
        self,
        name: str,
        *,
        request_id: str,
        parent: "Context | None" = None,
        **attributes: str | int | float,
    ) -> trace.Span:
        """Starts a span; the caller ends it."""
        span = self.tracer.start_span(name, context=parent)
        span.set_attribute(REQUEST_ID_ATTRIBUTE, request_id)
        for key, value in attributes.items():
            span.set_attribute(key, value)
        return span

    def extract(self, headers: dict[str, str]) -> "Context":
        """Reads the W3C trace context of an incoming request."""
        return self.propagator.extract(headers)

    def inject(self, span: trace.Span) -> dict[str, str]:
        """Returns headers that propagate a span's trace context."""
        headers: dict[str, str] = {}
        self.propagator.inject(headers, context=trace.set_span_in_context(span))
        return headers

    def steps(self, request_id: str) -> list[dict[str, object]]:
        """Returns the ended spans of a recent request, oldest first."""
        spans = self.processor.spans_by_request.get(request_id, [])
        return sorted(map(convert_span, spans), key=lambda s: s["start_s"])

    async def export(self) -> None:
        """Exports the pending spans to the file and the endpoint."""
        spans = self.processor.take_pending()
        if not spans:
            return
        if self.file is not None:
            try:
                append_lines(self.file, spans)
            except OSError as error:
                log.warning("trace file cannot be written", error=error)
        if self.exporter is not None:
            # The exporter of the library blocks, so it runs in a worker thread.
            await asyncio.to_thread(self.exporter.export, spans)


def append_lines(file: pathlib.Path, spans: list[ReadableSpan]) -> None:
    """Appends spans to a file, one JSON line each."""
    with file.open("a", encoding="utf-8") as stream:
        for span in spans:
            stream.write(json.dumps(convert_span(span)) + "\n")
