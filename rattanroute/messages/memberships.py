"""Messages of the memberships subsystem; kinds 60 to 79."""

import dataclasses

import msgspec

from rattanroute.tables.members import MemberState


class MemberRecord(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """What gossip says of a VM.

    The record is an array on the wire, because field names would double the
    bytes of a sync.

    Attributes:
        vm_id: Identifier of the VM.
        address: Peer address, as `IP:port`.
        data_centre: Data centre of the VM.
        region: Region of the data centre.
        voter: Whether the VM takes part in the configuration log.
        state: State of the VM at the incarnation.
        incarnation: Incarnation that the state refers to.
        round: Round within the incarnation.
        ready: Whether the VM serves requests.
        draining: Whether the VM is stopping as planned.
    """

    vm_id: str
    address: str
    data_centre: str
    region: str
    voter: bool
    state: MemberState
    incarnation: int
    round: int
    ready: bool
    draining: bool

    @property
    def order(self) -> tuple[int, int, int]:
        """Of two records of a VM the one with the greater order is newer."""
        return self.incarnation, self.round, self.state


class MemberStateUpdate(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """A changed state of a VM whose other facts the receiver knows.

    A receiver that knows another incarnation of the VM ignores it. It has a
    third of the bytes of a record, which decides how fast the two sides of a
    healed partition take each other back.
    """

    vm_id: str
    state: MemberState
    incarnation: int
    round: int

    @property
    def order(self) -> tuple[int, int, int]:
        """As in `MemberRecord`."""
        return self.incarnation, self.round, self.state


GossipItem = MemberRecord | MemberStateUpdate


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """Asks a VM for an `Ack`.

    Attributes:
        sequence: Number that the ack repeats.
        digest: Digest of the sender's present members.
        accused: Incarnation at which the sender holds the receiver for
            suspect; -1 when it does not.
        records: Piggybacked gossip.
        verdicts: Piggybacked gossip.
    """

    sequence: int
    digest: int
    accused: int = -1
    records: tuple[MemberRecord, ...] = ()
    verdicts: tuple[MemberStateUpdate, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ack:
    """Answers a `Ping`, or forwards the answer to a `PingRequest`.

    Attributes:
        sequence: Number of the ping or of the ping request.
        subject: The VM that answered; the sender unless forwarded.
        digest: Digest of the sender's present members.
        records: Piggybacked gossip; the first one is the sender's own record
            when the ping accused it.
        verdicts: Piggybacked gossip.
    """

    sequence: int
    subject: str
    digest: int
    records: tuple[MemberRecord, ...] = ()
    verdicts: tuple[MemberStateUpdate, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PingRequest:
    """Asks a VM to ping another one and to forward its ack."""

    sequence: int
    subject: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gossip:
    """Records and verdicts that changed lately."""

    records: tuple[MemberRecord, ...] = ()
    verdicts: tuple[MemberStateUpdate, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """Asks for the records in which the receiver's table differs.

    Attributes:
        digests: The sender's digest of each bucket.
        record: The sender's own record, so that the receiver of a newcomer's
            first message need not ask back.
    """

    digests: tuple[int, ...]
    record: MemberRecord


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncPiece:
    """One piece of the answer to a `SyncRequest`.

    Attributes:
        buckets: Buckets that the piece contains completely.
        records: Present members of these buckets.
        more: Whether further buckets differ.
    """

    buckets: tuple[int, ...]
    records: tuple[MemberRecord, ...]
    more: bool


KINDS: dict[int, type] = {
    60: Ping,
    61: Ack,
    62: PingRequest,
    63: Gossip,
    64: SyncRequest,
    65: SyncPiece,
}
