"""Queue of large answers of a VM, at the rate of its link.

One large answer at a time occupies the link of the sender, so that a probe or
a vote waits no longer than for that one. An answer that cannot arrive soon is
offered, and sent to a VM that asks again: a VM that has queried several others
takes one offer, so that it gets one answer. It is told for how long it has to
wait, so that it does not ask others meanwhile. What would wait too long is
refused; the VM asks others then.
"""

from collections.abc import Container
import dataclasses
import enum

from rattanroute.messages.distributions import VersionQuery

# Larger answers are queued; this takes 16 ms on a link of 2 Mbit/s.
SMALL_ANSWER_BYTES = 4_096
# Answers that take longer on the slower link of both VMs are offered first; a
# query counts as unanswered after a little more.
OFFERED_SECONDS = 0.3
# Assumed rate of a link whose rate is unknown.
DEFAULT_LINK_MBPS = 100
BYTES_PER_MEGABIT = 125_000
# Time before the end of an answer at which the next one is sent; longer than
# the interval between two ticks.
LEAD_SECONDS = 0.1
# Longest wait in the queue; other VMs are to answer what would wait longer.
MAX_WAIT_SECONDS = 0.5
# Time for which the link is kept free for an offered answer.
OFFER_SECONDS = 0.4


def transfer_s(size: int, link_mbps: int) -> float:
    """Returns the time that a link takes for a message, in seconds.

    Args:
        size: Size of the message, in bytes.
        link_mbps: Rate of the link, in Mbit/s; 0 if unknown.
    """
    return size / ((link_mbps or DEFAULT_LINK_MBPS) * BYTES_PER_MEGABIT)


class Decision(enum.Enum):
    """What to do with a query that has a large answer.

    SEND: send the answer. WAIT: keep it until the link is free. OFFER: tell
    the size. REFUSE: let the VM ask others first.
    """

    SEND = enum.auto()
    WAIT = enum.auto()
    OFFER = enum.auto()
    REFUSE = enum.auto()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitingAnswer:
    """A query whose answer waits.

    Attributes:
        query: The query.
        seconds: Time that the link needs for its answer.
    """

    query: VersionQuery
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """An answer that a VM gets if it asks again.

    Attributes:
        version: Version of the query.
        seconds: Time that the link needs for the answer.
        at: Time of the offer, in seconds.
    """

    version: int
    seconds: float
    at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class AnswerQueue:
    """Large answers that wait for the link; at most one for each peer.

    Attributes:
        free_at: Time at which the link has carried all answers sent so far.
        waiting: Queries whose answers wait, by peer, the oldest first.
        offers: Offers by peer, the oldest first.
    """

    free_at: float = 0.0
    waiting: dict[str, WaitingAnswer] = dataclasses.field(default_factory=dict)
    offers: dict[str, Offer] = dataclasses.field(default_factory=dict)

    def wait_s(self, peer: str, now: float) -> float:
        """Returns how long an answer to a peer would wait, in seconds."""
        wait_s = max(self.free_at - now, 0.0)
        for other, item in self.waiting.items():
            if other == peer:
                break
            wait_s += item.seconds
        if peer in self.waiting:
            return wait_s
        for other, offer in self.offers.items():
            if other == peer:
                break
            if other not in self.waiting and now - offer.at < OFFER_SECONDS:
                wait_s += offer.seconds
        return wait_s

    def decide(
        self,
        peer: str,
        query: VersionQuery,
        seconds: float,
        now: float,
        *,
        is_slow: bool,
    ) -> Decision:
        """Decides about a query with a large answer, and records it.

        Args:
            peer: The VM that asks.
            query: Its query.
            seconds: Time that the link needs for the answer.
            now: The host's clock, in seconds.
            is_slow: Whether the answer takes so long that it is offered first.
        """
        if query.merges:
            offer = self.offers.get(peer)
            is_asked = offer is not None and offer.version == query.version
            wait_s = self.wait_s(peer, now)
            if wait_s > MAX_WAIT_SECONDS:
                self.remove(peer)
                return Decision.REFUSE
            is_late = is_slow or wait_s > LEAD_SECONDS
            if not is_asked and is_late:
                self.offers.pop(peer, None)
                self.offers[peer] = Offer(
                    version=query.version,
                    seconds=seconds,
                    at=now,
                )
                return Decision.OFFER
        if self.is_open(now) and not self.waiting:
            self.record_sent(peer, seconds, now)
            return Decision.SEND
        self.waiting[peer] = WaitingAnswer(query=query, seconds=seconds)
        return Decision.WAIT

    def is_open(self, now: float) -> bool:
        """Whether an answer may be sent now."""
        return self.free_at - now <= LEAD_SECONDS

    def record_sent(self, peer: str, seconds: float, now: float) -> None:
        """Records that the link carries an answer for some time."""
        self.offers.pop(peer, None)
        self.free_at = max(self.free_at, now) + seconds

    def remove(self, peer: str) -> None:
        """Forgets the answer to a peer."""
        self.waiting.pop(peer, None)
        self.offers.pop(peer, None)

    def keep_only(self, peers: Container[str]) -> None:
        """Forgets the VMs that are no longer live."""
        for peer in [*self.waiting, *self.offers]:
            if peer not in peers:
                self.remove(peer)

    def take_due(self, now: float) -> tuple[str, VersionQuery] | None:
        """Removes the oldest waiting query if its answer may be sent now."""
        if not self.waiting or not self.is_open(now):
            return None
        peer = next(iter(self.waiting))
        return peer, self.waiting.pop(peer).query
