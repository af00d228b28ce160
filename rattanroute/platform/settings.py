"""Decodes the platform's settings file of a process."""

import pathlib

import msgspec

from rattanroute.addresses import parse_address
from rattanroute.control.settings import ControlSettings
from rattanroute.control.settings import StorageOptions
from rattanroute.errors import SettingsError

PATH_VARIABLE = "RATTANROUTE_BOOT"
# The core must lead again within `contactMs` after a restart, of which the
# start of a process takes a second. It covers two retransmissions of a lost
# packet and a pause of the process.
ELECTION_SECONDS = 0.8
# Members of its zone that probe a front beside the core machines.
NEIGHBOURS = 2


class Listen(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of what the role serves, as `IP:port`.

    Attributes:
        front: For requesters.
        ready: For the question whether the process takes requesters.
        control: For replicas and operators.
    """

    front: str = ""
    ready: str = ""
    control: str = ""


class Bounds(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Figures of the deployment that the process acts on.

    Attributes:
        grace_s: Time from SIGTERM to SIGKILL.
        retry_budget_ratio: Further attempts for each request.
        budget_window_s: Window in which further attempts are counted.
        budget_extra: Further attempts of the whole system in a window.
        stall_ms: Time after which engines end work that waits for a dead one.
    """

    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_extra: float = 0.0
    stall_ms: float = msgspec.field(name="stall_ms", default=2000.0)


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """What may be lost at once."""

    machines: int = 1


class Boot(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """The settings file.

    Attributes:
        ip: Own address; used as the identifier of the VM, since a machine
            that replaces another one has the same name.
        zone: Data centre.
        seeds: Control addresses of some machines; those of the other ports
            follow, as ports are the same on all machines.
        bootstrap: Whether the whole system starts for the first time.
        peer_routes: Address to dial in place of a peer's own one. A setting
            of our own for tests behind a proxy; the platform does not send it.
    """

    node: str
    ip: str
    zone: str
    region: str = "local"
    zones: dict[str, str] = {}
    listen: Listen = Listen()
    internal_port_range: tuple[int, int]
    seeds: list[str] = []
    bootstrap: bool = False
    data_dir: str | None = None
    bounds: Bounds = Bounds()
    fault_tolerance: Tolerance = Tolerance()
    peer_routes: dict[str, str] = {}

    @property
    def peer_port(self) -> int:
        """Port for the connections between VMs."""
        return self.internal_port_range[0]

    @property
    def metrics_port(self) -> int:
        """Port of the metrics."""
        return self.internal_port_range[0] + 1


DECODER = msgspec.json.Decoder(Boot)


def load_boot(path: pathlib.Path) -> Boot:
    """Reads the settings file.

    Raises:
        SettingsError: If it cannot be read or a setting is wrong.
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


def list_addresses(boot: Boot) -> tuple[str, ...]:
    """Returns the addresses that the process listens on."""
    return boot.listen.front, boot.listen.ready, boot.listen.control


def build_settings(boot: Boot) -> ControlSettings:
    """Returns the settings of the control plane."""
    hosts = [parse_address(seed)[0] for seed in boot.seeds]
    voters = tuple(hosts)
    if not boot.bootstrap:
        # An empty folder joins a log that exists; it founds no new one.
        voters = tuple(host for host in hosts if host != boot.ip)
    folder = pathlib.Path(boot.data_dir) if boot.data_dir else None
    return ControlSettings(
        vm_id=boot.ip,
        data_centre=boot.zone,
        region=boot.region,
        peer_address=f"{boot.ip}:{boot.peer_port}",
        seeds=tuple(f"{host}:{boot.peer_port}" for host in hosts),
        address_map=boot.peer_routes,
        neighbours=NEIGHBOURS,
        storage=StorageOptions(
            folder=folder,
            voter=folder is not None,
            bootstrap_voters=voters,
            election_s=ELECTION_SECONDS,
            voter_target=2 * boot.fault_tolerance.machines + 1,
        ),
    )
