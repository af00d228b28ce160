"""Settings of the request core, and the systems that it combines."""

from collections.abc import Callable
import dataclasses
import math
import random as randoms

from rattanroute.systems.admissions import AdmissionSystem
from rattanroute.systems.admissions import ShareLimiter
from rattanroute.systems.admissions import UnlimitedShares
from rattanroute.systems.attempts import AttemptSystem
from rattanroute.systems.crash_bans import CrashBanSystem
from rattanroute.systems.expirations import ExpirationSystem
from rattanroute.systems.hedges import HEDGE_BURST
from rattanroute.systems.hedges import HedgeSettings
from rattanroute.systems.hedges import HedgeSystem
from rattanroute.systems.outlier_detections import OutlierDetectionSystem
from rattanroute.systems.quarantines import QuarantineSystem
from rattanroute.systems.retries import RetrySystem
from rattanroute.systems.routing import RoutingSystem
from rattanroute.systems.selections import ChainPlanner
from rattanroute.systems.selections import SelectionSystem
from rattanroute.systems.target_filters import TargetFilter
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.requests import RequestTable
from rattanroute.tables.targets import TargetTable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CoreSettings:
    """Settings of the request core.

    Attributes:
        max_queued: Requests that may wait for a slot.
        max_wait_s: Longest expected wait, in seconds; a request that would
            wait longer is refused.
        heartbeat_timeout_s: Age of a report, in seconds, after which its
            target gets no new work.
        max_attempts: Largest number of attempts of one request.
        hedging: Whether a late request without streaming is also sent to a
            second target. The host must then be able to run two attempts of
            a request concurrently.
        hedges: Limits of these hedges.
    """

    max_queued: int = 1000
    max_wait_s: float = math.inf
    heartbeat_timeout_s: float = 2.5
    max_attempts: int = 4
    hedging: bool = False
    hedges: HedgeSettings = dataclasses.field(default_factory=HedgeSettings)


@dataclasses.dataclass(kw_only=True, slots=True)
class CoreSystems:
    """Builds the systems of the request path from the shared tables.

    Attributes:
        vm_id: Identifier of this VM.
        data_centre: Data centre of this VM.
        targets: All known targets; the core counts its attempts in them.
        requests: Requests that have not ended.
        configuration: Returns the current configuration.
        settings: Settings of the core.
        random: Random number generator for all decisions.
        planner: Plans chains for models that are split over targets.
        gate: Limits each neighbour to its share of the accelerators.
        quarantines: Suspects and bans requests that crash targets.
        bans: Bans parts of prompts that crash targets.
    """

    vm_id: str
    data_centre: str
    targets: TargetTable
    requests: RequestTable
    configuration: Callable[[], Configuration]
    settings: CoreSettings
    random: randoms.Random
    planner: ChainPlanner | None = None
    gate: ShareLimiter = dataclasses.field(default_factory=UnlimitedShares)
    quarantines: QuarantineSystem | None = None
    bans: CrashBanSystem | None = None
    routing: RoutingSystem = dataclasses.field(init=False)
    admissions: AdmissionSystem = dataclasses.field(init=False)
    detections: OutlierDetectionSystem = dataclasses.field(init=False)
    retries: RetrySystem = dataclasses.field(init=False)
    hedges: HedgeSystem = dataclasses.field(init=False)
    attempts: AttemptSystem = dataclasses.field(init=False)
    selections: SelectionSystem = dataclasses.field(init=False)
    expirations: ExpirationSystem = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        if self.quarantines is None:
            self.quarantines = QuarantineSystem(
                vm_id=self.vm_id, peers=tuple, random=self.random
            )
        if self.bans is None:
            self.bans = CrashBanSystem(
                vm_id=self.vm_id, voter=False, members=tuple
            )
        self.routing = RoutingSystem(
            data_centre=self.data_centre,
            targets=self.targets,
            configuration=self.configuration,
            target_filter=TargetFilter(
                heartbeat_timeout_s=self.settings.heartbeat_timeout_s
            ),
            random=self.random,
        )
        self.admissions = AdmissionSystem(
            max_queued=self.settings.max_queued,
            max_wait_s=self.settings.max_wait_s,
            gate=self.gate,
        )
        self.detections = OutlierDetectionSystem(targets=self.targets)
        self.retries = RetrySystem(
            random=self.random, max_attempts=self.settings.max_attempts
        )
        self.hedges = HedgeSystem(settings=self.settings.hedges)
        # The daemon may hedge from its start on.
        self.hedges.budget.tokens = HEDGE_BURST
        self.attempts = AttemptSystem(
            targets=self.targets,
            gate=self.gate,
            admissions=self.admissions,
            detections=self.detections,
            quarantines=self.quarantines,
            routing=self.routing,
            hedges=self.hedges,
            hedging=self.settings.hedging,
        )
        self.selections = SelectionSystem(
            targets=self.targets,
            routing=self.routing,
            quarantines=self.quarantines,
            planner=self.planner,
            random=self.random,
        )
        self.expirations = ExpirationSystem(
            requests=self.requests,
            admissions=self.admissions,
            selections=self.selections,
        )
