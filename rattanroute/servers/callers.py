"""HTTP server for callers: chat completions, models, health and metrics."""

from collections.abc import Callable
import time
from typing import Protocol
from typing import TypeVar
import uuid

from aiohttp import web
from expression import Error
from expression import Result
import msgspec
from opentelemetry import trace
import xxhash

from rattanroute import VERSION
from rattanroute.actions import Refusal
from rattanroute.clients.attempts import prefix_hashes
from rattanroute.clients.attempts import prompt_words
from rattanroute.control.confirmed_lookups import ConfigurationState
from rattanroute.control.confirmed_lookups import ConfirmedLookup
from rattanroute.logs import get_logger
from rattanroute.requests.bodies import ChatBody
from rattanroute.requests.bodies import decode_json
from rattanroute.requests.bodies import parse_chat
from rattanroute.requests.bodies import read_body
from rattanroute.requests.chat_sessions import ChatSession
from rattanroute.requests.refusals import build_refusal_response
from rattanroute.requests.refusals import INTERNAL
from rattanroute.requests.refusals import NOT_CURRENT
from rattanroute.requests.refusals import NOT_READY
from rattanroute.requests.refusals import RequestRefusedError
from rattanroute.requests.refusals import STOPPING
from rattanroute.requests.refusals import unwrap
from rattanroute.requests.request_headers import authenticate
from rattanroute.requests.request_headers import parse_deadline
from rattanroute.requests.request_headers import parse_priority
from rattanroute.requests.request_headers import read_key
from rattanroute.requests.sessions import Session
from rattanroute.requests.sessions import SessionHost
from rattanroute.servers.chat_streams import ChatStream
from rattanroute.settings import DaemonSettings
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.configurations import Workspace
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind

REQUEST_ID_HEADER = "X-Request-Id"
ROUTE_HEADER = "X-Rattanroute-Route"
VM_HEADER = "X-Rattanroute-Vm"
DATA_CENTRE_HEADER = "X-Rattanroute-Data-Centre"
MODEL_NOT_FOUND_STATUS = 404
# Messages of a prompt that are compared with those of other prompts. Shared
# ones, such as instructions, come first.
MAX_SHARED_MESSAGES = 16

Value = TypeVar("Value")

log = get_logger(__name__)


class CallersHost(SessionHost, Protocol):
    """Part of the daemon that the callers' server uses."""

    settings: DaemonSettings
    configurations: ConfigurationState

    @property
    def ready(self) -> bool:
        """Whether the VM has a usable configuration."""
        ...

    @property
    def stopping(self) -> bool:
        """Whether a planned shutdown has begun."""
        ...

    @property
    def drained(self) -> bool:
        """Whether operators have drained this VM."""
        ...

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        ...


class CallersServer:
    """Serves chat completions, the model list, health checks and metrics.

    Args:
        host: The daemon.
    """

    def __init__(self, *, host: CallersHost) -> None:
        self.host = host
        self.lookup = ConfirmedLookup(configuration=host.configurations)

    def build_application(self) -> web.Application:
        """Returns the web application with all routes of this server."""
        application = web.Application(
            client_max_size=self.host.settings.limits.max_body_bytes
        )
        router = application.router
        router.add_post("/v1/chat/completions", self.handle_chat)
        router.add_get("/v1/models", self.handle_models)
        router.add_get("/healthz", self.handle_health)
        router.add_get("/readyz", self.handle_ready)
        router.add_get("/metrics", self.handle_metrics)
        return application

    async def handle_health(self, http_request: web.Request) -> web.Response:
        """Serves the liveness check."""
        settings = self.host.settings
        return web.json_response(
            {
                "status": "ok",
                "vm": settings.vm_id,
                "data_centre": settings.data_centre,
                "version": VERSION,
            }
        )

    async def handle_ready(self, http_request: web.Request) -> web.Response:
        """Serves the readiness check of the load balancer; 503 if not ready."""
        host = self.host
        ready = host.ready and not host.stopping and not host.drained
        body = {
            "ready": ready,
            "drained": host.drained,
            "stopping": self.host.stopping,
            "configuration_version": self.host.configuration.version,
        }
        return web.json_response(body, status=200 if ready else 503)

    async def handle_metrics(self, http_request: web.Request) -> web.Response:
        """Serves the metrics in the format that the scraper accepts."""
        accept = http_request.headers.getall("Accept", [])
        content, headers = self.host.metrics.render(accept)
        return web.Response(body=content, headers=headers)

    async def handle_models(self, http_request: web.Request) -> web.Response:
        """Lists the configured models that the caller's workspace may call."""
        request_id = new_request_id()
        try:
            workspace = await self.authorize_request(http_request)
        except RequestRefusedError as error:
            return self.answer_refusal(error.refusal, request_id, None)
        models = self.host.configuration.models
        names = [name for name in workspace.models if name in models]
        data = [
            {"id": name, "object": "model", "owned_by": "rattanroute"}
            for name in sorted(names)
        ]
        return web.json_response({"object": "list", "data": data})

    async def handle_chat(
        self, http_request: web.Request
    ) -> web.StreamResponse:
        """Serves a chat completion as one response or as a stream."""
        request_id = new_request_id()
        span = self.start_span("chat", http_request, request_id)
        session: ChatSession | None = None
        stream: ChatStream | None = None
        try:
            session, stream = await self.open_chat(
                http_request, request_id, span
            )
            await session.run()
            return await self.finish_chat(session, stream)
        except RequestRefusedError as error:
            return await self.refuse_chat(
                error.refusal, request_id, session, stream
            )
        except (ConnectionResetError, TimeoutError):
            log.info("caller disconnected", request_id=request_id)
            raise
        except Exception as error:
            log.exception("request failed", request_id=request_id, error=error)
            return await self.refuse_chat(INTERNAL, request_id, session, stream)
        finally:
            span.end()

    async def open_chat(
        self, http_request: web.Request, request_id: str, span: trace.Span
    ) -> tuple[ChatSession, ChatStream | None]:
        """Validates a chat request and creates its session.

        Returns:
            The session, and the stream if the caller asked for one.

        Raises:
            RequestRefusedError: If the request is refused.
        """
        await self.authorize_request(http_request)
        value = unwrap(await self.read_json(http_request))
        arrived_at = time.monotonic()
        body = unwrap(parse_chat(value))
        # A request that was accepted is served also if the VM stops meanwhile.
        workspace = await self.find_caller(http_request, model=body.model)
        request = self.build_request(
            http_request, workspace, body, request_id, arrived_at
        )
        session = ChatSession(
            host=self.host,
            request=request,
            span=span,
            body=value,
            write=discard_token,
        )
        if not body.stream:
            return session, None
        stream = ChatStream(
            http_request=http_request,
            request_id=request_id,
            model=body.model,
            headers=lambda: self.build_route_headers(request_id, session),
        )
        session.write = stream.write
        return session, stream

    async def finish_chat(
        self, session: ChatSession, stream: ChatStream | None
    ) -> web.StreamResponse:
        """Ends the stream, or builds the response of a request without one."""
        self.record_outcome(session, "done")
        if stream is not None:
            return await stream.finish(session.usage.finish_reason)
        request = session.request
        usage = {
            "prompt_tokens": session.usage.tokens_in,
            "completion_tokens": len(session.tokens),
            "total_tokens": session.usage.tokens_in + len(session.tokens),
        }
        choice = {
            "index": 0,
            "message": {
                "role": "assistant",
                "content": "".join(session.tokens),
            },
            "finish_reason": session.usage.finish_reason,
        }
        body = {
            "id": request.request_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": request.model,
            "choices": [choice],
            "usage": usage,
        }
        return web.Response(
            body=msgspec.json.encode(body),
            content_type="application/json",
            headers=self.build_route_headers(request.request_id, session),
        )

    async def refuse_chat(
        self,
        refusal: Refusal,
        request_id: str,
        session: ChatSession | None,
        stream: ChatStream | None,
    ) -> web.StreamResponse:
        """Sends a refusal, as an error event if the stream has started."""
        if session is not None:
            self.record_outcome(session, refusal.type)
        if stream is not None and stream.started:
            return await stream.fail(refusal)
        return self.answer_refusal(refusal, request_id, session)

    async def authorize_request(
        self, http_request: web.Request, *, model: str = ""
    ) -> Workspace:
        """Authenticates a request and returns the caller's workspace.

        Args:
            http_request: The request.
            model: Model or service that the workspace must be allowed to call.

        Raises:
            RequestRefusedError: If the VM is not ready or is stopping, or if
                the API key or the model is unknown.
        """
        if self.host.stopping:
            raise RequestRefusedError(STOPPING)
        if not self.host.ready:
            raise RequestRefusedError(NOT_READY)
        return await self.find_caller(http_request, model=model)

    async def find_caller(
        self, http_request: web.Request, *, model: str
    ) -> Workspace:
        """Returns the workspace of the caller of an accepted request.

        Args:
            http_request: The request.
            model: Model or service that the workspace must be allowed to call;
                empty if it is not known yet.

        Raises:
            RequestRefusedError: If the API key or the model is unknown.
        """
        key = unwrap(read_key(http_request))
        return await self.find_confirmed(
            http_request, lambda: self.find_workspace(key, model)
        )

    async def find_confirmed(
        self,
        http_request: web.Request,
        look_up: Callable[[], Result[Value, Refusal]],
    ) -> Value:
        """Returns the result of a look-up in the configuration.

        Raises:
            RequestRefusedError: If it found nothing. Only a configuration that
                is current suffices for a final refusal.
        """
        default_s = self.host.settings.limits.default_deadline_s
        deadline_s = parse_deadline(http_request, default_s=default_s)
        result = await self.lookup.find(
            look_up, time_left_s=deadline_s.default_value(default_s)
        )
        if result is None:
            raise RequestRefusedError(NOT_CURRENT)
        return unwrap(result)

    def find_workspace(
        self, key: str, model: str
    ) -> Result[Workspace, Refusal]:
        """Returns the workspace of a key if it may call a model or service.

        The refusal does not reveal whether the model exists for other
        workspaces.
        """
        found = authenticate(key, self.host.configuration)
        if found.is_error() or not model or model in found.ok.models:
            return found
        return Error(build_model_refusal(model))

    async def read_json(
        self, http_request: web.Request
    ) -> Result[object, Refusal]:
        """Reads and decodes a JSON body within the configured limits."""
        limits = self.host.settings.limits
        body = await read_body(
            http_request,
            max_bytes=limits.max_body_bytes,
            timeout_s=limits.body_timeout_s,
        )
        return body.bind(
            lambda data: decode_json(data, max_depth=limits.max_json_depth)
        )

    def build_request(
        self,
        http_request: web.Request,
        workspace: Workspace,
        body: ChatBody,
        request_id: str,
        arrived_at: float,
    ) -> Request:
        """Builds the request table row of a chat request."""
        default_s = self.host.settings.limits.default_deadline_s
        deadline_s = unwrap(parse_deadline(http_request, default_s=default_s))
        words = prompt_words(m.model_dump() for m in body.messages)
        model = self.host.configuration.models.get(body.model)
        version = body.version or (model.version if model else "")
        return Request(
            request_id=request_id,
            kind=RequestKind.CHAT,
            workspace=workspace.name,
            neighbour=workspace.neighbour,
            model=body.model,
            version=version,
            adapter=body.adapter,
            fingerprint=build_fingerprint(workspace.name, body.model, words),
            part_fingerprints=build_part_fingerprints(body),
            prefix_hashes=prefix_hashes(words),
            tokens_in=len(words),
            max_tokens=body.max_tokens,
            priority=unwrap(parse_priority(http_request, workspace)),
            arrived_at=arrived_at,
            deadline=arrived_at + deadline_s,
            stream=body.stream,
        )

    def build_route_headers(
        self, request_id: str, session: Session | None
    ) -> dict[str, str]:
        """Returns the response headers with the request id and the route."""
        settings = self.host.settings
        headers = {
            REQUEST_ID_HEADER: request_id,
            VM_HEADER: settings.vm_id,
            DATA_CENTRE_HEADER: settings.data_centre,
        }
        if session is not None and session.route:
            headers[ROUTE_HEADER] = ">".join(session.route)
        return headers

    def answer_refusal(
        self, refusal: Refusal, request_id: str, session: Session | None
    ) -> web.Response:
        """Logs a refusal and returns it as an HTTP response."""
        log.info(
            "request refused",
            request_id=request_id,
            type=refusal.type,
            execution=refusal.execution.value,
        )
        headers = self.build_route_headers(request_id, session)
        return build_refusal_response(refusal, request_id, headers)

    def start_span(
        self, name: str, http_request: web.Request, request_id: str
    ) -> trace.Span:
        """Starts the entry span as a child of the caller's trace context."""
        parent = self.host.traces.extract(dict(http_request.headers))
        return self.host.traces.start(
            f"entry {name}",
            request_id=request_id,
            parent=parent,
            vm=self.host.settings.vm_id,
            data_centre=self.host.settings.data_centre,
        )

    def record_outcome(self, session: Session, outcome: str) -> None:
        """Records metrics, span attribute and log line of an ended request."""
        request = session.request
        labels = {"kind": request.kind.value, "outcome": outcome}
        self.host.metrics.requests.inc(labels)
        self.host.metrics.attempts.observe({}, len(request.attempts))
        if isinstance(session, ChatSession):
            self.host.metrics.tokens.add(
                {"model": request.model}, len(session.tokens)
            )
        session.span.set_attribute("outcome", outcome)
        log.info(
            "request ended",
            request_id=request.request_id,
            workspace=request.workspace,
            model=request.model,
            outcome=outcome,
            attempts=len(request.attempts),
            route=">".join(session.route),
            seconds=time.monotonic() - request.arrived_at,
        )


def build_model_refusal(model: str) -> Refusal:
    """Returns the refusal of a model or service that does not exist."""
    return Refusal(
        type="model_not_found",
        message=f"model or service {model!r} does not exist",
        status=MODEL_NOT_FOUND_STATUS,
    )


def new_request_id() -> str:
    """Returns a request id that is unique across all VMs."""
    return uuid.uuid4().hex


def build_fingerprint(workspace: str, model: str, words: list[str]) -> str:
    """Hashes the fields by which quarantine identifies equal requests."""
    content = "\0".join((workspace, model, *words))
    return xxhash.xxh3_128_hexdigest(content.encode())


def build_part_fingerprints(body: ChatBody) -> tuple[str, ...]:
    """Hashes the model and each message that other prompts may share.

    The last message is the caller's own question.
    """
    return tuple(
        xxhash.xxh3_128_hexdigest(
            "\0".join((body.model, message.role, message.content)).encode()
        )
        for message in body.messages[:-1][:MAX_SHARED_MESSAGES]
    )


async def discard_token(_: str) -> None:
    """Ignores a token; without a stream, the session collects the tokens."""
