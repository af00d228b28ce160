"""Announcements of new versions of the configuration."""

from collections.abc import Container
import dataclasses

import msgspec

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.distributions import VersionAnswer
from rattanroute.messages.distributions import VersionQuery
from rattanroute.systems.version_answers import measure_update
from rattanroute.systems.version_answers import Update
from rattanroute.systems.version_answers import UpdateBuilder
from rattanroute.tables.configuration_replicas import ConfigurationReplica

# Minimum interval between two announcements; a version that is replaced within
# it is not announced.
ANNOUNCEMENT_SECONDS = 0.02
# An announcement includes a change of at most this size, unless one did so
# within the interval. That bounds the traffic to 80 KB/s for a receiver.
INCLUDED_BYTES = 4_096
INCLUSION_SECONDS = 0.05


@dataclasses.dataclass(kw_only=True, slots=True)
class VersionAnnouncer:
    """Builds announcements and limits their rate and size.

    Attributes:
        replica: The configuration in force.
        updates: Builds the changes that announcements include.
        announced_version: Latest version that this VM announced.
        announced_at: Time of that announcement.
        included_at: Time of the latest announcement with a change.
        merging_peers: VMs that read merged deltas and patches, by their
            queries.
    """

    replica: ConfigurationReplica
    updates: UpdateBuilder
    announced_version: int = 0
    announced_at: float = -ANNOUNCEMENT_SECONDS
    included_at: float = -INCLUSION_SECONDS
    merging_peers: set[str] = dataclasses.field(default_factory=set)

    def is_due(self, now: float) -> bool:
        """Whether a version is to be announced."""
        return (
            self.replica.version > self.announced_version
            and now - self.announced_at >= ANNOUNCEMENT_SECONDS
        )

    def record_release(self, peer: str, query: VersionQuery) -> None:
        """Records whether a VM reads merged deltas and patches.

        A VM that starts again may run an earlier release.
        """
        if query.merges:
            self.merging_peers.add(peer)
        else:
            self.merging_peers.discard(peer)

    def skip(self) -> None:
        """Records that other VMs announce the version in force."""
        self.announced_version = self.replica.version

    def choose_included(self, now: float) -> Update | None:
        """Returns the change to include in an announcement; None for none."""
        if now - self.included_at < INCLUSION_SECONDS:
            return None
        query = VersionQuery(
            version=self.announced_version, content_hash=0, number=1
        )
        update = self.updates.build(query)
        if update is None or measure_update(update) > INCLUDED_BYTES:
            return None
        self.included_at = now
        return update

    def announce(
        self,
        message: VersionAnswer,
        peers: list[str],
        now: float,
        *,
        update: Update | None = None,
        readers: Container[str] = (),
    ) -> list[Action]:
        """Tells peers which version is in force.

        Args:
            message: The announcement, without a change.
            peers: The receivers.
            now: The host's clock, in seconds.
            update: Change since the last announcement, for those that read it.
            readers: VMs that read it, in addition to `merging_peers`.
        """
        self.announced_version = self.replica.version
        self.announced_at = now
        if update is None:
            return [SendMessage(peer=x, message=message) for x in peers]
        whole = msgspec.structs.replace(
            message, deltas=update.deltas, patches=update.patches
        )
        return [
            SendMessage(
                peer=x,
                message=whole
                if x in self.merging_peers or x in readers
                else message,
            )
            for x in peers
        ]
