"""The program that takes requests."""

import asyncio
import contextlib
import pathlib
import time

from rattanroute.gateway.crash_detectors import CHECK_INTERVAL_SECONDS
from rattanroute.gateway.crash_detectors import CrashDetector
from rattanroute.gateway.handlers import GatewayHandler
from rattanroute.gateway.outcomes import CallFinisher
from rattanroute.gateway.send_budgets import SendBudget
from rattanroute.gateway.service_forwarders import ServiceForwarder
from rattanroute.gateway.stall_inspectors import StallInspector
from rattanroute.gateway.stream_forwarders import StreamForwarder
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.servers import Exchange
from rattanroute.logs import get_logger
from rattanroute.platform.daemons import BaseDaemon
from rattanroute.platform.headers import PlatformHeaders
from rattanroute.platform.settings import Boot
from rattanroute.systems.chain_choices import ChainChooser
from rattanroute.systems.chain_choices import is_served
from rattanroute.systems.engineloads import EngineLoadSystem
from rattanroute.systems.outlier_detections import OutlierDetectionSystem
from rattanroute.systems.retry_budgets import COUNTS_EXPIRY_SECONDS
from rattanroute.systems.retry_budgets import RetryBudget
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetReport

READY_PATH = b"/rattanroute/ready"
# Two misses of the entry's question each second, and a margin for the
# connections that are on their way.
LEAVE_ROTATION_SECONDS = 2.5
# Time before SIGKILL at which a stopping process ends what is left.
EXIT_MARGIN_SECONDS = 0.6
STATUS_SECONDS = 0.1
# Looking at all targets takes time that grows with their number.
TARGET_LOG_SECONDS = 1.0
# A front that has a manifest takes callers after this time even when it has
# not heard of a target of each service.
TARGETS_WAIT_SECONDS = 3.0

log = get_logger(__name__)


class FrontDaemon(BaseDaemon):
    """Serves requesters.

    Args:
        path: The settings file.
        boot: Its content.
    """

    def __init__(self, *, path: pathlib.Path, boot: Boot) -> None:
        super().__init__(path=path, boot=boot)
        self.loads = EngineLoadTable()
        bounds = boot.bounds
        self.retry_budget = RetryBudget(
            ratio=bounds.retry_budget_ratio,
            extra=bounds.budget_extra,
            window_s=bounds.budget_window_s,
            random=self.random,
            blocked_until=time.monotonic() + COUNTS_EXPIRY_SECONDS,
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
            )
        )
        self.limits = RequestLimits()
        self.configured_at: float | None = None
        self.ready = False
        self.startup_done = asyncio.Event()
        self.usable: dict[tuple[str, str], int] = {}
        self.handler = self.build_handler()
        self.inspections.on_unreachable = self.end_attempts_at

    def build_handler(self) -> GatewayHandler:
        """Builds the path of a request."""
        codec = PlatformHeaders()
        self.selector = selector = TargetSelector(
            data_centre=self.boot.zone,
            targets=self.targets,
            detections=OutlierDetectionSystem(targets=self.targets),
            has_departed=self.departures.covers,
            suspect=self.suspect,
            announce_departure=self.announce_departure,
            random=self.random,
        )
        budget = SendBudget(
            retry_budget=self.retry_budget, vms=self.control.count_serving_vms
        )
        finisher = CallFinisher(codec=codec, random=self.random)
        self.crashes = CrashDetector(
            pool=self.pool,
            targets=self.targets,
            bans=self.bans,
            lost_attempts=self.metrics.lost_attempts,
        )
        services = ServiceForwarder(
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
            chooser=ChainChooser(
                data_centre=self.boot.zone,
                targets=self.targets,
                loads=self.loads,
                random=self.random,
                is_usable=selector.is_usable,
                vms=self.control.count_serving_vms,
            ),
            budget=budget,
            finisher=finisher,
            inspector=StallInspector(
                engine_control=self.engine_control, selector=selector
            ),
            crashes=self.crashes,
        )
        return GatewayHandler(
            codec=codec,
            routing=self.routing.current,
            services=services,
            streams=streams,
            random=self.random,
            startup_done=self.startup_done,
        )

    def end_attempts_at(self, target_id: str) -> None:
        """Moves streams away from a target that is gone."""
        log.info("target gone", target=target_id)
        self.streams.end_attempts_at(target_id)

    def announce_departure(self, report: TargetReport) -> None:
        """Keeps new work from a target that said in an answer it leaves."""
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
        """Asks the core to look at a target that failed a request."""
        now = asyncio.get_running_loop().time()
        self.control.host.execute(self.inspections.suspect(target, now))

    async def start(self) -> None:
        """Opens the listeners and starts the work."""
        await self.start_control()
        listen = self.boot.listen
        await self.open(listen.ready, self.show_ready, RequestLimits())
        self.front = await self.open(
            listen.front, self.handler.handle, self.limits
        )
        self.control.start_periodic(STATUS_SECONDS, self.update_status)
        self.control.start_periodic(TARGET_LOG_SECONDS, self.log_targets)
        self.control.start_periodic(CHECK_INTERVAL_SECONDS, self.crashes.check)

    def update_status(self) -> None:
        """Follows the manifest and tells the others whether it is ready."""
        now = asyncio.get_running_loop().time()
        table = self.routing.current()
        if table is not None:
            self.configured_at = self.configured_at or now
            self.limits.max_head_bytes = table.limits.max_head_bytes
            self.limits.max_body_bytes = table.limits.max_body_bytes
            self.limits.head_timeout_s = table.limits.header_timeout_s
            self.limits.idle_timeout_s = table.limits.idle_timeout_s
        ready = self.find_ready(now)
        if ready != self.ready:
            log.info(
                "readiness changed", ready=ready, targets=len(self.targets)
            )
        self.ready = ready
        if ready:
            self.startup_done.set()
        self.control.set_status(ready=ready, draining=self.stopping)

    def log_targets(self) -> None:
        """Logs how many targets may get work, when that has changed."""
        now = asyncio.get_running_loop().time()
        usable: dict[tuple[str, str], int] = {}
        for target in self.targets:
            key = (target.report.model, target.report.data_centre)
            usable.setdefault(key, 0)
            usable[key] += self.selector.is_usable(target, now)
        if usable == self.usable:
            return
        self.usable = usable
        counts = (f"{a}@{b}:{count}" for (a, b), count in usable.items())
        log.info("usable targets", targets=",".join(sorted(counts)))

    def find_ready(self, now: float) -> bool:
        """Whether this process takes requesters."""
        table = self.routing.table
        if self.stopping or table is None:
            return False
        if now - self.configured_at >= TARGETS_WAIT_SECONDS:
            return True
        return all(
            is_served(service, self.targets)
            for service in table.services.values()
        )

    async def show_ready(self, exchange: Exchange) -> None:
        """Answers whether this process takes requesters."""
        known = exchange.request.head.path == READY_PATH
        status = 404 if not known else 200 if self.ready else 503
        exchange.send(ResponseHead(status=status))

    async def stop(self) -> None:
        """Stops as planned: leaves the rotation, then ends its requests."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.boot.bounds.grace_s - EXIT_MARGIN_SECONDS
        self.stopping = True
        self.ready = False
        self.front.start_draining()
        self.control.set_status(ready=False, draining=True)
        log.info("planned stop", open_requests=self.front.busy)
        await asyncio.sleep(LEAVE_ROTATION_SECONDS)
        self.front.stop_accepting()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(end):
                await self.front.empty.wait()
        log.info("requests ended", open_requests=self.front.busy)
        await self.close()
