"""HTTP server for announcements, heartbeats and leave notices of targets."""

from collections.abc import Callable
from typing import Annotated

from aiohttp import web
import pydantic

from rattanroute.logs import get_logger
from rattanroute.metrics import MetricsRegistry
from rattanroute.requests.bodies import read_body
from rattanroute.security import TokenFile
from rattanroute.tables.targets import TargetKind
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

MAX_BODY_BYTES = 256 * 1024
# A target reports each second.
BODY_TIMEOUT_SECONDS = 3.0
MAX_CACHED_PREFIXES = 512
MAX_USAGE_STATEMENTS = 1024

log = get_logger(__name__)

Name = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:@/-]{0,127}$")
]
Count = Annotated[int, pydantic.Field(ge=0, le=2**53)]
PrefixHash = Annotated[int, pydantic.Field(ge=0, lt=2**64)]


class UsageStatement(pydantic.BaseModel):
    """A target's statement of the usage of one attempt."""

    model_config = pydantic.ConfigDict(extra="ignore")

    request_id: Name
    attempt: Count
    account: str = pydantic.Field(default="", max_length=1024)
    tokens_in: Count = 0
    tokens_out: Count = 0
    seconds: float = pydantic.Field(default=0.0, ge=0, le=1e6)
    layers: Count = 0


class TargetBody(pydantic.BaseModel):
    """Body of an announcement, a heartbeat or a leave notice.

    A heartbeat requires only the identifier: missing fields keep the values
    of the announcement.
    """

    model_config = pydantic.ConfigDict(extra="ignore")

    target_id: Name
    incarnation: Count | None = None
    sequence: Count | None = None
    address: str | None = pydantic.Field(
        default=None, pattern=r"^https?://[0-9A-Fa-f.:\[\]]+$", max_length=128
    )
    data_centre: Name | None = None
    kind: TargetKind | None = None
    model: Name | None = None
    version: str | None = pydantic.Field(default=None, max_length=64)
    adapters: tuple[Name, ...] | None = pydantic.Field(
        default=None, max_length=256
    )
    first_layer: int | None = pydantic.Field(default=None, ge=0, le=10_000)
    last_layer: int | None = pydantic.Field(default=None, ge=0, le=10_000)
    total_layers: int | None = pydantic.Field(default=None, ge=0, le=10_000)
    accelerator: str | None = pydantic.Field(default=None, max_length=64)
    slots: int | None = pydantic.Field(default=None, ge=1, le=4096)
    tokens_per_second: float | None = pydantic.Field(default=None, ge=0, le=1e7)
    running: Count | None = None
    queued: Count | None = None
    cached_prefixes: tuple[PrefixHash, ...] | None = pydantic.Field(
        default=None, max_length=MAX_CACHED_PREFIXES
    )
    checks_fencing: bool | None = None
    leaving: bool = False
    usage: tuple[UsageStatement, ...] = pydantic.Field(
        default=(), max_length=MAX_USAGE_STATEMENTS
    )


def merge_report(
    body: TargetBody, current: TargetReport | None
) -> TargetReport | str:
    """Builds a report from a body and the current report of the target.

    Args:
        body: The received body.
        current: The current report, if there is one; its values apply to
            missing fields of the same incarnation.

    Returns:
        The report, or a message that describes the error in the body.
    """
    values = body.model_dump(exclude_none=True, exclude={"usage"})
    base: dict[str, object] = {}
    if current is not None and body.incarnation in (None, current.incarnation):
        base = {name: getattr(current, name) for name in current.__slots__}
        if body.sequence is None:
            base["sequence"] = current.sequence + 1
    try:
        report = TargetReport(**{**base, **values})
    except TypeError:
        return "address, data_centre and model are required"
    if report.first_layer > report.last_layer:
        return "first_layer is greater than last_layer"
    if report.total_layers and report.last_layer >= report.total_layers:
        return "last_layer is not below total_layers"
    if base and report.address != current.address:
        return "another address has announced this incarnation"
    return report


class TargetsServer:
    """Receives announcements, heartbeats and leave notices of targets.

    Args:
        targets: Known targets.
        data_centre: Data centre of this VM.
        tokens: Tokens of targets; None accepts every target.
        announce: Called with each valid report.
        state: Called with a target's usage statements; returns the
            acknowledged (request_id, attempt) pairs, which the target may
            delete.
        metrics: Metrics of the daemon.
    """

    def __init__(
        self,
        *,
        targets: TargetTable,
        data_centre: str,
        tokens: TokenFile | None,
        announce: Callable[[TargetReport], None],
        state: Callable[
            [TargetReport, tuple[UsageStatement, ...]], list[tuple[str, int]]
        ],
        metrics: MetricsRegistry,
    ) -> None:
        self.targets = targets
        self.data_centre = data_centre
        self.tokens = tokens
        self.announce = announce
        self.state = state
        self.metrics = metrics

    def build_application(self) -> web.Application:
        """Returns the web application with the routes for targets."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_post("/v1/targets/announce", self.handle)
        application.router.add_post("/v1/targets/heartbeat", self.handle)
        application.router.add_post("/v1/targets/leave", self.handle_leave)
        return application

    async def handle(self, http_request: web.Request) -> web.Response:
        """Handles an announcement or a heartbeat."""
        return await self.handle_report(http_request, leaving=False)

    async def handle_leave(self, http_request: web.Request) -> web.Response:
        """Handles a leave notice."""
        return await self.handle_report(http_request, leaving=True)

    async def handle_report(
        self, http_request: web.Request, *, leaving: bool
    ) -> web.Response:
        """Validates a body and passes on its report and usage statements.

        Once an incarnation has left, its later reports count as leaving.
        """
        if not self.is_authenticated(http_request):
            return self.refuse_report(401, "unknown target token")
        received = await read_body(
            http_request,
            max_bytes=MAX_BODY_BYTES,
            timeout_s=BODY_TIMEOUT_SECONDS,
        )
        if received.is_error():
            refusal = received.error
            return self.refuse_report(refusal.status, refusal.message)
        try:
            body = TargetBody.model_validate_json(received.ok)
        except pydantic.ValidationError as error:
            return self.refuse_report(400, describe_validation_error(error))
        row = self.targets.get(body.target_id)
        current = row.report if row is not None else None
        report = merge_report(body, current)
        if isinstance(report, str):
            return self.refuse_report(409, report, target=body.target_id)
        same_incarnation = (
            current is not None and current.incarnation == report.incarnation
        )
        report.leaving = (
            report.leaving or leaving or (same_incarnation and current.leaving)
        )
        self.announce(report)
        self.metrics.target_reports.inc({"verdict": "accepted"})
        acknowledged = [
            {"request_id": request_id, "attempt": attempt}
            for request_id, attempt in self.state(report, body.usage)
        ]
        return web.json_response({"acknowledged": acknowledged})

    def is_authenticated(self, http_request: web.Request) -> bool:
        """Returns whether the request carries a valid target token."""
        if self.tokens is None:
            return True
        header = http_request.headers.get("Authorization")
        return self.tokens.authenticate(header) is not None

    def refuse_report(
        self, status: int, message: str, *, target: str = ""
    ) -> web.Response:
        """Logs a refused report and returns the error response."""
        log.warning("target report refused", target=target, reason=message)
        self.metrics.target_reports.inc({"verdict": "refused"})
        return web.json_response({"error": {"message": message}}, status=status)


def describe_validation_error(error: pydantic.ValidationError) -> str:
    """Returns the first three validation errors of a body as one line."""
    return "; ".join(
        ".".join(str(part) for part in problem["loc"]) + ": " + problem["msg"]
        for problem in error.errors()[:3]
    )
