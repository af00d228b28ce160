"""A caller's request on its way through the gateway."""

import dataclasses

import xxhash

from rattanroute.gateway.header_codecs import RequestMetadata
from rattanroute.http1.servers import Exchange
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import Route


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A request whose route and caller are known.

    Attributes:
        exchange: Connection of the caller.
        terms: What the request says about itself.
        route: Its route.
        service: The service that answers it.
        workspace: Workspace of the caller; empty on a public route.
        priority: Rank among the calls that wait; 0 goes first.
        deadline: Time at which the answer is due, in seconds of the loop.
        revision: Manifest by which it was routed.
        sends: Sends to targets.
        may_have_run: Whether a target may have run it.
        possible_runners: Targets that may have run it.
        waited_s: Seconds spent waiting for room.
        first_event_s: Seconds until the first event of a stream.
        longest_gap_s: Longest pause between two events.
        targets: Identifiers of the targets it was sent to.
        failures: Why attempts failed, in order.
        digest: The fingerprint once it was asked for.
    """

    exchange: Exchange
    metadata: RequestMetadata
    route: Route
    service: BackendService
    workspace: str
    priority: int
    deadline: float
    revision: int
    sends: int = 0
    may_have_run: bool = False
    possible_runners: set[str] = dataclasses.field(default_factory=set)
    waited_s: float = 0.0
    first_event_s: float = 0.0
    longest_gap_s: float = 0.0
    targets: list[str] = dataclasses.field(default_factory=list)
    failures: list[str] = dataclasses.field(default_factory=list)
    digest: str = ""

    @property
    def fingerprint(self) -> str:
        """Hash of what stays the same when a caller sends a request again.

        The identifier of the request and the other headers change.
        """
        if not self.digest:
            request = self.exchange.request
            content = xxhash.xxh3_128()
            content.update(self.workspace.encode())
            content.update(b"\0" + request.head.target + b"\0")
            content.update(request.body)
            self.digest = content.hexdigest()
        return self.digest

    def time_left(self, now: float) -> float:
        """Returns the seconds until the answer is due."""
        return self.deadline - now
