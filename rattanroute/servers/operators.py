"""gRPC server for operators."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import time

from expression import Result
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
import msgspec

from rattanroute.errors import NotProposedError
from rattanroute.errors import RouterError
from rattanroute.logs import get_logger
from rattanroute.proto import operators_pb2 as pb
from rattanroute.proto.operators_grpc import OperatorsBase
from rattanroute.security import IDENTITY_METADATA
from rattanroute.security import TokenFile
from rattanroute.servers import operator_messages as messages
from rattanroute.servers.client_guards import ClientGuard
from rattanroute.servers.grpc_servers import GuardedServer
from rattanroute.servers.operator_sources import AccountsSource
from rattanroute.servers.operator_sources import ConfigurationLog
from rattanroute.servers.operator_sources import MembersSource
from rattanroute.servers.operator_sources import StatusSource
from rattanroute.servers.operator_sources import TargetsSource
from rattanroute.servers.operator_sources import TraceSource
from rattanroute.systems.change_validators import ChangeValidator
from rattanroute.systems.configuration_state_machines import (
    ConfigurationStateMachine,
)
from rattanroute.tables.changes import Change
from rattanroute.tables.changes import ChangeOutcome
from rattanroute.tables.changes import decode_outcome
from rattanroute.tables.changes import encode_change
from rattanroute.tables.changes import Problem
from rattanroute.tables.changes import Verdict
from rattanroute.tables.configuration_replicas import ConfigurationReplica

# Long enough for a leader election and one retry of a forwarded change.
PROPOSE_TIMEOUT_SECONDS = 5.0
READ_TIMEOUT_SECONDS = 2.0
# Added to the timeouts so that the log can report its own timeout first.
TIMEOUT_MARGIN_SECONDS = 0.5
WATCH_POLL_SECONDS = 0.1
MAX_WATCHERS = 64
# A larger log entry would delay the heartbeats queued behind it.
MAX_CHANGE_BYTES = 1_048_576
DEFAULT_PAGE_SIZE = 500
MAX_PAGE_SIZE = 5000
DEFAULT_AUDIT_LIMIT = 100


logger = get_logger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class OperatorsServer(OperatorsBase):
    """Serves the calls of operators.

    Attributes:
        replica: The configuration active on this VM.
        log: The replicated log.
        status_source: State of this VM.
        accounts_source: Accounts; None if this VM has none.
        trace_source: Latest requests; None if they are not recorded.
        members_source: Membership; None if it does not run.
        targets_source: Known targets; None if they are not tracked.
        machine: The state machine with the audit records; None unless this
            VM is a voter.
        clock: Returns the Unix time in seconds.
        watchers: Number of open `Watch` calls.
    """

    replica: ConfigurationReplica
    log: ConfigurationLog
    status_source: StatusSource
    accounts_source: AccountsSource | None = None
    trace_source: TraceSource | None = None
    members_source: MembersSource | None = None
    targets_source: TargetsSource | None = None
    machine: ConfigurationStateMachine | None = None
    clock: Callable[[], float] = time.time
    watchers: int = 0

    async def Apply(self, stream: Stream) -> None:  # noqa: N802
        """Applies or refuses a change; a dry run only returns the verdict."""
        request = await receive_request(stream)
        response = await self.handle_change(
            request.change, dry_run=request.dry_run, stream=stream
        )
        await stream.send_message(response)

    async def Drain(self, stream: Stream) -> None:  # noqa: N802
        """Drains targets or VMs."""
        await self.handle_drain(stream, prefix="drain")

    async def Undrain(self, stream: Stream) -> None:  # noqa: N802
        """Ends the drain of targets or VMs."""
        await self.handle_drain(stream, prefix="undrain")

    async def handle_drain(self, stream: Stream, prefix: str) -> None:
        """Applies drains or undrains as a change and sends the outcome."""
        request = await receive_request(stream)
        operations = [
            pb.Operation(**{f"{prefix}_target": x}) for x in request.target_ids
        ]
        operations += [
            pb.Operation(**{f"{prefix}_vm": x}) for x in request.vm_ids
        ]
        change = pb.Change(
            command_id=request.command_id,
            operator=request.operator,
            expected_version=request.expected_version,
            operations=operations,
        )
        response = await self.handle_change(
            change, dry_run=request.dry_run, stream=stream
        )
        await stream.send_message(response)

    async def handle_change(
        self, message: pb.Change, *, dry_run: bool, stream: Stream
    ) -> pb.ApplyResponse:
        """Proposes a change to the log and converts the outcome.

        A dry run is also a log entry: it is checked against the voters'
        state by the code that accepts changes, whichever VM gets the call.
        """
        change, problems = messages.read_change(
            message,
            operator=stream.metadata.get(IDENTITY_METADATA, ""),
            created_at=self.clock(),
            dry_run=dry_run,
        )
        data = encode_change(change)
        problems = problems or self.check_before_proposal(change, len(data))
        if problems:
            outcome = ChangeOutcome(
                verdict=Verdict.REFUSED,
                version=self.replica.version,
                problems=problems,
            )
        else:
            result = await self.propose(data)
            if result.is_error():
                return build_failure_response(result.error, change.command_id)
            outcome = result.ok
        logger.info(
            "change handled",
            command_id=change.command_id,
            operator=change.operator,
            dry_run=dry_run,
            verdict=outcome.verdict,
            version=outcome.version,
        )
        return messages.write_outcome(outcome, change.command_id)

    def check_before_proposal(
        self, change: Change, size: int
    ) -> tuple[Problem, ...]:
        """Returns problems that make a change invalid in any state.

        Such a change is refused without a log entry.
        """
        if size > MAX_CHANGE_BYTES:
            text = f"{size} bytes; at most {MAX_CHANGE_BYTES} are allowed"
            return (Problem(path="change", message=text),)
        validator = ChangeValidator(
            configuration=self.replica.configuration, change=change
        )
        return validator.check_envelope()

    async def propose(self, data: bytes) -> Result[ChangeOutcome, RouterError]:
        """Proposes an entry; returns an error if the log does not respond."""
        try:
            async with asyncio.timeout(
                PROPOSE_TIMEOUT_SECONDS + TIMEOUT_MARGIN_SECONDS
            ):
                result = await self.log.propose(data, PROPOSE_TIMEOUT_SECONDS)
            if result.is_ok() and isinstance(result.ok, bytes):
                return Result.Ok(decode_outcome(result.ok))
        except (TimeoutError, msgspec.DecodeError) as error:
            text = type(error).__name__
            return Result.Error(RouterError(step="propose", message=text))
        return result

    async def Get(self, stream: Stream) -> None:  # noqa: N802
        """Sends one entity."""
        request = await receive_request(stream)
        await self.wait_until_current(request.local)
        entities = self.find_entities(request.kind)
        if request.name not in entities:
            raise GRPCError(Status.NOT_FOUND, "there is no such entity")
        await stream.send_message(
            pb.GetResponse(
                version=self.replica.version,
                entity=self.build_entity(request.kind, request.name),
            )
        )

    async def List(self, stream: Stream) -> None:  # noqa: N802
        """Sends a page of the entities of a kind, sorted by name."""
        request = await receive_request(stream)
        await self.wait_until_current(request.local)
        size = min(request.page_size or DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
        names = sorted(
            name
            for name in self.find_entities(request.kind)
            if name > request.page_token
        )
        page = names[:size]
        await stream.send_message(
            pb.ListResponse(
                version=self.replica.version,
                entities=[
                    self.build_entity(request.kind, name) for name in page
                ],
                next_page_token=page[-1] if len(names) > size else "",
            )
        )

    async def wait_until_current(self, local: bool) -> None:
        """Waits until this VM has applied every change accepted so far.

        Args:
            local: Whether the caller accepts the local state; skips the wait.

        Raises:
            GRPCError: If no majority of the voters can be reached.
        """
        if local:
            return
        try:
            async with asyncio.timeout(
                READ_TIMEOUT_SECONDS + TIMEOUT_MARGIN_SECONDS
            ):
                result = await self.log.read_barrier(READ_TIMEOUT_SECONDS)
        except TimeoutError:
            result = Result.Error(None)
        if result.is_error():
            raise GRPCError(
                Status.UNAVAILABLE,
                "a majority of the voters cannot be reached; a local read "
                "gives what is in force on this VM",
            )

    def find_entities(self, kind: int) -> Sequence[str]:
        """Returns the names of the entities or drains of a kind.

        Raises:
            GRPCError: If the kind is unknown.
        """
        configuration = self.replica.configuration
        if kind in messages.ENTITY_KINDS:
            return configuration.entities(messages.ENTITY_KINDS[kind])
        if kind in messages.DRAIN_KINDS:
            return configuration.drains(messages.DRAIN_KINDS[kind])
        raise GRPCError(Status.INVALID_ARGUMENT, "the kind is not known")

    def build_entity(self, kind: int, name: str) -> pb.Entity:
        """Builds the message of an existing entity or drain."""
        if kind in messages.DRAIN_KINDS:
            return messages.write_drained(messages.DRAIN_KINDS[kind], name)
        return messages.write_entity(self.find_entities(kind)[name])

    async def Watch(self, stream: Stream) -> None:  # noqa: N802
        """Streams configuration versions as they become active on this VM."""
        request = await receive_request(stream)
        if self.watchers >= MAX_WATCHERS:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many watchers")
        self.watchers += 1
        try:
            # The client takes the headers as acceptance of the call.
            await stream.send_initial_metadata()
            await self.send_versions(stream, request.from_version)
        finally:
            self.watchers -= 1

    async def send_versions(self, stream: Stream, version: int) -> None:
        """Sends versions after a given one until the client disconnects.

        A reset event is sent if the deltas since then are no longer stored.
        """
        while True:
            deltas = self.replica.deltas_since(version)
            if deltas is None:
                version = self.replica.version
                await stream.send_message(
                    pb.WatchEvent(version=version, reset=True)
                )
            for delta in deltas or ():
                version = delta.version
                operations = [
                    messages.write_operation(x) for x in delta.operations
                ]
                await stream.send_message(
                    pb.WatchEvent(version=version, operations=operations)
                )
            await asyncio.sleep(WATCH_POLL_SECONDS)

    async def Status(self, stream: Stream) -> None:  # noqa: N802
        """Sends the state of this VM."""
        await receive_request(stream)
        await stream.send_message(
            messages.write_status(
                self.status_source.status(),
                self.replica.version,
                self.replica.content_hash,
            )
        )

    async def Accounts(self, stream: Stream) -> None:  # noqa: N802
        """Sends the accounts, of one neighbour if the request names it."""
        request = await receive_request(stream)
        source = require_source(self.accounts_source)
        totals = [
            messages.write_account(x)
            for x in source.totals()
            if request.neighbour in ("", x.neighbour)
        ]
        shares = [
            messages.write_share_use(x)
            for x in source.share_uses()
            if request.neighbour in ("", x.neighbour)
        ]
        unsettled = [messages.write_unsettled(x) for x in source.unsettled()]
        await stream.send_message(
            pb.AccountsResponse(
                totals=totals, shares=shares, unsettled=unsettled
            )
        )

    async def Trace(self, stream: Stream) -> None:  # noqa: N802
        """Sends the steps of a request that this VM handled."""
        request = await receive_request(stream)
        source = require_source(self.trace_source)
        steps = source.trace(request.request_id)
        if not steps:
            raise GRPCError(Status.NOT_FOUND, "this VM knows no such request")
        await stream.send_message(
            pb.TraceResponse(steps=[messages.write_step(x) for x in steps])
        )

    async def Members(self, stream: Stream) -> None:  # noqa: N802
        """Sends the member VMs."""
        await receive_request(stream)
        source = require_source(self.members_source)
        members = [messages.write_member(x) for x in source.members()]
        await stream.send_message(pb.MembersResponse(members=members))

    async def Targets(self, stream: Stream) -> None:  # noqa: N802
        """Sends the known targets, of one model if the request names it."""
        request = await receive_request(stream)
        source = require_source(self.targets_source)
        drained = self.replica.configuration.drained_targets
        targets = [
            messages.write_target(x, x.target_id in drained)
            for x in source.targets()
            if request.model in ("", x.model)
        ]
        await stream.send_message(pb.TargetsResponse(targets=targets))

    async def Audit(self, stream: Stream) -> None:  # noqa: N802
        """Sends the audit records of accepted changes, newest first."""
        request = await receive_request(stream)
        if self.machine is None:
            raise GRPCError(
                Status.UNAVAILABLE,
                "this VM is not a voter and holds no audit records",
            )
        limit = min(request.limit or DEFAULT_AUDIT_LIMIT, MAX_PAGE_SIZE)
        newest = itertools.islice(reversed(self.machine.audits), limit)
        records = [messages.write_audit(x) for x in newest]
        await stream.send_message(pb.AuditResponse(records=records))


async def receive_request(stream: Stream) -> object:
    """Returns the request message of a call.

    Raises:
        GRPCError: If the caller sent no message.
    """
    request = await stream.recv_message()
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the request is missing")
    return request


def require_source(source: object | None) -> object:
    """Returns a source that must exist.

    Raises:
        GRPCError: If this VM does not have the source.
    """
    if source is None:
        raise GRPCError(Status.UNIMPLEMENTED, "this VM does not have this data")
    return source


def build_failure_response(
    error: RouterError, command_id: str
) -> pb.ApplyResponse:
    """Logs a failed proposal and builds the response to its change."""
    not_proposed = isinstance(error, NotProposedError)
    logger.warning(
        "change failed",
        command_id=command_id,
        certain=not_proposed,
        error=error,
    )
    outcome = pb.NOT_ACCEPTED if not_proposed else pb.UNKNOWN
    return messages.write_failure(outcome, command_id)


def build_server(
    operators: OperatorsServer, tokens: TokenFile | None, clients: ClientGuard
) -> GuardedServer:
    """Builds the gRPC server; it requires a valid token of each caller."""
    return GuardedServer(
        name="operators", service=operators, tokens=tokens, clients=clients
    )
