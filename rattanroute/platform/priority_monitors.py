"""Shows to operators when capacity is reserved for urgent requests."""

import asyncio
import dataclasses

from rattanroute.logs import get_logger
from rattanroute.metrics import MetricsRegistry
from rattanroute.systems.priority_reservations import PriorityReservations

# A reservation declines within half a second, so that few are missed.
MONITOR_INTERVAL_SECONDS = 0.25

log = get_logger(__name__)

RankKey = tuple[str, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class PriorityMonitor:
    """Logs the begin and end of reservations and updates their metrics.

    Attributes:
        reservations: Reservations of this VM.
        metrics: Metrics of the program.
        reserved_since: Time at which each reservation began, in seconds.
        shown: Labels of the gauges that are not 0.
    """

    reservations: PriorityReservations
    metrics: MetricsRegistry
    reserved_since: dict[RankKey, float] = dataclasses.field(
        default_factory=dict
    )
    shown: set[RankKey] = dataclasses.field(default_factory=set)

    def run(self) -> None:
        """Updates the metrics and logs what has changed."""
        now = asyncio.get_running_loop().time()
        fractions = self.reservations.refresh(now)
        waiting = self.count_waiting(now)
        self.log_changes(fractions, waiting, now)
        self.update_gauges(fractions, waiting)

    def count_waiting(self, now: float) -> dict[RankKey, int]:
        """Returns the waiting requests of all VMs by service and rank."""
        queues = self.reservations.queues
        return {
            (service, rank): counts.waiting
            for service in queues.list_services()
            for rank, counts in queues.sum_ranks(service, now).items()
        }

    def log_changes(
        self,
        fractions: dict[RankKey, float],
        waiting: dict[RankKey, int],
        now: float,
    ) -> None:
        """Logs the reservations that have begun or ended."""
        active = {key for key, fraction in fractions.items() if fraction}
        for key in sorted(active - self.reserved_since.keys()):
            self.reserved_since[key] = now
            service, rank = key
            log.info(
                "reservation began",
                service=service,
                priority=rank,
                fraction=round(fractions[key], 3),
                urgent_waiting=sum(
                    count
                    for (name, other), count in waiting.items()
                    if name == service and other < rank
                ),
            )
        for key in sorted(self.reserved_since.keys() - active):
            seconds = now - self.reserved_since.pop(key)
            service, rank = key
            log.info(
                "reservation ended",
                service=service,
                priority=rank,
                seconds=round(seconds, 2),
            )

    def update_gauges(
        self, fractions: dict[RankKey, float], waiting: dict[RankKey, int]
    ) -> None:
        """Sets the gauges; those of ranks without requests become 0."""
        known = fractions.keys() | waiting.keys()
        for key in known | self.shown:
            labels = {"service": key[0], "priority": str(key[1])}
            self.metrics.reserved_fraction.set(labels, fractions.get(key, 0.0))
            self.metrics.queued_requests.set(labels, waiting.get(key, 0))
        self.shown = set(known)
