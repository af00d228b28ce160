"""The program that keeps the configuration."""

import pathlib

from rattanroute.control.crash_ban_stores import CrashBanStore
from rattanroute.control.leader_leases import LeaderLease
from rattanroute.control.voters import build_voter
from rattanroute.gateway.inspectors import TargetInspector
from rattanroute.gateway.layer_orders import LayerOrderer
from rattanroute.http1.parsers import RequestLimits
from rattanroute.logs import get_logger
from rattanroute.platform.control import ControlHandler
from rattanroute.platform.daemons import BaseDaemon
from rattanroute.platform.settings import Boot
from rattanroute.storage.records import SystemFileAccess
from rattanroute.systems.engineloads import EngineLoadSystem

PLAN_SECONDS = 0.5
INSPECT_SECONDS = 0.1
CONTROL_BODY_BYTES = 16_777_216

log = get_logger(__name__)


class CoreDaemon(BaseDaemon):
    """Keeps the configuration and takes the reports of replicas.

    Args:
        path: The settings file.
        boot: Its content.
    """

    def __init__(self, *, path: pathlib.Path, boot: Boot) -> None:
        super().__init__(path=path, boot=boot, build_voter=build_voter)
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
            execute=self.control.host.execute,
            stall_s=boot.bounds.stall_ms / 1000,
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
            on_leaving=lambda report: self.handler.depart(
                report.target_id, report.incarnation, "answer"
            ),
        )
        self.pool.on_idle_closed = self.inspector.note_closed_connection

    async def start(self) -> None:
        """Opens the listeners and starts the work."""
        await self.start_control()
        limits = RequestLimits(max_body_bytes=CONTROL_BODY_BYTES)
        self.front = await self.open(
            self.boot.listen.control, self.handler.handle, limits
        )
        self.control.start_periodic(PLAN_SECONDS, self.orderer.run)
        self.control.start_periodic(INSPECT_SECONDS, self.inspector.run)
        self.control.set_status(ready=True, draining=False)

    async def stop(self) -> None:
        """Stops as planned: hands leadership over and ends its requests."""
        self.stopping = True
        log.info("planned stop", open_requests=self.front.busy)
        self.control.set_status(ready=False, draining=True)
        self.front.start_draining()
        self.front.stop_accepting()
        await self.close()
        await self.ban_store.close()
