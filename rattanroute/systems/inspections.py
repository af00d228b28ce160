"""Finds targets that are slow or gone, and tells all VMs.

One voter of each data centre asks the targets there for their state at an
interval, and at once when a VM suspects one. All VMs hear of changes, so that
each of them need not lose requests to learn of a failure. States that differ
from the usual one are repeated; a VM that no longer hears one forgets it.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.inspections import InspectRequest
from rattanroute.messages.inspections import TargetState
from rattanroute.messages.inspections import TargetStates
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable

INTERVAL_SECONDS = 1.0
# Least time between two questions to one target.
URGENT_SECONDS = 0.2
# Questions in a row without an answer after which a target counts as gone.
MAX_SILENCES = 2
REPEAT_SECONDS = 1.0
EXPIRY_SECONDS = 3.5
# Least relative change of the pace that is passed on.
PACE_STEP = 0.2
USUAL_PACE = 1.0
# Least time between two requests of one VM to look at the same target.
SUSPICION_SECONDS = 0.5


class MemberRow(Protocol):
    """What this system reads of a live VM."""

    vm_id: str
    data_centre: str
    voter: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class Inspection:
    """What a voter knows of a target that it asks.

    Attributes:
        incarnation: Incarnation that the rest is about.
        next_at: When to ask next.
        asked_at: When it was asked last.
        asking: Whether an answer is awaited.
        silences: Questions in a row without an answer.
        pace: Factor on the usual time of its steps.
        told: The state that all VMs were told last.
    """

    incarnation: int
    next_at: float = 0.0
    asked_at: float = float("-inf")
    asking: bool = False
    silences: int = 0
    pace: float = USUAL_PACE
    told: TargetState | None = None


class InspectionSystem:
    """Asks targets on a voter; follows the findings on all VMs.

    Args:
        vm_id: Identifier of this VM.
        data_centre: Data centre of this VM.
        voter: Whether this VM asks targets.
        targets: All targets.
        members: Returns the live VMs, this one included.
    """

    message_types: tuple[type, ...] = (InspectRequest, TargetStates)

    def __init__(
        self,
        *,
        vm_id: str,
        data_centre: str,
        voter: bool,
        targets: TargetTable,
        members: Callable[[], Iterable[MemberRow]],
    ) -> None:
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.voter = voter
        self.targets = targets
        self.members = members
        self.rows: dict[str, Inspection] = {}
        self.suspected: dict[str, float] = {}
        self.repeat_at = 0.0
        self.on_unreachable: Callable[[str], None] | None = None

    # On the voter that asks.

    @property
    def is_inspector(self) -> bool:
        """Whether this VM asks the targets of its data centre."""
        if not self.voter:
            return False
        voters = [
            x.vm_id
            for x in self.members()
            if x.voter and x.data_centre == self.data_centre
        ]
        return min(voters, default=self.vm_id) == self.vm_id

    def take_due(self, now: float) -> list[Target]:
        """Returns the engines to ask now; their answers are awaited then."""
        if not self.is_inspector:
            return []
        found = []
        for target in self.targets:
            report = target.report
            if report.data_centre != self.data_centre or report.leaving:
                continue
            if not report.total_layers:
                # A plain service, or an engine of a service that is not known
                # yet: it is asked once its reports tell.
                continue
            row = self.rows.get(report.target_id)
            if row is None or row.incarnation != report.incarnation:
                row = Inspection(incarnation=report.incarnation)
                self.rows[report.target_id] = row
            if not row.asking and now >= row.next_at:
                row.asking = True
                row.asked_at = now
                found.append(target)
        return found

    def note_answer(
        self, target_id: str, *, pace: float, now: float
    ) -> list[Action]:
        """Takes the answer of a target."""
        row = self.rows.get(target_id)
        if row is None:
            return []
        row.asking = False
        row.silences = 0
        row.pace = max(USUAL_PACE, pace)
        row.next_at = now + INTERVAL_SECONDS
        return self.tell_change(target_id, row)

    def note_silence(
        self, target_id: str, *, refused: bool, now: float
    ) -> list[Action]:
        """Notes that a target did not answer.

        Args:
            target_id: The target.
            refused: Whether its machine refused the connection, which means
                that the target has ended.
            now: Time in seconds.
        """
        row = self.rows.get(target_id)
        if row is None:
            return []
        row.asking = False
        row.silences = MAX_SILENCES if refused else row.silences + 1
        urgent = row.silences < MAX_SILENCES
        row.next_at = now + (URGENT_SECONDS if urgent else INTERVAL_SECONDS)
        return self.tell_change(target_id, row)

    def note_pause(self, target_id: str, *, until: float) -> None:
        """Leaves a target alone until the end of its pause."""
        row = self.rows.get(target_id)
        if row is not None:
            row.asking = False
            row.next_at = until

    def build_state(self, target_id: str, row: Inspection) -> TargetState:
        """Returns what all VMs should know of a target."""
        return TargetState(
            target_id=target_id,
            incarnation=row.incarnation,
            pace=row.pace,
            reachable=row.silences < MAX_SILENCES,
        )

    def tell_change(self, target_id: str, row: Inspection) -> list[Action]:
        """Tells all VMs a state that differs from the last one told."""
        state = self.build_state(target_id, row)
        told = row.told or TargetState(
            target_id=target_id,
            incarnation=row.incarnation,
            pace=USUAL_PACE,
            reachable=True,
        )
        step = abs(state.pace - told.pace) / told.pace
        if state.reachable == told.reachable and step < PACE_STEP:
            return []
        row.told = state
        return self.tell((state,))

    def tell(self, states: tuple[TargetState, ...]) -> list[Action]:
        """Returns the messages to all VMs, this one included."""
        message = TargetStates(states=states)
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
        ]

    def note_lost_link(self, address: str, now: float) -> None:
        """Asks at once after a target closed a connection."""
        for target_id, row in self.rows.items():
            target = self.targets.get(target_id)
            if target is not None and target.report.address == address:
                row.next_at = now

    # On all VMs.

    def suspect(self, target: Target, now: float) -> list[Action]:
        """Asks the voters near a target to look at it."""
        target_id = target.report.target_id
        if now - self.suspected.get(target_id, -1e9) < SUSPICION_SECONDS:
            return []
        self.suspected[target_id] = now
        message = InspectRequest(target_id=target_id)
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.voter and member.data_centre == target.report.data_centre
        ]

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Takes a suspicion, or what a voter found."""
        if isinstance(message, InspectRequest):
            row = self.rows.get(message.target_id)
            if row is not None and now - row.asked_at >= URGENT_SECONDS:
                row.next_at = now
            return []
        for state in message.states:
            self.apply(state, now)
        return []

    def apply(self, state: TargetState, now: float) -> None:
        """Stores the state of a target."""
        target = self.targets.get(state.target_id)
        if target is None or target.report.incarnation != state.incarnation:
            return
        was_reachable = target.reachable
        target.pace = state.pace
        target.reachable = state.reachable
        target.state_until = now + EXPIRY_SECONDS
        if was_reachable and not state.reachable and self.on_unreachable:
            self.on_unreachable(state.target_id)

    def tick(self, *, now: float) -> list[Action]:
        """Repeats unusual states and forgets those no longer heard."""
        if now < self.repeat_at:
            return []
        self.repeat_at = now + REPEAT_SECONDS
        self.forget(now)
        if not self.is_inspector:
            return []
        unusual = tuple(
            row.told
            for row in self.rows.values()
            if row.told is not None
            and (not row.told.reachable or row.told.pace > USUAL_PACE)
        )
        return self.tell(unusual) if unusual else []

    def forget(self, now: float) -> None:
        """Forgets states and targets that are no longer heard of."""
        for target in self.targets:
            if target.state_until and now >= target.state_until:
                target.pace = USUAL_PACE
                target.reachable = True
                target.state_until = 0.0
        for target_id in list(self.rows):
            if self.targets.get(target_id) is None:
                del self.rows[target_id]
        for target_id, at in list(self.suspected.items()):
            if now - at >= SUSPICION_SECONDS:
                del self.suspected[target_id]
