"""Settings of a daemon: defaults, loading and validation."""

import pathlib
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import pydantic
import yaml

from rattanroute.addresses import parse_address
from rattanroute.errors import SettingsError
from rattanroute.systems.hedges import HEDGE_PERCENTILE
from rattanroute.systems.hedges import HEDGE_RATIO

BYTES_PER_MB = 1_000_000
# A request within the limits is served when there is no pressure.
MIN_BODIES_IN_BUDGET = 4


class Section(pydantic.BaseModel):
    """A group of settings; unknown names are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ListenSettings(Section):
    """Addresses that the daemon listens on, as `IP:port`."""

    callers: str = pydantic.Field(
        default="127.0.0.1:8080", description="HTTP interface for clients."
    )
    targets: str = pydantic.Field(
        default="127.0.0.1:8081",
        description="HTTP interface on which targets announce themselves.",
    )
    peers: str = pydantic.Field(
        default="127.0.0.1:8082", description="gRPC interface for peers."
    )
    operators: str = pydantic.Field(
        default="127.0.0.1:8083", description="gRPC interface for operators."
    )
    source: str = pydantic.Field(
        default="",
        description=(
            "Source IP address of connections to targets; if empty, the "
            "operating system chooses it."
        ),
    )

    @pydantic.field_validator("callers", "targets", "peers", "operators")
    @classmethod
    def check_address(cls, value: str) -> str:
        """Checks that an address has the form `IP:port`."""
        parse_address(value)
        return value


class PeersSettings(Section):
    """How the daemon finds other daemons and communicates with them."""

    seeds: tuple[str, ...] = pydantic.Field(
        default=(),
        description="Peer addresses (`IP:port`) of a few VMs to join through.",
    )
    advertise: str = pydantic.Field(
        default="",
        description=(
            "Peer address that is advertised to other daemons; default "
            "`listen.peers`."
        ),
    )
    address_map: dict[str, str] = pydantic.Field(
        default_factory=dict,
        description=(
            "Address to dial instead of an advertised one, for networks with "
            "address translation."
        ),
    )
    batch_ms: float = pydantic.Field(
        default=5.0,
        ge=0,
        le=1000,
        description="Longest wait before a batch of messages is sent.",
    )


class StorageSettings(Section):
    """The data folder of a VM with a disk."""

    folder: pathlib.Path | None = pydantic.Field(
        default=None,
        description="Data folder; a VM without one keeps no state on disk.",
    )
    voter: bool = pydantic.Field(
        default=False,
        description="Whether the VM takes part in the configuration log.",
    )
    bootstrap_voters: tuple[str, ...] = pydantic.Field(
        default=(),
        description=(
            "VM identifiers of the initial voters; read only while the data "
            "folder is empty."
        ),
    )
    election_s: float = pydantic.Field(
        default=2.0,
        ge=0.5,
        le=60,
        description=(
            "Shortest time without a leader before another voter stands for "
            "election; the same on all voters. It must cover pauses of a "
            "process and lost packets."
        ),
    )
    voter_target: int = pydantic.Field(
        default=0,
        ge=0,
        description=(
            "Number of voters that the configuration log maintains by itself: "
            "VMs with a disk that announce themselves join, and replace "
            "voters that do not respond. 0 leaves the membership to operators."
        ),
    )


class LimitsSettings(Section):
    """Limits that bound memory and time."""

    max_body_bytes: int = pydantic.Field(
        default=1_048_576, gt=0, description="Largest request body."
    )
    client_memory_mb: float = pydantic.Field(
        default=48.0,
        gt=0,
        description=(
            "Memory that clients, targets, and peers and operators before "
            "their authentication may make the daemon hold: partial requests, "
            "bodies and unread answers. Above it, the costliest connections "
            "are refused. It never counts as less than four times "
            "`max_body_bytes`."
        ),
    )
    max_client_connections: int = pydantic.Field(
        default=0,
        ge=0,
        description=(
            "Largest number of connections to all listeners together; idle "
            "ones are closed first. 0 derives it from the limit on open files, "
            "of which 200 are reserved."
        ),
    )
    max_json_depth: int = pydantic.Field(
        default=32, gt=0, description="Deepest nesting of a JSON body."
    )
    body_timeout_s: float = pydantic.Field(
        default=10.0, gt=0, description="Longest time to receive a body."
    )
    default_deadline_s: float = pydantic.Field(
        default=60.0, gt=0, description="Deadline of a request without one."
    )
    max_queued: int = pydantic.Field(
        default=1000, gt=0, description="Requests that may wait for a slot."
    )
    max_queue_wait_s: float = pydantic.Field(
        default=30.0,
        gt=0,
        description=(
            "Longest expected wait of a request that is queued; one with a "
            "longer expected wait is refused immediately, with a "
            "`Retry-After` header. About 1.2 keeps the time to the first "
            "token within 1.6 s also under overload, at the cost of more "
            "refusals."
        ),
    )
    shutdown_grace_s: float = pydantic.Field(
        default=120.0,
        gt=0,
        description="Longest time a graceful shutdown waits for requests.",
    )

    @property
    def client_memory_bytes(self) -> int:
        """Memory that clients may hold; it has room for a few bodies."""
        return max(
            int(self.client_memory_mb * BYTES_PER_MB),
            MIN_BODIES_IN_BUDGET * self.max_body_bytes,
        )


class TargetsSettings(Section):
    """How targets are monitored."""

    heartbeat_timeout_s: float = pydantic.Field(
        default=2.5,
        gt=0,
        le=3.0,
        description=(
            "Age of the last heartbeat after which a target gets no new "
            "work; at most 3 s, after which no VM may send new work to a "
            "target that has left."
        ),
    )
    token_file: pathlib.Path | None = pydantic.Field(
        default=None,
        description="File with the bearer token that targets must present.",
    )


class PlacementSettings(Section):
    """When the leader orders targets to load another model or version."""

    hold_s: float = pydantic.Field(
        default=30.0,
        ge=0,
        description=(
            "Time for which a shortage of replicas, layers or adapters must "
            "persist before a target is ordered to load them, so that short "
            "peaks cause no loads."
        ),
    )
    cooldown_s: float = pydantic.Field(
        default=300.0,
        ge=0,
        description=(
            "Time after an order during which its target gets no other one, "
            "because each load temporarily reduces capacity."
        ),
    )


class HedgingSettings(Section):
    """When a late request without streaming also goes to a second target."""

    ratio: float = pydantic.Field(
        default=HEDGE_RATIO,
        ge=0,
        le=1,
        description="Hedges per request; 0 switches hedging off.",
    )
    per_second: float | None = pydantic.Field(
        default=None,
        gt=0,
        description="Most hedges of this VM per second; no limit by default.",
    )
    percentile: float = pydantic.Field(
        default=HEDGE_PERCENTILE,
        ge=50,
        lt=100,
        description=(
            "Percentile of the recent times of a model past which an attempt "
            "counts as late."
        ),
    )


class SecuritySettings(Section):
    """Authentication of operators and peers."""

    operators_token_file: pathlib.Path | None = pydantic.Field(
        default=None,
        description=(
            "File with operators' bearer tokens, one per line, as `token` or "
            "`name token`; it is read again when it changes."
        ),
    )
    peers_token_file: pathlib.Path | None = pydantic.Field(
        default=None,
        description=(
            "File with peers' bearer tokens; all are accepted and the first "
            "one is sent. It is read again when it changes."
        ),
    )
    certificate_file: pathlib.Path | None = pydantic.Field(
        default=None,
        description=(
            "Certificate chain for mutual TLS with peers and operators; "
            "without it connections are not encrypted."
        ),
    )
    key_file: pathlib.Path | None = pydantic.Field(
        default=None, description="Private key of the certificate."
    )
    authority_file: pathlib.Path | None = pydantic.Field(
        default=None,
        description=(
            "Certificates of the authorities that sign the certificates of "
            "peers and operators."
        ),
    )

    @pydantic.model_validator(mode="after")
    def check_certificate(self) -> "SecuritySettings":
        """Checks that either all files of mutual TLS are set or none."""
        files = (self.certificate_file, self.key_file, self.authority_file)
        if any(files) and not all(files):
            raise ValueError(
                "certificate_file, key_file and authority_file belong together"
            )
        return self


class TelemetrySettings(Section):
    """Logs and traces."""

    log_level: str = pydantic.Field(
        default="INFO",
        pattern="^(DEBUG|INFO|WARNING|ERROR)$",
        description="Least severe level that is logged.",
    )
    trace_file: pathlib.Path | None = pydantic.Field(
        default=None, description="File to which spans are appended as JSON."
    )
    otlp_endpoint: str = pydantic.Field(
        default="", description="OTLP/HTTP endpoint for spans; empty for none."
    )


class DaemonSettings(Section):
    """All settings of a daemon."""

    vm_id: str = pydantic.Field(
        pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$",
        description="Unique identifier of the VM.",
    )
    data_centre: str = pydantic.Field(
        pattern=r"^[a-z0-9][a-z0-9-]{0,62}$",
        description="Data centre of the VM.",
    )
    region: str = pydantic.Field(
        default="local",
        pattern=r"^[a-z0-9][a-z0-9-]{0,62}$",
        description="Region of the data centre.",
    )
    data_centres: tuple[str, ...] = pydantic.Field(
        default=(),
        description=(
            "Names of all data centres; the home of an idempotency key "
            "without a prefix is chosen among them."
        ),
    )
    claim_holders: dict[str, tuple[str, ...]] = pydantic.Field(
        default_factory=dict,
        description=(
            "Identifiers of the VMs that hold the claims of idempotency keys, "
            "by data centre; 1, 3 or 5 for each."
        ),
    )
    claim_sets_created_ms: dict[str, int] = pydantic.Field(
        default_factory=dict,
        description=(
            "Time from which the claim holders of each data centre are "
            "active, in milliseconds since 1970. Declare a time in the near "
            "future and start the holders before it; a holder that starts "
            "later without stored claims first copies them from the others. "
            "A new time declares a new set, which forgets all earlier keys."
        ),
    )
    listen: ListenSettings = ListenSettings()
    peers: PeersSettings = PeersSettings()
    storage: StorageSettings = StorageSettings()
    limits: LimitsSettings = LimitsSettings()
    targets: TargetsSettings = TargetsSettings()
    placement: PlacementSettings = PlacementSettings()
    hedging: HedgingSettings = HedgingSettings()
    security: SecuritySettings = SecuritySettings()
    telemetry: TelemetrySettings = TelemetrySettings()

    @pydantic.model_validator(mode="after")
    def check_consistency(self) -> "DaemonSettings":
        """Checks that settings do not contradict each other."""
        if self.storage.voter and self.storage.folder is None:
            raise ValueError("storage.voter needs storage.folder")
        if self.data_centres and self.data_centre not in self.data_centres:
            raise ValueError("data_centres does not contain data_centre")
        return self

    @property
    def peer_address(self) -> str:
        """Address at which other daemons reach this one."""
        return self.peers.advertise or self.listen.peers


def describe_problem(problem: dict[str, Any]) -> str:
    """Returns one line with the path of a setting, the error and the value."""
    path = ".".join(str(part) for part in problem["loc"]) or "settings"
    if problem["type"] == "extra_forbidden":
        return f"{path}: unknown setting"
    if problem["type"] == "missing":
        return f"{path}: required setting is missing"
    value = problem.get("input")
    shown = "" if isinstance(value, dict) else f" (value {value!r})"
    return f"{path}: {problem['msg']}{shown}"


def load_settings(
    path: pathlib.Path,
) -> Result[DaemonSettings, SettingsError]:
    """Loads and validates a YAML settings file.

    Args:
        path: The file.

    Returns:
        The settings, or an error that names each invalid setting.
    """
    try:
        data = yaml.safe_load(path.read_text(encoding="utf-8"))
        return Ok(DaemonSettings.model_validate(data or {}))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        message = " ".join(str(error).split())
    except pydantic.ValidationError as error:
        message = "; ".join(describe_problem(p) for p in error.errors())
    return Error(
        SettingsError(step="load settings", peer=str(path), message=message)
    )
