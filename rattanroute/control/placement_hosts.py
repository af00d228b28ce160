"""Runs placement: measures demand and sends orders to targets."""

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
from rattanroute.control.leader_leases import LeaderLease
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

REPORT_INTERVAL_SECONDS = 4.0
# Weight of the latest interval in the moving average of the demand.
SMOOTHING_WEIGHT = 0.5
# Demand below this rate is not reported.
MIN_TOKENS_PER_SECOND = 0.01

log = get_logger(__name__)


class VoterView(Protocol):
    """Fields of a live VM that the demand meter reads."""

    vm_id: str
    voter: bool


class DemandMeter:
    """Measures the rate of tokens that this VM's requests need.

    It reports the rates to the placement systems of the voters and receives no
    messages itself.

    Args:
        members: Returns the live VMs.
    """

    message_types: tuple[type, ...] = ()

    def __init__(self, *, members: Callable[[], Iterable[VoterView]]) -> None:
        self.members = members
        self.tokens: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.rates: dict[tuple[str, str, str], float] = {}
        self.next_report_at = 0.0

    def add_tokens(self, request: Request, tokens: float) -> None:
        """Adds the tokens of a request that has arrived."""
        key = (request.model, request.version, request.adapter)
        self.tokens[key] += tokens

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Does nothing; the demand meter receives no messages."""
        return []

    def tick(self, *, now: float) -> list[Action]:
        """Sends a report to the voters when it is due."""
        if now < self.next_report_at:
            return []
        self.next_report_at = now + REPORT_INTERVAL_SECONDS
        self.update_rates()
        if not self.rates:
            return []
        demands = tuple(
            Demand(
                model=model,
                version=version,
                adapter=adapter,
                tokens_per_second=rate,
            )
            for (model, version, adapter), rate in self.rates.items()
        )
        message = DemandReport(demands=demands)
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.voter
        ]

    def update_rates(self) -> None:
        """Updates the moving averages with the latest interval."""
        for key in {*self.rates, *self.tokens}:
            latest = self.tokens[key] / REPORT_INTERVAL_SECONDS
            previous = self.rates.get(key, latest)
            rate = previous + SMOOTHING_WEIGHT * (latest - previous)
            if rate < MIN_TOKENS_PER_SECOND:
                self.rates.pop(key, None)
            else:
                self.rates[key] = rate
        self.tokens.clear()


class PlacementHost:
    """Sends placement orders to targets while this voter leads the log.

    Args:
        consensus: The consensus host of this voter.
        targets: The known targets.
        configuration: Returns the configuration in force.
        eligible: Returns whether a target is healthy and not leaving.
        settings: Time that a need must persist, and pause between orders.
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
        """Creates the order client with an HTTP session."""
        self.client = OrderClient(session=session, lease=self.lease)

    def try_execute(self, action: Action) -> bool:
        """Starts to send an order; returns False for other actions."""
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
