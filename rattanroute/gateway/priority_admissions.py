"""Admits calls to engines by rank where priorities differ.

Calls of other services pass unchanged: they leave nothing free, are not
counted, and have no estimated wait.
"""

import asyncio
import dataclasses
import random as randoms

from rattanroute.gateway.calls import Call
from rattanroute.gateway.stream_attempts import StreamRun
from rattanroute.systems.priority_reservations import NOTHING_RESERVED
from rattanroute.systems.priority_reservations import PriorityReservations
from rattanroute.systems.priority_reservations import Reservation
from rattanroute.systems.retry_delays import estimate_wait
from rattanroute.systems.retry_delays import is_hopeless
from rattanroute.systems.wait_queues import WaitingRequest
from rattanroute.systems.wait_queues import WaitQueue
from rattanroute.tables.service_queues import ServiceQueueTable


def build_reservations() -> PriorityReservations:
    """Builds the reservations of a VM without counts of others."""
    return PriorityReservations(
        queues=ServiceQueueTable(), random=randoms.Random()
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class PriorityAdmission:
    """Decides what the ranks of calls mean for their admission.

    Attributes:
        reservations: Capacity that is kept for more urgent calls.
    """

    reservations: PriorityReservations = dataclasses.field(
        default_factory=build_reservations
    )

    def find_reservation(self, call: Call, now: float) -> Reservation:
        """Returns what a call must leave free of each engine.

        A stream whose client has a part of the answer leaves nothing free: it
        had its capacity already, and the part is of no use without the rest.
        """
        if not call.ranked or call.exchange.started:
            return NOTHING_RESERVED
        return self.reservations.find(call.service.name, call.priority, now)

    def may_pass(self, request: WaitingRequest, now: float) -> bool:
        """Returns whether a request goes before more urgent ones."""
        if request.rank is None:
            return False
        return self.reservations.may_pass(
            request.service, request.priority, now
        )

    def note_granted(self, run: StreamRun) -> None:
        """Counts a call that found a chain with capacity."""
        call = run.call
        if not call.ranked:
            return
        now = asyncio.get_running_loop().time()
        run.granted_at = now
        self.reservations.note_granted(call.service.name, call.priority, now)

    def note_search(self, run: StreamRun) -> None:
        """Takes back the grant of a call that did not run and needs another.

        A call that an engine has rejected counts as refused. That is the first
        sign of a shortage, as the loads that VMs know of are some time old.
        """
        call = run.call
        granted_at, run.granted_at = run.granted_at, None
        if granted_at is not None and not call.may_have_run:
            self.reservations.retract_grant(
                call.service.name, call.priority, granted_at
            )
        if run.rejected:
            run.rejected = False
            self.note_refused(call)

    def note_refused(self, call: Call) -> None:
        """Counts a call that found no capacity."""
        if call.ranked:
            now = asyncio.get_running_loop().time()
            self.reservations.queues.note_refused(
                call.service.name, call.priority, now
            )

    def estimate_wait(self, call: Call) -> float | None:
        """Estimates how long a call would wait behind those of all VMs.

        Returns:
            The wait in seconds; None if it is unknown or if the calls of the
            service have no different priorities.
        """
        if not call.ranked:
            return None
        now = asyncio.get_running_loop().time()
        return estimate_wait(
            self.reservations.queues.sum_ranks(call.service.name, now),
            call.priority,
            minimum_share=self.reservations.minimum_share,
        )

    def is_hopeless(
        self, call: Call, queue: WaitQueue, max_wait_s: float
    ) -> bool:
        """Returns whether a call certainly gets no capacity in time.

        One call of this VM always waits, so that wrong sums of other VMs
        cannot keep its queue empty.

        Args:
            call: The call.
            queue: The waiting calls of this VM.
            max_wait_s: Longest wait that is of use, in seconds.
        """
        if not queue.has_waiting(call.service.name, call.priority):
            return False
        return is_hopeless(self.estimate_wait(call), max_wait_s)
