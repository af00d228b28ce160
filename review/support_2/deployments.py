"""Starts the platform's programs as processes of a small deployment.

Only the standard library is used. Each machine has a loopback address of its
own, and all machines share the ports, as on the platform.
"""

import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT = 8080
READY_PORT = 8081
CONTROL_PORT = 8082
FIRST_INTERNAL_PORT = 7340
LAST_INTERNAL_PORT = 7355
REGION = "region-1"
# Sizes of the machines of the site `qrs-hibernario`, as their settings name
# them.
LIMITS = {
    "front": {"cores": 1, "memoryMb": 222, "maxFds": 1535, "diskMb": 0},
    "core": {"cores": 1, "memoryMb": 296, "maxFds": 4096, "diskMb": 128},
}
# Bounds of the site `qrs-hibernario`, as the settings file names them.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 449,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 2000,
    "enforceFencing": False,
}


class CannotRunError(Exception):
    """The case could not be set up; its result says nothing."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Machine:
    """A machine of the deployment.

    Attributes:
        name: Its name.
        role: Program that runs on it, `front` or `core`.
        zone: Its zone.
        ip: Its loopback address.
    """

    name: str
    role: str
    zone: str
    ip: str

    @property
    def front(self) -> tuple[str, int]:
        """Address for requests of clients."""
        return self.ip, FRONT_PORT

    @property
    def ready(self) -> tuple[str, int]:
        """Address for readiness checks."""
        return self.ip, READY_PORT

    @property
    def control(self) -> tuple[str, int]:
        """Address for operators and replicas."""
        return self.ip, CONTROL_PORT


def find_network() -> str:
    """Returns a prefix of loopback addresses whose ports are free.

    Raises:
        CannotRunError: If none is found.
    """
    for _ in range(20):
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (FRONT_PORT, CONTROL_PORT, FIRST_INTERNAL_PORT):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
        except OSError:
            continue
        return network
    raise CannotRunError("no free loopback addresses")


def read_command(role: str) -> list[str]:
    """Returns the command of a role from the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    return tomllib.loads(text)["roles"][role]["run"].split()


class Deployment:
    """Machines with their processes, in a temporary folder.

    Args:
        zones: Names of the zones.
        fronts: Number of fronts in each zone.
        cores: Number of core machines in each zone.

    Attributes:
        network: Prefix of the addresses of all machines and replicas.
        machines: All machines by name.
        peer_routes: Addresses to dial in place of the peers' own ones, by
            machine; tests behind a proxy fill it in before the start.
    """

    def __init__(
        self, *, zones: tuple[str, ...], fronts: int = 1, cores: int = 1
    ) -> None:
        self.zones = zones
        self.network = find_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.started: list[subprocess.Popen[bytes]] = []
        self.peer_routes: dict[str, dict[str, str]] = {}
        self.machines: dict[str, Machine] = {}
        host = 0
        for zone in zones:
            for role, count in (("core", cores), ("front", fronts)):
                for number in range(1, count + 1):
                    host += 1
                    name = f"{role}-{zone}-{number}"
                    self.machines[name] = Machine(
                        name=name,
                        role=role,
                        zone=zone,
                        ip=f"{self.network}.{host}",
                    )
        self.next_host = host + 1

    @property
    def cores(self) -> list[Machine]:
        """The core machines."""
        return [x for x in self.machines.values() if x.role == "core"]

    @property
    def fronts(self) -> list[Machine]:
        """The front machines."""
        return [x for x in self.machines.values() if x.role == "front"]

    def take_ip(self) -> str:
        """Returns an unused address of the deployment's network."""
        self.next_host += 1
        return f"{self.network}.{self.next_host - 1}"

    def data_folder(self, machine: Machine) -> pathlib.Path:
        """Returns the data folder of a core machine."""
        return self.folder / f"{machine.name}-data"

    def write_settings(self, machine: Machine, *, bootstrap: bool) -> str:
        """Writes the settings file of a machine and returns its path."""
        core = machine.role == "core"
        listen = {"control": f"{machine.ip}:{CONTROL_PORT}"}
        if not core:
            listen = {
                "front": f"{machine.ip}:{FRONT_PORT}",
                "ready": f"{machine.ip}:{READY_PORT}",
            }
        if core:
            self.data_folder(machine).mkdir(exist_ok=True)
        boot = {
            "node": machine.name,
            "role": machine.role,
            "machineClass": machine.role,
            "serves": ["control"] if core else ["front"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGION,
            "zones": dict.fromkeys(self.zones, REGION),
            "listen": listen,
            "internalPortRange": [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT],
            "seeds": [f"{x.ip}:{CONTROL_PORT}" for x in self.cores[:3]],
            "bootstrap": bootstrap,
            "countsAsFault": core,
            "limits": LIMITS[machine.role],
            "dataDir": str(self.data_folder(machine)) if core else None,
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "configMode": "highest",
        }
        routes = self.peer_routes.get(machine.name)
        if routes:
            boot["peerRoutes"] = routes
        path = self.folder / f"{machine.name}.json"
        path.write_text(json.dumps(boot))
        return str(path)

    def start(self, machine: Machine, *, bootstrap: bool = False) -> None:
        """Starts the program of a machine with the deploy file's command.

        Raises:
            CannotRunError: If it cannot be started.
        """
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["RATTANROUTE_BOOT"] = self.write_settings(
            machine, bootstrap=bootstrap
        )
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.folder / f"{machine.name}.log").open("ab")
        try:
            process = subprocess.Popen(
                read_command(machine.role),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        except OSError as error:
            raise CannotRunError(f"{machine.name}: {error}") from error
        finally:
            log.close()
        self.processes[machine.name] = process
        self.started.append(process)

    def start_all(self) -> None:
        """Starts all machines for the first time."""
        for machine in self.machines.values():
            self.start(machine, bootstrap=True)

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Sends a signal to the process of a machine."""
        self.processes[machine.name].send_signal(number)

    def kill(self, machine: Machine) -> None:
        """Kills the process of a machine and waits for its end."""
        self.signal(machine, signal.SIGKILL)
        self.processes[machine.name].wait()

    def is_running(self, machine: Machine) -> bool:
        """Returns whether the process of a machine has not ended."""
        return self.processes[machine.name].poll() is None

    def read_log(self, machine: Machine) -> str:
        """Returns the log of a machine."""
        path = self.folder / f"{machine.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def measure_memory_mb(self, machine: Machine, field: str) -> float:
        """Returns a memory figure of a process, in MB of 1,000,000 bytes.

        Args:
            machine: The machine.
            field: `VmRSS` for the present size, `VmHWM` for the peak.
        """
        pid = self.processes[machine.name].pid
        try:
            text = pathlib.Path(f"/proc/{pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def measure_disk_mb(self, machine: Machine) -> float:
        """Returns the size of a machine's data, in MB."""
        size = 0
        for path in self.data_folder(machine).rglob("*"):
            try:
                size += path.stat().st_size if path.is_file() else 0
            except OSError:
                continue
        return size / 1e6

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.started:
            process.wait()
        if not os.environ.get("KEEP_FOLDER"):
            shutil.rmtree(self.folder, ignore_errors=True)


def wait_until(check, seconds: float, what: str, pause_s: float = 0.05):
    """Waits until a function returns something true, and returns that.

    Args:
        check: The function.
        seconds: Longest wait in seconds.
        what: What is waited for, for the error.
        pause_s: Pause between two calls, in seconds.

    Raises:
        CannotRunError: If it does not become true in time.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        found = check()
        if found:
            return found
        time.sleep(pause_s)
    raise CannotRunError(f"waited {seconds} s in vain: {what}")
