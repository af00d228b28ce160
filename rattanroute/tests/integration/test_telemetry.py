"""Logs, traces and metrics that requests produce."""

import json
import re
import secrets

from aiohttp import web
from aiohttp.test_utils import TestServer
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from rattanroute.tests.integration.cluster_support import ClientAnswer
from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tools.demo_configuration import LAYERS
from rattanroute.tools.demo_configuration import SERVICE

KEY_VALUE_PATTERN = re.compile(
    r'([A-Za-z_][\w.]*)=("(?:[^"\\]|\\.)*"|[^\s"=\\]+)'
)
TOKENS = 6
CHATS = 5
EXPORT_SECONDS = 5.0
START_SECONDS = 10.0
STAGES = (
    ("stage-a", "dc-a", 0, 3),
    ("stage-b", "dc-a", 4, LAYERS - 1),
)


def parse_line(line: str) -> dict[str, str]:
    """Parses a log line into its fields.

    Raises:
        ValueError: If it is not a sequence of unique key=value pairs.
    """
    pairs: dict[str, str] = {}
    position = 0
    while position < len(line):
        match = KEY_VALUE_PATTERN.match(line, position)
        if match is None:
            raise ValueError(f"no pair at column {position}: {line!r}")
        value = match[2]
        if value.startswith('"'):
            value = json.loads(value)
        if match[1] in pairs:
            raise ValueError(f"{match[1]} occurs twice: {line!r}")
        pairs[match[1]] = value
        position = match.end()
        if position < len(line):
            if line[position] != " ":
                raise ValueError(f"no space at column {position}: {line!r}")
            position += 1
    return pairs


class SpanCollector:
    """A stand-in collector that receives spans over OTLP/HTTP.

    Attributes:
        spans: Received spans, as (name, trace identifier).
    """

    def __init__(self) -> None:
        self.spans: list[tuple[str, str]] = []

    async def receive_export(self, request: web.Request) -> web.Response:
        """Handles one export request."""
        message = trace_service_pb2.ExportTraceServiceRequest()
        message.ParseFromString(await request.read())
        for resource in message.resource_spans:
            for scope in resource.scope_spans:
                self.spans += [
                    (span.name, span.trace_id.hex()) for span in scope.spans
                ]
        return web.Response(body=b"", content_type="application/x-protobuf")


class TelemetryTest(ClusterTestCase):
    """A request can be traced through logs, spans and metrics."""

    data_centres = {"dc-a": 2}

    async def asyncSetUp(self) -> None:
        self.collector = SpanCollector()
        application = web.Application()
        application.router.add_post("/v1/traces", self.collector.receive_export)
        server = TestServer(application, host="127.0.0.1")
        await server.start_server()
        self.addAsyncCleanup(server.close)
        endpoint = str(server.make_url("/v1/traces"))
        self.settings = {"telemetry": {"otlp_endpoint": endpoint}}
        await super().asyncSetUp()
        # The first leases of the shares are granted after the start.
        await self.wait_for(self.is_served, seconds=START_SECONDS)

    async def is_served(self) -> bool:
        """Returns whether the first VM serves a request."""
        return (await self.chat("dc-a-1", "start")).done

    async def start_targets(self) -> None:
        await self.cluster.add_engine("engine-a", "dc-a", model="chat")
        await self.cluster.add_service("service-a", "dc-a", service=SERVICE)
        await self.add_stages(*STAGES)

    async def send(self, model: str) -> tuple[ClientAnswer, str, str]:
        """Sends a chat request within a trace of the client.

        Returns:
            The answer, and the identifiers of the trace and the client's span.
        """
        trace_id, span_id = secrets.token_hex(16), secrets.token_hex(8)
        answer = await self.chat(
            "dc-a-1",
            f"a question to {model}",
            model=model,
            tokens=TOKENS,
            headers={"traceparent": f"00-{trace_id}-{span_id}-01"},
        )
        self.assert_complete(answer, f"a question to {model}", TOKENS)
        return answer, trace_id, span_id

    def read_spans(self, trace_id: str) -> list[dict[str, object]]:
        """Returns the spans of a trace from the span file of the first VM."""
        path = self.cluster.folder / "dc-a-1.spans"
        # The file is created with the first export.
        text = path.read_text() if path.exists() else ""
        spans = map(json.loads, text.splitlines())
        return [span for span in spans if span["trace_id"] == trace_id]

    async def wait_spans(
        self, trace_id: str, count: int
    ) -> dict[str, list[dict[str, object]]]:
        """Waits for `count` spans of a trace and returns them by name."""

        async def are_written() -> bool:
            return len(self.read_spans(trace_id)) >= count

        await self.wait_for(are_written, seconds=EXPORT_SECONDS)
        found: dict[str, list[dict[str, object]]] = {}
        for span in self.read_spans(trace_id):
            found.setdefault(span["name"], []).append(span)
        return found

    async def received(self, target: str, request_id: str) -> dict[str, str]:
        """Returns the headers of a request that reached a target."""
        url = f"{self.cluster.targets[target].url}/v1/received"
        async with self.cluster.client.get(url) as response:
            items = (await response.json())["received"]
        found = [
            item["headers"]
            for item in items
            if item["headers"]["x-request-id"] == request_id
        ]
        self.assertEqual(len(found), 1)
        return found[0]

    async def test_request_can_be_followed(self) -> None:
        """Guards against hops without a span and interrupted traces."""
        answer, trace_id, client_span = await self.send("chat")
        spans = await self.wait_spans(trace_id, 2)
        self.assertEqual(set(spans), {"entry chat", "attempt"})
        await self.check_spans(answer, spans, client_span)
        answer, split_id, client_span = await self.send("split")
        spans = await self.wait_spans(split_id, 4)
        await self.check_spans(answer, spans, client_span)
        parent = spans["attempt"][0]["span_id"]
        for span in spans["stage"]:
            self.assertEqual(span["parent_id"], parent)
        ranges = {
            (
                span["attributes"]["target"],
                span["attributes"]["first_layer"],
                span["attributes"]["last_layer"],
            )
            for span in spans["stage"]
        }
        self.assertEqual(
            ranges, {(name, first, last) for name, _, first, last in STAGES}
        )
        for target in ("stage-a", "stage-b"):
            headers = await self.received(target, answer.request_id)
            self.assertIn(split_id, headers["traceparent"])
        await self.check_collector(trace_id, split_id)
        self.check_logs(answer.request_id)

    async def check_spans(
        self,
        answer: ClientAnswer,
        spans: dict[str, list[dict[str, object]]],
        client_span: str,
    ) -> None:
        """Checks the spans of entry and attempt and their parents."""
        (entry,) = spans["entry chat"]
        (attempt,) = spans["attempt"]
        self.assertEqual(entry["parent_id"], client_span)
        self.assertEqual(attempt["parent_id"], entry["span_id"])
        for group in spans.values():
            for span in group:
                known = span["attributes"]["request.id"]
                self.assertEqual(known, answer.request_id)
        target = attempt["attributes"]["target"].split(",")[0]
        headers = await self.received(target, answer.request_id)
        version, trace_id, span_id, _ = headers["traceparent"].split("-")
        self.assertEqual(version, "00")
        self.assertEqual(trace_id, entry["trace_id"])
        self.assertEqual(span_id, attempt["span_id"])

    async def check_collector(self, trace_id: str, split_id: str) -> None:
        """Checks that the spans reach the collector over OTLP/HTTP."""
        wanted = {
            ("entry chat", trace_id),
            ("attempt", trace_id),
            ("entry chat", split_id),
            ("attempt", split_id),
            ("stage", split_id),
        }

        async def have_arrived() -> bool:
            return wanted <= set(self.collector.spans)

        await self.wait_for(have_arrived, seconds=EXPORT_SECONDS)

    def check_logs(self, request_id: str) -> None:
        """Checks that all log lines parse and one has the request."""
        requests = set()
        for vm in self.cluster.vms:
            for line in self.cluster.read_log(vm).splitlines():
                pairs = parse_line(line)
                self.assertEqual(pairs["vm"], vm)
                self.assertLessEqual({"time", "level", "event"}, set(pairs))
                self.assertNotIn("=", pairs["event"])
                requests.add(pairs.get("request_id"))
        self.assertIn(request_id, requests)

    async def read_metric(self, name: str) -> float:
        """Returns the sum of a metric of the first VM over all labels."""
        url = f"{self.cluster.vms['dc-a-1'].callers_url}/metrics"
        async with self.cluster.client.get(url) as response:
            lines = (await response.text()).splitlines()
        return sum(
            float(line.rpartition(" ")[2])
            for line in lines
            if re.match(rf"{re.escape(name)}[ {{]", line)
        )

    async def test_histograms_count_requests(self) -> None:
        """Guards against metrics that miss or repeat requests."""
        counts = {
            "rattanroute_first_token_seconds_count": CHATS,
            "rattanroute_token_gap_seconds_count": CHATS * (TOKENS - 1),
            "rattanroute_queue_wait_seconds_count": CHATS + 2,
            "rattanroute_attempts_count": CHATS + 2,
            "rattanroute_attempts_sum": CHATS + 2,
            "rattanroute_tokens_total": CHATS * TOKENS,
            "rattanroute_requests_total": CHATS + 2,
        }
        before = {name: await self.read_metric(name) for name in counts}
        for _ in range(CHATS):
            await self.send("chat")
        for number in range(2):
            answer = await self.call("dc-a-1", "status", {"n": number})
            self.assertEqual(answer.status, 200, answer.error)
        unknown = await self.chat("dc-a-1", "none", model="no-such-model")
        self.assertEqual(unknown.status, 404)
        for name, wanted in counts.items():
            with self.subTest(metric=name):
                found = await self.read_metric(name) - before[name]
                self.assertEqual(found, wanted)
        for name in ("first_token", "token_gap", "queue_wait"):
            with self.subTest(histogram=name):
                total = await self.read_metric(
                    f"rattanroute_{name}_seconds_sum"
                )
                self.assertGreater(total, 0.0)
                self.assertLess(total, CHATS * TOKENS + START_SECONDS)
