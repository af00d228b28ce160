"""Sets of sequence numbers, compact when numbers have few gaps."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class SequenceSet:
    """A set of numbers as sorted disjoint ranges.

    Attributes:
        starts: First number of each range.
        ends: Last number of each range, inclusive.
    """

    starts: list[int] = dataclasses.field(default_factory=list)
    ends: list[int] = dataclasses.field(default_factory=list)

    def add(self, number: int) -> bool:
        """Adds a number and returns whether it is new."""
        if self.ends and self.ends[-1] + 1 == number:
            self.ends[-1] = number
            return True
        position = bisect.bisect_right(self.starts, number)
        if position and number <= self.ends[position - 1]:
            return False
        joins_left = position > 0 and self.ends[position - 1] + 1 == number
        joins_right = (
            position < len(self.starts) and self.starts[position] == number + 1
        )
        if joins_left and joins_right:
            self.ends[position - 1] = self.ends.pop(position)
            del self.starts[position]
        elif joins_left:
            self.ends[position - 1] = number
        elif joins_right:
            self.starts[position] = number
        else:
            self.starts.insert(position, number)
            self.ends.insert(position, number)
        return True

    def __contains__(self, number: int) -> bool:
        position = bisect.bisect_right(self.starts, number)
        return position > 0 and number <= self.ends[position - 1]

    def ranges(self) -> tuple[tuple[int, int], ...]:
        """Returns the ranges as pairs of first and last number."""
        return tuple(zip(self.starts, self.ends, strict=True))

    def missing_from(self, other: "SequenceSet") -> Iterator[int]:
        """Yields the numbers of this set that are missing from the other."""
        for start, end in zip(self.starts, self.ends, strict=True):
            number = start
            while number <= end:
                position = bisect.bisect_right(other.starts, number)
                if position and number <= other.ends[position - 1]:
                    number = other.ends[position - 1] + 1
                    continue
                yield number
                number += 1

    def __len__(self) -> int:
        return sum(self.ends) - sum(self.starts) + len(self.starts)


def build_sequence_set(ranges: Iterable[tuple[int, int]]) -> SequenceSet:
    """Builds a set from sorted disjoint ranges.

    Raises:
        ValueError: If the ranges are not sorted and disjoint.
    """
    result = SequenceSet()
    for start, end in ranges:
        if end < start or (result.ends and start <= result.ends[-1] + 1):
            raise ValueError("ranges are not sorted and disjoint")
        result.starts.append(start)
        result.ends.append(end)
    return result
