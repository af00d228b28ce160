"""Refuses requests that crash the targets that run them, on every VM.

The caller of such a request sends it again, to other VMs and with another
identifier, so that no VM sees it often. A VM that finds a target crashed under
a request therefore tells the voters, which count the crashes that all VMs saw
and tell all VMs what to refuse. They repeat that, for messages that are lost
and VMs that start later; VMs tell voters that have started anew.

Most requests that run on a target when it crashes did not cause it. An answer
clears a request everywhere: one that crashes its targets is never answered.
VMs are told of a request before it is refused, so that they know of which
answers the voters must hear. Targets that crash at the same moment under calls
for the same count once, as a common cause is more likely: what many ask for
runs on all targets of a service. A crash late in a run counts in part. A ban
is short at first and grows with each crash after it, so that a wrong one ends
soon.

Unlike the quarantine, this system does not keep suspects apart, for which each
VM would have to hear of each run at all others.
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

# Two crashes in a row may be a coincidence: those who ran beside the cause of
# the first one may have moved to the same target.
MAX_CRASHES = 3
# Crashes from which on all VMs look out for an answer.
WATCHED_CRASHES = 2
# The first ban; each crash after its end makes the next one longer.
BAN_SECONDS = 120.0
BAN_FACTOR = 4.0
MAX_BAN_SECONDS = 3600.0
SUSPECT_SECONDS = 2 * MAX_BAN_SECONDS
REPEAT_SECONDS = 1.0
# Times that a VM repeats to the voters what it saw, for links that lose
# messages for some seconds.
REPEATS = 10
# Without a word of the voters for so long they are told of a ban.
SILENCE_SECONDS = 3.0
# Word of crashes from before an answer may arrive for so long.
CLEARED_SECONDS = 10.0
# Most suspects in a message.
MAX_TOLD = 256


class MemberRow(Protocol):
    """What this system reads of a live VM."""

    vm_id: str
    voter: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class Sighting:
    """A crash or an answer that this VM saw and repeats to the voters.

    Attributes:
        fingerprint: The request.
        crash: The crashed target; None for an answer.
        event: The crash; None for an answer.
        sends: Times that it was sent.
    """

    fingerprint: str
    crash: CrashKey | None = None
    event: CrashEvent | None = None
    sends: int = 0


class CrashBanSystem:
    """Counts crashes by request and bans requests.

    Args:
        vm_id: Identifier of this VM.
        voter: Whether this VM counts for all others.
        members: Returns the live VMs, this one included.
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
        self.sightings: list[Sighting] = []
        self.news: set[str] = set()
        self.repeat_at = 0.0
        self.on_banned: Callable[[str], None] | None = None
        self.on_changed: Callable[[str], None] | None = None

    # What this VM sees.

    def banned_until(self, fingerprint: str, now: float) -> float | None:
        """Returns until when a request is refused; None if it is not."""
        row = self.suspects.get(fingerprint)
        if row is None or row.banned_until <= now:
            return None
        return row.banned_until

    def note_crash(
        self, fingerprint: str, crash: CrashKey, event: CrashEvent, now: float
    ) -> None:
        """Takes a crash that this VM saw under a request."""
        if self.add(fingerprint, crash, event, now):
            self.sightings.append(
                Sighting(fingerprint=fingerprint, crash=crash, event=event)
            )

    def note_answer(self, fingerprint: str, now: float) -> None:
        """Clears a suspect that was answered here."""
        if fingerprint in self.suspects:
            self.clear(fingerprint, now)
            self.sightings.append(Sighting(fingerprint=fingerprint))

    # The table.

    def add(
        self, fingerprint: str, crash: CrashKey, event: CrashEvent, now: float
    ) -> bool:
        """Records a crash; returns whether it was not known."""
        row = self.get_or_add(fingerprint, event.at, now)
        if row is None or crash in row.crashes:
            return False
        row.add(crash, event)
        count = row.count()
        if count >= MAX_CRASHES and self.is_judge():
            factor = BAN_FACTOR ** (count - MAX_CRASHES)
            self.ban(fingerprint, row, now, BAN_SECONDS * factor)
        return True

    def is_judge(self) -> bool:
        """Whether this VM bans by its own count.

        Others wait for the voters, which hear of answers elsewhere; without
        any voter they protect their targets by themselves.
        """
        return self.voter or not any(x.voter for x in self.members())

    def get_or_add(
        self, fingerprint: str, crashed_at: float, now: float
    ) -> CrashSuspect | None:
        """Returns the row of a request under which a target crashed.

        Returns nothing when the request was answered since then.
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
        """Takes over a suspect that an earlier process stored.

        Args:
            fingerprint: The request's fingerprint.
            crashes: Crashes that it knew; none when it was told of a ban.
            banned_s: Seconds for which it is still refused.
            now: Time in seconds.
        """
        crashed_at = max((x.at for x in crashes.values()), default=now)
        if now - crashed_at >= SUSPECT_SECONDS:
            return
        row = self.get_or_add(fingerprint, crashed_at, now)
        row.crashes.update(crashes)
        if banned_s > 0:
            self.ban(fingerprint, row, now, banned_s)

    def ban(
        self, fingerprint: str, row: CrashSuspect, now: float, seconds: float
    ) -> None:
        """Refuses a request for some time from now on."""
        is_new = row.banned_until <= now
        row.banned_until = now + min(seconds, MAX_BAN_SECONDS)
        if is_new and self.on_banned is not None:
            self.on_banned(fingerprint)

    def clear(self, fingerprint: str, now: float) -> None:
        """Forgets a suspect that was answered."""
        self.cleared[fingerprint] = now
        self.suspects.remove(fingerprint)

    # Messages.

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Takes what another VM saw, or what a voter tells."""
        match message:
            case ObservedCrashes():
                self.take_crashes(message, now)
            case SuspectStates():
                self.take_states(peer, message, now)
            case ClearedRequests():
                return self.take_cleared(peer, message, now)
        return []

    def take_crashes(self, message: ObservedCrashes, now: float) -> None:
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
        """Lets all VMs and the store know of a change."""
        self.news.add(fingerprint)
        if self.on_changed is not None:
            self.on_changed(fingerprint)

    def take_states(
        self, peer: str, message: SuspectStates, now: float
    ) -> None:
        """Takes over which requests are watched and banned."""
        from_voter = self.is_voter(peer)
        for state in message.states:
            crashed_at = now - state.crash_age_s
            row = self.get_or_add(state.fingerprint, crashed_at, now)
            if row is None:
                continue
            if from_voter:
                row.confirmed_at = now
            # VMs that extended each other's bans by the delay of messages
            # would never end them.
            if state.banned_s <= 0 or row.banned_until > now:
                continue
            self.ban(state.fingerprint, row, now, state.banned_s)
            if self.voter:
                self.announce(state.fingerprint)

    def take_cleared(
        self, peer: str, message: ClearedRequests, now: float
    ) -> list[Action]:
        """Forgets requests that were answered; a voter tells all VMs."""
        told = [x for x in message.fingerprints if self.is_watched(x, now)]
        for fingerprint in message.fingerprints:
            self.clear(fingerprint, now)
        if self.on_changed is not None:
            for fingerprint in told:
                self.on_changed(fingerprint)
        if not told or not self.voter or self.is_voter(peer):
            return []
        return self.tell_all(ClearedRequests(fingerprints=tuple(told)))

    def is_watched(self, fingerprint: str, now: float) -> bool:
        """Whether all VMs were told of a request."""
        row = self.suspects.get(fingerprint)
        if row is None:
            return False
        return row.count() >= WATCHED_CRASHES or row.banned_until > now

    def is_voter(self, vm_id: str) -> bool:
        """Whether a live VM is a voter."""
        return any(x.vm_id == vm_id and x.voter for x in self.members())

    def tell_voters(self, message: object) -> list[Action]:
        """Returns the messages to all voters."""
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.voter and member.vm_id != self.vm_id
        ]

    def tell_all(self, message: object) -> list[Action]:
        """Returns the messages to all other VMs."""
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.vm_id != self.vm_id
        ]

    # Ticks.

    def tick(self, *, now: float) -> list[Action]:
        """Tells what is new, repeats what counts, forgets what is old."""
        repeats = now >= self.repeat_at
        if repeats:
            self.repeat_at = now + REPEAT_SECONDS
            self.forget(now)
        if self.voter:
            return self.tell_states(repeats, now)
        actions = self.tell_sightings(repeats, now)
        return actions + self.remind(now) if repeats else actions

    def build_states(
        self, fingerprints: Iterable[str], now: float
    ) -> SuspectStates:
        """Returns a message about those that are still suspects."""
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

    def tell_states(self, repeats: bool, now: float) -> list[Action]:
        """Tells all VMs what has changed, or again all that they refuse."""
        names = list(self.news)[:MAX_TOLD]
        self.news.difference_update(names)
        if repeats:
            names += self.suspects.list_banned(now)[-MAX_TOLD:]
        if not names:
            return []
        return self.tell_all(self.build_states(dict.fromkeys(names), now))

    def tell_sightings(self, repeats: bool, now: float) -> list[Action]:
        """Tells the voters what this VM saw, some of it again."""
        due = [x for x in self.sightings if repeats or not x.sends]
        if not due:
            return []
        for sighting in due:
            sighting.sends += 1
        self.sightings = [x for x in self.sightings if x.sends <= REPEATS]
        actions = []
        answered = tuple(x.fingerprint for x in due if x.crash is None)
        if answered:
            message = ClearedRequests(fingerprints=answered)
            actions += self.tell_voters(message)
        crashes = tuple(describe(x, now) for x in due if x.crash is not None)
        if crashes:
            actions += self.tell_voters(ObservedCrashes(crashes=crashes))
        return actions

    def remind(self, now: float) -> list[Action]:
        """Tells the voters of bans of which they no longer tell."""
        silent = [
            name
            for name in self.suspects.list_banned(now)
            if now - self.suspects.rows[name].confirmed_at > SILENCE_SECONDS
        ]
        if not silent:
            return []
        states = self.build_states(silent[-MAX_TOLD:], now)
        return self.tell_voters(states)

    def forget(self, now: float) -> None:
        """Forgets what is too old to count."""
        for name, row in list(self.suspects.rows.items()):
            if now - row.crashed_at >= SUSPECT_SECONDS:
                self.suspects.remove(name)
        for name, at in list(self.cleared.items()):
            if now - at >= CLEARED_SECONDS:
                del self.cleared[name]


def describe(sighting: Sighting, now: float) -> ObservedCrash:
    """Returns what tells a voter of a crash."""
    return ObservedCrash(
        fingerprint=sighting.fingerprint,
        target_id=sighting.crash.target_id,
        incarnation=sighting.crash.incarnation,
        request_id=sighting.event.request_id,
        age_s=now - sighting.event.at,
        early=sighting.event.early,
    )
