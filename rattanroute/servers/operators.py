"""The gRPC interface for operators."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import time

from expression import Result
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server
from grpclib.server import Stream
import msgspec

from rattanroute.errors import NotProposedError
from rattanroute.errors import RouterError
from rattanroute.logs import get_logger
from rattanroute.proto import operators_pb2 as pb
from rattanroute.proto.operators_grpc import OperatorsBase
from rattanroute.security import IDENTITY_METADATA
from rattanroute.security import protect_server
from rattanroute.security import TokenFile
from rattanroute.servers import operator_messages as messages
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
from rattanroute.tables.replicas import ConfigurationReplica

# Covers an election of the log and one retry of a forwarded change.
PROPOSE_SECONDS = 5.0
READ_SECONDS = 2.0
# Extra time for the log to report its own timeout.
GRACE_SECONDS = 0.5
WATCH_POLL_SECONDS = 0.1
MAX_WATCHERS = 64
# A log entry larger than this would delay the heartbeats behind it.
MAX_CHANGE_BYTES = 1_048_576
DEFAULT_PAGE = 500
MAX_PAGE = 5000
DEFAULT_AUDITS = 100


logger = get_logger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class OperatorsServer(OperatorsBase):
    """Serves operators' calls.

    Attributes:
        replica: The configuration in force on this VM.
        log: The replicated log.
        status_source: State of the VM.
        accounts_source: Accounts, if this VM has them.
        trace_source: Latest requests, if they are kept.
        members_source: Membership, if it runs.
        targets_source: Known targets, if they are kept.
        machine: The state machine on a voter; it holds the audit records.
        clock: Returns the seconds since 1970.
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
        """Accepts or refuses a change, or tells what its verdict would be."""
        request = await receive(stream)
        response = await self.handle_change(
            request.change, dry_run=request.dry_run, stream=stream
        )
        await stream.send_message(response)

    async def Drain(self, stream: Stream) -> None:  # noqa: N802
        """Takes targets or VMs out of service."""
        await self.handle_drain(stream, prefix="drain")

    async def Undrain(self, stream: Stream) -> None:  # noqa: N802
        """Returns targets or VMs to service."""
        await self.handle_drain(stream, prefix="undrain")

    async def handle_drain(self, stream: Stream, prefix: str) -> None:
        """Makes a change of drains and answers with its outcome."""
        request = await receive(stream)
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

        A dry run is an entry of the log as well, so that any VM gives the
        verdict of the voters' state, by the code that accepts changes.
        """
        change, problems = messages.read_change(
            message,
            operator=stream.metadata.get(IDENTITY_METADATA, ""),
            created_at=self.clock(),
            dry_run=dry_run,
        )
        data = encode_change(change)
        problems = problems or self.check_form(change, len(data))
        if problems:
            outcome = ChangeOutcome(
                verdict=Verdict.REFUSED,
                version=self.replica.version,
                problems=problems,
            )
        else:
            result = await self.propose(data)
            if result.is_error():
                return report_failure(result.error, change.command_id)
            outcome = result.ok
        logger.info(
            "change",
            command_id=change.command_id,
            operator=change.operator,
            dry_run=dry_run,
            verdict=outcome.verdict,
            version=outcome.version,
        )
        return messages.write_outcome(outcome, change.command_id)

    def check_form(self, change: Change, size: int) -> tuple[Problem, ...]:
        """Keeps changes out of the log that every state would refuse."""
        if size > MAX_CHANGE_BYTES:
            text = f"{size} bytes; at most {MAX_CHANGE_BYTES} are allowed"
            return (Problem(path="change", message=text),)
        validator = ChangeValidator(
            configuration=self.replica.configuration, change=change
        )
        return validator.check_envelope()

    async def propose(self, data: bytes) -> Result[ChangeOutcome, RouterError]:
        """Proposes an entry; a log that does not answer is an error."""
        try:
            async with asyncio.timeout(PROPOSE_SECONDS + GRACE_SECONDS):
                result = await self.log.propose(data, PROPOSE_SECONDS)
            if result.is_ok() and isinstance(result.ok, bytes):
                return Result.Ok(decode_outcome(result.ok))
        except (TimeoutError, msgspec.DecodeError) as error:
            text = type(error).__name__
            return Result.Error(RouterError(step="propose", message=text))
        return result

    async def Get(self, stream: Stream) -> None:  # noqa: N802
        """Returns one entity."""
        request = await receive(stream)
        await self.wait_for_current(request.local)
        entities = self.collect(request.kind)
        if request.name not in entities:
            raise GRPCError(Status.NOT_FOUND, "there is no such entity")
        await stream.send_message(
            pb.GetResponse(
                version=self.replica.version,
                entity=self.convert(request.kind, request.name),
            )
        )

    async def List(self, stream: Stream) -> None:  # noqa: N802
        """Returns a page of the entities of a kind, by name."""
        request = await receive(stream)
        await self.wait_for_current(request.local)
        size = min(request.page_size or DEFAULT_PAGE, MAX_PAGE)
        names = sorted(
            name
            for name in self.collect(request.kind)
            if name > request.page_token
        )
        page = names[:size]
        await stream.send_message(
            pb.ListResponse(
                version=self.replica.version,
                entities=[self.convert(request.kind, name) for name in page],
                next_page_token=page[-1] if len(names) > size else "",
            )
        )

    async def wait_for_current(self, local: bool) -> None:
        """Waits until this VM has every change accepted so far.

        Raises:
            GRPCError: If the voters cannot be reached.
        """
        if local:
            return
        try:
            async with asyncio.timeout(READ_SECONDS + GRACE_SECONDS):
                result = await self.log.read_barrier(READ_SECONDS)
        except TimeoutError:
            result = Result.Error(None)
        if result.is_error():
            raise GRPCError(
                Status.UNAVAILABLE,
                "a majority of the voters cannot be reached; a local read "
                "gives what is in force on this VM",
            )

    def collect(self, kind: int) -> Sequence[str]:
        """Returns the names of a kind.

        Raises:
            GRPCError: If the kind is not known.
        """
        configuration = self.replica.configuration
        if kind in messages.ENTITY_KINDS:
            return configuration.entities(messages.ENTITY_KINDS[kind])
        if kind in messages.DRAIN_KINDS:
            return configuration.drains(messages.DRAIN_KINDS[kind])
        raise GRPCError(Status.INVALID_ARGUMENT, "the kind is not known")

    def convert(self, kind: int, name: str) -> pb.Entity:
        """Returns an entity that exists as a message."""
        if kind in messages.DRAIN_KINDS:
            return messages.write_drained(messages.DRAIN_KINDS[kind], name)
        return messages.write_entity(self.collect(kind)[name])

    async def Watch(self, stream: Stream) -> None:  # noqa: N802
        """Sends versions as they come into force on this VM."""
        request = await receive(stream)
        if self.watchers >= MAX_WATCHERS:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many watchers")
        self.watchers += 1
        try:
            # The headers tell the client that the call is accepted.
            await stream.send_initial_metadata()
            await self.send_versions(stream, request.from_version)
        finally:
            self.watchers -= 1

    async def send_versions(self, stream: Stream, version: int) -> None:
        """Sends the versions after one, until the client goes away."""
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
        """Returns the state of this VM."""
        await receive(stream)
        await stream.send_message(
            messages.write_status(
                self.status_source.status(),
                self.replica.version,
                self.replica.content_hash,
            )
        )

    async def Accounts(self, stream: Stream) -> None:  # noqa: N802
        """Returns the accounts."""
        request = await receive(stream)
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
        """Returns the steps of a request that this VM handled."""
        request = await receive(stream)
        source = require_source(self.trace_source)
        steps = source.trace(request.request_id)
        if not steps:
            raise GRPCError(Status.NOT_FOUND, "this VM knows no such request")
        await stream.send_message(
            pb.TraceResponse(steps=[messages.write_step(x) for x in steps])
        )

    async def Members(self, stream: Stream) -> None:  # noqa: N802
        """Returns the VMs."""
        await receive(stream)
        source = require_source(self.members_source)
        members = [messages.write_member(x) for x in source.members()]
        await stream.send_message(pb.MembersResponse(members=members))

    async def Targets(self, stream: Stream) -> None:  # noqa: N802
        """Returns the targets."""
        request = await receive(stream)
        source = require_source(self.targets_source)
        drained = self.replica.configuration.drained_targets
        targets = [
            messages.write_target(x, x.target_id in drained)
            for x in source.targets()
            if request.model in ("", x.model)
        ]
        await stream.send_message(pb.TargetsResponse(targets=targets))

    async def Audit(self, stream: Stream) -> None:  # noqa: N802
        """Returns the accepted changes, newest first."""
        request = await receive(stream)
        if self.machine is None:
            raise GRPCError(
                Status.UNAVAILABLE,
                "this VM is not a voter and holds no audit records",
            )
        limit = min(request.limit or DEFAULT_AUDITS, MAX_PAGE)
        newest = itertools.islice(reversed(self.machine.audits), limit)
        records = [messages.write_audit(x) for x in newest]
        await stream.send_message(pb.AuditResponse(records=records))


async def receive(stream: Stream) -> object:
    """Returns the request of a call.

    Raises:
        GRPCError: If the caller sent none.
    """
    request = await stream.recv_message()
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the request is missing")
    return request


def require_source(source: object | None) -> object:
    """Returns a source.

    Raises:
        GRPCError: If this VM does not have it.
    """
    if source is None:
        raise GRPCError(Status.UNIMPLEMENTED, "this VM does not keep that")
    return source


def report_failure(error: RouterError, command_id: str) -> pb.ApplyResponse:
    """Answers a change that the log gave no verdict on."""
    known = isinstance(error, NotProposedError)
    logger.warning(
        "change failed", command_id=command_id, certain=known, error=error
    )
    outcome = pb.NOT_ACCEPTED if known else pb.UNKNOWN
    return messages.write_failure(outcome, command_id)


def build_server(
    operators: OperatorsServer, tokens: TokenFile | None
) -> Server:
    """Builds the gRPC server that refuses callers without a valid token."""
    server = Server([operators])
    protect_server(server, tokens)
    return server
