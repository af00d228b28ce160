"""Active health checks of targets, with results shared between all VMs.

One voter of each data centre, the inspector, queries the state of the targets
there at an interval, and at once when a VM suspects a target. It announces
changes to all VMs, so that a VM need not lose requests to detect a failure.
Unusual states (slow, unreachable or limited) are repeated; on a VM that no
longer receives the repetitions, the state expires.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

import msgspec

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.inspections import InspectRequest
from rattanroute.messages.inspections import TargetState
from rattanroute.messages.inspections import TargetStates
from rattanroute.systems.target_limits import note_inspected_limit
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable

INTERVAL_SECONDS = 1.0
# Shortest time between two queries of one target.
MIN_QUERY_SECONDS = 0.2
# Consecutive queries without an answer that make a target unreachable.
MAX_UNANSWERED = 2
REPEAT_SECONDS = 1.0
STATE_EXPIRY_SECONDS = 3.5
# A target reports about once a second, and a report may be delayed.
MISSING_REPORT_SECONDS = 2.5
# Smallest relative change of the pace that is announced.
PACE_STEP = 0.2
USUAL_PACE = 1.0
# Shortest time between two requests of one VM to inspect the same target.
MIN_REQUEST_SECONDS = 0.5


class MemberRow(Protocol):
    """Attributes of a live VM that this system uses."""

    vm_id: str
    data_centre: str
    voter: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class InspectionState:
    """State of a target on the voter that inspects it.

    Attributes:
        incarnation: Incarnation of the target that the state applies to.
        next_query_at: Time in seconds at which the next query is due.
        last_query_at: Time in seconds of the latest query.
        awaits_answer: Whether a query is pending.
        unanswered: Consecutive queries without an answer.
        pace: Factor on the usual duration of the target's steps.
        limit_per_s: Limit that the target names; None if it names none.
        answered_at: Time in seconds of the latest answer.
        announced_state: The state last announced to all VMs; None before the
            first announcement.
    """

    incarnation: int
    next_query_at: float = 0.0
    last_query_at: float = float("-inf")
    awaits_answer: bool = False
    unanswered: int = 0
    pace: float = USUAL_PACE
    limit_per_s: float | None = None
    answered_at: float = float("-inf")
    announced_state: TargetState | None = None


class InspectionSystem:
    """Schedules queries on the inspector and applies states on all VMs.

    Args:
        vm_id: Identifier of this VM.
        data_centre: Data centre of this VM.
        voter: Whether this VM is a voter, which may inspect targets.
        targets: All targets.
        members: Returns the live VMs, this one included.

    Attributes:
        rows: Inspected targets by identifier, on the inspector.
        last_request_at: Times in seconds at which this VM last requested the
            inspection of a target, by target.
        repeat_at: Time in seconds of the next repetition.
        on_unreachable: Called with the identifier of a target that became
            unreachable.
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
        self.rows: dict[str, InspectionState] = {}
        self.last_request_at: dict[str, float] = {}
        self.repeat_at = 0.0
        self.on_unreachable: Callable[[str], None] | None = None

    # On the inspector.

    @property
    def is_inspector(self) -> bool:
        """Whether this VM inspects the targets of its data centre.

        Of the live voters there, the one with the lowest identifier does.
        """
        if not self.voter:
            return False
        voters = [
            x.vm_id
            for x in self.members()
            if x.voter and x.data_centre == self.data_centre
        ]
        return min(voters, default=self.vm_id) == self.vm_id

    def take_due_targets(self, now: float) -> list[Target]:
        """Returns the engines to query now and marks them as pending."""
        if not self.is_inspector:
            return []
        found = []
        for target in self.targets:
            report = target.report
            if report.data_centre != self.data_centre or report.leaving:
                continue
            if not report.total_layers:
                # A plain service, or an engine whose service is not known yet;
                # it is queried once its reports contain layers.
                continue
            row = self.rows.get(report.target_id)
            if row is None or row.incarnation != report.incarnation:
                row = InspectionState(incarnation=report.incarnation)
                self.rows[report.target_id] = row
            if not row.awaits_answer and now >= row.next_query_at:
                row.awaits_answer = True
                row.last_query_at = now
                found.append(target)
        return found

    def note_answer(
        self,
        target_id: str,
        *,
        pace: float,
        limit_per_s: float | None = None,
        identified: bool = True,
        now: float,
    ) -> list[Action]:
        """Records the answer of a target.

        Args:
            target_id: The target.
            pace: Factor on the usual duration of its steps.
            limit_per_s: Limit that it names; None if it names none.
            identified: Whether the answer states the incarnation that is
                inspected. Another target may have taken the address over.
            now: Time in seconds.

        Returns:
            Actions that announce a change.
        """
        row = self.rows.get(target_id)
        if row is None:
            return []
        row.awaits_answer = False
        row.unanswered = 0
        row.pace = max(USUAL_PACE, pace)
        row.limit_per_s = limit_per_s
        if identified:
            row.answered_at = now
        row.next_query_at = now + INTERVAL_SECONDS
        return self.announce_change(target_id, row)

    def note_missing_answer(
        self, target_id: str, *, refused: bool, now: float
    ) -> list[Action]:
        """Records a query without an answer.

        Args:
            target_id: The target.
            refused: Whether its machine refused the connection, which means
                that the target's process has ended.
            now: Time in seconds.

        Returns:
            Actions that announce a change.
        """
        row = self.rows.get(target_id)
        if row is None:
            return []
        row.awaits_answer = False
        row.unanswered = MAX_UNANSWERED if refused else row.unanswered + 1
        urgent = row.unanswered < MAX_UNANSWERED
        row.next_query_at = now + (
            MIN_QUERY_SECONDS if urgent else INTERVAL_SECONDS
        )
        return self.announce_change(target_id, row)

    def postpone(self, target_id: str, *, until: float) -> None:
        """Postpones the next query of a target that asked for a pause.

        Args:
            target_id: The target.
            until: Time in seconds at which the pause ends.
        """
        row = self.rows.get(target_id)
        if row is not None:
            row.awaits_answer = False
            row.next_query_at = until

    def build_state(self, target_id: str, row: InspectionState) -> TargetState:
        """Builds the state of a target as announced to all VMs."""
        return TargetState(
            target_id=target_id,
            incarnation=row.incarnation,
            pace=row.pace,
            reachable=row.unanswered < MAX_UNANSWERED,
            limit_per_s=row.limit_per_s,
        )

    def announce_change(
        self, target_id: str, row: InspectionState
    ) -> list[Action]:
        """Announces a state that differs from the last announced one."""
        state = self.build_state(target_id, row)
        announced_state = row.announced_state or TargetState(
            target_id=target_id,
            incarnation=row.incarnation,
            pace=USUAL_PACE,
            reachable=True,
        )
        step = abs(state.pace - announced_state.pace) / announced_state.pace
        if (
            state.reachable == announced_state.reachable
            and state.limit_per_s == announced_state.limit_per_s
            and step < PACE_STEP
        ):
            return []
        row.announced_state = state
        return self.announce((state,))

    def announce(self, states: tuple[TargetState, ...]) -> list[Action]:
        """Returns actions that send states to all VMs, this one included."""
        message = TargetStates(states=states)
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
        ]

    def note_closed_connection(self, address: str, now: float) -> None:
        """Makes a query due after a target closed a connection."""
        for target_id, row in self.rows.items():
            target = self.targets.get(target_id)
            if target is not None and target.report.address == address:
                row.next_query_at = now

    # On all VMs.

    def suspect(self, target: Target, now: float) -> list[Action]:
        """Requests an inspection from the voters of a target's data centre.

        Args:
            target: A target that may have failed.
            now: Time in seconds.

        Returns:
            Actions that send the request; none shortly after another one.
        """
        target_id = target.report.target_id
        if (
            now - self.last_request_at.get(target_id, -1e9)
            < MIN_REQUEST_SECONDS
        ):
            return []
        self.last_request_at[target_id] = now
        message = InspectRequest(target_id=target_id)
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.voter and member.data_centre == target.report.data_centre
        ]

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles inspection requests and announced states."""
        if isinstance(message, InspectRequest):
            row = self.rows.get(message.target_id)
            if row is not None and now - row.last_query_at >= MIN_QUERY_SECONDS:
                row.next_query_at = now
            return []
        for state in message.states:
            self.apply(state, now)
        return []

    def apply(self, state: TargetState, now: float) -> None:
        """Applies an announced state to its target."""
        target = self.targets.get(state.target_id)
        if target is None or target.report.incarnation != state.incarnation:
            return
        was_reachable = target.reachable
        target.pace = state.pace
        target.reachable = state.reachable
        target.state_until = now + STATE_EXPIRY_SECONDS
        note_inspected_limit(target, state.limit_per_s, now)
        if state.answered:
            target.answered_at = now
        if was_reachable and not state.reachable and self.on_unreachable:
            self.on_unreachable(state.target_id)

    def tick(self, *, now: float) -> list[Action]:
        """Repeats unusual states and expires old ones."""
        if now < self.repeat_at:
            return []
        self.repeat_at = now + REPEAT_SECONDS
        self.expire(now)
        if not self.is_inspector:
            return []
        unusual = tuple(
            self.build_repetition(target_id, row, now)
            for target_id, row in self.rows.items()
            if self.is_unusual(target_id, row, now)
        )
        return self.announce(unusual) if unusual else []

    def build_repetition(
        self, target_id: str, row: InspectionState, now: float
    ) -> TargetState:
        """Returns the state of a target to be announced again."""
        state = row.announced_state or self.build_state(target_id, row)
        answered = now - row.answered_at < MISSING_REPORT_SECONDS
        return msgspec.structs.replace(state, answered=answered)

    def is_unusual(
        self, target_id: str, row: InspectionState, now: float
    ) -> bool:
        """Returns whether the state of a target is to be repeated.

        That is so for a target without recent reports that answers, as the
        other VMs would take it for gone.
        """
        target = self.targets.get(target_id)
        if (
            target is not None
            and now - row.answered_at < MISSING_REPORT_SECONDS
            and now - target.received_at > MISSING_REPORT_SECONDS
        ):
            return True
        state = row.announced_state
        return state is not None and (
            not state.reachable
            or state.pace > USUAL_PACE
            or state.limit_per_s is not None
        )

    def expire(self, now: float) -> None:
        """Resets states no longer announced and removes old entries."""
        for target in self.targets:
            if target.state_until and now >= target.state_until:
                target.pace = USUAL_PACE
                target.reachable = True
                target.state_until = 0.0
        for target_id in list(self.rows):
            if self.targets.get(target_id) is None:
                del self.rows[target_id]
        for target_id, at in list(self.last_request_at.items()):
            if now - at >= MIN_REQUEST_SECONDS:
                del self.last_request_at[target_id]
