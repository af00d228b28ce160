"""Hosts of a local cluster: their addresses, ports and descriptions."""

import dataclasses
import random
import socket

CALLERS_PORT = 8080
TARGETS_PORT = 8081
PEERS_PORT = 8082
OPERATORS_PORT = 8083
TARGET_PORT = 9000
LOCK_PORT = 8099
OPERATORS_TOKEN = "operators-token"


@dataclasses.dataclass(kw_only=True)
class Vm:
    """A VM of a local cluster.

    Attributes:
        name: Identifier.
        data_centre: Its data centre.
        address: IP number.
        voter: Whether it takes part in the configuration log.
    """

    name: str
    data_centre: str
    address: str
    voter: bool

    @property
    def callers_url(self) -> str:
        """Base URL of the callers' interface."""
        return f"http://{self.address}:{CALLERS_PORT}"

    @property
    def operators_address(self) -> str:
        """Address of the operators' interface."""
        return f"{self.address}:{OPERATORS_PORT}"

    @property
    def peers_address(self) -> str:
        """Address of the peers' interface."""
        return f"{self.address}:{PEERS_PORT}"


@dataclasses.dataclass(kw_only=True)
class StandIn:
    """A stand-in target of a local cluster.

    Attributes:
        name: Identifier.
        data_centre: Its data centre.
        address: IP number.
        module: Module that runs it.
        configuration: Contents of its configuration file.
    """

    name: str
    data_centre: str
    address: str
    module: str
    configuration: dict[str, object]

    @property
    def url(self) -> str:
        """Base URL, not through the proxy."""
        return f"http://{self.address}:{TARGET_PORT}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ToolResult:
    """What a run of the operators' tool gave."""

    code: int
    output: str
    errors: str


def reserve_network() -> tuple[socket.socket, str]:
    """Reserves a /16 of the loopback range for one cluster.

    Returns:
        A socket that holds the reservation, and the first two numbers.
    """
    numbers = list(range(2, 250))
    random.shuffle(numbers)
    for number in numbers:
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            lock.bind((f"127.{number}.0.1", LOCK_PORT))
            return lock, f"127.{number}"
        except OSError:
            lock.close()
    raise RuntimeError("all loopback networks are in use")


def merge_settings(
    base: dict[str, object], changes: dict[str, object]
) -> dict[str, object]:
    """Merges nested settings; a value of `changes` goes first."""
    merged = dict(base)
    for name, value in changes.items():
        known = merged.get(name)
        if isinstance(known, dict) and isinstance(value, dict):
            merged[name] = merge_settings(known, value)
        else:
            merged[name] = value
    return merged
