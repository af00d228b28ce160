"""Messages of the memberships subsystem; kinds 60 to 79."""

import dataclasses

import msgspec

from rattanroute.tables.members import MemberState


class MemberRecord(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Membership record of a VM in gossip.

    The record is encoded as an array, because field names would double the
    size of a sync.

    Attributes:
        vm_id: Identifier of the VM.
        address: Peer address, as `IP:port`.
        data_centre: Data centre of the VM.
        region: Region of the data centre.
        voter: Whether the VM takes part in the configuration log.
        state: State of the VM in the incarnation.
        incarnation: Incarnation that the state refers to.
        round: Round within the incarnation.
        ready: Whether the VM serves requests.
        draining: Whether the VM is stopping as planned.
        link_mbps: Rate of its link, in Mbit/s; 0 if unknown.
        reads_patches: Whether its release reads merged deltas and patches of
            the configuration.
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
    link_mbps: int = 0
    reads_patches: bool = False

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key of the records of one VM; the newest has the greatest."""
        return self.incarnation, self.round, self.state


class MemberStateUpdate(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """A state change of a VM whose full record the receiver has.

    A receiver that has another incarnation of the VM ignores it. It is a third
    of the size of a record, which determines how fast the two sides of a
    healed partition reinstate each other.
    """

    vm_id: str
    state: MemberState
    incarnation: int
    round: int

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key, as in `MemberRecord`."""
        return self.incarnation, self.round, self.state


GossipItem = MemberRecord | MemberStateUpdate


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """Asks a VM for an `Ack`.

    Attributes:
        sequence: Number that the ack repeats.
        digest: Digest of the sender's present members.
        accused: Incarnation of the receiver that the sender considers
            suspect; -1 when it does not.
        records: Piggybacked member records.
        verdicts: Piggybacked state updates.
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
        records: Piggybacked member records; the first one is the sender's own
            record if the ping accused it.
        verdicts: Piggybacked state updates.
    """

    sequence: int
    subject: str
    digest: int
    records: tuple[MemberRecord, ...] = ()
    verdicts: tuple[MemberStateUpdate, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PingRequest:
    """Asks a VM to ping another VM and to forward its ack."""

    sequence: int
    subject: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gossip:
    """Records and state updates that changed recently."""

    records: tuple[MemberRecord, ...] = ()
    verdicts: tuple[MemberStateUpdate, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """Requests the records of buckets in which the receiver differs.

    Attributes:
        digests: The sender's digest of each bucket.
        record: The sender's own record, so that the receiver of a new
            member's first message need not request it.
    """

    digests: tuple[int, ...]
    record: MemberRecord


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncPiece:
    """Part of the answer to a `SyncRequest`.

    Attributes:
        buckets: Buckets that this part contains completely.
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
