"""Repetition of bans in turn, so that each message stays small."""

from collections.abc import Sequence
import dataclasses

import xxhash

# Bans in one repetition: at most 2.6 KB, of which each voter sends one a
# second to each VM.
MAX_REPEATED_SUSPECTS = 16
# The newest bans are in each repetition: a VM that missed one lets a request
# crash further targets.
NEWEST_SUSPECTS = 4


@dataclasses.dataclass(kw_only=True, slots=True)
class BanRotation:
    """Selects the bans of each repetition, the older ones in turn.

    Attributes:
        vm_id: This VM; each VM begins with other bans.
        position: Number of older bans that were selected.
    """

    vm_id: str
    position: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.position = xxhash.xxh3_64_intdigest(self.vm_id.encode())

    def select(self, names: Sequence[str]) -> list[str]:
        """Returns the fingerprints of the next repetition.

        Args:
            names: Fingerprints of all bans, oldest first.
        """
        older = names[:-NEWEST_SUSPECTS]
        newest = names[-NEWEST_SUSPECTS:]
        count = min(len(older), MAX_REPEATED_SUSPECTS - NEWEST_SUSPECTS)
        start = self.position
        self.position += count
        return [
            *(older[(start + i) % len(older)] for i in range(count)),
            *newest,
        ]


def count_rounds(bans: int) -> int:
    """Returns the number of repetitions that a number of bans takes."""
    older = max(bans - NEWEST_SUSPECTS, 0)
    return max(1, -(-older // (MAX_REPEATED_SUSPECTS - NEWEST_SUSPECTS)))
