"""HTTP server for calls of plain services."""

import asyncio
import dataclasses
import time
from typing import Protocol

from aiohttp import web
from expression import Error
from expression import Ok
from expression import Result
import msgspec
import xxhash

from rattanroute.actions import ClaimDecision
from rattanroute.actions import Execution
from rattanroute.actions import Refusal
from rattanroute.clients.services import ServiceAnswer
from rattanroute.logs import get_logger
from rattanroute.requests.bodies import build_invalid_refusal
from rattanroute.requests.bodies import decode_json
from rattanroute.requests.bodies import read_body
from rattanroute.requests.refusals import INTERNAL
from rattanroute.requests.refusals import RequestRefusedError
from rattanroute.requests.refusals import unwrap
from rattanroute.requests.request_headers import parse_deadline
from rattanroute.requests.request_headers import parse_idempotency_key
from rattanroute.requests.request_headers import parse_priority
from rattanroute.requests.service_sessions import ServiceSession
from rattanroute.servers.callers import CallersHost
from rattanroute.servers.callers import CallersServer
from rattanroute.servers.callers import new_request_id
from rattanroute.tables.configurations import Service
from rattanroute.tables.configurations import Workspace
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind

REPLAYED_HEADER = "Idempotent-Replayed"
KEY_REQUIRED = Refusal(
    type="idempotency_key_required",
    message="this operation runs at most once and needs an Idempotency-Key",
    status=400,
)

log = get_logger(__name__)


class ClaimHost(Protocol):
    """Acquires and ends claims on idempotency keys."""

    async def claim(self, request: Request, content_hash: str) -> ClaimDecision:
        """Claims the key of a request."""
        ...

    def release(self, request_id: str) -> None:
        """Releases the claim of a call that certainly did not run."""
        ...

    async def complete(self, request_id: str, answer: bytes) -> bool:
        """Stores the first answer; returns whether a majority stored it."""
        ...

    def mark_unknown(self, request_id: str) -> None:
        """Marks the outcome of a call that may have run as unknown."""
        ...


class ServicesHost(CallersHost, Protocol):
    """Part of the daemon that the services server uses."""

    claims: ClaimHost

    def keep_running(self, task: "asyncio.Task[object]") -> None:
        """Keeps a task alive until it ends, even if its caller disconnects."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceOutcome:
    """The answer to a service call.

    Attributes:
        answer: The service's answer.
        session: The session that ran the call; None if the call repeats a
            completed one and gets its stored answer.
    """

    answer: ServiceAnswer
    session: ServiceSession | None


class ServicesServer:
    """Serves calls of plain services.

    Args:
        host: The daemon.
        callers: The callers' server, whose request checks are reused.
    """

    def __init__(self, *, host: ServicesHost, callers: CallersServer) -> None:
        self.host = host
        self.callers = callers

    def add_routes(self, application: web.Application) -> None:
        """Adds the service route to the callers' application."""
        application.router.add_post(
            "/v1/services/{service}/{operation}", self.handle_call
        )

    async def handle_call(self, http_request: web.Request) -> web.Response:
        """Serves one service call.

        A call that runs at most once continues if the caller disconnects.
        """
        request_id = new_request_id()
        span = self.callers.start_span("service", http_request, request_id)
        try:
            request, body = await self.open_call(http_request, request_id)
            session = ServiceSession(
                host=self.host, request=request, span=span, body=body
            )
            if request.repeatable:
                outcome = await self.run_repeatable(session)
            else:
                task = asyncio.create_task(self.run_at_most_once(session))
                self.host.keep_running(task)
                outcome = await asyncio.shield(task)
            return self.build_response(request_id, outcome)
        except RequestRefusedError as error:
            return self.callers.answer_refusal(error.refusal, request_id, None)
        except Exception as error:
            log.exception("request failed", request_id=request_id, error=error)
            return self.callers.answer_refusal(INTERNAL, request_id, None)
        finally:
            span.end()

    async def open_call(
        self, http_request: web.Request, request_id: str
    ) -> tuple[Request, bytes]:
        """Validates a call; returns its request table row and body.

        Raises:
            RequestRefusedError: If the call is refused.
        """
        name = http_request.match_info["service"]
        workspace = await self.callers.authorize_request(
            http_request, model=name
        )
        service = await self.callers.find_confirmed(
            http_request, lambda: self.find_service(name)
        )
        limits = self.host.settings.limits
        body = unwrap(
            await read_body(
                http_request,
                max_bytes=limits.max_body_bytes,
                timeout_s=limits.body_timeout_s,
            )
        )
        arrived_at = time.monotonic()
        unwrap(decode_json(body, max_depth=limits.max_json_depth))
        request = self.build_request(
            http_request,
            workspace,
            service,
            request_id,
            body=body,
            arrived_at=arrived_at,
        )
        if not request.repeatable and not request.idempotency_key:
            raise RequestRefusedError(KEY_REQUIRED)
        return request, body

    def find_service(self, name: str) -> Result[Service, Refusal]:
        """Returns a service by name."""
        service = self.host.configuration.services.get(name)
        if service is None:
            return Error(
                build_invalid_refusal(f"{name!r} is not a service", status=404)
            )
        return Ok(service)

    def build_request(
        self,
        http_request: web.Request,
        workspace: Workspace,
        service: Service,
        request_id: str,
        *,
        body: bytes,
        arrived_at: float,
    ) -> Request:
        """Builds the request table row of a service call."""
        name = service.name
        operation = http_request.match_info["operation"]
        default_s = self.host.settings.limits.default_deadline_s
        deadline_s = unwrap(parse_deadline(http_request, default_s=default_s))
        content = b"\0".join(
            (workspace.name.encode(), name.encode(), operation.encode(), body)
        )
        return Request(
            request_id=request_id,
            kind=RequestKind.SERVICE,
            workspace=workspace.name,
            neighbour=workspace.neighbour,
            model=name,
            operation=operation,
            repeatable=operation in service.repeatable_operations,
            idempotency_key=unwrap(parse_idempotency_key(http_request)),
            fingerprint=xxhash.xxh3_128_hexdigest(content),
            priority=unwrap(parse_priority(http_request, workspace)),
            arrived_at=arrived_at,
            deadline=arrived_at + deadline_s,
        )

    async def run_repeatable(self, session: ServiceSession) -> ServiceOutcome:
        """Runs a call that may safely run more than once."""
        try:
            await session.run()
        except RequestRefusedError as error:
            self.callers.record_outcome(session, error.refusal.type)
            raise
        self.callers.record_outcome(session, "done")
        return ServiceOutcome(answer=session.answer, session=session)

    async def run_at_most_once(self, session: ServiceSession) -> ServiceOutcome:
        """Runs a call under a claim on its idempotency key.

        A repeated call whose key is already completed gets the stored answer.
        """
        request = session.request
        claims = self.host.claims
        claimed = await claims.claim(request, request.fingerprint)
        if claimed.answer is not None:
            self.callers.record_outcome(session, "repeated")
            answer = msgspec.msgpack.decode(claimed.answer, type=ServiceAnswer)
            return ServiceOutcome(answer=answer, session=None)
        if not claimed.granted:
            refusal = claimed.refusal or INTERNAL
            self.callers.record_outcome(session, refusal.type)
            raise RequestRefusedError(refusal)
        try:
            outcome = await self.run_repeatable(session)
        except RequestRefusedError as error:
            if error.refusal.execution is Execution.NOT_RUN:
                claims.release(request.request_id)
            else:
                claims.mark_unknown(request.request_id)
            raise
        except BaseException:
            claims.mark_unknown(request.request_id)
            raise
        stored = await claims.complete(
            request.request_id, msgspec.msgpack.encode(outcome.answer)
        )
        if not stored:
            log.warning("answer not stored", request_id=request.request_id)
        return outcome

    def build_response(
        self, request_id: str, outcome: ServiceOutcome
    ) -> web.Response:
        """Returns the service's answer with the routing headers."""
        headers = self.callers.build_route_headers(request_id, outcome.session)
        if outcome.session is None:
            headers[REPLAYED_HEADER] = "true"
        return web.Response(
            status=outcome.answer.status,
            body=outcome.answer.body,
            content_type=outcome.answer.content_type,
            headers=headers,
        )
