"""Links between data centres, with their measured delay and bandwidth."""

import dataclasses

LOCAL_DELAY_S = 0.0001
LOCAL_BYTES_PER_SECOND = 1.25e9
UNKNOWN_DELAY_S = 0.0005
UNKNOWN_BYTES_PER_SECOND = 1.25e8
"""Assumed for a pair of data centres without a measurement."""
MEASUREMENT_WEIGHT = 0.2
"""Weight of a new measurement in the stored value."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Link:
    """A link in one direction.

    Attributes:
        delay_s: One-way delay, in seconds.
        bytes_per_second: Bandwidth, in bytes per second.
    """

    delay_s: float
    bytes_per_second: float

    def seconds(self, size: int) -> float:
        """Returns the transfer time of `size` bytes, in seconds."""
        return self.delay_s + size / self.bytes_per_second


@dataclasses.dataclass(kw_only=True, slots=True)
class LinkTable:
    """Links by sending and receiving data centre."""

    rows: dict[tuple[str, str], Link] = dataclasses.field(default_factory=dict)

    def get(self, source: str, destination: str) -> Link:
        """Returns the measured link, else the reverse one, else a default."""
        found = self.rows.get((source, destination))
        found = found or self.rows.get((destination, source))
        if found is not None:
            return found
        if source == destination:
            return Link(
                delay_s=LOCAL_DELAY_S, bytes_per_second=LOCAL_BYTES_PER_SECOND
            )
        return Link(
            delay_s=UNKNOWN_DELAY_S, bytes_per_second=UNKNOWN_BYTES_PER_SECOND
        )

    def record(
        self,
        *,
        source: str,
        destination: str,
        delay_s: float | None = None,
        bytes_per_second: float | None = None,
    ) -> None:
        """Adds a measurement of the delay, the bandwidth or both."""
        key = (source, destination)
        link = self.rows.get(key)
        if link is None:
            link = dataclasses.replace(self.get(source, destination))
            link.delay_s = delay_s or link.delay_s
            link.bytes_per_second = bytes_per_second or link.bytes_per_second
            self.rows[key] = link
            return
        if delay_s is not None:
            link.delay_s += MEASUREMENT_WEIGHT * (delay_s - link.delay_s)
        if bytes_per_second is not None:
            change = bytes_per_second - link.bytes_per_second
            link.bytes_per_second += MEASUREMENT_WEIGHT * change
