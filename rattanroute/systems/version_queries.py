"""Schedule of a VM's queries for newer versions of the configuration."""

import collections
from collections.abc import Container
import dataclasses

# Time after which a query that brought no answer is sent to another VM. It
# doubles while no query is answered: more answers do not help a VM whose own
# link is overloaded.
ANSWER_TIMEOUT_SECONDS = 0.4
MAX_ANSWER_TIMEOUT_SECONDS = 1.6
# Longest time that a VM waits for an answer that was offered to it.
MAX_EXPECTED_SECONDS = 6.0
# Time for which a VM that sends too much to others is not queried again.
BUSY_SECONDS = 1.0
# Age of a version from which an answer does not show that it is current.
STALE_ANSWER_SECONDS = 2.0
# Numbers of queries are encoded in one byte.
MAX_NUMBER = 127
# Latest queries to a peer whose times are kept. An answer to an earlier one
# proves nothing, and its number is used again much later.
MAX_KEPT_QUERIES = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SentQuery:
    """A query that was sent to a peer.

    Attributes:
        number: Its number, which the answer repeats.
        at: Time of sending, in seconds.
    """

    number: int
    at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class QuerySchedule:
    """The one query that may be under way, and the VMs that answered none.

    Attributes:
        peer: VM that was queried last; empty if it has answered.
        sent_at: Time of that query, in seconds.
        timeout_s: Time until the query counts as unanswered.
        expected: Whether its answer was offered.
        unanswered_since: Send time of the oldest unanswered query, by peer.
        unproven_since: Send time of the oldest query since the last answer
            without changes, by peer.
        sent: Latest queries, by peer, oldest first.
        first_number: Number before that of the first query to a peer. It
            differs between processes: a link may deliver an answer to a query
            of an earlier process of this VM.
        stale: VMs whose latest answer did not show that its version is current.
        busy_until: Time until which a VM that sends too much to others is not
            preferred, by peer.
    """

    peer: str = ""
    sent_at: float = 0.0
    timeout_s: float = ANSWER_TIMEOUT_SECONDS
    expected: bool = False
    unanswered_since: dict[str, float] = dataclasses.field(default_factory=dict)
    unproven_since: dict[str, float] = dataclasses.field(default_factory=dict)
    sent: dict[str, collections.deque[SentQuery]] = dataclasses.field(
        default_factory=dict
    )
    first_number: int = 0
    stale: set[str] = dataclasses.field(default_factory=set)
    busy_until: dict[str, float] = dataclasses.field(default_factory=dict)

    def start(self, peer: str, now: float) -> int:
        """Records that a query is sent to a VM; returns its number."""
        if self.peer:
            self.timeout_s = min(2 * self.timeout_s, MAX_ANSWER_TIMEOUT_SECONDS)
        self.expected = False
        self.peer = peer
        self.sent_at = now
        self.unanswered_since.setdefault(peer, now)
        self.unproven_since.setdefault(peer, now)
        return self.add(peer, now)

    def add(self, peer: str, now: float) -> int:
        """Keeps the time of a query; returns its number."""
        queries = self.sent.setdefault(
            peer, collections.deque(maxlen=MAX_KEPT_QUERIES)
        )
        last = queries[-1].number if queries else self.first_number
        query = SentQuery(number=last % MAX_NUMBER + 1, at=now)
        queries.append(query)
        return query.number

    def finish(
        self, peer: str, number: int, *, has_changes: bool
    ) -> float | None:
        """Records an answer.

        Earlier releases number no answers and send changes without a query as
        well, in the form of an answer.

        Args:
            peer: VM that sent it.
            number: Number of the query; 0 from earlier releases.
            has_changes: Whether it contains changes or refers to a snapshot.

        Returns:
            Time of the query, or without a number of the oldest one that it
            may answer; None if there is none, or if it may answer none.
        """
        if peer == self.peer:
            self.peer = ""
            self.timeout_s = ANSWER_TIMEOUT_SECONDS
        self.unanswered_since.pop(peer, None)
        if number == 0 and has_changes:
            return None
        oldest = self.unproven_since.pop(peer, None)
        if number == 0:
            return oldest
        times = (x.at for x in self.sent.get(peer, ()) if x.number == number)
        return next(times, None)

    def record_age(self, peer: str, age_s: float | None) -> None:
        """Records how old the version of an answer is; None if unknown."""
        if age_s is None or age_s >= STALE_ANSWER_SECONDS:
            self.stale.add(peer)
        else:
            self.stale.discard(peer)

    def expect(self, peer: str, seconds: float, now: float) -> None:
        """Records that an answer was offered, and when it arrives.

        Args:
            peer: VM that offers the answer.
            seconds: Expected time until it has arrived.
            now: The host's clock, in seconds.
        """
        self.peer = peer
        waited_s = now - self.sent_at
        expected_s = waited_s + seconds + ANSWER_TIMEOUT_SECONDS
        self.timeout_s = min(expected_s, MAX_EXPECTED_SECONDS)
        self.expected = True

    def refuse(self, peer: str, now: float) -> None:
        """Records that a VM is too busy to answer a query."""
        self.finish(peer, 0, has_changes=True)
        self.busy_until[peer] = now + BUSY_SECONDS

    def is_busy(self, peer: str, now: float) -> bool:
        """Whether a VM said a short while ago that it is too busy."""
        return now < self.busy_until.get(peer, now)

    def is_expecting(self, now: float) -> bool:
        """Whether an offered answer is still expected."""
        return self.expected and self.is_waiting(now)

    def is_waiting(self, now: float) -> bool:
        """Whether the answer to a query is still expected."""
        return bool(self.peer) and now - self.sent_at < self.timeout_s

    def has_timed_out(self, now: float) -> bool:
        """Whether a query was not answered in time."""
        return bool(self.peer) and not self.is_waiting(now)

    def silence_s(self, peer: str, now: float) -> float:
        """Returns for how long a VM has left a query unanswered, in seconds."""
        if peer == self.peer and self.is_expecting(now):
            return 0.0
        return now - self.unanswered_since.get(peer, now)

    def keep_only(self, peers: Container[str]) -> None:
        """Forgets the VMs that are no longer live."""
        self.unanswered_since = {
            peer: at
            for peer, at in self.unanswered_since.items()
            if peer in peers
        }
        self.unproven_since = {
            peer: at
            for peer, at in self.unproven_since.items()
            if peer in peers
        }
        self.stale = {x for x in self.stale if x in peers}
        self.sent = {
            peer: queries
            for peer, queries in self.sent.items()
            if peer in peers
        }
        self.busy_until = {
            peer: at for peer, at in self.busy_until.items() if peer in peers
        }
