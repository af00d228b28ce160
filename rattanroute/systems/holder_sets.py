"""Claim holders of a data centre and the home of an idempotency key.

The home of a key is the data centre whose holders store its claim.
"""

import dataclasses
import hashlib

import xxhash

# Allowed numbers of VMs in a holder set.
ALLOWED_HOLDERS = (1, 3, 5)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HolderSet:
    """The VMs that store the claims of one data centre.

    Attributes:
        home: The data centre.
        holders: Identifiers of the VMs.
        created_ms: Wall-clock time in milliseconds from which the set is in
            force; 0 if operators have not declared it.
    """

    home: str
    holders: tuple[str, ...]
    created_ms: int = 0

    def __post_init__(self) -> None:
        if len(self.holders) not in ALLOWED_HOLDERS:
            raise ValueError(
                f"{self.home} has {len(self.holders)} claim holders; "
                f"allowed are {ALLOWED_HOLDERS}"
            )
        if len(set(self.holders)) != len(self.holders):
            raise ValueError(f"{self.home} names a claim holder twice")

    @property
    def majority(self) -> int:
        """Number of holders that must grant a claim."""
        return len(self.holders) // 2 + 1

    @property
    def read_quorum(self) -> int:
        """Fewest holders that include one that granted any claimed key."""
        return len(self.holders) - self.majority + 1

    @property
    def set_id(self) -> int:
        """Identifier of the set; differs if holders or `created_ms` differ."""
        text = " ".join((self.home, str(self.created_ms), *self.holders))
        digest = hashlib.blake2b(text.encode(), digest_size=7).digest()
        return int.from_bytes(digest, "little")


def choose_home(key: str, data_centres: tuple[str, ...]) -> str:
    """Returns the home data centre of an idempotency key.

    Keys without a data centre prefix are spread by rendezvous hashing.

    Args:
        key: The key; a prefix `<data centre>/` selects the home.
        data_centres: Names of all data centres; not empty.
    """
    prefix, separator, _ = key.partition("/")
    if separator and prefix in data_centres:
        return prefix
    return max(
        data_centres,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f"{name}/{key}".encode()),
            name,
        ),
    )
