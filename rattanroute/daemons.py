"""The daemon: builds its parts from settings and runs them."""

import asyncio
from collections.abc import Callable
import random
import time

from aiohttp import web

from rattanroute.actions import Action
from rattanroute.actions import MemberChanged
from rattanroute.clients.engines import EngineClient
from rattanroute.clients.failures import build_session
from rattanroute.clients.peer_links import PeerLinkRegistry
from rattanroute.clients.services import ServiceClient
from rattanroute.clients.stages import PipelineClient
from rattanroute.control.claim_hosts import ClaimHost
from rattanroute.control.configuration_hosts import ConfigurationHost
from rattanroute.control.configuration_hosts import FRESHNESS_INTERVAL_SECONDS
from rattanroute.control.crash_ban_logs import log_ban
from rattanroute.control.crash_ban_stores import CrashBanStore
from rattanroute.control.ledger_hosts import LedgerHost
from rattanroute.control.placement_hosts import PlacementHost
from rattanroute.control.voters import build_voter
from rattanroute.event_loop_monitors import EventLoopMonitor
from rattanroute.event_loop_monitors import INTERVAL_SECONDS
from rattanroute.events import Event
from rattanroute.logs import get_logger
from rattanroute.metrics import MetricsRegistry
from rattanroute.requests.attempt_runs import AttemptUsage
from rattanroute.requests.drains import RequestDrain
from rattanroute.routers import RequestRouter
from rattanroute.security import DaemonCredentials
from rattanroute.servers.callers import CallersServer
from rattanroute.servers.client_guards import ClientGuard
from rattanroute.servers.grpc_servers import build_listen_error
from rattanroute.servers.grpc_servers import GuardedServer
from rattanroute.servers.listeners import HttpListener
from rattanroute.servers.operators import build_server
from rattanroute.servers.operators import OperatorsServer
from rattanroute.servers.peers import PeersServer
from rattanroute.servers.services import ServicesServer
from rattanroute.servers.targets import TargetsServer
from rattanroute.servers.targets import UsageStatement
from rattanroute.settings import DaemonSettings
from rattanroute.status_sources import DaemonStatusSource
from rattanroute.storage.records import SystemFileAccess
from rattanroute.subsystem_hosts import SubsystemHost
from rattanroute.subsystems import Subsystem
from rattanroute.systems.memberships import MembershipSystem
from rattanroute.systems.reports import TargetReportSystem
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.requests import Request
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable
from rattanroute.tasks import run_repeatedly
from rattanroute.traces import TraceRecorder

# Shorter than the subsystem tick: the request core starts requests that wait
# for a slot or a back-off, and subsystems act at intervals of 0.25 s or more.
CORE_TICK_SECONDS = 0.05
SUBSYSTEM_TICK_SECONDS = 0.1
HOUSEKEEPING_SECONDS = 1.0
# Time for the load balancer to notice that the VM is not ready before the
# listeners close; requests that still arrive are refused as not run.
DRAIN_NOTICE_SECONDS = 1.0
# Time for callers to receive written answers after the grace has ended.
MIN_FLUSH_SECONDS = 0.5
MILLISECONDS_PER_SECOND = 1000

log = get_logger(__name__)


class Daemon:
    """The router process of one VM.

    Args:
        settings: Validated settings.
    """

    def __init__(self, *, settings: DaemonSettings) -> None:
        self.settings = settings
        self.metrics = MetricsRegistry()
        self.clients = ClientGuard(limits=settings.limits, metrics=self.metrics)
        self.traces = TraceRecorder(
            vm_id=settings.vm_id,
            file=settings.telemetry.trace_file,
            otlp_endpoint=settings.telemetry.otlp_endpoint,
        )
        self.credentials = DaemonCredentials(settings=settings)
        self.random = random.Random()
        self.stopping = False
        self.targets = TargetTable()
        self.subsystems = SubsystemHost(
            send=self.send, execute_other=self.execute
        )
        self.membership = self.build_membership()
        self.reports = TargetReportSystem(
            vm_id=settings.vm_id,
            data_centre=settings.data_centre,
            targets=self.targets,
            members=self.membership.alive,
        )
        self.claims = ClaimHost(
            settings=settings, execute=self.subsystems.execute
        )
        self.ledger = LedgerHost(
            settings=settings,
            membership=self.membership,
            configuration=lambda: self.configuration,
            execute=self.subsystems.execute,
        )
        self.configurations = ConfigurationHost(
            settings=settings,
            membership=self.membership,
            send=self.send,
            execute=self.subsystems.execute,
            random=self.random,
            voter=(
                build_voter(settings, self.subsystems.execute, self.random)
                if settings.storage.voter
                else None
            ),
        )
        self.running_tasks: set[asyncio.Task[object]] = set()
        self.router = RequestRouter(
            settings=settings,
            membership=self.membership,
            targets=self.targets,
            configuration=lambda: self.configuration,
            send=self.send,
            random=self.random,
        )
        self.sessions = self.router.sessions
        self.router.bans.on_banned = log_ban
        self.ban_store = self.build_ban_store()
        self.placement = self.build_placement()
        for subsystem in self.list_subsystems():
            self.subsystems.add(subsystem)
        self.tasks: list[asyncio.Task[None]] = []
        self.listeners: list[HttpListener] = []
        self.servers: list[GuardedServer] = []

    def build_membership(self) -> MembershipSystem:
        """Builds the membership system with this VM as its only member."""
        settings = self.settings
        return MembershipSystem(
            vm_id=settings.vm_id,
            address=settings.peer_address,
            data_centre=settings.data_centre,
            region=settings.region,
            voter=settings.storage.voter,
            incarnation=int(time.time() * MILLISECONDS_PER_SECOND),
            random=self.random,
            seeds=settings.peers.seeds,
        )

    def build_ban_store(self) -> CrashBanStore | None:
        """Builds the store of crash bans on a voter; other VMs have none."""
        storage = self.settings.storage
        if not storage.voter:
            return None
        return CrashBanStore(
            folder=storage.folder,
            bans=self.router.bans,
            files=SystemFileAccess(),
        )

    def build_placement(self) -> PlacementHost | None:
        """Builds the placement host on a voter; other VMs have none."""
        if self.configurations.consensus is None:
            return None
        return PlacementHost(
            consensus=self.configurations.consensus,
            targets=self.targets,
            configuration=lambda: self.configuration,
            eligible=self.router.is_accepting_work,
            settings=self.settings.placement,
        )

    def list_subsystems(self) -> list[Subsystem]:
        """Returns the subsystems in the order of their ticks."""
        found: list[Subsystem] = [
            self.membership,
            self.claims.system,
            self.ledger.system,
            self.reports,
            self.router.shares,
            self.router.quarantines,
            self.router.bans,
            self.router.demand,
        ]
        if self.placement is not None:
            found.append(self.placement.system)
        return [*found, *self.configurations.subsystems]

    @property
    def ready(self) -> bool:
        """Whether this VM may serve requests.

        A VM that has never received a lease on the shares could serve only a
        small fraction of each of them.
        """
        return self.configurations.ready and self.router.had_lease

    @property
    def drained(self) -> bool:
        """Whether operators have taken this VM out of service."""
        return self.settings.vm_id in self.configuration.drained_vms

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.configurations.replica.configuration

    @property
    def leader(self) -> str:
        """Leader of the configuration log; empty when unknown."""
        return self.configurations.leader

    @property
    def configuration_age_s(self) -> float | None:
        """Seconds since the configuration was last known to be current."""
        return self.configurations.age_s

    def handle(self, event: Event) -> None:
        """Passes an event to the core and executes its actions."""
        self.router.handle(event)

    def execute(self, action: Action) -> None:
        """Executes an action of a subsystem."""
        if self.claims.try_execute(action) or self.ledger.try_execute(action):
            return
        if self.placement is not None and self.placement.try_execute(action):
            return
        if isinstance(action, MemberChanged):
            member = action.member
            self.links.learn(peer=member.vm_id, address=member.address)
            log.info(
                "member changed",
                peer=member.vm_id,
                state=member.state.name.lower(),
                incarnation=member.incarnation,
            )

    def send(self, peer: str, message: object) -> bool:
        """Sends a message to a peer; one to this VM is delivered directly."""
        if peer == self.settings.vm_id:
            asyncio.get_running_loop().call_soon(
                self.subsystems.deliver, peer, message
            )
            return True
        return self.links.send(peer=peer, message=message)

    def keep_running(self, task: "asyncio.Task[object]") -> None:
        """Lets a task finish, even if its client disconnects."""
        self.running_tasks.add(task)
        task.add_done_callback(self.running_tasks.discard)

    def record_usage(self, usage: AttemptUsage) -> None:
        """Records the usage of an ended attempt."""
        self.ledger.record(usage)

    def open_account(self, request: Request, attempt: int) -> str:
        """Returns the account tag of an attempt."""
        return self.ledger.open(request, attempt)

    async def start(self) -> None:
        """Opens the listeners and starts the periodic tasks."""
        source = self.settings.listen.source
        self.client = build_session(source=source)
        self.engines = EngineClient(session=self.client)
        self.pipelines = PipelineClient(session=self.client)
        self.services = ServiceClient(source=source)
        if self.placement is not None:
            # Answers to orders bear no identifier either.
            self.placement.start(self.services.session)
        self.links = PeerLinkRegistry(
            vm_id=self.settings.vm_id,
            own_address=self.settings.peer_address,
            batch_seconds=self.settings.peers.batch_ms
            / MILLISECONDS_PER_SECOND,
            address_map=self.settings.peers.address_map,
            metadata=self.credentials.peer_metadata,
            tls=self.credentials.client_context,
            metrics=self.metrics,
            on_state=self.handle_link_change,
        )
        await self.open_peers()
        await self.open_operators()
        callers = CallersServer(host=self)
        application = callers.build_application()
        ServicesServer(host=self, callers=callers).add_routes(application)
        self.callers_listener = await self.open_http(
            "callers", application, self.settings.listen.callers
        )
        self.targets_listener = await self.open_http(
            "targets",
            self.build_targets_server().build_application(),
            self.settings.listen.targets,
        )
        for address in self.settings.peers.seeds:
            if address != self.settings.peer_address:
                self.links.open(address)
        self.start_periodic(CORE_TICK_SECONDS, self.router.tick)
        self.start_periodic(SUBSYSTEM_TICK_SECONDS, self.subsystems.tick)
        freshness = self.configurations.freshness
        if freshness is not None:
            self.start_periodic(FRESHNESS_INTERVAL_SECONDS, freshness.refresh)
        self.start_periodic(HOUSEKEEPING_SECONDS, self.run_housekeeping)
        monitor = EventLoopMonitor(gauge=self.metrics.event_loop_delay)
        self.start_periodic(INTERVAL_SECONDS, monitor.run)
        log.info("daemon started", data_centre=self.settings.data_centre)

    def start_periodic(
        self, seconds: float, work: Callable[[], object]
    ) -> None:
        """Starts a task that calls a function at an interval in seconds."""
        self.tasks.append(asyncio.create_task(run_repeatedly(seconds, work)))

    async def open_peers(self) -> None:
        """Opens the gRPC interface for peers."""
        peers = PeersServer(
            vm_id=self.settings.vm_id,
            deliver=self.subsystems.deliver,
            learn=lambda peer, address: self.links.learn(
                peer=peer, address=address
            ),
            metrics=self.metrics,
        )
        server = GuardedServer(
            name="peers",
            service=peers,
            tokens=self.credentials.peers,
            clients=self.clients,
        )
        await self.start_server(server, self.settings.listen.peers)

    async def open_operators(self) -> None:
        """Opens the gRPC interface for operators."""
        source = DaemonStatusSource(host=self)
        operators = OperatorsServer(
            replica=self.configurations.replica,
            log=self.configurations.log,
            machine=self.configurations.machine,
            status_source=source,
            accounts_source=self.ledger if self.ledger.journal else None,
            trace_source=source,
            members_source=source,
            targets_source=source,
        )
        server = build_server(
            operators, self.credentials.operators, self.clients
        )
        await self.start_server(server, self.settings.listen.operators)

    async def start_server(self, server: GuardedServer, address: str) -> None:
        """Starts a gRPC server, with mutual TLS if the settings enable it."""
        contexts = self.credentials.server_contexts
        self.servers.append(server)
        await server.open(address, contexts.context if contexts else None)

    async def open_http(
        self, name: str, application: web.Application, address: str
    ) -> HttpListener:
        """Opens an HTTP interface."""
        listener = HttpListener(
            name=name,
            application=application,
            address=address,
            clients=self.clients,
        )
        self.listeners.append(listener)
        try:
            await listener.open()
        except OSError as error:
            raise build_listen_error(address, error) from error
        return listener

    def build_targets_server(self) -> TargetsServer:
        """Builds the interface on which targets announce themselves."""
        return TargetsServer(
            targets=self.targets,
            data_centre=self.settings.data_centre,
            tokens=self.credentials.targets,
            announce=self.receive_report,
            state=self.receive_usage,
            metrics=self.metrics,
        )

    def receive_report(self, report: TargetReport) -> None:
        """Handles the report of a target."""
        self.subsystems.execute(
            self.reports.announce(report=report, now=time.monotonic())
        )

    def receive_usage(
        self, report: TargetReport, usage: tuple[UsageStatement, ...]
    ) -> list[tuple[str, int]]:
        """Records a target's usage statements; returns those it may delete."""
        return self.ledger.receive_statements(report.target_id, usage)

    def handle_link_change(self, peer: str, connected: bool) -> None:
        """Reports an opened or closed peer link to the membership system."""
        now = time.monotonic()
        if connected:
            actions = self.membership.host_connected(peer=peer, now=now)
        else:
            actions = self.membership.host_disconnected(peer=peer, now=now)
        self.subsystems.execute(actions)

    async def run_housekeeping(self) -> None:
        """Updates gauges, exports spans and closes idle links."""
        self.publish_status()
        self.ledger.update_holders()
        self.clients.run_housekeeping()
        self.router.update_delays(self.compute_delays())
        self.metrics.open_requests.set({}, len(self.sessions.sessions))
        self.metrics.known_targets.set({}, len(self.targets))
        self.metrics.live_members.set({}, len(self.membership.alive()))
        age_s = self.configuration_age_s
        self.metrics.configuration_age.set({}, -1 if age_s is None else age_s)
        self.metrics.configuration_version.set({}, self.configuration.version)
        await self.traces.export()
        await self.links.close_idle(keep=frozenset(self.settings.peers.seeds))

    def publish_status(self) -> None:
        """Announces to the other VMs whether this one serves requests."""
        actions = self.membership.set_status(
            ready=self.ready and not self.stopping,
            draining=self.stopping or self.drained,
            now=time.monotonic(),
        )
        self.subsystems.execute(actions)

    def compute_delays(self) -> dict[str, float]:
        """Returns the lowest one-way delay to each data centre in seconds."""
        delays: dict[str, float] = {}
        for peer, seconds in self.links.round_trips().items():
            member = self.membership.get(peer)
            if member is None:
                continue
            name = member.data_centre
            delays[name] = min(delays.get(name, seconds), seconds / 2)
        return delays

    async def stop(self) -> None:
        """Runs a planned stop: ends open requests, then closes everything."""
        self.stopping = True
        self.publish_status()
        self.callers_listener.announce_close()
        log.info("planned stop", open_requests=len(self.sessions.sessions))
        await asyncio.sleep(DRAIN_NOTICE_SECONDS)
        grace_s = self.settings.limits.shutdown_grace_s
        grace_ends = time.monotonic() + grace_s
        drain = RequestDrain(
            listener=self.callers_listener,
            sessions=self.sessions,
            running_tasks=self.running_tasks,
        )
        # The open requests need the targets' reports, the shares and the
        # claims; until they have ended, the VM remains a member.
        await drain.run(grace_s=grace_s)
        # Targets move to another VM of their data centre at once. This VM
        # could no longer pass their reports on to the other members.
        await self.targets_listener.close(grace_s=MIN_FLUSH_SECONDS)
        await self.ledger.flush()
        await self.claims.hand_over()
        await self.configurations.hand_over()
        self.subsystems.execute(self.membership.leave(time.monotonic()))
        await asyncio.sleep(2 * SUBSYSTEM_TICK_SECONDS)
        await self.close(grace_s=grace_ends - time.monotonic())

    async def close(self, *, grace_s: float = 0.0) -> None:
        """Closes listeners, links and tasks.

        Args:
            grace_s: Time for callers to receive answers that are already
                written, in seconds.
        """
        for listener in self.listeners:
            await listener.close(grace_s=max(MIN_FLUSH_SECONDS, grace_s))
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.links.close()
        for server in self.servers:
            server.close()
            await server.wait_closed()
        await self.claims.close()
        await self.ledger.close()
        if self.ban_store is not None:
            await self.ban_store.close()
        self.configurations.close()
        await self.traces.export()
        await self.pipelines.close()
        await self.services.close()
        await self.client.close()
        log.info("daemon stopped")
