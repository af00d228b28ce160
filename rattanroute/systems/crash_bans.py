"""Bans requests and prompts that crash the targets that run them.

The caller of such a request retries it through other VMs with a new request
identifier, so that no single VM sees all its crashes. Requests are therefore
identified by a fingerprint. Different requests may also share a part of their
prompts that crashes each target which begins to answer it; such a part has a
fingerprint of its own. A VM that sees a target crash while it runs a request
reports the crash to the voters, which count the crashes seen by all VMs and
announce bans to all VMs. They repeat the announcements for VMs that lost a
message or started later. VMs remind restarted voters of active bans.

Most requests that run on a target when it crashes did not cause the crash. An
answer clears a request on every VM, because a request that crashes its targets
is never answered. The beginning of an answer clears all parts of its prompt. A
VM that saw such an answer before a part became a suspect tells the voters, and
it takes more crashes to ban that part. The voters decide from the crashes of
all suspects which of them is the cause (`crash_causes`). They announce a
suspect before they ban it, so that the other VMs know which answers to report.

Crashes of several targets at the same moment under different calls count once:
a common cause is more likely, as a popular request runs on all targets of a
service. A part that nobody answered lately, while other prompts to the service
were answered, is not popular, so that its crashes count each. A crash late in a
run counts in part. The first ban is short and each later crash lengthens the
next one, so that a wrong ban ends soon.

Unlike the quarantine system, this one does not isolate suspects from each
other; that would require each VM to know of every run on all other VMs.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.crashbans import BansRequest
from rattanroute.messages.crashbans import ClearedRequests
from rattanroute.messages.crashbans import KnownParts
from rattanroute.messages.crashbans import ObservedCrashes
from rattanroute.messages.crashbans import SuspectStates
from rattanroute.systems.ban_rotations import BanRotation
from rattanroute.systems.ban_rotations import count_rounds
from rattanroute.systems.crash_causes import CRASHES_TO_BAN
from rattanroute.systems.crash_causes import find_due_causes
from rattanroute.systems.crash_causes import is_plausible
from rattanroute.systems.crash_causes import JudgeQueue
from rattanroute.systems.crash_causes import list_equal_parts
from rattanroute.systems.crash_causes import SETTLE_SECONDS
from rattanroute.systems.crash_reports import build_event
from rattanroute.systems.crash_reports import build_states
from rattanroute.systems.crash_reports import CrashReporter
from rattanroute.systems.crash_trials import refuse_until
from rattanroute.systems.relay_selectors import hash_pair
from rattanroute.tables.answered_parts import AnsweredParts
from rattanroute.tables.crash_suspects import CrashEvent
from rattanroute.tables.crash_suspects import CrashSuspect
from rattanroute.tables.crash_suspects import CrashSuspectTable
from rattanroute.tables.suspect_requests import CrashKey

# Crash count from which all VMs report an answer to the request.
CRASHES_TO_WATCH = 2
# Duration of the first ban; each further crash multiplies it by the factor.
BAN_SECONDS = 120.0
BAN_FACTOR = 4.0
MAX_BAN_SECONDS = 3600.0
SUSPECT_EXPIRY_SECONDS = 2 * MAX_BAN_SECONDS
REPEAT_SECONDS = 1.0
# A VM reminds the voters of a ban that none has announced for this time, and
# as much longer as they need to repeat all bans.
VOTER_SILENCE_SECONDS = 3.0
# Reports of crashes from before an answer may arrive this long after it.
CLEARED_EXPIRY_SECONDS = 10.0
# Bounds the size of a message.
MAX_MESSAGE_SUSPECTS = 256


class MemberRow(Protocol):
    """Attributes of a live VM that this system uses."""

    vm_id: str
    voter: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ban:
    """A ban that applies to a request.

    Attributes:
        fingerprint: Fingerprint of the banned request or part.
        until: Time in seconds at which the ban ends.
    """

    fingerprint: str
    until: float


class CrashBanSystem:
    """Counts crashes by fingerprint and bans requests and parts of prompts.

    Args:
        vm_id: Identifier of this VM.
        voter: Whether this VM counts the crashes reported by all VMs.
        members: Returns the live VMs, this one included.

    Attributes:
        suspects: Requests and parts under which targets crashed, and their
            bans.
        cleared: Times in seconds of recent answers, by fingerprint.
        reporter: Crashes and answers that are still sent to the voters.
        unannounced: Fingerprints whose changes this voter announces at the
            next tick.
        answered: Parts of prompts that were answered lately on this VM.
        judge_queue: Suspects with crashes that are not judged yet.
        synchronised: Whether this VM knows the bans: it is a voter, or one has
            answered its request for them.
        requests_sent: Number of times that this VM asked for the bans.
        repeat_at: Time in seconds of the next repetition.
        rotation: Selects the bans of each repetition.
        on_banned: Called with the fingerprint and the row of a newly banned
            request or part.
        on_changed: Called with the fingerprint of a suspect whose state on
            this voter must be stored.
    """

    message_types: tuple[type, ...] = (
        ObservedCrashes,
        SuspectStates,
        ClearedRequests,
        BansRequest,
        KnownParts,
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
        self.reporter = CrashReporter()
        self.unannounced: set[str] = set()
        self.answered = AnsweredParts()
        self.judge_queue = JudgeQueue()
        self.synchronised = voter
        self.requests_sent = 0
        self.repeat_at = 0.0
        self.rotation = BanRotation(vm_id=vm_id)
        self.on_banned: Callable[[str, CrashSuspect], None] | None = None
        self.on_changed: Callable[[str], None] | None = None

    # Events on this VM.

    def banned_until(self, fingerprint: str, now: float) -> float | None:
        """Returns the time at which a ban ends; None without a ban."""
        row = self.suspects.get(fingerprint)
        if row is None or row.banned_until <= now:
            return None
        return row.banned_until

    def find_ban(
        self, fingerprint: str, parts: Collection[str], now: float
    ) -> Ban | None:
        """Returns the ban that applies to a request; None if it may be sent.

        Args:
            fingerprint: Fingerprint of the request.
            parts: Fingerprints of the shared parts of its prompt.
            now: Time in seconds.
        """
        ban = self.find_suspect_ban(fingerprint, fingerprint, now)
        return ban or self.find_part_ban(fingerprint, parts, now)

    def find_part_ban(
        self, fingerprint: str, parts: Collection[str], now: float
    ) -> Ban | None:
        """Returns the ban of a part that applies to a request, if any.

        Args:
            fingerprint: Fingerprint of the request.
            parts: Fingerprints of the shared parts of its prompt.
            now: Time in seconds.
        """
        if not self.suspects:
            return None
        for part in parts:
            row = self.suspects.get(part)
            if row is None or not row.companions.issubset(parts):
                continue
            ban = self.find_suspect_ban(part, fingerprint, now)
            if ban is not None:
                return ban
        return None

    def find_suspect_ban(
        self, suspect: str, fingerprint: str, now: float
    ) -> Ban | None:
        """Returns the ban of a suspect that applies to a request, if any."""
        row = self.suspects.get(suspect)
        if row is None:
            return None
        until = refuse_until(self.vm_id, suspect, row, fingerprint, now)
        if until is None:
            return None
        return Ban(fingerprint=suspect, until=until)

    def find_trial(
        self, fingerprint: str, parts: Collection[str], now: float
    ) -> str | None:
        """Returns the suspect that a request tries after its ban, if any."""
        for name in (fingerprint, *parts):
            row = self.suspects.get(name)
            if row is None or row.trial_until <= now:
                continue
            if row.trial_request == fingerprint:
                return name
        return None

    def note_crash(
        self, fingerprint: str, crash: CrashKey, event: CrashEvent, now: float
    ) -> None:
        """Records and reports a crash that this VM saw under a request."""
        if self.add(fingerprint, crash, event, now):
            self.reporter.add_crash(fingerprint, crash, event)
            for part in event.parts:
                self.report_if_known(part, now)
            if event.service in self.answered.services:
                self.mark_service_answers(event.parts, now)
            if self.voter:
                self.announce_watched((fingerprint, *event.parts), now)

    def note_answer(self, fingerprint: str, now: float) -> None:
        """Clears a suspect that was answered on this VM and reports it."""
        if fingerprint in self.suspects:
            self.clear(fingerprint, now)
            self.reporter.add_answer(fingerprint)

    def note_begun(
        self, parts: Collection[str], service: str, now: float
    ) -> None:
        """Clears the parts of a prompt whose answer has begun on this VM."""
        self.answered.add(parts, service, now)
        for part in parts:
            self.note_answer(part, now)

    def report_if_known(self, part: str, now: float) -> None:
        """Reports a suspect part with which this VM saw answers lately."""
        row = self.suspects.get(part)
        if row is None or row.is_known:
            return
        if not self.answered.was_answered(part, now):
            return
        self.mark_known(part)
        self.reporter.add_known_part(part)

    def mark_known(self, part: str) -> None:
        """Records that prompts with a suspect part were answered lately."""
        row = self.suspects.get(part)
        if row is None or row.is_known:
            return
        row.is_known = True
        narrowed = self.suspects.clear_companion(part)
        if self.voter:
            for name in (part, *narrowed):
                self.announce(name)

    def mark_service_answers(self, parts: Iterable[str], now: float) -> None:
        """Records that other prompts to the service of parts were answered.

        The crashes of these parts may count each then, and are judged again.
        """
        for part in parts:
            row = self.suspects.get(part)
            if row is None or row.service_answers:
                continue
            row.service_answers = True
            self.judge_queue.add(part, now + SETTLE_SECONDS)

    # Suspects and bans.

    def add(
        self, fingerprint: str, crash: CrashKey, event: CrashEvent, now: float
    ) -> bool:
        """Records a crash; returns whether it was new for any suspect."""
        is_new = self.add_to_request(fingerprint, crash, event, now)
        # A part that was answered lately is sound and no companion of others.
        parts = frozenset(
            part
            for part in event.parts
            if part not in self.cleared and not self.suspects.is_known(part)
        )
        for part in event.parts:
            is_new |= self.add_to_part(
                part, crash, dataclasses.replace(event, parts=parts), now
            )
            row = self.suspects.get(part)
            if row is not None and event.parts - parts - {part}:
                row.beside_known = True
        return is_new

    def add_to_request(
        self, fingerprint: str, crash: CrashKey, event: CrashEvent, now: float
    ) -> bool:
        """Records a crash under a request.

        Returns:
            Whether it was new, or known from a later attempt only.
        """
        row = self.get_or_add(fingerprint, event.at, now)
        if row is None or not row.add_earliest(crash, event):
            return False
        row.parts |= event.parts
        if row.has_begun:
            self.judge_queue.add(fingerprint, now + SETTLE_SECONDS)
        elif is_plausible(row):
            # A VM that has just started learns of all crashes at once, and only
            # later whether a part of the prompt is sound.
            wait = SETTLE_SECONDS if row.parts else 0.0
            self.judge_queue.add(fingerprint, max(now, row.added_at + wait))
            self.judge(now)
        return True

    def add_to_part(
        self, part: str, crash: CrashKey, event: CrashEvent, now: float
    ) -> bool:
        """Records a crash under a part; returns whether it was new."""
        row = self.get_or_add(part, event.at, now, is_part=True)
        if row is None:
            return False
        is_new = crash not in row.crashes
        if is_new:
            row.add(crash, event)
        else:
            row.record_prompt(crash, event)
        row.update_companions(part)
        if not is_new:
            return False
        self.judge_queue.add(part, now + SETTLE_SECONDS)
        return True

    def judge(self, now: float) -> None:
        """Bans the causes among the suspects whose crashes have settled."""
        due = self.judge_queue.take_due(now)
        if not self.may_ban():
            return
        for cause in find_due_causes(self.suspects.rows, due):
            count = self.suspects.get(cause).count()
            seconds = BAN_SECONDS * BAN_FACTOR ** (count - CRASHES_TO_BAN)
            for name in (cause, *list_equal_parts(self.suspects.rows, cause)):
                self.ban(name, self.suspects.get(name), now, seconds)
                if self.voter:
                    self.announce(name)

    def may_ban(self) -> bool:
        """Returns whether this VM bans requests by its own crash count.

        VMs that are no voters leave it to the voters, which also learn of
        answers on other VMs. Without a live voter each VM bans by itself.
        """
        return self.voter or not any(x.voter for x in self.members())

    def get_or_add(
        self,
        fingerprint: str,
        crashed_at: float,
        now: float,
        *,
        is_part: bool = False,
    ) -> CrashSuspect | None:
        """Returns the row of a suspect under which a target crashed.

        Creates the row if it is missing.

        Args:
            fingerprint: Fingerprint of the request or part.
            crashed_at: Time of the crash in seconds.
            now: Time in seconds.
            is_part: Whether it is a part of a prompt.

        Returns:
            The row; None when the request was answered after the crash.
        """
        if crashed_at <= self.cleared.get(fingerprint, float("-inf")):
            return None
        row = self.suspects.get_or_add(fingerprint, now, is_part=is_part)
        row.crashed_at = max(row.crashed_at, crashed_at)
        return row

    def restore(
        self, fingerprint: str, stored: CrashSuspect, now: float
    ) -> None:
        """Restores a suspect that an earlier process stored.

        Args:
            fingerprint: Fingerprint of the request or part.
            stored: The suspect; without crashes when the process had only
                received the ban from another VM.
            now: Time in seconds.
        """
        crashed_at = max((x.at for x in stored.crashes.values()), default=now)
        if now - crashed_at >= SUSPECT_EXPIRY_SECONDS:
            return
        row = self.get_or_add(
            fingerprint, crashed_at, now, is_part=stored.is_part
        )
        row.crashes.update(stored.crashes)
        row.companions = stored.companions
        row.is_known = stored.is_known
        row.service_answers = stored.service_answers
        row.parts = stored.parts
        if stored.banned_until > now:
            self.ban(fingerprint, row, now, stored.banned_until - now)

    def ban(
        self, fingerprint: str, row: CrashSuspect, now: float, seconds: float
    ) -> None:
        """Bans a request for a number of seconds from now."""
        is_new = row.banned_until <= now
        row.banned_until = now + min(seconds, MAX_BAN_SECONDS)
        if is_new and self.on_banned is not None:
            self.on_banned(fingerprint, row)

    def clear(self, fingerprint: str, now: float) -> None:
        """Removes a suspect that was answered."""
        self.cleared[fingerprint] = now
        row = self.suspects.get(fingerprint)
        if row is None:
            return
        self.suspects.remove(fingerprint)
        if row.is_part:
            narrowed = self.suspects.clear_companion(fingerprint)
            if self.voter:
                for name in narrowed:
                    self.announce(name)
        if is_plausible(row):
            # Another suspect may explain the crashes now.
            for name, other in self.suspects.rows.items():
                if other.is_part and other.banned_until <= now:
                    self.judge_queue.add(name, now)

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
            case KnownParts():
                for part in message.fingerprints:
                    self.mark_known(part)
            case BansRequest() if self.voter:
                return [self.answer_request(peer, now)]
        return []

    def handle_crashes(self, message: ObservedCrashes, now: float) -> None:
        """Counts crashes that another VM saw."""
        for seen in message.crashes:
            crash = CrashKey(seen.target_id, seen.incarnation)
            event = build_event(seen, now)
            if self.add(seen.fingerprint, crash, event, now):
                self.announce_watched((seen.fingerprint, *seen.parts), now)
            if seen.service_answers:
                self.mark_service_answers(seen.parts, now)

    def announce_watched(self, names: Iterable[str], now: float) -> None:
        """Announces those suspects of which all VMs must know."""
        for name in names:
            if self.is_watched(name, now):
                self.announce(name)

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
        self.synchronised |= message.complete
        for state in message.states:
            crashed_at = now - state.crash_age_s
            row = self.get_or_add(
                state.fingerprint, crashed_at, now, is_part=state.is_part
            )
            if row is None:
                continue
            if not (self.voter and row.crashes):
                row.companions = frozenset(state.companions)
            if from_voter:
                row.confirmed_at = now
            row.is_known |= state.is_known
            self.report_if_known(state.fingerprint, now)
            # An active ban is not extended: VMs that extended each other's
            # bans by the message delay would never end them.
            if state.banned_s <= 0 or row.banned_until > now:
                continue
            self.ban(state.fingerprint, row, now, state.banned_s)
            if self.voter:
                self.announce(state.fingerprint)

    def answer_request(self, peer: str, now: float) -> Action:
        """Returns an action that sends all bans to a VM that has started."""
        names = self.suspects.list_banned(now)[-MAX_MESSAGE_SUSPECTS:]
        states = build_states(self.suspects, names, now).states
        message = SuspectStates(states=states, complete=True)
        return SendMessage(peer=peer, message=message)

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
        """Returns whether a suspect is announced to all VMs."""
        row = self.suspects.get(fingerprint)
        if row is None:
            return False
        # Answers tell whether crashes of a part at one moment count once.
        count = len(row.crashes) if row.is_part else row.count()
        return (
            row.is_announced
            or count >= CRASHES_TO_WATCH
            or row.banned_until > now
        )

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
        self.judge(now)
        actions = self.report_observations(repeats, now)
        if self.voter:
            return actions + self.announce_states(repeats, now)
        if not self.synchronised:
            actions += self.request_bans()
        return actions + self.remind_voters(now) if repeats else actions

    def request_bans(self) -> list[Action]:
        """Asks one voter after another for the bans, and all of them then."""
        voters = [x.vm_id for x in self.members() if x.voter]
        if not voters:
            return []
        if self.requests_sent < len(voters):
            voters.sort(key=lambda x: hash_pair(self.vm_id, x))
            voters = [voters[self.requests_sent]]
        self.requests_sent += 1
        return [SendMessage(peer=x, message=BansRequest()) for x in voters]

    def announce_states(self, repeats: bool, now: float) -> list[Action]:
        """Announces changes and, at each repetition, some active bans."""
        names = list(self.unannounced)[:MAX_MESSAGE_SUSPECTS]
        self.unannounced.difference_update(names)
        if repeats:
            names += self.rotation.select(self.suspects.list_banned(now))
        if not names:
            return []
        return self.send_to_all(
            build_states(self.suspects, dict.fromkeys(names), now)
        )

    def report_observations(self, repeats: bool, now: float) -> list[Action]:
        """Sends new observations to the voters and repeats recent ones."""
        answers, crashes = self.reporter.take_due(
            repeats, now, self.answered.services
        )
        actions = []
        if answers:
            # Voters forward what fronts report, but not what voters do.
            send = self.send_to_all if self.voter else self.send_to_voters
            actions += send(ClearedRequests(fingerprints=answers))
        if crashes:
            actions += self.send_to_voters(ObservedCrashes(crashes=crashes))
        known_parts = self.reporter.take_known_parts(repeats)
        if known_parts:
            message = KnownParts(fingerprints=known_parts)
            actions += self.send_to_voters(message)
        return actions

    def remind_voters(self, now: float) -> list[Action]:
        """Sends the voters the bans that they no longer announce."""
        banned = self.suspects.list_banned(now)
        rounds = count_rounds(len(banned))
        silence_s = VOTER_SILENCE_SECONDS + (rounds - 1) * REPEAT_SECONDS
        silent = [
            name
            for name in banned
            if now - self.suspects.rows[name].confirmed_at > silence_s
        ]
        if not silent:
            return []
        states = build_states(self.suspects, self.rotation.select(silent), now)
        return self.send_to_voters(states)

    def expire(self, now: float) -> None:
        """Removes suspects and answers that are too old to matter."""
        for name, row in list(self.suspects.rows.items()):
            if now - row.crashed_at >= SUSPECT_EXPIRY_SECONDS:
                self.suspects.remove(name)
        for name, at in list(self.cleared.items()):
            if now - at >= CLEARED_EXPIRY_SECONDS:
                del self.cleared[name]
        self.answered.expire(now)
