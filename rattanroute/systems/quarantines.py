"""Recognition of requests that crash each target that runs them.

A request that ran on a crashed target is a suspect. Its second attempt runs
while no other attempt of the same fingerprint and no other suspect runs on the
same target, as far as this VM knows. A suspect that runs during a second crash
without another suspect is banned for `BAN_SECONDS`. Where two suspects shared
the second crash, because their VMs chose the target before they heard of each
other or because there was no other target for `ISOLATION_SECONDS`, both are
refused for the short `DOUBT_SECONDS`, which keeps the number of crashed
targets at two for that time.

The last request that each VM gave to a crashed target most likely caused the
crash. It waits for `LATEST_ISOLATION_SECONDS` for a target without suspects,
and no other suspect shares its target meanwhile.

Requests that ran beside the failing one are moved at once, to different
targets, and are cleared by their first complete answer. Another request is
banned only if its own second target crashes by coincidence while it runs: with
one crash per target and day and a run of 10 s that is about 1 in 9,000 moves.

Two VMs that start the same suspect, or two suspects on one target, at the same
moment are told of each other one message delay later. The VM with the higher
identifier then moves its attempt. Because a request may need less than that
delay to crash a target, the suspects of a crash start in turns. First attempts
that run in parallel on several VMs are not preventable; they are cancelled
when the first crash is heard of.
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

MAX_CRASHES = 2
BAN_SECONDS = 600.0
DOUBT_SECONDS = 30.0
# A suspect waits for a target without another suspect for this time at most.
# Most crashes are coincidences, after which all requests of a target move to
# a few others; these must not run one by one.
ISOLATION_SECONDS = 1.0
# Time in which the other VMs hear of a crash or of the start of a suspect: two
# ticks of 50 ms, in which a batch is sent and received.
TURN_SECONDS = 0.1
# A request that crashes its targets mostly does so early in its run. The last
# one that each VM gave to a crashed target therefore does not share a target
# with other suspects for this time.
LATEST_ISOLATION_SECONDS = 20.0
# A run of another VM that is not reported again is taken as ended.
RUN_SECONDS = 30.0
# Reports are sent again to one random peer, for messages that were lost and
# for VMs that joined later.
REPEAT_SECONDS = 1.0
MAX_REPEATED = 256


@dataclasses.dataclass(kw_only=True, slots=True)
class QuarantineSystem:
    """Shares crashes between VMs and bans requests that cause them.

    Attributes:
        vm_id: This VM.
        peers: Returns the identifiers of the other live VMs.
        random: Random numbers for the choice of peers.
        table: Suspected and banned requests.
        stopped: Fingerprints whose attempts on this VM must be cancelled.
        repeat_at: Time of the next repetition.
    """

    vm_id: str
    peers: Callable[[], Collection[str]]
    random: randoms.Random
    table: SuspectRequestTable = dataclasses.field(
        default_factory=SuspectRequestTable
    )
    stopped: set[str] = dataclasses.field(default_factory=set)
    repeat_at: float = 0.0
    message_types: tuple[type, ...] = (CrashReports, SuspectRun)

    def banned_for(self, fingerprint: str, now: float) -> float:
        """Returns the seconds for which a request is refused, or 0."""
        row = self.table.get(fingerprint)
        return max(0.0, row.banned_until - now) if row is not None else 0.0

    def is_suspect(self, fingerprint: str) -> bool:
        """Tells whether a request ran during a crash."""
        return self.table.get(fingerprint) is not None

    def must_wait(self, fingerprint: str, now: float) -> bool:
        """Tells whether another attempt of a suspect is running."""
        row = self.table.get(fingerprint)
        return row is not None and bool(self.running(row, now))

    def is_early(self, fingerprint: str, now: float) -> bool:
        """Tells whether a suspect must wait for its turn after a crash.

        The suspects of one crash choose their targets one after the other, so
        that each VM has heard of the crash and the choices before its own.
        """
        row = self.table.get(fingerprint)
        if row is None:
            return False
        latest = max(row.crashes, key=row.crashes.get)
        turn = 1 + sorted(self.table.suspects[latest]).index(fingerprint)
        wait = min(ISOLATION_SECONDS, turn * TURN_SECONDS)
        return now - row.last_crash_at < wait

    def crashed_targets(self, fingerprint: str) -> set[str]:
        """Returns the targets that crashed while a request ran on them."""
        row = self.table.get(fingerprint)
        if row is None:
            return set()
        return {key.target_id for key in row.crashes}

    def may_share(self, fingerprint: str, now: float) -> bool:
        """Tells whether a suspect has waited long for a target of its own."""
        row = self.table.get(fingerprint)
        if row is None:
            return True
        limit = LATEST_ISOLATION_SECONDS if row.latest else ISOLATION_SECONDS
        return now - row.last_crash_at > limit

    def latest_targets(self, now: float) -> set[str]:
        """Returns the targets that run the most likely causes of crashes."""
        targets: set[str] = set()
        for row in self.table.rows.values():
            if (
                row.latest
                and now - row.last_crash_at <= LATEST_ISOLATION_SECONDS
            ):
                targets.update(self.running(row, now))
        return targets

    def suspect_targets(self, fingerprint: str, now: float) -> set[str]:
        """Returns the targets on which other suspects run."""
        targets: set[str] = set()
        for value, row in self.table.rows.items():
            if value != fingerprint:
                targets.update(self.running(row, now))
        return targets

    def running(self, row: SuspectRequest, now: float) -> list[str]:
        """Returns the targets that run a suspect."""
        return [
            target_id
            for vm_id, target_id in row.runs.items()
            if row.run_until[vm_id] > now
        ]

    def note_start(
        self, fingerprint: str, *, target_id: str, until: float
    ) -> list[Action]:
        """Tells the other VMs that a suspect runs here."""
        row = self.table.get(fingerprint)
        if row is None:
            return []
        row.runs[self.vm_id] = target_id
        row.run_until[self.vm_id] = until
        return self.flood(
            SuspectRun(
                fingerprint=fingerprint,
                target_id=target_id,
                latest=row.latest,
            )
        )

    def note_end(self, fingerprint: str, *, cleared: bool) -> list[Action]:
        """Tells the other VMs that the run of a suspect has ended here.

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
        return self.flood(SuspectRun(fingerprint=fingerprint, cleared=cleared))

    def died_at(self, *, target_id: str, incarnation: int) -> float | None:
        """Returns the time of a crash that is known, or None."""
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
        """Records a crash and tells the other VMs.

        Args:
            target_id: The crashed target.
            incarnation: Its incarnation when the attempts were dispatched.
            fingerprints: All requests of this VM that ran on it.
            now: Time in seconds.
            latest: The one of them that was dispatched last.

        Returns:
            Fingerprints for which this crash is new, and messages.
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
        return new, self.flood(CrashReports(crashes=(crash,)))

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles crashes and runs of another VM."""
        match message:
            case CrashReports():
                for crash in message.crashes:
                    self.stopped.update(self.add(crash, now))
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
        row.run_until[peer] = now + RUN_SECONDS
        if peer > self.vm_id:
            return
        if self.vm_id in row.runs:
            self.stopped.add(message.fingerprint)
        # Two suspects on one target could not be told apart by its crash.
        self.stopped.update(
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
            self.judge(value, now)
        return new

    def judge(self, value: str, now: float) -> None:
        """Bans a suspect that ran during two crashes."""
        row = self.table.rows[value]
        if len(row.crashes) < MAX_CRASHES:
            return
        # Only requests that were suspects before a crash are possible causes of
        # it: the others ran during one crash.
        shared = any(
            len(self.table.rows[name].crashes) >= MAX_CRASHES
            for key in row.crashes
            for name in self.table.suspects[key]
            if name != value
        )
        if len(row.crashes) > MAX_CRASHES or not shared:
            row.banned_until = row.last_crash_at + BAN_SECONDS
            return
        for key in row.crashes:
            for name in self.table.suspects[key]:
                other = self.table.rows[name]
                if len(other.crashes) >= MAX_CRASHES:
                    other.banned_until = other.last_crash_at + DOUBT_SECONDS

    def tick(self, *, now: float) -> list[Action]:
        """Forgets old entries and repeats recent ones to a random peer."""
        if now < self.repeat_at:
            return []
        self.repeat_at = now + REPEAT_SECONDS
        for value, row in list(self.table.rows.items()):
            # Crashes are kept as long on every VM, so that no repetition
            # brings a forgotten one back.
            if now - row.last_crash_at >= BAN_SECONDS:
                self.table.remove(value)
        peers = sorted(self.peers())
        if not peers or not self.table.suspects:
            return []
        crashes = tuple(
            self.describe(key, names, now)
            for key, names in list(self.table.suspects.items())[-MAX_REPEATED:]
        )
        peer = self.random.choice(peers)
        return [SendMessage(peer=peer, message=CrashReports(crashes=crashes))]

    def describe(
        self, key: CrashKey, names: Collection[str], now: float
    ) -> Crash:
        """Builds the message part of a crash."""
        at = min(self.table.rows[name].crashes[key] for name in names)
        return Crash(
            target_id=key.target_id,
            incarnation=key.incarnation,
            fingerprints=tuple(sorted(names)),
            age=now - at,
        )

    def take_stopped(self) -> set[str]:
        """Removes and returns fingerprints whose attempts are cancelled."""
        stopped = self.stopped
        self.stopped = set()
        return stopped

    def flood(self, message: object) -> list[Action]:
        """Sends a message to all other live VMs."""
        return [
            SendMessage(peer=peer, message=message)
            for peer in sorted(self.peers())
        ]
