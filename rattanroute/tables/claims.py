"""Claims of idempotency keys that a holder VM has granted."""

from collections.abc import Iterator
import dataclasses
import enum
import hashlib

import msgspec

KEY_ID_BYTES = 16


class ClaimState(enum.IntEnum):
    """State of the request for which a key was claimed."""

    GRANTED = 0
    UNKNOWN = 1
    DONE = 2


class Grant(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A grant that conflicts with the main grant of a claim.

    Attributes:
        grant_id: Identifier of the grant.
        content_hash: Hash of the request's content.
    """

    grant_id: str
    content_hash: str


class Claim(msgspec.Struct, array_like=True, kw_only=True):
    """A claimed key; encoded as an array in messages and files.

    Attributes:
        key_id: Hash of workspace, service and idempotency key.
        grant_id: Identifier of the grant.
        content_hash: Hash of the request's content.
        created_ms: Time of the grant on the granting holder's wall clock, in
            milliseconds since 1970.
        deadline_ms: Time after which a claim without an answer counts as
            unknown, on the same clock, in milliseconds.
        state: State of the request.
        answer: The first answer; None while there is none or when it was too
            large to store.
        rivals: Conflicting grants of the key that were found while copying
            claims from other holders; any of them may be the valid one.
    """

    key_id: bytes
    grant_id: str
    content_hash: str
    created_ms: int
    deadline_ms: int
    state: ClaimState = ClaimState.GRANTED
    answer: bytes | None = None
    rivals: tuple[Grant, ...] = ()

    def has_grant(self, grant_id: str) -> bool:
        """Whether a grant is the main grant or a conflicting one."""
        return self.grant_id == grant_id or any(
            rival.grant_id == grant_id for rival in self.rivals
        )


def hash_key(*, workspace: str, service: str, key: str) -> bytes:
    """Returns the identifier of an idempotency key of one workspace.

    The hash is cryptographic: a caller that can construct hash collisions
    could block a key of another workspace.
    """
    digest = hashlib.blake2b(digest_size=KEY_ID_BYTES)
    for part in (workspace, service, key):
        data = part.encode()
        digest.update(len(data).to_bytes(4, "little"))
        digest.update(data)
    return digest.digest()


@dataclasses.dataclass(kw_only=True, slots=True)
class ClaimTable:
    """Claims by key identifier, oldest first.

    Attributes:
        max_claims: Maximum number of claims; further ones are refused.
        max_answers_bytes: Maximum size of all stored answers, in bytes.
        rows: The claims.
        answers_bytes: Size of the stored answers, in bytes.
    """

    max_claims: int
    max_answers_bytes: int
    rows: dict[bytes, Claim] = dataclasses.field(default_factory=dict)
    answers_bytes: int = 0

    @property
    def full(self) -> bool:
        """Whether the table has reached its maximum number of claims."""
        return len(self.rows) >= self.max_claims

    def get(self, key_id: bytes) -> Claim | None:
        """Returns the claim of a key, or None when there is none."""
        return self.rows.get(key_id)

    def put(self, claim: Claim) -> None:
        """Adds or replaces a claim; drops an answer beyond the size limit."""
        old = self.rows.get(claim.key_id)
        if old is not None and old.answer is not None:
            self.answers_bytes -= len(old.answer)
        if claim.answer is not None:
            size = len(claim.answer)
            if self.answers_bytes + size > self.max_answers_bytes:
                claim.answer = None
            else:
                self.answers_bytes += size
        self.rows[claim.key_id] = claim

    def remove(self, key_id: bytes) -> None:
        """Removes a claim."""
        claim = self.rows.pop(key_id, None)
        if claim is not None and claim.answer is not None:
            self.answers_bytes -= len(claim.answer)

    def remove_before(self, created_ms: int) -> list[bytes]:
        """Removes the leading claims that were created before a time.

        Args:
            created_ms: Wall clock time, in milliseconds since 1970.

        Returns:
            Identifiers of the removed keys.
        """
        removed: list[bytes] = []
        for key_id, claim in self.rows.items():
            if claim.created_ms >= created_ms:
                break
            removed.append(key_id)
        for key_id in removed:
            self.remove(key_id)
        return removed

    def __iter__(self) -> Iterator[Claim]:
        return iter(self.rows.values())

    def __len__(self) -> int:
        return len(self.rows)
