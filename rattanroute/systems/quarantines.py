"""Detects and bans requests that crash each target that runs them.

A request that ran on a target when it crashed is a suspect. Its second attempt
starts only while, as far as this VM knows, no other attempt of the same
fingerprint is running and no other suspect runs on the chosen target. A
suspect that runs during a second crash without another suspect is banned for
`BAN_SECONDS`. Two suspects may share the second crash, because their VMs chose
the target at the same time or found no other one for `ISOLATION_SECONDS`. Both
are then banned for the shorter `AMBIGUOUS_BAN_SECONDS`, which keeps the number
of crashed targets at two for that time.

The last request that each VM sent to a crashed target most likely caused the
crash. It waits up to `LATEST_ISOLATION_SECONDS` for a target without suspects,
and no other suspect shares its target during that time.

The other requests of a crashed target are retried at once on different
targets, and their first complete answer clears them. Such a request is banned
only if its second target crashes by coincidence while it runs: with one crash
per target and day and a run of 10 s that is about 1 in 9,000 retries.

Two VMs that start the same suspect, or two suspects on one target, at the same
moment learn of each other one message delay later. The VM with the higher
identifier then cancels and retries its attempt. As a request may crash a
target in less than that delay, the suspects of one crash start one after
another. First attempts that run in parallel on several VMs cannot be
prevented; they are cancelled when their VMs receive the first crash report.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import random as randoms

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.quarantines import Crash
from rattanroute.messages.quarantines import CrashReports
from rattanroute.messages.quarantines import SuspectRun
from rattanroute.tables.suspect_requests import CrashKey
from rattanroute.tables.suspect_requests import SuspectRequest
from rattanroute.tables.suspect_requests import SuspectRequestTable

CRASHES_TO_BAN = 2
BAN_SECONDS = 600.0
AMBIGUOUS_BAN_SECONDS = 30.0
# Longest wait of a suspect for a target without other suspects. Most crashes
# are not caused by a request; all requests of the target then move to a few
# others, where they must not run one at a time.
ISOLATION_SECONDS = 1.0
# Interval between the starts of suspects of one crash. The other VMs learn of
# a crash or a start within two ticks of 50 ms, which send and receive a batch.
START_STAGGER_SECONDS = 0.1
# A request that crashes its targets mostly does so early in its run. The last
# one that each VM sent to a crashed target is therefore the most likely cause
# and is isolated from other suspects for longer.
LATEST_ISOLATION_SECONDS = 20.0
# A run on another VM counts as ended this long after its report.
RUN_EXPIRY_SECONDS = 30.0
# Interval at which crash reports are repeated to one random peer, for lost
# messages and for VMs that joined later.
REPEAT_SECONDS = 1.0
# Requests under the crashes of one repetition: about 9 KB. Crashes beyond them
# take their turn in the next repetitions.
MAX_REPEATED_REQUESTS = 256


@dataclasses.dataclass(kw_only=True, slots=True)
class QuarantineSystem:
    """Shares crash reports between VMs and bans requests that cause crashes.

    Attributes:
        vm_id: Identifier of this VM.
        peers: Returns the identifiers of all other live VMs.
        random: Random numbers for the choice of peers.
        table: Suspected and banned requests.
        pending_cancellations: Fingerprints whose attempts on this VM must be
            cancelled.
        repeat_at: Time in seconds of the next repetition.
        repeat_position: Number of the first crash of that repetition.
    """

    vm_id: str
    peers: Callable[[], Collection[str]]
    random: randoms.Random
    table: SuspectRequestTable = dataclasses.field(
        default_factory=SuspectRequestTable
    )
    pending_cancellations: set[str] = dataclasses.field(default_factory=set)
    repeat_at: float = 0.0
    repeat_position: int = 0
    message_types: tuple[type, ...] = (CrashReports, SuspectRun)

    def banned_for(self, fingerprint: str, now: float) -> float:
        """Returns the remaining seconds of a ban; 0 without a ban."""
        row = self.table.get(fingerprint)
        return max(0.0, row.banned_until - now) if row is not None else 0.0

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a request ran on a target when it crashed."""
        return self.table.get(fingerprint) is not None

    def is_suspect_running(self, fingerprint: str, now: float) -> bool:
        """Returns whether an attempt of a suspect runs on any VM."""
        row = self.table.get(fingerprint)
        return row is not None and bool(self.running_targets(row, now))

    def is_before_turn(self, fingerprint: str, now: float) -> bool:
        """Returns whether a suspect must wait for its turn after a crash.

        The suspects of one crash choose their targets one after another, so
        that each VM knows of the crash and of the earlier choices.
        """
        row = self.table.get(fingerprint)
        if row is None:
            return False
        latest = max(row.crashes, key=row.crashes.get)
        turn = 1 + sorted(self.table.suspects[latest]).index(fingerprint)
        wait = min(ISOLATION_SECONDS, turn * START_STAGGER_SECONDS)
        return now - row.last_crash_at < wait

    def crashed_targets(self, fingerprint: str) -> set[str]:
        """Returns the targets that crashed while they ran a request."""
        row = self.table.get(fingerprint)
        if row is None:
            return set()
        return {key.target_id for key in row.crashes}

    def may_share_target(self, fingerprint: str, now: float) -> bool:
        """Returns whether a suspect may share a target with other suspects.

        It may once its wait for a target without suspects has expired.
        """
        row = self.table.get(fingerprint)
        if row is None:
            return True
        limit = LATEST_ISOLATION_SECONDS if row.latest else ISOLATION_SECONDS
        return now - row.last_crash_at > limit

    def likely_cause_targets(self, now: float) -> set[str]:
        """Returns the targets that run the most likely causes of crashes."""
        targets: set[str] = set()
        for row in self.table.rows.values():
            if (
                row.latest
                and now - row.last_crash_at <= LATEST_ISOLATION_SECONDS
            ):
                targets.update(self.running_targets(row, now))
        return targets

    def suspect_targets(self, fingerprint: str, now: float) -> set[str]:
        """Returns the targets on which other suspects run."""
        targets: set[str] = set()
        for value, row in self.table.rows.items():
            if value != fingerprint:
                targets.update(self.running_targets(row, now))
        return targets

    def running_targets(self, row: SuspectRequest, now: float) -> list[str]:
        """Returns the targets that run a suspect."""
        return [
            target_id
            for vm_id, target_id in row.runs.items()
            if row.run_until[vm_id] > now
        ]

    def note_start(
        self, fingerprint: str, *, target_id: str, until: float
    ) -> list[Action]:
        """Records and broadcasts that a suspect started on this VM.

        Args:
            fingerprint: The request's fingerprint.
            target_id: The target that runs it.
            until: Time in seconds after which the run counts as ended.
        """
        row = self.table.get(fingerprint)
        if row is None:
            return []
        row.runs[self.vm_id] = target_id
        row.run_until[self.vm_id] = until
        return self.broadcast(
            SuspectRun(
                fingerprint=fingerprint,
                target_id=target_id,
                latest=row.latest,
            )
        )

    def note_end(self, fingerprint: str, *, cleared: bool) -> list[Action]:
        """Records and broadcasts that the run of a suspect ended on this VM.

        Args:
            fingerprint: The request's fingerprint.
            cleared: Whether it ended with a complete answer.
        """
        row = self.table.get(fingerprint)
        if row is None:
            return []
        row.runs.pop(self.vm_id, None)
        row.run_until.pop(self.vm_id, None)
        if cleared:
            self.table.remove(fingerprint)
        return self.broadcast(
            SuspectRun(fingerprint=fingerprint, cleared=cleared)
        )

    def crash_time(self, *, target_id: str, incarnation: int) -> float | None:
        """Returns the time of a crash; None if the crash is not known."""
        key = CrashKey(target_id, incarnation)
        names = self.table.suspects.get(key, ())
        times = [self.table.rows[name].crashes[key] for name in names]
        return min(times, default=None)

    def note_crash(
        self,
        *,
        target_id: str,
        incarnation: int,
        fingerprints: Collection[str],
        now: float,
        latest: str = "",
    ) -> tuple[list[str], list[Action]]:
        """Records a crash and broadcasts it.

        Args:
            target_id: The crashed target.
            incarnation: Its incarnation when the attempts were dispatched.
            fingerprints: All requests of this VM that ran on it.
            now: Time in seconds.
            latest: The one of them that was dispatched last.

        Returns:
            Fingerprints for which this crash is new, and actions that send
            the report.
        """
        crash = Crash(
            target_id=target_id,
            incarnation=incarnation,
            fingerprints=tuple(
                sorted(value for value in fingerprints if value)
            ),
        )
        new = self.add(crash, now)
        if not new:
            return [], []
        if latest in new:
            self.table.rows[latest].latest = True
        return new, self.broadcast(CrashReports(crashes=(crash,)))

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles crash reports and runs of another VM."""
        match message:
            case CrashReports():
                for crash in message.crashes:
                    self.pending_cancellations.update(self.add(crash, now))
            case SuspectRun():
                self.note_run(peer, message, now)
        return []

    def note_run(self, peer: str, message: SuspectRun, now: float) -> None:
        """Records the start or the end of a suspect's run on another VM."""
        row = self.table.get(message.fingerprint)
        if message.cleared:
            if row is not None and row.banned_until <= now:
                self.table.remove(message.fingerprint)
            return
        if row is None:
            return
        if not message.target_id:
            row.runs.pop(peer, None)
            row.run_until.pop(peer, None)
            return
        row.latest = row.latest or message.latest
        row.runs[peer] = message.target_id
        row.run_until[peer] = now + RUN_EXPIRY_SECONDS
        if peer > self.vm_id:
            return
        if self.vm_id in row.runs:
            self.pending_cancellations.add(message.fingerprint)
        # If two suspects ran on one target, its crash would not show which of
        # them caused it.
        self.pending_cancellations.update(
            value
            for value, other in self.table.rows.items()
            if other.runs.get(self.vm_id) == message.target_id
        )

    def add(self, crash: Crash, now: float) -> list[str]:
        """Records a crash and returns the fingerprints for which it is new."""
        at = now - crash.age
        if at + BAN_SECONDS <= now:
            return []
        key = CrashKey(crash.target_id, crash.incarnation)
        new = [
            value
            for value in crash.fingerprints
            if self.table.add_crash(value, key, at)
        ]
        for value in new:
            self.update_bans(value, now)
        return new

    def update_bans(self, value: str, now: float) -> None:
        """Bans a suspect that ran during enough crashes."""
        row = self.table.rows[value]
        if len(row.crashes) < CRASHES_TO_BAN:
            return
        # Only requests that were suspects before a crash are possible causes of
        # it: the others ran during one crash only.
        shared = any(
            len(self.table.rows[name].crashes) >= CRASHES_TO_BAN
            for key in row.crashes
            for name in self.table.suspects[key]
            if name != value
        )
        if len(row.crashes) > CRASHES_TO_BAN or not shared:
            row.banned_until = row.last_crash_at + BAN_SECONDS
            return
        for key in row.crashes:
            for name in self.table.suspects[key]:
                other = self.table.rows[name]
                if len(other.crashes) >= CRASHES_TO_BAN:
                    other.banned_until = (
                        other.last_crash_at + AMBIGUOUS_BAN_SECONDS
                    )

    def tick(self, *, now: float) -> list[Action]:
        """Removes old entries and repeats recent ones to a random peer."""
        if now < self.repeat_at:
            return []
        self.repeat_at = now + REPEAT_SECONDS
        for value, row in list(self.table.rows.items()):
            # All VMs keep crashes for the same time, so that no repeated
            # report restores an expired one.
            if now - row.last_crash_at >= BAN_SECONDS:
                self.table.remove(value)
        peers = sorted(self.peers())
        if not peers or not self.table.suspects:
            return []
        crashes = tuple(
            self.describe(key, self.table.suspects[key], now)
            for key in self.select_repeated()
        )
        peer = self.random.choice(peers)
        return [SendMessage(peer=peer, message=CrashReports(crashes=crashes))]

    def select_repeated(self) -> list[CrashKey]:
        """Returns the crashes of the next repetition, at least one."""
        keys = list(self.table.suspects)
        start = self.repeat_position
        selected: list[CrashKey] = []
        requests = 0
        for offset in range(len(keys)):
            key = keys[(start + offset) % len(keys)]
            requests += len(self.table.suspects[key])
            if selected and requests > MAX_REPEATED_REQUESTS:
                break
            selected.append(key)
        self.repeat_position = (start + len(selected)) % len(keys)
        return selected

    def describe(
        self, key: CrashKey, names: Collection[str], now: float
    ) -> Crash:
        """Builds the part of a message that reports a crash."""
        at = min(self.table.rows[name].crashes[key] for name in names)
        return Crash(
            target_id=key.target_id,
            incarnation=key.incarnation,
            fingerprints=tuple(sorted(names)),
            age=now - at,
        )

    def take_cancellations(self) -> set[str]:
        """Removes and returns fingerprints whose attempts to cancel."""
        fingerprints = self.pending_cancellations
        self.pending_cancellations = set()
        return fingerprints

    def broadcast(self, message: object) -> list[Action]:
        """Sends a message to all other live VMs."""
        return [
            SendMessage(peer=peer, message=message)
            for peer in sorted(self.peers())
        ]
