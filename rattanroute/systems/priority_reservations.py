"""Reserves capacity of engines for requests that are more urgent.

While requests of a rank wait or are refused at any VM, a fraction of the
memory and slots of each engine is kept free of less urgent requests (trunk
reservation). All VMs compute the fraction from almost the same sums, so that
capacity that becomes free goes to the most urgent requests of the system and
not to those whose VM notices it first.

Each rank keeps a minimum share of the capacity that is granted: a VM may
start some of its requests regardless of the reservation. The shares of all
VMs follow from the sums too, so that nothing else must be exchanged.
"""

import dataclasses
import random as randoms

from rattanroute.tables.service_queues import QueueCounts
from rattanroute.tables.service_queues import ServiceQueueTable

# Fraction that is reserved as soon as more urgent requests lack capacity. It
# must exceed what one request takes of an engine, or a less urgent request
# takes the room of the first one that ends. In simulated surges, 0.1 let the
# most urgent rank fall behind, and 0.2 cost rank 1 more.
FIRST_FRACTION = 0.15
# Growth while more urgent requests wait, per second.
RISE_PER_SECOND = 0.2
# Decline while none do, per second; from the maximum to 0 in a third of a
# second, as refusals count for one second.
FALL_PER_SECOND = 0.6
# Leaves most of the capacity to less urgent requests where the sums are wrong,
# or where an urgent request is too large for any engine. More is not needed:
# on engines with a higher load, each fraction keeps them out.
MAX_FRACTION = 0.2
# Interval of the computation for one rank. Waiting requests look for capacity
# at this interval.
UPDATE_INTERVAL_SECONDS = 0.02
# Time that a computation accounts for at most. A rank without requests for
# longer is computed when its next request arrives.
MAX_STEP_SECONDS = 0.1
# Default fraction of the granted capacity that each rank may use.
MINIMUM_SHARE = 0.1
# A rank without requests for this long is forgotten.
IDLE_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionSettings:
    """Settings of the admission by priority.

    Attributes:
        enabled: Whether ranks count beyond the queue of one VM.
        minimum_share: Fraction of the granted capacity that each rank may use
            regardless of reservations.
    """

    enabled: bool = True
    minimum_share: float = MINIMUM_SHARE


DEFAULT_ADMISSION = AdmissionSettings()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """What a request must leave free of each engine.

    Attributes:
        fraction: Reserved fraction of its memory and slots.
    """

    fraction: float = 0.0

    def limit_room(self, room: float) -> float:
        """Returns the part of an engine's memory that is not reserved."""
        return room * (1.0 - self.fraction)

    def limit_slots(self, slots: int) -> int:
        """Returns the slots that are not reserved; at least one."""
        if not self.fraction:
            return slots
        return max(1, int(slots * (1.0 - self.fraction)))


NOTHING_RESERVED = Reservation()


@dataclasses.dataclass(kw_only=True, slots=True)
class RankState:
    """Reservation against one rank of a service, and the rank's share.

    Attributes:
        asked_at: Time at which a request of the rank last needed it.
        updated_at: Time of the last computation, in seconds.
        reservation: What requests of the rank must leave free.
        allowance: Requests that this VM may start regardless of it. The first
            value is random, so that the VMs do not start theirs together.
    """

    asked_at: float
    updated_at: float = float("-inf")
    reservation: Reservation = NOTHING_RESERVED
    allowance: float = 0.0

    def update(self, *, urgent: QueueCounts, rate: float, now: float) -> None:
        """Computes the state from the sums.

        Args:
            urgent: Counts of the more urgent requests of all VMs. Refused ones
                alone, which are counted for a second, raise nothing.
            rate: Rate at which the allowance grows, in requests per second.
            now: Time in seconds.
        """
        elapsed = now - self.updated_at
        step = min(elapsed, MAX_STEP_SECONDS)
        fraction = self.reservation.fraction
        least = FIRST_FRACTION if urgent.unserved else 0.0
        if urgent.waiting and fraction >= least:
            fraction = min(MAX_FRACTION, fraction + RISE_PER_SECOND * step)
        else:
            fraction -= FALL_PER_SECOND * elapsed
        fraction = max(least, fraction)
        if fraction != self.reservation.fraction:
            self.reservation = Reservation(fraction=fraction)
        # What exceeds one request by less than a step is kept, or the share
        # would be smaller where it grows fast.
        growth = rate * step
        self.allowance = min(1.0 + growth, self.allowance + growth)
        self.updated_at = now


@dataclasses.dataclass(kw_only=True, slots=True)
class PriorityReservations:
    """Reservations of this VM by service and rank.

    Attributes:
        queues: Queues of all VMs.
        random: Spreads the use of the minimum share over the VMs.
        minimum_share: Fraction of the granted capacity that each rank may use
            regardless of reservations.
        states: States by service and rank.
    """

    queues: ServiceQueueTable
    random: randoms.Random
    minimum_share: float = MINIMUM_SHARE
    states: dict[tuple[str, int], RankState] = dataclasses.field(
        default_factory=dict
    )

    def find(self, service: str, priority: int, now: float) -> Reservation:
        """Returns what a request of a rank must leave free now."""
        state = self.get(service, priority, now)
        if state.allowance >= 1.0:
            return NOTHING_RESERVED
        return state.reservation

    def may_pass(self, service: str, priority: int, now: float) -> bool:
        """Returns whether a request may pass more urgent ones now.

        It may if the rank is held back, but has not used its minimum share.
        """
        state = self.get(service, priority, now)
        return state.reservation.fraction > 0 and state.allowance >= 1.0

    def note_granted(self, service: str, priority: int, now: float) -> None:
        """Counts a request that got capacity."""
        self.queues.note_granted(service, priority, now)
        state = self.get(service, priority, now)
        state.allowance = max(0.0, state.allowance - 1.0)

    def retract_grant(
        self, service: str, priority: int, granted_at: float
    ) -> None:
        """Takes back a grant of which a request could make no use."""
        self.queues.retract_grant(service, priority, granted_at)
        state = self.states.get((service, priority))
        if state is not None:
            state.allowance = min(1.0, state.allowance + 1.0)

    def get(self, service: str, priority: int, now: float) -> RankState:
        """Returns the state of a rank that a request needs."""
        state = self.states.get((service, priority))
        if state is None:
            state = RankState(asked_at=now, allowance=self.random.random())
            self.states[service, priority] = state
        state.asked_at = now
        if now - state.updated_at >= UPDATE_INTERVAL_SECONDS:
            self.update(state, service, priority, now)
        return state

    def update(
        self, state: RankState, service: str, priority: int, now: float
    ) -> None:
        """Computes the state of a rank from the queues of all VMs."""
        sums = self.queues.sum_ranks(service, now)
        urgent = [counts for rank, counts in sums.items() if rank < priority]
        state.update(
            urgent=QueueCounts(
                waiting=sum(counts.waiting for counts in urgent),
                refused=sum(counts.refused for counts in urgent),
            ),
            rate=self.compute_share_rate(sums, service, priority),
            now=now,
        )

    def compute_share_rate(
        self, sums: dict[int, QueueCounts], service: str, priority: int
    ) -> float:
        """Returns this VM's part of the minimum share of a rank.

        The VMs divide it by the number of their waiting requests.

        Returns:
            The rate in requests per second.
        """
        row = self.queues.rows.get((service, priority))
        if row is None or not row.waiting:
            return 0.0
        granted = sum(counts.granted for counts in sums.values())
        part = row.waiting / sums[priority].waiting
        return self.minimum_share * granted * part

    def refresh(self, now: float) -> dict[tuple[str, int], float]:
        """Updates all states and forgets those of ranks without requests.

        Returns:
            The reserved fractions by service and rank.
        """
        for key, state in list(self.states.items()):
            if now - state.updated_at >= UPDATE_INTERVAL_SECONDS:
                self.update(state, *key, now)
            if now - state.asked_at > IDLE_SECONDS:
                del self.states[key]
        return {
            key: state.reservation.fraction
            for key, state in self.states.items()
        }
