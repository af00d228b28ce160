"""The `core` program: a voter that also handles control requests."""

import pathlib

from rattanroute.control.crash_ban_stores import CrashBanStore
from rattanroute.control.departure_confirmations import DepartureConfirmations
from rattanroute.control.leader_leases import LeaderLease
from rattanroute.control.voters import build_voter
from rattanroute.gateway.inspectors import TargetInspector
from rattanroute.gateway.layer_orders import LayerOrderer
from rattanroute.http1.parsers import RequestLimits
from rattanroute.logs import get_logger
from rattanroute.platform.client_limits import ClientLimitOptions
from rattanroute.platform.client_limits import DEFAULT_CLIENT_LIMITS
from rattanroute.platform.control_handlers import ControlHandler
from rattanroute.platform.daemons import BaseDaemon
from rattanroute.platform.settings import BootSettings
from rattanroute.storage.records import SystemFileAccess
from rattanroute.systems.engine_loads import EngineLoadSystem

LAYER_ORDER_INTERVAL_SECONDS = 0.5
INSPECTION_INTERVAL_SECONDS = 0.1
MAX_CONTROL_BODY_BYTES = 16_777_216

log = get_logger(__name__)


class CoreDaemon(BaseDaemon):
    """Stores the configuration, handles reports and orders layers.

    Args:
        path: Path of the settings file.
        boot: Content of the settings file.
        client_limits: Limits of clients from the command line.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        boot: BootSettings,
        client_limits: ClientLimitOptions = DEFAULT_CLIENT_LIMITS,
    ) -> None:
        super().__init__(
            path=path,
            boot=boot,
            client_limits=client_limits,
            build_voter=build_voter,
        )
        self.control.add(
            EngineLoadSystem(
                vm_id=self.vm_id,
                data_centre=boot.zone,
                members=self.control.membership.alive,
                window_s=boot.bounds.budget_window_s,
            )
        )
        self.ban_store = CrashBanStore(
            folder=self.control.settings.storage.folder,
            bans=self.bans,
            files=SystemFileAccess(),
        )
        self.handler = ControlHandler(
            vm_id=self.vm_id,
            zones=frozenset(boot.zones),
            configurations=self.control.configurations,
            routing=self.routing.current,
            reports=self.reports,
            departures=self.departures,
            confirmations=DepartureConfirmations(departures=self.departures),
            execute=self.control.host.execute,
            manifests=self.manifests,
        )
        self.orderer = LayerOrderer(
            lease=LeaderLease(consensus=self.control.configurations.consensus),
            targets=self.targets,
            routing=self.routing.current,
            engine_control=self.engine_control,
            has_left=lambda row: (
                row.report.leaving or self.departures.covers(row.report)
            ),
        )

        self.inspector = TargetInspector(
            system=self.inspections,
            engine_control=self.engine_control,
            execute=self.control.host.execute,
            on_leaving=lambda report: self.handler.announce_departure(
                report.target_id, report.incarnation, "answer"
            ),
        )
        self.pool.on_idle_closed = self.inspector.note_closed_connection

    async def start(self) -> None:
        """Opens the listeners and starts the periodic tasks."""
        await self.start_control()
        limits = RequestLimits(max_body_bytes=MAX_CONTROL_BODY_BYTES)
        self.request_server = await self.open(
            self.boot.listen.control, self.handler.handle, limits
        )
        self.control.start_periodic(
            LAYER_ORDER_INTERVAL_SECONDS, self.orderer.run
        )
        self.control.start_periodic(
            INSPECTION_INTERVAL_SECONDS, self.inspector.run
        )
        self.control.set_status(ready=True, draining=False)

    async def stop(self, *, signalled_at: float) -> None:
        """Drains open requests, hands leadership over and closes everything.

        Args:
            signalled_at: Time of the signal, on the event loop's clock.
        """
        schedule = self.plan_shutdown(signalled_at)
        self.stopping = True
        log.info("planned stop", open_requests=self.request_server.busy)
        self.control.set_status(ready=False, draining=True)
        self.request_server.start_draining()
        # An operator sends a change again without an answer, but only a change
        # that is committed before the hand-over certainly gets one.
        await self.request_server.read_arrived()
        self.request_server.stop_accepting()
        await self.request_server.wait_until_empty(schedule.control_until)
        log.info("requests ended", open_requests=self.request_server.busy)
        self.request_server.end_requests()
        await self.close(self.leave(schedule))
        await self.ban_store.close()
