"""Sets of targets that can be sampled in constant time.

A pool holds the targets that serve one model, version and adapter. Its open
sets contain the targets that may have a free slot, so that a routing decision
examines a few samples, independent of the number of targets. Membership in an
open set is a hint: the reader checks each sample and removes targets that
cannot take work; the next report of a target adds it again.
"""

import collections
from collections.abc import Iterable
import dataclasses
import random as randoms
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanroute.tables.targets import Target


# Freed slots stored per pool; the next target reports cover older ones.
MAX_FREED = 16


class PoolKey(NamedTuple):
    """Requirements of a request; empty fields match any value."""

    model: str
    version: str = ""
    adapter: str = ""


@dataclasses.dataclass(kw_only=True, slots=True)
class SampledSet:
    """A set of targets with uniform sampling in constant time.

    Attributes:
        rows: The targets, in no particular order.
        positions: Index in `rows` by target identifier.
    """

    rows: list["Target"] = dataclasses.field(default_factory=list)
    positions: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(self, row: "Target") -> None:
        """Adds a target unless it is present."""
        target_id = row.report.target_id
        if target_id not in self.positions:
            self.positions[target_id] = len(self.rows)
            self.rows.append(row)

    def discard(self, target_id: str) -> None:
        """Removes a target by moving the last one to its position."""
        position = self.positions.pop(target_id, None)
        if position is None:
            return
        last = self.rows.pop()
        if position < len(self.rows):
            self.rows[position] = last
            self.positions[last.report.target_id] = position

    def pick(self, random: randoms.Random) -> "Target":
        """Returns a uniform random sample; the set must not be empty."""
        return self.rows[int(random.random() * len(self.rows))]

    def __len__(self) -> int:
        return len(self.rows)


@dataclasses.dataclass(kw_only=True, slots=True)
class Pool:
    """Targets that serve one key.

    Attributes:
        members: All targets of the key.
        open: Targets that may have a free slot.
        zones: The open targets of each data centre.
        freed: Targets on which attempts of this VM ended, oldest first. Other
            VMs see such a free slot only in the target's next report.
    """

    members: SampledSet = dataclasses.field(default_factory=SampledSet)
    open: SampledSet = dataclasses.field(default_factory=SampledSet)
    zones: dict[str, SampledSet] = dataclasses.field(default_factory=dict)
    freed: collections.deque["Target"] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_FREED)
    )

    def add_open(self, row: "Target") -> None:
        """Adds a target to the open sets."""
        self.open.add(row)
        zone = self.zones.get(row.report.data_centre)
        if zone is None:
            zone = self.zones[row.report.data_centre] = SampledSet()
        zone.add(row)

    def discard_open(self, row: "Target") -> None:
        """Removes a target from the open sets."""
        self.open.discard(row.report.target_id)
        zone = self.zones.get(row.report.data_centre)
        if zone is not None:
            zone.discard(row.report.target_id)


@dataclasses.dataclass(kw_only=True, slots=True)
class PoolIndex:
    """Pools by key, and targets by hash of a cached prefix."""

    pools: dict[PoolKey, Pool] = dataclasses.field(default_factory=dict)
    holders: dict[int, list["Target"]] = dataclasses.field(default_factory=dict)

    def insert(self, row: "Target") -> None:
        """Adds a target to its pools."""
        for key in row.keys:
            pool = self.pools.setdefault(key, Pool())
            pool.members.add(row)
        for prefix in row.prefixes:
            self.holders.setdefault(prefix, []).append(row)

    def delete(self, row: "Target") -> None:
        """Removes a target from its pools."""
        for key in row.keys:
            pool = self.pools[key]
            pool.members.discard(row.report.target_id)
            pool.discard_open(row)
            if not len(pool.members):
                del self.pools[key]
        self.remove_prefixes(row, row.prefixes)

    def open(self, row: "Target") -> None:
        """Marks a target as one that may have a free slot."""
        for key in row.keys:
            self.pools[key].add_open(row)

    def record_freed(self, row: "Target") -> None:
        """Records that an attempt of this VM ended on a target."""
        for key in row.keys:
            self.pools[key].freed.append(row)

    def close(self, row: "Target") -> None:
        """Marks a target as one that currently takes no work."""
        for key in row.keys:
            pool = self.pools.get(key)
            if pool is not None:
                pool.discard_open(row)

    def change_prefixes(self, row: "Target", prefixes: tuple[int, ...]) -> None:
        """Replaces the cached prefixes of a target."""
        old = set(row.prefixes)
        new = set(prefixes)
        self.remove_prefixes(row, old - new)
        for prefix in new - old:
            self.holders.setdefault(prefix, []).append(row)
        row.prefixes = prefixes

    def remove_prefixes(self, row: "Target", prefixes: Iterable[int]) -> None:
        """Removes a target from the holders of some prefixes."""
        for prefix in prefixes:
            rows = self.holders[prefix]
            rows.remove(row)
            if not rows:
                del self.holders[prefix]
