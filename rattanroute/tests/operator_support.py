"""Fake log, fake sources and in-process servers for operator tests."""

import asyncio
import contextlib
import ssl
import threading

from expression import Error
from expression import Ok
from expression import Result
from grpclib.server import Server

from rattanroute.errors import NotProposedError
from rattanroute.errors import RouterError
from rattanroute.security import TokenFile
from rattanroute.servers.client_guards import ClientGuard
from rattanroute.servers.operator_sources import AccountTotal
from rattanroute.servers.operator_sources import MemberStatus
from rattanroute.servers.operator_sources import ShareUse
from rattanroute.servers.operator_sources import TargetStatus
from rattanroute.servers.operator_sources import TraceStep
from rattanroute.servers.operator_sources import UnsettledTotal
from rattanroute.servers.operator_sources import VmStatus
from rattanroute.servers.operators import build_server
from rattanroute.servers.operators import OperatorsServer
from rattanroute.settings import LimitsSettings
from rattanroute.systems.configuration_state_machines import (
    ConfigurationStateMachine,
)
from rattanroute.tables.changes import encode_outcome


class FakeLog:
    """A log with one voter that can lose responses or proposals.

    Attributes:
        machine: The state machine.
        index: Index of the last entry.
        lost_answers: Number of following entries that are applied but whose
            response is lost.
        lost_proposals: Number of following proposals that are not logged.
        reachable: Whether reads reach a majority.
        encoded: Whether outcomes are encoded, as if forwarded by another VM.
    """

    def __init__(self, machine: ConfigurationStateMachine) -> None:
        self.machine = machine
        self.index = 0
        self.lost_answers = 0
        self.lost_proposals = 0
        self.reachable = True
        self.encoded = False

    async def propose(
        self, data: bytes, timeout_s: float
    ) -> Result[object, RouterError]:
        """Appends and applies an entry."""
        if self.lost_proposals:
            self.lost_proposals -= 1
            return Error(NotProposedError(step="propose", message="no leader"))
        self.index += 1
        outcome = self.machine.apply(self.index, data)
        if self.lost_answers:
            self.lost_answers -= 1
            return Error(
                RouterError(step="propose", message=f"{timeout_s} s passed")
            )
        return Ok(encode_outcome(outcome) if self.encoded else outcome)

    async def read_barrier(self, timeout_s: float) -> Result[None, RouterError]:
        """Succeeds while a majority is reachable."""
        await asyncio.sleep(0)
        if self.reachable:
            return Ok(None)
        return Error(RouterError(step="read", message=f"{timeout_s} s passed"))


class FakeSources:
    """Implements every source with one record each."""

    def status(self) -> VmStatus:
        return VmStatus(
            vm_id="vm-1",
            data_centre="dc-a",
            ready=True,
            configuration_age_s=None,
            voter=True,
            leader="vm-1",
        )

    def totals(self) -> list[AccountTotal]:
        return [
            AccountTotal(
                neighbour="n",
                workspace="w",
                model="m",
                requests=3,
                tokens_in=10,
                tokens_out=20,
            )
        ]

    def share_uses(self) -> list[ShareUse]:
        return [ShareUse(neighbour="n", share=0.5, used=0.25)]

    def unsettled(self) -> list[UnsettledTotal]:
        return [
            UnsettledTotal(
                state="reported", attempts=1, tokens_in=2, tokens_out=3
            )
        ]

    def trace(self, request_id: str) -> list[TraceStep]:
        if request_id != "r1":
            return []
        return [TraceStep(at=1.0, step="dispatch", peer="t1", detail="one hop")]

    def members(self) -> list[MemberStatus]:
        return [
            MemberStatus(
                vm_id="vm-1",
                data_centre="dc-a",
                address="127.0.0.1:1",
                state="alive",
                voter=True,
            )
        ]

    def targets(self) -> list[TargetStatus]:
        return [
            TargetStatus(
                target_id="t1",
                address="http://127.0.0.1:9",
                data_centre="dc-a",
                model="m",
                version="1",
                first_layer=0,
                last_layer=7,
                health="healthy",
                slots=4,
                running=1,
                queued=0,
                report_age_s=0.5,
                leaving=False,
            )
        ]


def build_operators(log: FakeLog) -> OperatorsServer:
    """Builds the operators' server of a voter over a fake log."""
    sources = FakeSources()
    return OperatorsServer(
        replica=log.machine.replica,
        log=log,
        status_source=sources,
        accounts_source=sources,
        trace_source=sources,
        members_source=sources,
        targets_source=sources,
        machine=log.machine,
        clock=lambda: 1000.0,
    )


async def start_server(
    operators: OperatorsServer,
    tokens: TokenFile | None = None,
    context: ssl.SSLContext | None = None,
) -> tuple[Server, int]:
    """Starts a server on a free port; returns the server and the port."""
    server = build_server(
        operators, tokens, ClientGuard(limits=LimitsSettings())
    )
    await server.start("127.0.0.1", 0, ssl=context)
    listener = server._server  # The library has no accessor for the port.
    return server, listener.sockets[0].getsockname()[1]


@contextlib.asynccontextmanager
async def run_server(*args: object, **values: object):
    """Runs a server in a context that yields its port."""
    server, port = await start_server(*args, **values)
    try:
        yield port
    finally:
        server.close()
        await server.wait_closed()


class ServerThread:
    """Runs servers on a separate thread, for tests with blocking clients.

    Attributes:
        loop: Event loop of the thread.
        servers: The started servers.
        thread: Thread that runs the loop.
    """

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.servers: list[object] = []
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()

    def call(self, coroutine: object) -> object:
        """Runs a coroutine on the thread and returns its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(timeout=10)

    def start(self, *args: object, **values: object) -> str:
        """Starts an operators' server and returns its address."""
        server, port = self.call(start_server(*args, **values))
        self.servers.append(server)
        return f"127.0.0.1:{port}"

    def listen(self, handle: object) -> str:
        """Starts a plain TCP server and returns its address."""
        server = self.call(asyncio.start_server(handle, "127.0.0.1", 0))
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stops the servers and the thread."""
        self.call(self.finish())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def finish(self) -> None:
        """Stops the servers and cancels their remaining tasks."""
        for server in self.servers:
            server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
