"""Probing of members: who is pinged when, and what silence means."""

import dataclasses
from random import Random

from rattanroute.systems.gossip_queues import TokenBucket
from rattanroute.systems.peer_selectors import PeerSelector
from rattanroute.tables.members import MemberState
from rattanroute.tables.members import MemberTable

PROBE_PERIOD_SECONDS = 1.0
# A probe pings at 0, 0.3 and 0.6 s and asks other members at 0.3 s. At 20%
# loss one probe in a hundred fails, and two in succession, which a suspicion
# needs, one in ten thousand.
PROBE_RETRY_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 0.95
PROBE_FAILURES_TO_SUSPECT = 2
INDIRECT_PROBES = 3
# Probes beyond the periodic one, for members with a hint of a problem.
URGENT_PROBES_PER_SECOND = 10.0
HEALING_URGENT_PROBES_PER_SECOND = 30.0
MAX_URGENT_PROBES = 512
# Attempts to reach failed members; more while a partition heals.
RECONNECTS_PER_SECOND = 2.0
HEALING_RECONNECTS_PER_SECOND = 20.0
HEALING_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PingOrder:
    """A ping to send.

    Attributes:
        subject: The member to ping.
        sequence: Number of the probe.
        helpers: Members to ask for an indirect ping.
    """

    subject: str
    sequence: int
    helpers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeResult:
    """The end of a probe without a direct answer.

    Attributes:
        subject: The member.
        indirect: Whether another member got an answer.
        suspicious: Whether so many probes failed that the member is suspect.
    """

    subject: str
    indirect: bool
    suspicious: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class Probe:
    """A probe that waits for an answer."""

    sequence: int
    started_at: float
    pings: int = 1
    indirect: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Relay:
    """A ping on behalf of another member."""

    requester: str
    sequence: int
    started_at: float


class Prober:
    """Probes under way and the order of the next ones.

    Attributes:
        partners: Members that this VM probes by itself.
        probes: Probes that wait for an answer, by member.
        failures: Failed probes in succession, by member.
        urgent: Members to probe ahead of their turn.
        relays: Pings on behalf of other members, by number.
        healing_until: Time until which failed members are tried more often.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        table: MemberTable,
        partners: PeerSelector,
        random: Random,
    ) -> None:
        """Initialises without probes."""
        self.vm_id = vm_id
        self.table = table
        self.partners = partners
        self.random = random
        self.sequence = 0
        self.probes: dict[str, Probe] = {}
        self.failures: dict[str, int] = {}
        self.urgent: dict[str, None] = {}
        self.relays: dict[int, Relay] = {}
        self.ring: list[str] = []
        self.next_probe = 0.0
        self.healing_until = 0.0
        self.urgent_tokens = TokenBucket(
            rate=URGENT_PROBES_PER_SECOND, burst=URGENT_PROBES_PER_SECOND / 2
        )
        self.reconnect_tokens = TokenBucket(
            rate=RECONNECTS_PER_SECOND, burst=1.0
        )

    def next_sequence(self) -> int:
        """Returns a new number for a ping."""
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
        if now >= self.next_probe:
            self.next_probe = max(now, self.next_probe + PROBE_PERIOD_SECONDS)
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
                orders.append(self.order_ping(subject))
        return orders

    def start_probe(self, subject: str, now: float) -> PingOrder:
        """Starts a probe of a present member."""
        order = self.order_ping(subject)
        self.probes[subject] = Probe(sequence=order.sequence, started_at=now)
        return order

    def order_ping(self, subject: str) -> PingOrder:
        """Returns a ping whose silence means nothing."""
        return PingOrder(subject=subject, sequence=self.next_sequence())

    def choose_next_subject(self) -> str | None:
        """Returns the next member of the shuffled ring.

        Each member has its turn within one round, so that the time until a
        failure is noticed is bounded.
        """
        for _ in range(2):
            while self.ring:
                subject = self.ring.pop()
                member = self.table.get(subject)
                if (
                    member is not None
                    and member.present
                    and subject not in self.probes
                ):
                    return subject
            self.ring = [
                vm_id
                for vm_id in self.partners.present()
                if vm_id != self.vm_id
            ]
            self.random.shuffle(self.ring)
        return None

    def choose_peers(self, count: int, excluded: str = "") -> tuple[str, ...]:
        """Returns distinct random present partners other than this VM."""
        return self.sample(self.partners.present(), count, excluded)

    def sample(
        self, present: list[str], count: int, excluded: str
    ) -> tuple[str, ...]:
        """Returns distinct random members of a list other than this VM."""
        chosen = self.random.sample(present, min(len(present), count + 2))
        others = [v for v in chosen if v not in (self.vm_id, excluded)]
        return tuple(others[:count])

    def advance(self, now: float) -> tuple[list[PingOrder], list[ProbeResult]]:
        """Repeats the pings of waiting probes and ends those timed out."""
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
                    helpers = self.choose_peers(INDIRECT_PROBES, subject)
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
        """Draws the conclusion of a probe without a direct answer."""
        failures = 0 if probe.indirect else self.failures.get(subject, 0) + 1
        self.failures[subject] = failures
        suspicious = failures >= PROBE_FAILURES_TO_SUSPECT
        if failures and not suspicious:
            self.add_urgent(subject)
        return ProbeResult(
            subject=subject, indirect=probe.indirect, suspicious=suspicious
        )

    def choose_reconnect(self, absent: dict[str, float], now: float) -> str:
        """Returns a failed member to try again; empty when none is due."""
        if not absent:
            return ""
        healing = now < self.healing_until
        self.reconnect_tokens.rate = (
            HEALING_RECONNECTS_PER_SECOND if healing else RECONNECTS_PER_SECOND
        )
        if not self.reconnect_tokens.take(amount=1, now=now):
            return ""
        known = [x for x in absent if self.partners.may_reconnect(x)]
        if not known:
            return ""
        subject = self.random.choice(known)
        left = self.table.rows[subject].state == MemberState.LEFT
        return "" if left else subject

    def start_relay(self, requester: str, sequence: int, now: float) -> int:
        """Remembers a ping on behalf of another member; returns its number."""
        number = self.next_sequence()
        self.relays[number] = Relay(
            requester=requester, sequence=sequence, started_at=now
        )
        return number

    def on_answer(self, subject: str, sequence: int) -> Relay | None:
        """Ends the probe that a member answered; returns a relay to serve."""
        probe = self.probes.get(subject)
        if probe is not None and probe.sequence == sequence:
            del self.probes[subject]
        self.failures.pop(subject, None)
        return self.relays.pop(sequence, None)

    def on_forwarded_answer(self, subject: str, sequence: int) -> None:
        """Notes that another member got an answer."""
        probe = self.probes.get(subject)
        if probe is not None and probe.sequence == sequence:
            probe.indirect = True

    def forget(self, subject: str) -> None:
        """Drops the probe and the failures of a member."""
        self.probes.pop(subject, None)
        self.failures.pop(subject, None)

    def forget_missed_answers(self, now: float) -> None:
        """Starts again after this VM was frozen."""
        self.probes.clear()
        self.relays.clear()
        self.failures.clear()
        self.next_probe = now

    def clean_up(self, now: float) -> None:
        """Drops relays without an answer."""
        for sequence, relay in list(self.relays.items()):
            if now - relay.started_at > PROBE_TIMEOUT_SECONDS:
                del self.relays[sequence]
