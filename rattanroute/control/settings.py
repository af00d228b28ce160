"""Settings that the control plane of a VM needs."""

import dataclasses
import pathlib
from typing import Protocol


class LogStorageSettings(Protocol):
    """Settings of the storage of the configuration log."""

    folder: pathlib.Path | None
    voter: bool
    bootstrap_voters: tuple[str, ...]
    election_s: float
    voter_target: int


class LogSettings(Protocol):
    """Settings that the parts of the configuration log need."""

    vm_id: str
    data_centre: str
    storage: LogStorageSettings


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StorageOptions:
    """The data folder of a VM.

    Attributes:
        folder: Data folder; None without a disk.
        voter: Whether the VM takes part in the configuration log.
        bootstrap_voters: First voters; read only while the folder is empty.
        election_s: Shortest time without a leader before an election, in
            seconds.
        voter_target: Voter count that the log maintains; 0 leaves the
            membership to operators.
    """

    folder: pathlib.Path | None = None
    voter: bool = False
    bootstrap_voters: tuple[str, ...] = ()
    election_s: float = 2.0
    voter_target: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ControlSettings:
    """The settings of a control plane.

    Attributes:
        vm_id: Unique identifier of the VM.
        data_centre: Its data centre.
        region: Region of the data centre.
        peer_address: Address of the listener for peers, as `IP:port`.
        seeds: Peer addresses of a few VMs to join through.
        batch_s: Longest wait before a batch of messages is sent, in seconds.
        address_map: Address to dial instead of the one that a peer advertises.
        neighbours: VMs of its data centre that a VM which is no voter
            contacts by itself, in addition to the voters; 0 for all of them.
        link_mbps: Rate of the link of the VM, in Mbit/s; 0 if unknown. VMs
            with fast links relay configurations to others.
        storage: The data folder.
    """

    vm_id: str
    data_centre: str
    region: str
    peer_address: str
    seeds: tuple[str, ...] = ()
    batch_s: float = 0.005
    neighbours: int = 0
    link_mbps: int = 0
    address_map: dict[str, str] = dataclasses.field(default_factory=dict)
    storage: StorageOptions = StorageOptions()
