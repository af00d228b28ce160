"""Bans requests that crash the targets that run them, on every VM.

The caller of such a request retries it through other VMs with a new request
identifier, so that no single VM sees all its crashes. Requests are therefore
identified by a fingerprint. A VM that sees a target crash while it runs a
request reports the crash to the voters, which count the crashes seen by all
VMs and announce bans to all VMs. They repeat the announcements for VMs that
lost a message or started later. VMs remind restarted voters of active bans.

Most requests that run on a target when it crashes did not cause the crash. An
answer clears a request on every VM, because a request that crashes its targets
is never answered. The voters announce a suspect before they ban it, so that
the other VMs know which answers to report. Crashes of several targets at the
same moment under different calls count once: a common cause is more likely, as
a popular request runs on all targets of a service. A crash late in a run counts
in part. The first ban is short and each later crash lengthens the next one, so
that a wrong ban ends soon.

Unlike the quarantine system, this one does not isolate suspects from each
other; that would require each VM to know of every run on all other VMs.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.crashbans import ClearedRequests
from rattanroute.messages.crashbans import ObservedCrash
from rattanroute.messages.crashbans import ObservedCrashes
from rattanroute.messages.crashbans import SuspectState
from rattanroute.messages.crashbans import SuspectStates
from rattanroute.tables.crash_suspects import CrashEvent
from rattanroute.tables.crash_suspects import CrashSuspect
from rattanroute.tables.crash_suspects import CrashSuspectTable
from rattanroute.tables.suspect_requests import CrashKey

# Two consecutive crashes may be a coincidence: a request that shared the first
# target with the cause may have moved to the same second target.
CRASHES_TO_BAN = 3
# Crash count from which all VMs report an answer to the request.
CRASHES_TO_WATCH = 2
# Duration of the first ban; each further crash multiplies it by the factor.
BAN_SECONDS = 120.0
BAN_FACTOR = 4.0
MAX_BAN_SECONDS = 3600.0
SUSPECT_EXPIRY_SECONDS = 2 * MAX_BAN_SECONDS
REPEAT_SECONDS = 1.0
# Repetitions of each report to the voters, for links that lose messages for
# some seconds.
MAX_REPEATS = 10
# A VM reminds the voters of a ban that none has announced for this time.
VOTER_SILENCE_SECONDS = 3.0
# Reports of crashes from before an answer may arrive this long after it.
CLEARED_EXPIRY_SECONDS = 10.0
# Bounds the size of a message.
MAX_MESSAGE_SUSPECTS = 256


class MemberRow(Protocol):
    """Attributes of a live VM that this system uses."""

    vm_id: str
    voter: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class Observation:
    """A crash or an answer that this VM saw and reports to the voters.

    Attributes:
        fingerprint: Fingerprint of the request.
        crash: The crashed target; None for an answer.
        event: Time and circumstances of the crash; None for an answer.
        sends: Number of times that it was sent.
    """

    fingerprint: str
    crash: CrashKey | None = None
    event: CrashEvent | None = None
    sends: int = 0


class CrashBanSystem:
    """Counts crashes by request fingerprint and bans requests.

    Args:
        vm_id: Identifier of this VM.
        voter: Whether this VM counts the crashes reported by all VMs.
        members: Returns the live VMs, this one included.

    Attributes:
        suspects: Requests under which targets crashed, and their bans.
        cleared: Times in seconds of recent answers, by fingerprint.
        observations: Crashes and answers that are still sent to the voters.
        unannounced: Fingerprints whose changes this voter announces at the
            next tick.
        repeat_at: Time in seconds of the next repetition.
        on_banned: Called with the fingerprint of a newly banned request.
        on_changed: Called with the fingerprint of a suspect whose state on
            this voter must be stored.
    """

    message_types: tuple[type, ...] = (
        ObservedCrashes,
        SuspectStates,
        ClearedRequests,
    )

    def __init__(
        self,
        *,
        vm_id: str,
        voter: bool,
        members: Callable[[], Iterable[MemberRow]],
    ) -> None:
        self.vm_id = vm_id
        self.voter = voter
        self.members = members
        self.suspects = CrashSuspectTable()
        self.cleared: dict[str, float] = {}
        self.observations: list[Observation] = []
        self.unannounced: set[str] = set()
        self.repeat_at = 0.0
        self.on_banned: Callable[[str], None] | None = None
        self.on_changed: Callable[[str], None] | None = None

    # Events on this VM.

    def banned_until(self, fingerprint: str, now: float) -> float | None:
        """Returns the time at which a ban ends; None without a ban."""
        row = self.suspects.get(fingerprint)
        if row is None or row.banned_until <= now:
            return None
        return row.banned_until

    def note_crash(
        self, fingerprint: str, crash: CrashKey, event: CrashEvent, now: float
    ) -> None:
        """Records and reports a crash that this VM saw under a request."""
        if self.add(fingerprint, crash, event, now):
            self.observations.append(
                Observation(fingerprint=fingerprint, crash=crash, event=event)
            )

    def note_answer(self, fingerprint: str, now: float) -> None:
        """Clears a suspect that was answered on this VM and reports it."""
        if fingerprint in self.suspects:
            self.clear(fingerprint, now)
            self.observations.append(Observation(fingerprint=fingerprint))

    # Suspects and bans.

    def add(
        self, fingerprint: str, crash: CrashKey, event: CrashEvent, now: float
    ) -> bool:
        """Records a crash; returns whether it was new."""
        row = self.get_or_add(fingerprint, event.at, now)
        if row is None or crash in row.crashes:
            return False
        row.add(crash, event)
        count = row.count()
        if count >= CRASHES_TO_BAN and self.may_ban():
            factor = BAN_FACTOR ** (count - CRASHES_TO_BAN)
            self.ban(fingerprint, row, now, BAN_SECONDS * factor)
        return True

    def may_ban(self) -> bool:
        """Returns whether this VM bans requests by its own crash count.

        VMs that are no voters leave it to the voters, which also learn of
        answers on other VMs. Without a live voter each VM bans by itself.
        """
        return self.voter or not any(x.voter for x in self.members())

    def get_or_add(
        self, fingerprint: str, crashed_at: float, now: float
    ) -> CrashSuspect | None:
        """Returns the row of a request under which a target crashed.

        Creates the row if it is missing.

        Args:
            fingerprint: The request's fingerprint.
            crashed_at: Time of the crash in seconds.
            now: Time in seconds.

        Returns:
            The row; None when the request was answered after the crash.
        """
        if crashed_at <= self.cleared.get(fingerprint, float("-inf")):
            return None
        row = self.suspects.get_or_add(fingerprint, now)
        row.crashed_at = max(row.crashed_at, crashed_at)
        return row

    def restore(
        self,
        fingerprint: str,
        crashes: dict[CrashKey, CrashEvent],
        *,
        banned_s: float,
        now: float,
    ) -> None:
        """Restores a suspect that an earlier process stored.

        Args:
            fingerprint: The request's fingerprint.
            crashes: Crashes that the process had recorded; empty when it only
                received the ban from another VM.
            banned_s: Remaining seconds of the ban.
            now: Time in seconds.
        """
        crashed_at = max((x.at for x in crashes.values()), default=now)
        if now - crashed_at >= SUSPECT_EXPIRY_SECONDS:
            return
        row = self.get_or_add(fingerprint, crashed_at, now)
        row.crashes.update(crashes)
        if banned_s > 0:
            self.ban(fingerprint, row, now, banned_s)

    def ban(
        self, fingerprint: str, row: CrashSuspect, now: float, seconds: float
    ) -> None:
        """Bans a request for a number of seconds from now."""
        is_new = row.banned_until <= now
        row.banned_until = now + min(seconds, MAX_BAN_SECONDS)
        if is_new and self.on_banned is not None:
            self.on_banned(fingerprint)

    def clear(self, fingerprint: str, now: float) -> None:
        """Removes a suspect that was answered."""
        self.cleared[fingerprint] = now
        self.suspects.remove(fingerprint)

    # Messages.

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles reports of other VMs and announcements of voters."""
        match message:
            case ObservedCrashes():
                self.handle_crashes(message, now)
            case SuspectStates():
                self.handle_states(peer, message, now)
            case ClearedRequests():
                return self.handle_cleared(peer, message, now)
        return []

    def handle_crashes(self, message: ObservedCrashes, now: float) -> None:
        """Counts crashes that another VM saw."""
        for seen in message.crashes:
            crash = CrashKey(seen.target_id, seen.incarnation)
            event = CrashEvent(
                at=now - seen.age_s,
                request_id=seen.request_id,
                early=seen.early,
            )
            if not self.add(seen.fingerprint, crash, event, now):
                continue
            if self.is_watched(seen.fingerprint, now):
                self.announce(seen.fingerprint)

    def announce(self, fingerprint: str) -> None:
        """Schedules the announcement of a change and has it stored."""
        self.unannounced.add(fingerprint)
        if self.on_changed is not None:
            self.on_changed(fingerprint)

    def handle_states(
        self, peer: str, message: SuspectStates, now: float
    ) -> None:
        """Applies the suspects and bans that another VM sent."""
        from_voter = self.is_voter(peer)
        for state in message.states:
            crashed_at = now - state.crash_age_s
            row = self.get_or_add(state.fingerprint, crashed_at, now)
            if row is None:
                continue
            if from_voter:
                row.confirmed_at = now
            # An active ban is not extended: VMs that extended each other's
            # bans by the message delay would never end them.
            if state.banned_s <= 0 or row.banned_until > now:
                continue
            self.ban(state.fingerprint, row, now, state.banned_s)
            if self.voter:
                self.announce(state.fingerprint)

    def handle_cleared(
        self, peer: str, message: ClearedRequests, now: float
    ) -> list[Action]:
        """Clears answered requests; a voter forwards them to all VMs."""
        announced = [x for x in message.fingerprints if self.is_watched(x, now)]
        for fingerprint in message.fingerprints:
            self.clear(fingerprint, now)
        if self.on_changed is not None:
            for fingerprint in announced:
                self.on_changed(fingerprint)
        if not announced or not self.voter or self.is_voter(peer):
            return []
        return self.send_to_all(ClearedRequests(fingerprints=tuple(announced)))

    def is_watched(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request was announced to all VMs."""
        row = self.suspects.get(fingerprint)
        if row is None:
            return False
        return row.count() >= CRASHES_TO_WATCH or row.banned_until > now

    def is_voter(self, vm_id: str) -> bool:
        """Returns whether a VM is a live voter."""
        return any(x.vm_id == vm_id and x.voter for x in self.members())

    def send_to_voters(self, message: object) -> list[Action]:
        """Returns actions that send a message to all other voters."""
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.voter and member.vm_id != self.vm_id
        ]

    def send_to_all(self, message: object) -> list[Action]:
        """Returns actions that send a message to all other VMs."""
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.vm_id != self.vm_id
        ]

    # Periodic work.

    def tick(self, *, now: float) -> list[Action]:
        """Sends new reports, repeats recent ones and expires old state."""
        repeats = now >= self.repeat_at
        if repeats:
            self.repeat_at = now + REPEAT_SECONDS
            self.expire(now)
        if self.voter:
            return self.announce_states(repeats, now)
        actions = self.report_observations(repeats, now)
        return actions + self.remind_voters(now) if repeats else actions

    def build_states(
        self, fingerprints: Iterable[str], now: float
    ) -> SuspectStates:
        """Builds a message on those of the requests that are suspects."""
        found = ((x, self.suspects.get(x)) for x in fingerprints)
        rows = [(name, row) for name, row in found if row is not None]
        return SuspectStates(
            states=tuple(
                SuspectState(
                    fingerprint=name,
                    banned_s=max(0.0, row.banned_until - now),
                    crash_age_s=now - row.crashed_at,
                )
                for name, row in rows
            )
        )

    def announce_states(self, repeats: bool, now: float) -> list[Action]:
        """Announces changes and, at each repetition, all active bans."""
        names = list(self.unannounced)[:MAX_MESSAGE_SUSPECTS]
        self.unannounced.difference_update(names)
        if repeats:
            names += self.suspects.list_banned(now)[-MAX_MESSAGE_SUSPECTS:]
        if not names:
            return []
        return self.send_to_all(self.build_states(dict.fromkeys(names), now))

    def report_observations(self, repeats: bool, now: float) -> list[Action]:
        """Sends new observations to the voters and repeats recent ones."""
        due = [x for x in self.observations if repeats or not x.sends]
        if not due:
            return []
        for observation in due:
            observation.sends += 1
        self.observations = [
            x for x in self.observations if x.sends <= MAX_REPEATS
        ]
        actions = []
        answered = tuple(x.fingerprint for x in due if x.crash is None)
        if answered:
            message = ClearedRequests(fingerprints=answered)
            actions += self.send_to_voters(message)
        crashes = tuple(describe(x, now) for x in due if x.crash is not None)
        if crashes:
            actions += self.send_to_voters(ObservedCrashes(crashes=crashes))
        return actions

    def remind_voters(self, now: float) -> list[Action]:
        """Sends the voters the bans that they no longer announce."""
        silent = [
            name
            for name in self.suspects.list_banned(now)
            if now - self.suspects.rows[name].confirmed_at
            > VOTER_SILENCE_SECONDS
        ]
        if not silent:
            return []
        states = self.build_states(silent[-MAX_MESSAGE_SUSPECTS:], now)
        return self.send_to_voters(states)

    def expire(self, now: float) -> None:
        """Removes suspects and answers that are too old to matter."""
        for name, row in list(self.suspects.rows.items()):
            if now - row.crashed_at >= SUSPECT_EXPIRY_SECONDS:
                self.suspects.remove(name)
        for name, at in list(self.cleared.items()):
            if now - at >= CLEARED_EXPIRY_SECONDS:
                del self.cleared[name]


def describe(observation: Observation, now: float) -> ObservedCrash:
    """Builds the part of a message that reports a crash."""
    return ObservedCrash(
        fingerprint=observation.fingerprint,
        target_id=observation.crash.target_id,
        incarnation=observation.crash.incarnation,
        request_id=observation.event.request_id,
        age_s=now - observation.event.at,
        early=observation.event.early,
    )
