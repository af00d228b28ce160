"""Host of the request core: builds its systems and executes its actions."""

from collections.abc import Callable
import math
import random as randoms
import time

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.control.placement_hosts import DemandMeter
from rattanroute.events import Event
from rattanroute.events import RequestArrived
from rattanroute.requests.core_systems import CoreSettings
from rattanroute.requests.cores import RequestCore
from rattanroute.requests.sessions import SessionRegistry
from rattanroute.settings import DaemonSettings
from rattanroute.settings import HedgingSettings
from rattanroute.systems.crash_bans import CrashBanSystem
from rattanroute.systems.hedges import HedgeSettings
from rattanroute.systems.memberships import MembershipSystem
from rattanroute.systems.pipelines import PipelinePlanner
from rattanroute.systems.quarantines import QuarantineSystem
from rattanroute.systems.shares import ShareSystem
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.links import LinkTable
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.requests import RequestTable
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable


class LiveMembers:
    """Lists the live VMs for the subsystems of the request core.

    Args:
        vm_id: Identifier of this VM.
        membership: The membership system.
    """

    def __init__(self, *, vm_id: str, membership: MembershipSystem) -> None:
        self.vm_id = vm_id
        self.membership = membership

    def live(self) -> dict[str, str]:
        """Returns the data centre of each live VM."""
        return {
            member.vm_id: member.data_centre
            for member in self.membership.alive()
        }

    def others(self) -> list[str]:
        """Returns the identifiers of the other live VMs."""
        return [
            member.vm_id
            for member in self.membership.alive()
            if member.vm_id != self.vm_id
        ]


class RequestRouter:
    """Passes events to the core and executes its actions.

    Messages go to peers and all other actions to the request sessions.

    Args:
        settings: Settings of the daemon.
        membership: The known VMs.
        targets: The known targets.
        configuration: Returns the configuration in force.
        send: Sends a message to a peer.
        random: Random number generator.
    """

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        membership: MembershipSystem,
        targets: TargetTable,
        configuration: Callable[[], Configuration],
        send: Callable[[str, object], bool],
        random: randoms.Random,
    ) -> None:
        self.send = send
        self.sessions = SessionRegistry()
        view = LiveMembers(vm_id=settings.vm_id, membership=membership)
        timeout_s = settings.targets.heartbeat_timeout_s
        self.shares = ShareSystem(
            vm_id=settings.vm_id,
            data_centre=settings.data_centre,
            peers=view,
            targets=targets,
            configuration=configuration,
            heartbeat_timeout_s=timeout_s,
        )
        self.quarantines = QuarantineSystem(
            vm_id=settings.vm_id, peers=view.others, random=random
        )
        self.bans = CrashBanSystem(
            vm_id=settings.vm_id,
            voter=settings.storage.voter,
            members=membership.alive,
        )
        self.had_lease = False
        self.demand = DemandMeter(members=membership.alive)
        self.links = LinkTable()
        self.data_centre = settings.data_centre
        self.targets = targets
        self.configuration = configuration
        planner = PipelinePlanner(
            data_centre=settings.data_centre,
            links=self.links,
            eligible=self.is_eligible,
            rng=random,
        )
        self.core = RequestCore(
            vm_id=settings.vm_id,
            data_centre=settings.data_centre,
            targets=targets,
            requests=RequestTable(),
            configuration=configuration,
            settings=CoreSettings(
                max_queued=settings.limits.max_queued,
                max_wait_s=settings.limits.max_queue_wait_s,
                heartbeat_timeout_s=timeout_s,
                hedging=settings.hedging.ratio > 0,
                hedges=build_hedge_settings(settings.hedging),
            ),
            random=random,
            planner=planner,
            gate=self.shares,
            quarantines=self.quarantines,
            bans=self.bans,
        )

    def is_eligible(self, row: Target, now: float) -> bool:
        """Returns whether a target may get a stage of a pipeline."""
        drained = self.configuration().drained_targets
        return self.core.routing.is_open(row, drained, now)

    def is_accepting_work(self, row: Target, now: float) -> bool:
        """Returns whether a target is healthy and not leaving."""
        drained = self.configuration().drained_targets
        return self.core.routing.target_filter.accepts_work(row, drained, now)

    def update_delays(self, delays: dict[str, float]) -> None:
        """Records one-way delays to other data centres, in seconds."""
        for data_centre, delay_s in delays.items():
            self.links.record(
                source=self.data_centre,
                destination=data_centre,
                delay_s=delay_s,
            )
        for row in self.targets:
            link = self.links.get(self.data_centre, row.report.data_centre)
            row.link_seconds = link.delay_s

    def handle(self, event: Event) -> None:
        """Passes an event to the core and executes its actions."""
        if isinstance(event, RequestArrived):
            self.record_demand(event.request)
        self.execute(self.core.handle(event, now=time.monotonic()))

    def record_demand(self, request: Request) -> None:
        """Adds a chat request to the demand reported to placement."""
        if request.kind is RequestKind.CHAT:
            expected = self.core.routing.expected_tokens(request)
            self.demand.add_tokens(request, request.tokens_in + expected)

    def tick(self) -> None:
        """Runs the periodic work of the request core."""
        self.had_lease = self.had_lease or bool(self.shares.lease_number)
        self.execute(self.core.tick(now=time.monotonic()))

    def execute(self, actions: list[Action]) -> None:
        """Executes actions of the core."""
        for action in actions:
            if isinstance(action, SendMessage):
                self.send(action.peer, action.message)
            else:
                self.sessions.deliver(action)


def build_hedge_settings(settings: HedgingSettings) -> HedgeSettings:
    """Returns the limits of hedges from the settings of the daemon."""
    per_second = settings.per_second
    return HedgeSettings(
        ratio=settings.ratio,
        per_second=math.inf if per_second is None else per_second,
        percentile=settings.percentile,
    )
