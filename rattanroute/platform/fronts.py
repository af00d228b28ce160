"""The `front` program: the gateway for client requests."""

import asyncio
import pathlib
import time

from rattanroute.errors import RouterError
from rattanroute.gateway.chain_finders import ChainFinder
from rattanroute.gateway.crash_detectors import CHECK_INTERVAL_SECONDS
from rattanroute.gateway.crash_detectors import CrashDetector
from rattanroute.gateway.handlers import GatewayHandler
from rattanroute.gateway.hedges import HedgePolicy
from rattanroute.gateway.outcomes import CallFinisher
from rattanroute.gateway.priority_admissions import PriorityAdmission
from rattanroute.gateway.send_budgets import SendBudget
from rattanroute.gateway.service_forwarders import ServiceForwarder
from rattanroute.gateway.service_hedges import ServiceHedger
from rattanroute.gateway.stall_inspectors import StallInspector
from rattanroute.gateway.stream_forwarders import StreamForwarder
from rattanroute.gateway.stream_health import StreamHealthRecorder
from rattanroute.gateway.stream_hedges import StreamHedger
from rattanroute.gateway.target_probes import TargetProbes
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.servers import Exchange
from rattanroute.logs import get_logger
from rattanroute.platform.client_limits import ClientLimitOptions
from rattanroute.platform.client_limits import DEFAULT_CLIENT_LIMITS
from rattanroute.platform.daemons import BaseDaemon
from rattanroute.platform.headers import PlatformHeaderCodec
from rattanroute.platform.priority_monitors import MONITOR_INTERVAL_SECONDS
from rattanroute.platform.priority_monitors import PriorityMonitor
from rattanroute.platform.settings import BootSettings
from rattanroute.systems.chain_choices import ChainChooser
from rattanroute.systems.chain_choices import is_served
from rattanroute.systems.chain_rooms import ChainRoomEstimator
from rattanroute.systems.engine_loads import EngineLoadSystem
from rattanroute.systems.hedges import HedgeSettings
from rattanroute.systems.hedges import HedgeSystem
from rattanroute.systems.outlier_detections import OutlierDetectionSystem
from rattanroute.systems.priority_reservations import AdmissionSettings
from rattanroute.systems.priority_reservations import DEFAULT_ADMISSION
from rattanroute.systems.priority_reservations import PriorityReservations
from rattanroute.systems.retry_budgets import COUNTS_EXPIRY_SECONDS
from rattanroute.systems.retry_budgets import RetryBudget
from rattanroute.systems.shutdown_schedules import ShutdownSchedule
from rattanroute.systems.target_limits import TargetLimiter
from rattanroute.systems.target_links import SILENCE_SECONDS
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.service_queues import ServiceQueueTable
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetReport
from rattanroute.tunnels.servers import TunnelServer

READY_PATH = b"/rattanroute/ready"
STATUS_INTERVAL_SECONDS = 0.1
# Counting the usable targets takes time proportional to their number.
TARGET_LOG_INTERVAL_SECONDS = 1.0
# A front with a manifest becomes ready after this time even if it has received
# no report of a target for some services.
MAX_TARGETS_WAIT_SECONDS = 3.0
# A voter answers the request for the bans within a tick. Without one, a front
# serves all the same.
MAX_BANS_WAIT_SECONDS = 1.0

# Failures of targets this long before the loss of the links are taken back.
BLAME_SECONDS = 2.0

log = get_logger(__name__)


class FrontDaemon(BaseDaemon):
    """Routes client requests to targets.

    Args:
        path: Path of the settings file.
        boot: Content of the settings file.
        hedging: Limits of second attempts of late requests; None for none.
        admission: Settings of the admission by priority.
        client_limits: Limits of clients from the command line.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        boot: BootSettings,
        hedging: HedgeSettings | None = None,
        admission: AdmissionSettings = DEFAULT_ADMISSION,
        client_limits: ClientLimitOptions = DEFAULT_CLIENT_LIMITS,
    ) -> None:
        super().__init__(path=path, boot=boot, client_limits=client_limits)
        self.loads = EngineLoadTable()
        self.admission = admission
        self.reservations = PriorityReservations(
            queues=ServiceQueueTable(),
            random=self.random,
            minimum_share=admission.minimum_share,
        )
        bounds = boot.bounds
        self.retry_budget = RetryBudget(
            ratio=bounds.retry_budget_ratio,
            extra=bounds.budget_extra,
            window_s=bounds.budget_window_s,
            random=self.random,
            blocked_until=time.monotonic() + COUNTS_EXPIRY_SECONDS,
        )
        self.limiter = TargetLimiter(
            targets=self.targets,
            vms=self.control.count_serving_vms,
            random=self.random,
        )
        self.control.add(
            EngineLoadSystem(
                vm_id=self.vm_id,
                data_centre=boot.zone,
                members=self.control.membership.alive,
                loads=self.loads,
                budget=self.retry_budget,
                process=self.control.membership.own_record.incarnation,
                window_s=bounds.budget_window_s,
                limiter=self.limiter,
                queues=self.reservations.queues,
            )
        )
        self.limits = RequestLimits()
        self.configured_at: float | None = None
        self.ready = False
        self.shutdown: ShutdownSchedule | None = None
        self.startup_done = asyncio.Event()
        self.usable_counts: dict[tuple[str, str], int] = {}
        self.priority_monitor = PriorityMonitor(
            reservations=self.reservations, metrics=self.metrics
        )
        self.handler = self.build_handler()
        if hedging is not None:
            self.enable_hedging(hedging)
        self.inspections.on_unreachable = self.suspect_attempts_at
        self.tunnel_server = TunnelServer(
            links=self.links, is_target=self.is_target
        )

    def build_handler(self) -> GatewayHandler:
        """Builds the request handler with its selectors and forwarders."""
        codec = PlatformHeaderCodec()
        self.selector = selector = TargetSelector(
            data_centre=self.boot.zone,
            targets=self.targets,
            detections=OutlierDetectionSystem(targets=self.targets),
            limiter=self.limiter,
            has_departed=self.departures.covers,
            suspect=self.suspect,
            announce_departure=self.announce_departure,
            random=self.random,
        )
        budget = SendBudget(
            retry_budget=self.retry_budget, vms=self.control.count_serving_vms
        )
        finisher = CallFinisher(codec=codec, random=self.random)
        probes = TargetProbes(pool=self.pool)
        self.crashes = CrashDetector(
            probes=probes,
            targets=self.targets,
            bans=self.bans,
            lost_attempts=self.metrics.lost_attempts,
        )
        self.services = services = ServiceForwarder(
            codec=codec,
            pool=self.pool,
            selector=selector,
            budget=budget,
            finisher=finisher,
            crashes=self.crashes,
        )
        self.streams = streams = StreamForwarder(
            codec=codec,
            pool=self.pool,
            selector=selector,
            finder=ChainFinder(
                selector=selector,
                chooser=ChainChooser(
                    data_centre=self.boot.zone,
                    targets=self.targets,
                    loads=self.loads,
                    random=self.random,
                    is_usable=selector.is_usable,
                    vms=self.control.count_serving_vms,
                    limiter=self.limiter,
                    rooms=ChainRoomEstimator(
                        targets=self.targets,
                        loads=self.loads,
                        random=self.random,
                        arrival_rate=self.measure_arrivals,
                    ),
                    is_suspect=selector.centres.is_suspect,
                    note_choice=lambda choice: self.metrics.chain_choices.inc(
                        {"choice": choice}
                    ),
                ),
                admission=PriorityAdmission(reservations=self.reservations),
            ),
            health=StreamHealthRecorder(
                selector=selector, crashes=self.crashes
            ),
            budget=budget,
            finisher=finisher,
            inspector=StallInspector(
                engine_control=self.engine_control, selector=selector
            ),
            crashes=self.crashes,
            probes=probes,
        )
        return GatewayHandler(
            codec=codec,
            routing=self.routing.current,
            services=services,
            streams=streams,
            random=self.random,
            startup_done=self.startup_done,
            shutdown=lambda: self.shutdown,
            configuration=self.control.configurations,
            ranks_enabled=self.admission.enabled,
            refusal_age_s=self.boot.bounds.config_apply_ms / 1000,
        )

    def measure_arrivals(self, service: str, now: float) -> float:
        """Returns the requests per second that all VMs receive now."""
        vms = self.control.count_serving_vms()
        return self.retry_budget.measure_rate(service, vms=vms, now=now)

    def enable_hedging(self, settings: HedgeSettings) -> None:
        """Lets the forwarders start second attempts of late requests."""
        policy = HedgePolicy(
            hedges=HedgeSystem(settings=settings),
            budget=self.services.budget,
            crashes=self.crashes,
            is_stopping=lambda: self.stopping,
            events=self.metrics.hedges,
        )
        self.services.hedger = ServiceHedger(
            policy=policy, selector=self.selector
        )
        self.streams.hedger = StreamHedger(
            policy=policy, finder=self.streams.finder, pool=self.pool
        )
        log.info(
            "hedging enabled",
            ratio=settings.ratio,
            per_second=settings.per_second,
            percentile=settings.percentile,
        )

    def suspect_attempts_at(self, target_id: str) -> None:
        """Looks for other chains for the streams at an unreachable target."""
        log.info("target unreachable", target=target_id)
        self.streams.suspect_attempts_at(target_id)

    def is_target(self, address: str) -> bool:
        """Returns whether an address belongs to a known target."""
        return any(x.report.address == address for x in self.targets)

    def handle_link_change(self) -> None:
        """Moves open requests off links that were lost.

        What failed just before was blamed on targets.
        """
        super().handle_link_change()
        if not self.links.lost:
            return
        now = asyncio.get_running_loop().time()
        self.selector.forgive(since=now - BLAME_SECONDS, now=now)
        if now - self.pool.received_at >= SILENCE_SECONDS:
            self.streams.suspect_direct_attempts()
            self.services.suspect_direct_attempts()

    def announce_departure(self, report: TargetReport) -> None:
        """Announces the departure that a target stated in an answer."""
        now = asyncio.get_running_loop().time()
        log.info(
            "target departs",
            target=report.target_id,
            incarnation=report.incarnation,
            reason="answer",
        )
        self.control.host.execute(
            self.departures.announce(
                target_id=report.target_id,
                until_incarnation=report.incarnation,
                now=now,
            )
        )

    def suspect(self, target: Target) -> None:
        """Asks the core to inspect a target after a failed request."""
        now = asyncio.get_running_loop().time()
        self.control.host.execute(self.inspections.suspect(target, now))

    async def start(self) -> None:
        """Opens the listeners and starts the periodic tasks."""
        await self.start_control()
        listen = self.boot.listen
        await self.open_tunnel_listener()
        await self.open(listen.ready, self.serve_readiness, RequestLimits())
        self.request_server = await self.open(
            listen.front, self.handler.handle, self.limits
        )
        self.control.start_periodic(STATUS_INTERVAL_SECONDS, self.update_status)
        self.control.start_periodic(
            TARGET_LOG_INTERVAL_SECONDS, self.log_targets
        )
        self.control.start_periodic(CHECK_INTERVAL_SECONDS, self.crashes.check)
        self.control.start_periodic(
            MONITOR_INTERVAL_SECONDS, self.priority_monitor.run
        )

    async def open_tunnel_listener(self) -> None:
        """Opens the listener for VMs that have lost their links.

        Raises:
            RouterError: If the address cannot be used.
        """
        host, port = self.boot.ip, self.boot.tunnel_port
        try:
            await self.tunnel_server.start(host, port)
        except OSError as error:
            raise RouterError(
                step="listen", peer=f"{host}:{port}", message=str(error)
            ) from error

    def update_status(self) -> None:
        """Applies the limits of the manifest and updates the readiness."""
        now = asyncio.get_running_loop().time()
        table = self.routing.current()
        if table is not None:
            self.configured_at = self.configured_at or now
            self.limits.max_head_bytes = table.limits.max_head_bytes
            self.limits.max_body_bytes = table.limits.max_body_bytes
            self.limits.head_timeout_s = table.limits.header_timeout_s
            self.limits.idle_timeout_s = table.limits.idle_timeout_s
        ready = self.is_accepting_requests(now)
        if ready != self.ready:
            log.info(
                "readiness changed", ready=ready, targets=len(self.targets)
            )
        self.ready = ready
        if ready:
            self.startup_done.set()
        self.control.set_status(ready=ready, draining=self.stopping)

    def log_targets(self) -> None:
        """Logs the number of usable targets if it has changed."""
        now = asyncio.get_running_loop().time()
        usable_counts: dict[tuple[str, str], int] = {}
        for target in self.targets:
            key = (target.report.model, target.report.data_centre)
            usable_counts.setdefault(key, 0)
            usable_counts[key] += self.selector.is_usable(target, now)
        if usable_counts == self.usable_counts:
            return
        self.usable_counts = usable_counts
        counts = (f"{a}@{b}:{count}" for (a, b), count in usable_counts.items())
        log.info("usable targets", targets=",".join(sorted(counts)))

    def is_accepting_requests(self, now: float) -> bool:
        """Whether this process accepts client requests.

        Args:
            now: Time of the event loop, in seconds.
        """
        table = self.routing.table
        if self.stopping or table is None:
            return False
        configured_s = now - self.configured_at
        if configured_s >= MAX_TARGETS_WAIT_SECONDS:
            return True
        if not self.bans.synchronised and configured_s < MAX_BANS_WAIT_SECONDS:
            return False
        return all(
            is_served(service, self.targets)
            for service in table.services.values()
        )

    async def serve_readiness(self, exchange: Exchange) -> None:
        """Answers a readiness check of the load balancer."""
        is_ready_path = exchange.request.head.path == READY_PATH
        status = 404 if not is_ready_path else 200 if self.ready else 503
        exchange.send(ResponseHead(status=status))

    async def stop(self, *, signalled_at: float) -> None:
        """Leaves the load balancer's rotation, then drains open requests.

        Args:
            signalled_at: Time of the signal, on the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        self.shutdown = schedule = self.plan_shutdown(signalled_at)
        self.stopping = True
        self.ready = False
        self.request_server.start_draining()
        self.tunnel_server.start_draining()
        self.control.set_status(ready=False, draining=True)
        log.info("planned stop", open_requests=self.request_server.busy)
        await asyncio.sleep(schedule.accept_until - loop.time())
        await self.request_server.read_arrived()
        self.request_server.stop_accepting()
        await self.request_server.wait_until_empty(schedule.leave_at)
        leaving = loop.create_task(self.leave(schedule))
        await self.request_server.wait_until_empty(schedule.answer_until)
        await self.tunnel_server.wait_until_empty(schedule.answer_until)
        log.info("requests ended", open_requests=self.request_server.busy)
        self.request_server.end_requests()
        await self.request_server.wait_until_empty(schedule.flush_until)
        self.tunnel_server.close()
        await self.close(leaving)
        # The rest of the time is for readers that are slow.
        await self.request_server.wait_until_empty(schedule.end_by)
