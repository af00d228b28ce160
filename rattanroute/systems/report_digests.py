"""Digests of target reports, by which VMs notice that they missed one."""

import dataclasses

import msgspec
import xxhash

from rattanroute.messages.targets import TargetLoad
from rattanroute.messages.targets import TargetReports
from rattanroute.tables.targets import TargetReport

# Shortest time between two requests for the report of one target.
REQUEST_INTERVAL_SECONDS = 0.5
ENCODER = msgspec.msgpack.Encoder()


def compute_digest(report: TargetReport) -> int:
    """Returns a digest of all values but the load; never 0."""
    fixed = dataclasses.replace(report, sequence=0, running=0, queued=0)
    return xxhash.xxh32_intdigest(ENCODER.encode(fixed)) or 1


@dataclasses.dataclass(kw_only=True, slots=True)
class KnownReports:
    """Which full reports a VM has.

    Attributes:
        digests: Digest of the latest full report, by target. It is the one
            that its sender computed, as releases encode reports differently.
        requested_at: Time in seconds of the latest request, by target.
    """

    digests: dict[str, int] = dataclasses.field(default_factory=dict)
    requested_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, message: TargetReports) -> None:
        """Records the full reports of a message."""
        for report, digest in zip(
            message.reports, message.digests, strict=False
        ):
            self.digests[report.target_id] = digest
            self.requested_at.pop(report.target_id, None)

    def lacks(self, load: TargetLoad) -> bool:
        """Whether the full report that a load belongs to is not known."""
        if not load.digest:
            return False
        return self.digests.get(load.target_id) != load.digest

    def take_due(
        self, loads: tuple[TargetLoad, ...], now: float
    ) -> tuple[str, ...]:
        """Returns the targets to request now, of those that are lacking."""
        due = tuple(
            load.target_id
            for load in loads
            if self.lacks(load) and self.may_request(load.target_id, now)
        )
        self.requested_at.update(dict.fromkeys(due, now))
        return due

    def may_request(self, target_id: str, now: float) -> bool:
        """Whether the latest request for a target is long enough ago."""
        at = self.requested_at.get(target_id)
        return at is None or now - at >= REQUEST_INTERVAL_SECONDS

    def remove(self, target_id: str) -> None:
        """Forgets a target."""
        self.digests.pop(target_id, None)
        self.requested_at.pop(target_id, None)
