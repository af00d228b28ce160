"""Failure detection of members by direct and indirect pings.

Each member is probed in turn. A member that does not answer is pinged again
and through other members; after several failed probes it is suspect.
"""

import dataclasses
from random import Random

from rattanroute.systems.gossip_queues import TokenBucket
from rattanroute.systems.peer_selectors import PeerSelector
from rattanroute.tables.members import MemberState
from rattanroute.tables.members import MemberTable

PROBE_PERIOD_SECONDS = 1.0
# A probe pings at 0, 0.3 and 0.6 s and requests indirect pings at 0.3 s. At 20%
# message loss one probe in 100 fails, and two in succession, which make a
# member suspect, one time in 10,000.
PROBE_RETRY_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 0.95
PROBE_FAILURES_TO_SUSPECT = 2
INDIRECT_PROBE_HELPERS = 3
# Rate of additional probes of members that may have failed.
URGENT_PROBES_PER_SECOND = 10.0
HEALING_URGENT_PROBES_PER_SECOND = 30.0
MAX_URGENT_PROBES = 512
# Rate of pings to failed members, which is higher while a partition heals.
RECONNECTS_PER_SECOND = 2.0
HEALING_RECONNECTS_PER_SECOND = 20.0
HEALING_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PingOrder:
    """A ping to send.

    Attributes:
        subject: The member to ping.
        sequence: Sequence number of the ping.
        helpers: Members to ask for an indirect ping.
    """

    subject: str
    sequence: int
    helpers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeResult:
    """The end of a probe without a direct answer.

    Attributes:
        subject: The probed member.
        indirect: Whether another member got an answer from it.
        suspicious: Whether enough probes failed to make the member suspect.
    """

    subject: str
    indirect: bool
    suspicious: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class Probe:
    """A probe that waits for an answer.

    Attributes:
        sequence: Sequence number of its pings.
        started_at: Time of the first ping in seconds.
        pings: Number of pings sent.
        indirect: Whether another member got an answer.
    """

    sequence: int
    started_at: float
    pings: int = 1
    indirect: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class RelayedPing:
    """A ping on behalf of another member.

    Attributes:
        requester: The member that requested the ping.
        sequence: Sequence number of the requester's probe.
        started_at: Time of the ping in seconds.
    """

    requester: str
    sequence: int
    started_at: float


class MemberProber:
    """Schedules probes of members and tracks their answers.

    Attributes:
        vm_id: Identifier of this VM.
        table: All members.
        partners: Selects the members that this VM probes itself.
        random: Random numbers for the order of probes and for helpers.
        sequence: Sequence number of the latest ping.
        probes: Probes that wait for an answer, by member.
        failures: Consecutive failed probes, by member.
        urgent: Members to probe ahead of their turn, in insertion order.
        relays: Pings on behalf of other members, by sequence number.
        round_members: Members still to be probed in this round.
        next_probe_at: Time in seconds of the next periodic probe.
        healing_until: Time in seconds until which urgent probes and pings to
            failed members are more frequent.
        urgent_tokens: Limits the rate of urgent probes.
        reconnect_tokens: Limits the rate of pings to failed members.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        table: MemberTable,
        partners: PeerSelector,
        random: Random,
    ) -> None:
        """Initialises the prober without pending probes."""
        self.vm_id = vm_id
        self.table = table
        self.partners = partners
        self.random = random
        self.sequence = 0
        self.probes: dict[str, Probe] = {}
        self.failures: dict[str, int] = {}
        self.urgent: dict[str, None] = {}
        self.relays: dict[int, RelayedPing] = {}
        self.round_members: list[str] = []
        self.next_probe_at = 0.0
        self.healing_until = 0.0
        self.urgent_tokens = TokenBucket(
            rate=URGENT_PROBES_PER_SECOND, burst=URGENT_PROBES_PER_SECOND / 2
        )
        self.reconnect_tokens = TokenBucket(
            rate=RECONNECTS_PER_SECOND, burst=1.0
        )

    def next_sequence(self) -> int:
        """Returns a new sequence number for a ping."""
        self.sequence += 1
        return self.sequence

    def add_urgent(self, subject: str) -> None:
        """Queues a member for a probe ahead of its turn."""
        member = self.table.get(subject)
        if (
            member is not None
            and member.state != MemberState.LEFT
            and subject != self.vm_id
            and len(self.urgent) < MAX_URGENT_PROBES
        ):
            self.urgent[subject] = None

    def start_probes(self, now: float) -> list[PingOrder]:
        """Starts the periodic probe and the urgent ones that are due."""
        orders: list[PingOrder] = []
        if now >= self.next_probe_at:
            self.next_probe_at = max(
                now, self.next_probe_at + PROBE_PERIOD_SECONDS
            )
            subject = self.choose_next_subject()
            if subject is not None:
                orders.append(self.start_probe(subject, now))
        self.urgent_tokens.rate = (
            HEALING_URGENT_PROBES_PER_SECOND
            if now < self.healing_until
            else URGENT_PROBES_PER_SECOND
        )
        while self.urgent and self.urgent_tokens.take(amount=1, now=now):
            subject = next(iter(self.urgent))
            del self.urgent[subject]
            member = self.table.get(subject)
            if member is None or subject in self.probes:
                continue
            if member.present:
                orders.append(self.start_probe(subject, now))
            else:
                orders.append(self.build_ping(subject))
        return orders

    def start_probe(self, subject: str, now: float) -> PingOrder:
        """Starts a probe of a present member."""
        order = self.build_ping(subject)
        self.probes[subject] = Probe(sequence=order.sequence, started_at=now)
        return order

    def build_ping(self, subject: str) -> PingOrder:
        """Builds a ping that no probe tracks.

        A missing answer to it does not count as a failure.
        """
        return PingOrder(subject=subject, sequence=self.next_sequence())

    def choose_next_subject(self) -> str | None:
        """Returns the next member of the shuffled round; None if none is due.

        Each member is probed once per round, which bounds the time until a
        failure is detected.
        """
        for _ in range(2):
            while self.round_members:
                subject = self.round_members.pop()
                member = self.table.get(subject)
                if (
                    member is not None
                    and member.present
                    and subject not in self.probes
                ):
                    return subject
            self.round_members = [
                vm_id
                for vm_id in self.partners.present()
                if vm_id != self.vm_id
            ]
            self.random.shuffle(self.round_members)
        return None

    def choose_peers(self, count: int, excluded: str = "") -> tuple[str, ...]:
        """Returns distinct random present peers other than this VM."""
        return self.sample(self.partners.present(), count, excluded)

    def sample(
        self, present: list[str], count: int, excluded: str
    ) -> tuple[str, ...]:
        """Returns distinct random members of a list other than this VM."""
        chosen = self.random.sample(present, min(len(present), count + 2))
        others = [v for v in chosen if v not in (self.vm_id, excluded)]
        return tuple(others[:count])

    def advance(self, now: float) -> tuple[list[PingOrder], list[ProbeResult]]:
        """Repeats the pings of pending probes and ends timed out ones."""
        orders: list[PingOrder] = []
        results: list[ProbeResult] = []
        for subject, probe in list(self.probes.items()):
            age = now - probe.started_at
            if age >= PROBE_TIMEOUT_SECONDS:
                del self.probes[subject]
                results.append(self.end_probe(subject, probe))
            elif age >= probe.pings * PROBE_RETRY_SECONDS:
                helpers: tuple[str, ...] = ()
                if probe.pings == 1:
                    helpers = self.choose_peers(INDIRECT_PROBE_HELPERS, subject)
                probe.pings += 1
                orders.append(
                    PingOrder(
                        subject=subject,
                        sequence=probe.sequence,
                        helpers=helpers,
                    )
                )
        return orders, results

    def end_probe(self, subject: str, probe: Probe) -> ProbeResult:
        """Counts a probe without a direct answer and returns its result."""
        failures = 0 if probe.indirect else self.failures.get(subject, 0) + 1
        self.failures[subject] = failures
        suspicious = failures >= PROBE_FAILURES_TO_SUSPECT
        if failures and not suspicious:
            self.add_urgent(subject)
        return ProbeResult(
            subject=subject, indirect=probe.indirect, suspicious=suspicious
        )

    def choose_reconnect(self, absent: dict[str, float], now: float) -> str:
        """Returns a failed member to ping; empty when none is due."""
        if not absent:
            return ""
        healing = now < self.healing_until
        self.reconnect_tokens.rate = (
            HEALING_RECONNECTS_PER_SECOND if healing else RECONNECTS_PER_SECOND
        )
        if not self.reconnect_tokens.take(amount=1, now=now):
            return ""
        candidates = [x for x in absent if self.partners.may_reconnect(x)]
        if not candidates:
            return ""
        subject = self.random.choice(candidates)
        left = self.table.rows[subject].state == MemberState.LEFT
        return "" if left else subject

    def start_relay(self, requester: str, sequence: int, now: float) -> int:
        """Registers a ping on behalf of another member.

        Args:
            requester: The member that requested the ping.
            sequence: Sequence number of the requester's probe.
            now: Time in seconds.

        Returns:
            The sequence number of the ping.
        """
        number = self.next_sequence()
        self.relays[number] = RelayedPing(
            requester=requester, sequence=sequence, started_at=now
        )
        return number

    def on_answer(self, subject: str, sequence: int) -> RelayedPing | None:
        """Ends the probe that a member answered.

        Returns:
            The relayed ping that the answer belongs to; None for a ping of
            this VM.
        """
        probe = self.probes.get(subject)
        if probe is not None and probe.sequence == sequence:
            del self.probes[subject]
        self.failures.pop(subject, None)
        return self.relays.pop(sequence, None)

    def on_indirect_answer(self, subject: str, sequence: int) -> None:
        """Records that another member got an answer from a member."""
        probe = self.probes.get(subject)
        if probe is not None and probe.sequence == sequence:
            probe.indirect = True

    def forget(self, subject: str) -> None:
        """Drops the probe and the failures of a member."""
        self.probes.pop(subject, None)
        self.failures.pop(subject, None)

    def reset(self, now: float) -> None:
        """Discards pending probes and failures after this VM was frozen.

        Answers may have been missed only because this VM did not run.
        """
        self.probes.clear()
        self.relays.clear()
        self.failures.clear()
        self.next_probe_at = now

    def clean_up(self, now: float) -> None:
        """Drops relayed pings that were not answered in time."""
        for sequence, relay in list(self.relays.items()):
            if now - relay.started_at > PROBE_TIMEOUT_SECONDS:
                del self.relays[sequence]
