"""Host of placement: measures demand and sends orders to targets."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

import aiohttp

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.clients.orders import OrderClient
from rattanroute.consensus.hosts import ConsensusHost
from rattanroute.control.leases import LeaderLease
from rattanroute.logs import get_logger
from rattanroute.messages.orders import Demand
from rattanroute.messages.orders import DemandReport
from rattanroute.settings import PlacementSettings
from rattanroute.systems.placements import PlacementSystem
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.placements import Order
from rattanroute.tables.placements import SendOrder
from rattanroute.tables.requests import Request
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable

REPORT_SECONDS = 4.0
# Weight of the latest interval in the reported mean.
SMOOTHING = 0.5
# Demand below this is no longer reported.
MIN_TOKENS_PER_SECOND = 0.01

log = get_logger(__name__)


class VoterView(Protocol):
    """What the demand meter reads of a live VM."""

    vm_id: str
    voter: bool


class DemandMeter:
    """Measures the tokens that this VM's requests ask for.

    A subsystem without messages of its own to receive: the placement system
    of the voters takes its reports.

    Args:
        members: Returns the live VMs.
    """

    message_types: tuple[type, ...] = ()

    def __init__(self, *, members: Callable[[], Iterable[VoterView]]) -> None:
        self.members = members
        self.tokens: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.means: dict[tuple[str, str, str], float] = {}
        self.due = 0.0

    def note(self, request: Request, tokens: float) -> None:
        """Adds the tokens of a request that arrived."""
        key = (request.model, request.version, request.adapter)
        self.tokens[key] += tokens

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Takes no message."""
        return []

    def tick(self, *, now: float) -> list[Action]:
        """Sends a report to the voters when it is due."""
        if now < self.due:
            return []
        self.due = now + REPORT_SECONDS
        self.update_means()
        if not self.means:
            return []
        demands = tuple(
            Demand(
                model=model,
                version=version,
                adapter=adapter,
                tokens_per_second=rate,
            )
            for (model, version, adapter), rate in self.means.items()
        )
        message = DemandReport(demands=demands)
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.voter
        ]

    def update_means(self) -> None:
        """Takes the latest interval into the means."""
        for key in {*self.means, *self.tokens}:
            latest = self.tokens[key] / REPORT_SECONDS
            known = self.means.get(key, latest)
            mean = known + SMOOTHING * (latest - known)
            if mean < MIN_TOKENS_PER_SECOND:
                self.means.pop(key, None)
            else:
                self.means[key] = mean
        self.tokens.clear()


class PlacementHost:
    """Gives orders to targets while this voter leads the log.

    Args:
        consensus: The consensus host of this voter.
        targets: The known targets.
        configuration: Returns the configuration in force.
        eligible: Returns whether a target is healthy and stays.
        settings: How long needs and orders last.
    """

    def __init__(
        self,
        *,
        consensus: ConsensusHost,
        targets: TargetTable,
        configuration: Callable[[], Configuration],
        eligible: Callable[[Target, float], bool],
        settings: PlacementSettings,
    ) -> None:
        self.lease = LeaderLease(consensus=consensus)
        self.system = PlacementSystem(
            lease=self.lease,
            targets=targets,
            configuration=configuration,
            eligible=eligible,
            hold_seconds=settings.hold_s,
            cooldown_seconds=settings.cooldown_s,
        )
        self.client: OrderClient | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, session: aiohttp.ClientSession) -> None:
        """Takes the session over which orders are sent."""
        self.client = OrderClient(session=session, lease=self.lease)

    def take(self, action: Action) -> bool:
        """Takes an order to send; returns False for other actions."""
        if not isinstance(action, SendOrder):
            return False
        task = asyncio.create_task(self.send(action.order))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return True

    async def send(self, order: Order) -> None:
        """Sends an order and logs its outcome."""
        outcome = await self.client.send(order)
        log.info(
            "order sent" if outcome.accepted else "order not accepted",
            peer=order.target_id,
            kind=order.kind.value,
            model=order.model,
            version=order.version,
            fencing_token=order.fencing_token,
            reason=outcome.reason,
        )
