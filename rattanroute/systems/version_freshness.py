"""How current the configuration in force of a VM is."""

import dataclasses
import math
from typing import Protocol

from rattanroute.tables.configuration_replicas import ConfigurationReplica


class LogFreshnessSource(Protocol):
    """Reports on a voter how current its applied log is."""

    def confirmed_age_s(self, now: float) -> float | None:
        """Returns the time since the applied state was confirmed as current.

        Args:
            now: The host's monotonic clock, in seconds.

        Returns:
            Seconds since a majority confirmed that this voter has applied
            all committed entries; None if that never happened.
        """
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionObservation:
    """A version that was current at some time.

    Attributes:
        version: The version.
        content_hash: Hash of the configuration at that version.
        at: Time at which it was current, in seconds of the monotonic clock of
            this VM.
    """

    version: int
    content_hash: int
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationLag:
    """How far the configuration in force may be behind the newest one.

    Attributes:
        version: Version in force.
        known_version: Latest version that this VM has heard of.
        age_s: Seconds since the version in force was last known to be
            current; None if it never was.
    """

    version: int = 0
    known_version: int = 0
    age_s: float | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class VersionFreshness:
    """Records which versions were current when.

    Attributes:
        replica: The configuration in force.
        voter: Freshness of the log on a voter; None on other VMs.
        last_current_at: Latest time at which the replica was known to be
            current; None if it never was.
        pending: Latest observed version that the replica has not reached.
        pending_since: Time since which there is one.
    """

    replica: ConfigurationReplica
    voter: LogFreshnessSource | None = None
    last_current_at: float | None = None
    pending: VersionObservation | None = None
    pending_since: float = 0.0

    @property
    def known_version(self) -> int:
        """Latest version that this VM has heard of."""
        if self.pending is None:
            return self.replica.version
        return max(self.pending.version, self.replica.version)

    def age_s(self, now: float) -> float | None:
        """Returns the age of the configuration in force.

        Returns:
            Seconds since the version was last known to be current, without
            the transfer time of messages; None if it never was.
        """
        self.update_log_freshness(now)
        if self.last_current_at is None:
            return None
        return max(now - self.last_current_at, 0.0)

    def measure_lag(self, now: float) -> ConfigurationLag:
        """Returns how far the configuration in force may be behind."""
        version = self.replica.version
        return ConfigurationLag(
            version=version,
            known_version=self.known_version,
            age_s=self.age_s(now),
        )

    def update_log_freshness(self, now: float) -> None:
        """Updates the age of the configuration from the log on a voter."""
        if self.voter is None:
            return
        age = self.voter.confirmed_age_s(now)
        if age is not None:
            at = now - age
            self.last_current_at = max(at, self.last_current_at or at)

    def is_confirmed(self, now: float, within_s: float) -> bool:
        """Whether the version in force was known to be current recently.

        Args:
            now: The host's clock, in seconds.
            within_s: Seconds that may have passed since.
        """
        age = self.age_s(now)
        return self.pending is None and age is not None and age <= within_s

    def record_observation(
        self, *, version: int, content_hash: int, at: float, now: float
    ) -> None:
        """Records that a version was current at a time of this VM's clock."""
        observation = VersionObservation(
            version=version, content_hash=content_hash, at=at
        )
        self.record_pending(observation, now)
        for evidence in (observation, self.pending):
            if self.was_current(evidence):
                at = max(evidence.at, self.last_current_at or evidence.at)
                self.last_current_at = at if math.isfinite(at) else None
        self.drop_pending()

    def drop_pending(self) -> None:
        """Forgets an observed version that is in force."""
        pending = self.pending
        if pending is not None and self.replica.version >= pending.version:
            self.pending = None

    def record_pending(
        self, observation: VersionObservation, now: float
    ) -> None:
        """Records a version that this VM may lack."""
        pending = self.pending
        order = (observation.version, observation.at)
        if pending is None:
            self.pending_since = now
        if pending is None or order > (pending.version, pending.at):
            self.pending = observation

    def was_current(self, evidence: VersionObservation) -> bool:
        """Whether the version in force was current at the observed time.

        A version later than the observed one counts too, as versions only
        grow.
        """
        if self.replica.version == evidence.version:
            return self.replica.content_hash == evidence.content_hash
        return self.replica.version > evidence.version
