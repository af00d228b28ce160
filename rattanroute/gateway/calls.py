"""State of a client's request while the gateway handles it."""

import dataclasses
import enum

import xxhash

from rattanroute.gateway.header_codecs import RequestMetadata
from rattanroute.http1.servers import Exchange
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import Route

# Stands for an attempt without a connection in `Call.connections`.
NO_CONNECTION = "-"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LongestGap:
    """The longest time between two events of a stream.

    Attributes:
        seconds: Its length in seconds; 0 before the second event.
        began_s: Seconds from the arrival of the request to its start.
        sent_s: Seconds from the arrival until the attempt that ended it was
            sent; after the start if another attempt continued the stream.
        waited_s: Seconds of it that were spent in the wait queue.
        sends: Attempts made by its end.
        failures: Reasons of the attempts that failed in it.
    """

    seconds: float = 0.0
    began_s: float = 0.0
    sent_s: float = 0.0
    waited_s: float = 0.0
    sends: int = 0
    failures: tuple[str, ...] = ()


NO_GAP = LongestGap()


class HedgeEvent(enum.StrEnum):
    """What has become of the second attempt of a late request."""

    STARTED = "started"
    WON = "won"
    CANCELLED = "cancelled"


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A routed and authenticated request.

    Attributes:
        exchange: The client's HTTP request and its response.
        metadata: Values decoded from the headers of the request.
        route: Route that matches the request.
        service: Service that handles the request.
        workspace: Workspace of the client; empty on a public route.
        priority: Rank among the waiting calls; 0 is served first.
        ranked: Whether the calls of its service have different ranks and
            compete for engines.
        deadline: Time at which the answer is due, in seconds of the event
            loop's clock.
        revision: Revision of the manifest that was used for routing.
        sends: Attempts so far, including those that did not run.
        dispatches: Attempts whose request was sent to a target.
        may_have_run: Whether a target may have run the request.
        possible_runners: Targets that may have run the request.
        events: Events of a stream that were passed to the client.
        waited_s: Seconds spent in the wait queue.
        first_event_s: Seconds until the first event of a stream.
        first_sent_s: Seconds until the attempt with that event was sent.
        first_waited_s: Seconds spent in the wait queue before that event.
        first_sends: Attempts made by then.
        longest_gap: Longest time between two events.
        targets: Target identifiers of each attempt, in order.
        data_centres: Data centres of the chain of each attempt of a stream, in
            order.
        connections: Description of the connection of each attempt, in order.
        stamp: Signature of the target whose answer was passed on, or whose
            answer ended a stream.
        failures: Reasons of the failed attempts, in order.
        hedge: What has become of its hedge; None if there is none.
        begun: Whether a target has begun to write an answer, in any attempt.
        digest: Cached fingerprint; empty until it is first read.
        part_digests: Cached fingerprints of the shared parts of the prompt;
            None until they are first read.
    """

    exchange: Exchange
    metadata: RequestMetadata
    route: Route
    service: BackendService
    workspace: str
    priority: int
    deadline: float
    revision: int
    ranked: bool = False
    sends: int = 0
    dispatches: int = 0
    may_have_run: bool = False
    possible_runners: set[str] = dataclasses.field(default_factory=set)
    events: int = 0
    waited_s: float = 0.0
    first_event_s: float = 0.0
    first_sent_s: float = 0.0
    first_waited_s: float = 0.0
    first_sends: int = 0
    longest_gap: LongestGap = NO_GAP
    targets: list[str] = dataclasses.field(default_factory=list)
    data_centres: list[str] = dataclasses.field(default_factory=list)
    connections: list[str] = dataclasses.field(default_factory=list)
    stamp: str = ""
    failures: list[str] = dataclasses.field(default_factory=list)
    hedge: HedgeEvent | None = None
    begun: bool = False
    digest: str = ""
    part_digests: tuple[str, ...] | None = None

    @property
    def fingerprint(self) -> str:
        """Hash that is equal for all repetitions of a request.

        It covers the workspace, the path and the body. Headers are left out
        because the request identifier and others differ between repetitions.
        """
        if not self.digest:
            request = self.exchange.request
            content = xxhash.xxh3_128()
            content.update(self.workspace.encode())
            content.update(b"\0" + request.head.target + b"\0")
            content.update(request.body)
            self.digest = content.hexdigest()
        return self.digest

    @property
    def part_fingerprints(self) -> tuple[str, ...]:
        """Hashes of the service and each shared part of the prompt.

        Workspaces are left out, as any of them may send the same part.
        """
        if self.part_digests is None:
            self.part_digests = tuple(
                xxhash.xxh3_128_hexdigest(
                    f"{self.service.name}\0{part}".encode()
                )
                for part in self.metadata.shared_parts
            )
        return self.part_digests

    @property
    def needs_new_connection(self) -> bool:
        """Whether a stream must not use a kept connection.

        A target may be closing one, and the call could not be repeated.
        Engines serve many streams and keep their connections open.
        """
        return self.service.engine is None and not self.route.repeatable

    @property
    def spent_s(self) -> float:
        """Seconds of the route's time limit that were used up on arrival.

        A client that was refused and returns states the rest of its time.
        """
        time_limit_s = self.deadline - self.exchange.received_at
        return round(self.route.timeout_s - time_limit_s, 3)

    def time_left(self, now: float) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline - now
