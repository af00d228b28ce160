"""Calls of the operators' interface, with several addresses to try."""

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

CALL_SECONDS = 8.0
# A broken connection shows as one of these.
CONNECTION_ERRORS = (
    OSError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
)
# Another VM may answer where these came from one VM.
NEXT_STATUSES = (Status.UNAVAILABLE, Status.DEADLINE_EXCEEDED)


class ExitCode(enum.IntEnum):
    """What the exit code of the command-line tool means."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN = 5


class CliError(Exception):
    """A failure to report to the user.

    Attributes:
        code: Exit code.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclasses.dataclass(kw_only=True, slots=True)
class OperatorsClient:
    """Calls one address after the other until one answers.

    Attributes:
        addresses: Addresses (`IP:port`) to try, in order.
        metadata: Metadata of each call.
        context: TLS context; None for none.
        timeout_s: Longest time of a call to one address.
    """

    addresses: tuple[str, ...]
    metadata: dict[str, str] = dataclasses.field(default_factory=dict)
    context: ssl.SSLContext | None = None
    timeout_s: float = CALL_SECONDS

    def open(self, address: str) -> Channel:
        """Opens a channel; it connects with the first call."""
        host, port = parse_address(address)
        return Channel(host, port, ssl=self.context)

    async def call_one(
        self, address: str, method: str, request: object
    ) -> object:
        """Calls one address."""
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
            CliError: If none answers, or the call is refused.
        """
        failures = []
        for address in self.addresses:
            try:
                return await self.call_one(address, method, request)
            except GRPCError as error:
                if error.status not in NEXT_STATUSES:
                    raise describe_status(error) from error
                failures.append(f"{address}: {error.message}")
            except CONNECTION_ERRORS as error:
                failures.append(f"{address}: {describe_connection(error)}")
        raise CliError(ExitCode.UNREACHABLE, "; ".join(failures))

    async def change(self, method: str, request: object) -> pb.ApplyResponse:
        """Sends a change until its outcome is known.

        The request keeps its command id, so that a change that an earlier
        address may have accepted is not made twice.

        Raises:
            CliError: If its outcome stays unknown, or no address took it.
        """
        failures = []
        uncertain = False
        for address in self.addresses:
            try:
                response = await self.call_one(address, method, request)
            except GRPCError as error:
                if error.status not in NEXT_STATUSES:
                    raise describe_status(error, uncertain) from error
                uncertain = True
                failures.append(f"{address}: {error.message}")
                continue
            except ConnectionRefusedError as error:
                failures.append(f"{address}: {describe_connection(error)}")
                continue
            except CONNECTION_ERRORS as error:
                uncertain = True
                failures.append(f"{address}: {describe_connection(error)}")
                continue
            if response.outcome not in (pb.UNKNOWN, pb.NOT_ACCEPTED):
                return response
            # An earlier attempt of this command may still be in a log.
            uncertain = uncertain or response.outcome == pb.UNKNOWN
            failures.append(f"{address}: {pb.Outcome.Name(response.outcome)}")
        code = ExitCode.UNKNOWN if uncertain else ExitCode.UNREACHABLE
        raise CliError(code, "; ".join(failures))

    async def watch(self, version: int) -> AsyncIterator[pb.WatchEvent]:
        """Yields versions; moves to the next address when one is lost.

        Raises:
            CliError: If no address answers.
        """
        failures = []
        while len(failures) < len(self.addresses):
            for address in self.addresses:
                try:
                    async for event in self.watch_one(address, version):
                        version = event.version
                        failures.clear()
                        yield event
                    failures.append(f"{address}: the call ended")
                except GRPCError as error:
                    if error.status not in NEXT_STATUSES:
                        raise describe_status(error) from error
                    failures.append(f"{address}: {error.message}")
                except CONNECTION_ERRORS as error:
                    failures.append(f"{address}: {describe_connection(error)}")
        raise CliError(ExitCode.UNREACHABLE, "; ".join(failures))

    async def watch_one(
        self, address: str, version: int
    ) -> AsyncIterator[pb.WatchEvent]:
        """Yields the versions that one address sends."""
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


def describe_status(error: GRPCError, uncertain: bool = False) -> CliError:
    """Converts a status of the server to an error for the user."""
    usage = (Status.INVALID_ARGUMENT, Status.UNAUTHENTICATED)
    code = ExitCode.USAGE if error.status in usage else ExitCode.REFUSED
    if error.status in (Status.INTERNAL, Status.UNKNOWN) or uncertain:
        code = ExitCode.UNKNOWN
    return CliError(code, error.message or error.status.name.lower())


def describe_connection(error: Exception) -> str:
    """Returns a short text for a connection that failed."""
    if isinstance(error, TimeoutError):
        return "no answer in time"
    if isinstance(error, ConnectionRefusedError):
        return "connection refused"
    return "connection lost or not possible"


def run(make: Callable[[], Awaitable[object]]) -> object:
    """Runs a coroutine to its end."""
    return asyncio.run(make())
