"""In-memory network for tests of subsystems."""

from collections.abc import Callable
import dataclasses
import heapq
from random import Random

from rattanroute import codecs
from rattanroute.actions import Action
from rattanroute.actions import SendMessage

TICK_SECONDS = 0.05


@dataclasses.dataclass(kw_only=True, slots=True)
class MemoryNetwork:
    """Delivers encoded messages; can lose, duplicate, reorder or block them.

    Attributes:
        random: Source of all faults.
        deliver: Called with sender, receiver and message on delivery.
        loss: Probability that a message is lost.
        duplication: Probability that a message arrives twice.
        min_delay: Shortest delay, in seconds.
        max_delay: Longest delay, in seconds; messages may overtake each other.
        cuts: Pairs of sender and receiver whose messages are dropped.
        now: Simulated time, in seconds.
        count: Number of queued messages so far; orders those due at the same
            time.
        queue: Heap of messages with due time, number, sender, receiver, kind
            and body.
        bytes_sent: Bytes sent by each VM.
        messages_sent: Messages sent by each VM.
    """

    random: Random
    deliver: Callable[[str, str, object], None]
    loss: float = 0.0
    duplication: float = 0.0
    min_delay: float = 0.001
    max_delay: float = 0.04
    cuts: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    now: float = 0.0
    count: int = 0
    queue: list[tuple[float, int, str, str, int, bytes]] = dataclasses.field(
        default_factory=list
    )
    bytes_sent: dict[str, int] = dataclasses.field(default_factory=dict)
    messages_sent: dict[str, int] = dataclasses.field(default_factory=dict)

    def send(self, sender: str, action: SendMessage) -> None:
        """Queues a message for delivery unless it is lost."""
        kind, body = codecs.encode(action.message)
        self.bytes_sent[sender] = self.bytes_sent.get(sender, 0) + len(body)
        self.messages_sent[sender] = self.messages_sent.get(sender, 0) + 1
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay = self.random.uniform(self.min_delay, self.max_delay)
            self.count += 1
            entry = (self.now + delay, self.count, sender, action.peer)
            heapq.heappush(self.queue, (*entry, kind, body))

    def take_actions(self, sender: str, actions: list[Action]) -> list[Action]:
        """Sends the messages among the actions; returns the other actions."""
        others: list[Action] = []
        for action in actions:
            if isinstance(action, SendMessage):
                self.send(sender, action)
            else:
                others.append(action)
        return others

    def cut(self, one_side: set[str], other_side: set[str]) -> None:
        """Blocks messages in both directions between two groups."""
        for one in one_side:
            for other in other_side:
                self.cuts.add((one, other))
                self.cuts.add((other, one))

    def run_until(self, until: float) -> None:
        """Delivers all messages that are due up to a time."""
        while self.queue and self.queue[0][0] <= until:
            due, _, sender, receiver, kind, body = heapq.heappop(self.queue)
            self.now = due
            if (sender, receiver) in self.cuts:
                continue
            message = codecs.decode(kind=kind, body=body, peer=sender)
            self.deliver(sender, receiver, message)
        self.now = until
