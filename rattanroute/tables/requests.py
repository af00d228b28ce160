"""Requests that this VM has accepted, and their attempts."""

from collections.abc import Iterator
import dataclasses
import enum

from rattanroute.actions import Hop
from rattanroute.tables.pools import PoolKey


class RequestKind(enum.StrEnum):
    """The kind of a request."""

    CHAT = "chat"
    SERVICE = "service"


class RequestState(enum.StrEnum):
    """Processing state of a request."""

    ARRIVED = "arrived"
    CLAIMING = "claiming"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    STARTED = "started"
    DONE = "done"
    REFUSED = "refused"


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt to run a request on a chain of targets.

    Attributes:
        number: Attempt number, from 1.
        chain: Hops in layer order.
        dispatched_at: Time of dispatch, in seconds of the host's clock.
        started_at: Time of the first token; None before it.
        live: Whether the attempt is running.
        suspected: Whether its target is silent. The attempt goes on, beside
            another one if there is a target for it.
        superseded: Whether another attempt continued the answer instead.
        never_dispatched: Whether it certainly failed before any target
            received it.
        incarnations: Incarnation of each target of the chain at dispatch.
        tokens_out: Tokens of a failed attempt that reached the caller.
    """

    number: int
    chain: tuple[Hop, ...]
    dispatched_at: float
    started_at: float | None = None
    live: bool = True
    suspected: bool = False
    superseded: bool = False
    never_dispatched: bool = False
    incarnations: tuple[int, ...] = ()
    tokens_out: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """A request of a caller.

    Attributes:
        request_id: Identifier, unique over all VMs.
        kind: Chat completion or service call.
        workspace: The calling workspace.
        neighbour: Owner of the workspace.
        model: Model name, or service name for a service call.
        version: Requested model version; empty for the one in force.
        adapter: Requested adapter; empty for none.
        operation: Operation of a service call.
        repeatable: Whether the call may run more than once.
        idempotency_key: The caller's key; empty when it sent none.
        fingerprint: Hash of workspace, model and content.
        part_fingerprints: Hashes of the model and each part of the prompt that
            other requests may share.
        prefix_hashes: Hashes of the prompt's prefix blocks, shortest first.
        tokens_in: Estimated prompt tokens.
        max_tokens: Upper limit of generated tokens.
        priority: Requests with a higher value run first.
        arrived_at: Time of arrival, in seconds of the host's clock.
        deadline: Time by which the answer must be complete, same clock.
        state: Processing state.
        attempts: Attempts so far, oldest first.
        tokens_out: Tokens that the caller has received.
        stream: Whether the caller requested a stream.
        pool: Key of the pool that may run it; None before routing.
        unservable_since: Time since which no target can continue its begun
            answer, in seconds of the host's clock; None if one can.
    """

    request_id: str
    kind: RequestKind
    workspace: str
    neighbour: str
    model: str
    version: str = ""
    adapter: str = ""
    operation: str = ""
    repeatable: bool = True
    idempotency_key: str = ""
    fingerprint: str = ""
    part_fingerprints: tuple[str, ...] = ()
    prefix_hashes: tuple[int, ...] = ()
    tokens_in: int = 0
    max_tokens: int = 0
    priority: int = 0
    arrived_at: float
    deadline: float
    state: RequestState = RequestState.ARRIVED
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    tokens_out: int = 0
    stream: bool = False
    pool: PoolKey | None = None
    unservable_since: float | None = None

    @property
    def live(self) -> list[Attempt]:
        """The running attempts; more than one if hedged or suspected."""
        return [attempt for attempt in self.attempts if attempt.live]

    @property
    def has_trusted_attempt(self) -> bool:
        """Whether a running attempt is not suspected."""
        return any(x.live and not x.suspected for x in self.attempts)

    @property
    def begun(self) -> bool:
        """Whether an attempt has delivered a token."""
        return any(x.started_at is not None for x in self.attempts)

    @property
    def tried(self) -> set[str]:
        """Identifiers of the targets used by all attempts."""
        return {h.target_id for a in self.attempts for h in a.chain}

    @property
    def current(self) -> Attempt | None:
        """The latest attempt; None before the first."""
        return self.attempts[-1] if self.attempts else None


@dataclasses.dataclass(kw_only=True, slots=True)
class RequestTable:
    """Requests by identifier."""

    rows: dict[str, Request] = dataclasses.field(default_factory=dict)

    def add(self, request: Request) -> None:
        """Adds a request."""
        self.rows[request.request_id] = request

    def get(self, request_id: str) -> Request | None:
        """Returns the request, or None when it has ended."""
        return self.rows.get(request_id)

    def remove(self, request_id: str) -> None:
        """Removes a request that has ended."""
        self.rows.pop(request_id, None)

    def __iter__(self) -> Iterator[Request]:
        return iter(self.rows.values())

    def __len__(self) -> int:
        return len(self.rows)
