"""Bounds the memory that clients make a process hold.

Each connection counts what it holds. When the sum of all connections and of
all buffered responses exceeds the budget, the one that costs most and has
progressed least is evicted.
"""

from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

from rattanroute.http1.response_buffers import ResponseBuffers
from rattanroute.logs import get_logger

BYTES_PER_MB = 1_000_000
# Budget of a machine whose memory is unknown.
DEFAULT_BUDGET_BYTES = 117_440_512
# Part of a machine's memory that the process may use.
USABLE_FRACTION = 0.9
# A program without clients, and what grows with targets and configurations.
PROGRAM_BYTES = 60_000_000
# The rest is for the buffers of sockets, copies that exist for a moment and
# memory that the allocator cannot reuse.
CLIENT_FRACTION = 0.6
# Room for one request of the largest default size and its copy to a target.
MIN_BUDGET_BYTES = 12_000_000
# Part of the budget that responses may always use.
RESPONSE_FRACTION = 4 / 7
# A connection that can free less is refused only far above the budget.
SMALL_BYTES = 65_536
# Far above the budget, as a multiple of it.
OVERRUN_RATIO = 1.25
LOG_INTERVAL_SECONDS = 1.0
# Less is not worth the time to return it to the system.
MIN_RELEASED_BYTES = 8_388_608

log = get_logger(__name__)


class Eviction(enum.StrEnum):
    """What a connection held when it was chosen."""

    REQUEST = "request not read to its end"
    FOLLOWING = "requests behind an open one"
    RESPONSE = "response not read by its client"
    ANSWER = "response not passed on to its client"


class MemoryUser(Protocol):
    """A connection that holds memory.

    Attributes:
        held_bytes: Bytes that the budget has counted for it.
    """

    held_bytes: int

    def removable_bytes(self) -> int:
        """Returns the bytes that `evict` would free.

        They are 0 if the client of a running request waits for the answer.
        """
        ...

    def stalled_s(self) -> float:
        """Returns the seconds since the request or the response began."""
        ...

    def evict(self) -> Eviction:
        """Frees the bytes and refuses the request, if any."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Victim:
    """A connection that can free memory."""

    user: MemoryUser
    score: float


def derive_budget_bytes(memory_mb: float) -> int:
    """Returns the budget of a machine; 0 MB stand for an unknown size."""
    if not memory_mb:
        return DEFAULT_BUDGET_BYTES
    usable = measure_usable_bytes(memory_mb)
    return max(MIN_BUDGET_BYTES, round(CLIENT_FRACTION * usable))


def measure_usable_bytes(memory_mb: float) -> float:
    """Returns the memory of a machine beside the program, in bytes."""
    return USABLE_FRACTION * memory_mb * BYTES_PER_MB - PROGRAM_BYTES


class MemoryBudget:
    """Memory of all client connections and buffered responses of a process.

    Args:
        clock: Returns the present time in seconds.
        max_bytes: Limit of the sum.

    Attributes:
        users: Connections that hold memory.
        client_bytes: Bytes of all connections.
        responses: Buffered responses, whose limit becomes a part of the
            budget; None if they are not counted.
        evictions: Number of evictions, by cause.
        peak_bytes: Most bytes held since the last call of `note_release`
            that returned true.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        max_bytes: int = DEFAULT_BUDGET_BYTES,
    ) -> None:
        self.clock = clock
        self.max_bytes = max_bytes
        self.users: set[MemoryUser] = set()
        self.client_bytes = 0
        self.responses: ResponseBuffers | None = None
        self.evictions = dict.fromkeys(Eviction, 0)
        self.peak_bytes = 0
        self.logged_at = -LOG_INTERVAL_SECONDS
        self.unlogged = 0

    def include(self, responses: ResponseBuffers) -> None:
        """Makes buffered responses a part of the budget."""
        responses.max_bytes = round(self.max_bytes * RESPONSE_FRACTION)
        responses.on_growth = self.enforce
        self.responses = responses

    @property
    def response_bytes(self) -> int:
        """Bytes of all buffered responses."""
        return self.responses.held_bytes if self.responses is not None else 0

    @property
    def held_bytes(self) -> int:
        """Bytes that count towards the limit."""
        return self.client_bytes + self.response_bytes

    def resize(self, user: MemoryUser, size: int) -> None:
        """Counts the new size of a connection; evicts some if needed."""
        grows = size > user.held_bytes
        self.client_bytes += size - user.held_bytes
        user.held_bytes = size
        if grows:
            self.enforce()
            self.peak_bytes = max(self.peak_bytes, self.client_bytes)

    def note_release(self) -> bool:
        """Returns whether much memory was freed since the last time."""
        held = self.client_bytes
        if self.peak_bytes - held < max(held, MIN_RELEASED_BYTES):
            return False
        self.peak_bytes = held
        return True

    def remove(self, user: MemoryUser) -> None:
        """Forgets a connection that has closed."""
        self.users.discard(user)
        self.resize(user, 0)

    def enforce(self) -> None:
        """Evicts until the limit holds or nothing can be evicted."""
        while self.held_bytes > self.max_bytes:
            held = self.held_bytes
            if not self.evict_one() or self.held_bytes >= held:
                return

    def evict_one(self) -> bool:
        """Evicts a connection or a response.

        Connections are evicted first unless the responses exceed their part,
        since an incomplete response belongs to a client that waits for it.

        Returns:
            Whether there was one.
        """
        part = self.max_bytes * RESPONSE_FRACTION
        if self.response_bytes > part and self.evict_response():
            return True
        user = self.choose_user()
        if user is None:
            return self.evict_response()
        size = user.held_bytes
        self.record(user.evict(), size)
        return True

    def evict_response(self) -> bool:
        """Drops the largest incomplete response; returns whether one was."""
        if self.responses is None or not self.responses.open:
            return False
        size = self.responses.evict_largest()
        self.record(Eviction.ANSWER, size)
        return True

    def choose_user(self) -> MemoryUser | None:
        """Returns the connection to evict; None if there is none.

        It is the one that has occupied most bytes for the longest time.
        """
        least = SMALL_BYTES
        if self.held_bytes > self.max_bytes * OVERRUN_RATIO:
            least = 1
        victims = []
        for user in self.users:
            if user.held_bytes < least:
                continue
            size = user.removable_bytes()
            if size >= least:
                score = size * (1 + user.stalled_s())
                victims.append(Victim(user=user, score=score))
        if not victims:
            return None
        return max(victims, key=lambda x: x.score).user

    def record(self, cause: Eviction, size: int) -> None:
        """Counts an eviction and logs it, at most one in a second."""
        self.evictions[cause] += 1
        self.unlogged += 1
        now = self.clock()
        if now - self.logged_at < LOG_INTERVAL_SECONDS:
            return
        log.warning(
            "memory budget of clients exceeded",
            cause=cause,
            bytes=size,
            held=self.held_bytes,
            limit=self.max_bytes,
            connections=len(self.users),
            evictions=self.unlogged,
        )
        self.logged_at = now
        self.unlogged = 0
