"""Client of the operator interface that tries several addresses."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import ssl

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError

from rattanroute.addresses import parse_address
from rattanroute.proto import operators_pb2 as pb
from rattanroute.proto.operators_grpc import OperatorsStub

DEFAULT_TIMEOUT_SECONDS = 8.0
# Errors that a broken connection raises.
CONNECTION_ERRORS = (
    OSError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
)
# After one of these statuses from one VM, another VM may still answer.
RETRYABLE_STATUSES = (Status.UNAVAILABLE, Status.DEADLINE_EXCEEDED)


class ExitCode(enum.IntEnum):
    """Exit codes of the command-line tool."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN = 5


class CliError(Exception):
    """An error that the tool reports to the user before it exits.

    Attributes:
        code: Exit code of the tool.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclasses.dataclass(kw_only=True, slots=True)
class OperatorsClient:
    """Calls the configured addresses in order until one answers.

    Attributes:
        addresses: Addresses (`IP:port`) to try, in order.
        metadata: gRPC metadata sent with each call.
        context: TLS context; None for connections without TLS.
        timeout_s: Timeout of a call to one address, in seconds.
    """

    addresses: tuple[str, ...]
    metadata: dict[str, str] = dataclasses.field(default_factory=dict)
    context: ssl.SSLContext | None = None
    timeout_s: float = DEFAULT_TIMEOUT_SECONDS

    def open(self, address: str) -> Channel:
        """Creates a channel, which connects on its first call."""
        host, port = parse_address(address)
        return Channel(host, port, ssl=self.context)

    async def call_address(
        self, address: str, method: str, request: object
    ) -> object:
        """Calls a method on one address."""
        channel = self.open(address)
        try:
            call = getattr(OperatorsStub(channel), method)
            async with asyncio.timeout(self.timeout_s):
                return await call(
                    request, timeout=self.timeout_s, metadata=self.metadata
                )
        finally:
            channel.close()

    async def call(self, method: str, request: object) -> object:
        """Calls the addresses in order until one answers.

        Raises:
            CliError: If no address answers or the call is refused.
        """
        failures = []
        for address in self.addresses:
            try:
                return await self.call_address(address, method, request)
            except GRPCError as error:
                if error.status not in RETRYABLE_STATUSES:
                    raise convert_status_error(error) from error
                failures.append(f"{address}: {error.message}")
            except CONNECTION_ERRORS as error:
                failures.append(
                    f"{address}: {describe_connection_error(error)}"
                )
        raise CliError(ExitCode.UNREACHABLE, "; ".join(failures))

    async def change(self, method: str, request: object) -> pb.ApplyResponse:
        """Sends a change to the addresses in order until its outcome is known.

        Each attempt has the same command id, so that a change that an earlier
        address may have accepted is not applied twice.

        Raises:
            CliError: If the outcome remains unknown or no address accepted
                the change.
        """
        failures = []
        may_have_applied = False
        for address in self.addresses:
            try:
                response = await self.call_address(address, method, request)
            except GRPCError as error:
                if error.status not in RETRYABLE_STATUSES:
                    raise convert_status_error(
                        error, may_have_applied
                    ) from error
                may_have_applied = True
                failures.append(f"{address}: {error.message}")
                continue
            except ConnectionRefusedError as error:
                failures.append(
                    f"{address}: {describe_connection_error(error)}"
                )
                continue
            except CONNECTION_ERRORS as error:
                may_have_applied = True
                failures.append(
                    f"{address}: {describe_connection_error(error)}"
                )
                continue
            if response.outcome not in (pb.UNKNOWN, pb.NOT_ACCEPTED):
                return response
            # This or an earlier attempt of the command may still be in a log.
            may_have_applied = (
                may_have_applied or response.outcome == pb.UNKNOWN
            )
            failures.append(f"{address}: {pb.Outcome.Name(response.outcome)}")
        code = ExitCode.UNKNOWN if may_have_applied else ExitCode.UNREACHABLE
        raise CliError(code, "; ".join(failures))

    async def watch(self, version: int) -> AsyncIterator[pb.WatchEvent]:
        """Yields new versions; tries the next address after an error.

        The watch resumes after the last version received.

        Raises:
            CliError: If no address answers.
        """
        failures = []
        while len(failures) < len(self.addresses):
            for address in self.addresses:
                try:
                    async for event in self.watch_address(address, version):
                        version = event.version
                        failures.clear()
                        yield event
                    failures.append(f"{address}: the call ended")
                except GRPCError as error:
                    if error.status not in RETRYABLE_STATUSES:
                        raise convert_status_error(error) from error
                    failures.append(f"{address}: {error.message}")
                except CONNECTION_ERRORS as error:
                    failures.append(
                        f"{address}: {describe_connection_error(error)}"
                    )
        raise CliError(ExitCode.UNREACHABLE, "; ".join(failures))

    async def watch_address(
        self, address: str, version: int
    ) -> AsyncIterator[pb.WatchEvent]:
        """Yields the versions that one address sends after `version`."""
        channel = self.open(address)
        try:
            watch = OperatorsStub(channel).Watch
            async with watch.open(metadata=self.metadata) as stream:
                async with asyncio.timeout(self.timeout_s):
                    await stream.send_message(
                        pb.WatchRequest(from_version=version), end=True
                    )
                    await stream.recv_initial_metadata()
                async for event in stream:
                    yield event
        finally:
            channel.close()


def convert_status_error(
    error: GRPCError, may_have_applied: bool = False
) -> CliError:
    """Converts a gRPC error to an error for the user.

    Args:
        error: The error of the last call.
        may_have_applied: Whether an earlier attempt of the same change may
            have taken effect.
    """
    usage = (Status.INVALID_ARGUMENT, Status.UNAUTHENTICATED)
    code = ExitCode.USAGE if error.status in usage else ExitCode.REFUSED
    if error.status in (Status.INTERNAL, Status.UNKNOWN) or may_have_applied:
        code = ExitCode.UNKNOWN
    return CliError(code, error.message or error.status.name.lower())


def describe_connection_error(error: Exception) -> str:
    """Returns a short description of a connection error."""
    if isinstance(error, TimeoutError):
        return "no answer in time"
    if isinstance(error, ConnectionRefusedError):
        return "connection refused"
    return "connection lost or not possible"


def run(make_coroutine: Callable[[], Awaitable[object]]) -> object:
    """Creates a coroutine and runs it in a new event loop."""
    return asyncio.run(make_coroutine())
