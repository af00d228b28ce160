"""Base of the platform's programs: `core` and `front`."""

import asyncio
from collections.abc import Awaitable
import pathlib
import random as randoms
import time
from typing import Protocol

from rattanroute.addresses import parse_address
from rattanroute.allocators import release_free_memory
from rattanroute.control.control_planes import ControlPlane
from rattanroute.control.control_planes import VoterBuilder
from rattanroute.control.crash_ban_logs import log_ban
from rattanroute.errors import RouterError
from rattanroute.errors import SettingsError
from rattanroute.event_loop_monitors import EventLoopMonitor
from rattanroute.event_loop_monitors import INTERVAL_SECONDS
from rattanroute.gateway.engine_control_clients import EngineControlClient
from rattanroute.gateway.routing_caches import RoutingTableCache
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.pipelined_requests import PipelinePacer
from rattanroute.http1.servers import Exchange
from rattanroute.http1.servers import Handler
from rattanroute.http1.servers import HttpServer
from rattanroute.logs import get_logger
from rattanroute.metrics import MetricsRegistry
from rattanroute.platform.client_limits import build_connection_limit
from rattanroute.platform.client_limits import build_memory_budget
from rattanroute.platform.client_limits import build_socket_buffers
from rattanroute.platform.client_limits import ClientLimitOptions
from rattanroute.platform.client_limits import DEFAULT_CLIENT_LIMITS
from rattanroute.platform.client_limits import update_client_metrics
from rattanroute.platform.manifests import ManifestDecoder
from rattanroute.platform.replica_codecs import ReplicaCodec
from rattanroute.platform.settings import BootSettings
from rattanroute.platform.settings import build_control_settings
from rattanroute.platform.settings import load_boot_settings
from rattanroute.systems.crash_bans import CrashBanSystem
from rattanroute.systems.departures import DepartureSystem
from rattanroute.systems.inspections import InspectionSystem
from rattanroute.systems.reports import TargetReportSystem
from rattanroute.systems.shutdown_schedules import ShutdownSchedule
from rattanroute.systems.target_links import TargetLinkSystem
from rattanroute.tables.targets import TargetTable
from rattanroute.tunnels.checks import CHECK_INTERVAL_SECONDS
from rattanroute.tunnels.checks import LinkChecker
from rattanroute.tunnels.connectors import TunnelConnector

log = get_logger(__name__)


class PlatformDaemon(Protocol):
    """Life cycle of a program."""

    async def start(self) -> None:
        """Opens the listeners and starts the periodic tasks."""
        ...

    async def stop(self, *, signalled_at: float) -> None:
        """Shuts down gracefully before the end of the grace time.

        Args:
            signalled_at: Time of the signal, on the event loop's clock.
        """
        ...

    def reload(self) -> None:
        """Reloads the settings file."""
        ...


class BaseDaemon:
    """Control plane, target table and gossip systems of each program.

    Args:
        path: Path of the settings file.
        boot: Content of the settings file.
        build_voter: Builds the components of a voter; None if the program is
            no voter.
        client_limits: Limits of clients from the command line.

    Attributes:
        budget: Memory of the clients of all listeners.
        connection_limit: Limit of the connections of these clients.
        buffers: Buffers of the sockets of these connections.
        pacer: Lets those with pipelined requests take turns.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        boot: BootSettings,
        build_voter: VoterBuilder | None = None,
        client_limits: ClientLimitOptions = DEFAULT_CLIENT_LIMITS,
    ) -> None:
        self.path = path
        self.boot = boot
        self.budget = build_memory_budget(boot.limits, client_limits)
        self.connection_limit = build_connection_limit(
            boot.limits, client_limits
        )
        self.buffers = build_socket_buffers(boot.limits, self.connection_limit)
        self.pacer = PipelinePacer(clock=time.monotonic)
        self.random = randoms.Random()
        self.metrics = MetricsRegistry()
        self.control = ControlPlane(
            settings=build_control_settings(boot),
            metrics=self.metrics,
            random=self.random,
            build_voter=build_voter,
        )
        self.vm_id = self.control.settings.vm_id
        self.targets = TargetTable()
        self.pool = ConnectionPool()
        self.budget.include(self.pool.buffers)
        self.loop_monitor = EventLoopMonitor(
            gauge=self.metrics.event_loop_delay
        )
        self.links = TargetLinkSystem(
            vm_id=self.vm_id,
            data_centre=boot.zone,
            members=self.control.membership.alive,
            random=self.random,
        )
        self.links.on_change = self.handle_link_change
        # The identifier of a VM is its IP address.
        self.pool.open = TunnelConnector(
            links=self.links, port=boot.tunnel_port, find_host=lambda peer: peer
        ).open
        self.link_checker = LinkChecker(
            links=self.links,
            pool=self.pool,
            list_addresses=lambda: [x.report.address for x in self.targets],
            random=self.random,
        )
        self.departures = DepartureSystem(
            vm_id=self.vm_id,
            voter=self.control.settings.storage.voter,
            targets=self.targets,
            members=self.control.membership.alive,
        )
        self.reports = TargetReportSystem(
            vm_id=self.vm_id,
            data_centre=boot.zone,
            targets=self.targets,
            members=self.control.membership.alive,
        )
        self.manifests = ManifestDecoder(stall_s=boot.bounds.stall_ms / 1000)
        self.routing = RoutingTableCache(
            configuration=self.control.configurations.replica.configuration,
            decode=self.manifests.decode,
        )
        self.inspections = InspectionSystem(
            vm_id=self.vm_id,
            data_centre=boot.zone,
            voter=self.control.settings.storage.voter,
            targets=self.targets,
            members=self.control.membership.alive,
        )
        self.bans = CrashBanSystem(
            vm_id=self.vm_id,
            voter=self.control.settings.storage.voter,
            members=self.control.membership.alive,
        )
        self.bans.on_banned = log_ban
        self.engine_control = EngineControlClient(
            pool=self.pool, codec=ReplicaCodec()
        )
        self.control.add(self.bans)
        self.control.add(self.departures)
        self.control.add(self.inspections)
        self.control.add(self.reports)
        self.servers: list[HttpServer] = []
        self.stopping = False

    async def open(
        self, address: str, handler: Handler, limits: RequestLimits
    ) -> HttpServer:
        """Opens an HTTP listener.

        Raises:
            RouterError: If the address cannot be used.
        """
        server = HttpServer(
            handler=handler,
            limits=limits,
            budget=self.budget,
            connection_limit=self.connection_limit,
            buffers=self.buffers,
            pacer=self.pacer,
        )
        try:
            await server.start(*parse_address(address))
        except OSError as error:
            raise RouterError(
                step="listen", peer=address, message=str(error)
            ) from error
        self.servers.append(server)
        return server

    async def start_control(self) -> None:
        """Starts the control plane, the metrics listener and the pool sweep."""
        await self.control.start()
        await self.open(
            f"{self.boot.ip}:{self.boot.metrics_port}",
            self.serve_metrics,
            RequestLimits(),
        )
        self.control.start_periodic(1.0, self.pool.sweep)
        self.control.start_periodic(1.0, self.update_metrics)
        self.control.start_periodic(1.0, self.release_memory)
        self.control.start_periodic(INTERVAL_SECONDS, self.loop_monitor.run)
        self.control.start_periodic(
            CHECK_INTERVAL_SECONDS, self.link_checker.run
        )
        log.info(
            "daemon started",
            node=self.boot.node,
            zone=self.boot.zone,
            seeds=",".join(self.boot.seeds),
            bootstrap=self.boot.bootstrap,
        )

    def handle_link_change(self) -> None:
        """Closes direct connections that hang after the links were lost."""
        log.warning("links to targets changed", lost=self.links.lost)
        if self.links.lost:
            self.pool.close_idle_where(lambda x: not x.tunnelled)

    def update_metrics(self) -> None:
        """Updates the metrics of clients and of buffered responses."""
        buffers = self.pool.buffers
        update_client_metrics(self.metrics, self.budget, self.connection_limit)
        self.metrics.buffered_responses.set({}, buffers.held_bytes)
        self.metrics.dropped_responses.set({}, buffers.evictions)

    def release_memory(self) -> None:
        """Returns memory to the system that clients no longer hold."""
        if self.budget.note_release():
            release_free_memory()

    async def serve_metrics(self, exchange: Exchange) -> None:
        """Answers a request with all metrics as plain text."""
        body, headers = self.metrics.render(["text/plain"])
        fields = [(k.encode(), v.encode()) for k, v in headers.items()]
        exchange.send(ResponseHead(status=200, headers=fields), body)

    def reload(self) -> None:
        """Reloads the settings file; a malformed file changes nothing."""
        try:
            boot = load_boot_settings(self.path)
        except SettingsError as error:
            log.error("settings not reloaded", error=error)
            return
        log.info("settings reloaded", seeds=",".join(boot.seeds))
        self.boot = boot

    def plan_shutdown(self, signalled_at: float) -> ShutdownSchedule:
        """Returns the times of a stop from the time of its signal."""
        return ShutdownSchedule(
            signalled_at=signalled_at, grace_s=self.boot.bounds.grace_s
        )

    async def leave(self, schedule: ShutdownSchedule) -> None:
        """Leaves the cluster, unless that takes too long."""
        try:
            async with asyncio.timeout_at(schedule.end_by):
                await self.control.stop()
        except TimeoutError:
            log.warning("cluster not left in time", node=self.boot.node)

    async def close(self, leaving: Awaitable[None]) -> None:
        """Closes all listeners and connections and waits for the leave.

        The callers' connections close first: a step of leaving that takes too
        long must not cost an answer.

        Args:
            leaving: A call of `leave`, which may have begun.
        """
        for server in self.servers:
            await server.close()
        await leaving
        self.pool.close()
        log.info("daemon stopped", node=self.boot.node)
