"""Decodes the settings file that the platform writes for a process."""

import pathlib

import msgspec

from rattanroute.addresses import parse_address
from rattanroute.control.settings import ControlSettings
from rattanroute.control.settings import StorageOptions
from rattanroute.errors import SettingsError

PATH_VARIABLE = "RATTANROUTE_BOOT"
# After a restart a leader must be elected within `contactMs`, of which the
# start of the process takes a second. The timeout covers two retransmissions
# of a lost packet and a pause of the process.
ELECTION_SECONDS = 0.8
# Members of its zone that probe a front, in addition to the core machines.
LOCAL_PROBE_PEERS = 2


class ListenSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Listen addresses of the role, as `IP:port`; empty if not served.

    Attributes:
        front: Address for client requests.
        ready: Address for readiness checks.
        control: Address for replicas and operators.
    """

    front: str = ""
    ready: str = ""
    control: str = ""


class DeploymentLimits(
    msgspec.Struct, frozen=True, kw_only=True, rename="camel"
):
    """Time and retry limits of the deployment.

    Attributes:
        grace_s: Seconds from SIGTERM to SIGKILL.
        retry_budget_ratio: Retries allowed for each request.
        budget_window_s: Seconds of the window in which retries are counted.
        budget_extra: Additional retries of the whole system in a window.
        config_apply_ms: Milliseconds after the acknowledgement of a
            configuration within which it is in force on all machines.
        stall_ms: Milliseconds after which an engine aborts a request that
            waits for a failed engine of its chain.
    """

    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_extra: float = 0.0
    config_apply_ms: float = 2000.0
    stall_ms: float = msgspec.field(name="stall_ms", default=2000.0)


class MachineLimits(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Size of the machine.

    Attributes:
        link_mbps: Rate of its link, in Mbit/s; 0 if unknown.
        memory_mb: Memory in MB; 0 if unknown.
        max_fds: File descriptors of a process; 0 if unknown.
    """

    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0


class FaultToleranceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Number of machines that may fail at the same time."""

    machines: int = 1


class BootSettings(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Content of the settings file.

    Attributes:
        node: Name of the machine.
        ip: Own address; used as the identifier of the VM, since a machine
            that replaces another one has the same name.
        zone: Data centre of the machine.
        zones: Regions of the data centres, by name of the data centre.
        internal_port_range: First and last port for internal connections.
        seeds: Control addresses of some machines; ports are the same on all
            machines, so the peer addresses are derived from them.
        bootstrap: Whether the whole system starts for the first time.
        data_dir: Folder of the replicated log; None if the VM is no voter.
        peer_routes: Addresses to dial instead of the peers' own addresses.
            Only tests behind a proxy set it; the platform does not.
    """

    node: str
    ip: str
    zone: str
    region: str = "local"
    zones: dict[str, str] = {}
    listen: ListenSettings = ListenSettings()
    internal_port_range: tuple[int, int]
    seeds: list[str] = []
    bootstrap: bool = False
    data_dir: str | None = None
    bounds: DeploymentLimits = DeploymentLimits()
    limits: MachineLimits = MachineLimits()
    fault_tolerance: FaultToleranceSettings = FaultToleranceSettings()
    peer_routes: dict[str, str] = {}

    @property
    def peer_port(self) -> int:
        """Port for the connections between VMs."""
        return self.internal_port_range[0]

    @property
    def metrics_port(self) -> int:
        """Port of the metrics listener."""
        return self.internal_port_range[0] + 1

    @property
    def tunnel_port(self) -> int:
        """Port for VMs that ask for connections to targets."""
        return self.internal_port_range[0] + 2


DECODER = msgspec.json.Decoder(BootSettings)


def load_boot_settings(path: pathlib.Path) -> BootSettings:
    """Reads the settings file.

    Raises:
        SettingsError: If the file cannot be read or a setting is invalid.
    """
    try:
        boot = DECODER.decode(path.read_bytes())
        for address in (*boot.seeds, *filter(None, list_addresses(boot))):
            parse_address(address)
    except (OSError, ValueError) as error:
        raise SettingsError(
            step="load settings", peer=str(path), message=str(error)
        ) from error
    return boot


def list_addresses(boot: BootSettings) -> tuple[str, ...]:
    """Returns the addresses that the process listens on."""
    return boot.listen.front, boot.listen.ready, boot.listen.control


def build_control_settings(boot: BootSettings) -> ControlSettings:
    """Returns the settings of the control plane."""
    hosts = [parse_address(seed)[0] for seed in boot.seeds]
    voters = tuple(hosts)
    if not boot.bootstrap:
        # A VM with an empty folder joins the existing log; it must not start a
        # new one by voting for itself.
        voters = tuple(host for host in hosts if host != boot.ip)
    folder = pathlib.Path(boot.data_dir) if boot.data_dir else None
    return ControlSettings(
        vm_id=boot.ip,
        data_centre=boot.zone,
        region=boot.region,
        peer_address=f"{boot.ip}:{boot.peer_port}",
        seeds=tuple(f"{host}:{boot.peer_port}" for host in hosts),
        address_map=boot.peer_routes,
        neighbours=LOCAL_PROBE_PEERS,
        link_mbps=round(boot.limits.link_mbps),
        storage=StorageOptions(
            folder=folder,
            voter=folder is not None,
            bootstrap_voters=voters,
            election_s=ELECTION_SECONDS,
            voter_target=2 * boot.fault_tolerance.machines + 1,
        ),
    )
