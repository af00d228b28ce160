"""Hosts of a local cluster: addresses, ports, VMs and targets."""

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
        address: IP address.
        voter: Whether it stores and votes on the configuration log.
    """

    name: str
    data_centre: str
    address: str
    voter: bool

    @property
    def callers_url(self) -> str:
        """Base URL of the client interface."""
        return f"http://{self.address}:{CALLERS_PORT}"

    @property
    def operators_address(self) -> str:
        """Address of the operator interface."""
        return f"{self.address}:{OPERATORS_PORT}"

    @property
    def peers_address(self) -> str:
        """Address of the peer interface."""
        return f"{self.address}:{PEERS_PORT}"


@dataclasses.dataclass(kw_only=True)
class StandInTarget:
    """A stand-in target of a local cluster.

    Attributes:
        name: Identifier.
        data_centre: Its data centre.
        address: IP address.
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
        """Base URL of a direct connection, without the proxy."""
        return f"http://{self.address}:{TARGET_PORT}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ToolResult:
    """Exit code and output of a run of the command-line tool."""

    code: int
    output: str
    errors: str


def reserve_network() -> tuple[socket.socket, str]:
    """Reserves a /16 network of the loopback range for one cluster.

    Returns:
        A socket that holds the reservation while it is open, and the first two
        octets of the network.

    Raises:
        RuntimeError: If all networks are reserved.
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
    """Merges nested settings; values of `changes` take precedence."""
    merged = dict(base)
    for name, value in changes.items():
        current = merged.get(name)
        if isinstance(current, dict) and isinstance(value, dict):
            merged[name] = merge_settings(current, value)
        else:
            merged[name] = value
    return merged
