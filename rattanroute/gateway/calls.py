"""State of a client's request while the gateway handles it."""

import dataclasses

import xxhash

from rattanroute.gateway.header_codecs import RequestMetadata
from rattanroute.http1.servers import Exchange
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import Route

# Stands for an attempt without a connection in `Call.connections`.
NO_CONNECTION = "-"


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
        may_have_run: Whether a target may have run the request.
        possible_runners: Targets that may have run the request.
        events: Events of a stream that were passed to the client.
        waited_s: Seconds spent in the wait queue.
        first_event_s: Seconds until the first event of a stream.
        longest_gap_s: Longest time between two events, in seconds.
        targets: Target identifiers of each attempt, in order.
        connections: Description of the connection of each attempt, in order.
        stamp: Signature of the target whose answer was passed on, or whose
            answer ended a stream.
        failures: Reasons of the failed attempts, in order.
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
    may_have_run: bool = False
    possible_runners: set[str] = dataclasses.field(default_factory=set)
    events: int = 0
    waited_s: float = 0.0
    first_event_s: float = 0.0
    longest_gap_s: float = 0.0
    targets: list[str] = dataclasses.field(default_factory=list)
    connections: list[str] = dataclasses.field(default_factory=list)
    stamp: str = ""
    failures: list[str] = dataclasses.field(default_factory=list)
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

    def time_left(self, now: float) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline - now
