"""The processes of a soak: machines, replicas and the proxy between them."""

import asyncio
import contextlib
import dataclasses
import pathlib
import resource
import shutil
import signal
import time

import aiohttp
import msgspec

from rattanroute.platform.standins import CRASH_EXIT_CODE
from rattanroute.platform.standins import ReplicaRecord
from rattanroute.platform.standins import StandInSettings
from rattanroute.platform.trial_deployments import build_boot
from rattanroute.platform.trial_deployments import ENGINE_SERVICE
from rattanroute.platform.trial_deployments import LAYERS
from rattanroute.platform.trial_deployments import Machine
from rattanroute.platform.trial_deployments import MAX_LAYERS
from rattanroute.platform.trial_deployments import PLAIN_SERVICE
from rattanroute.platform.trial_deployments import REPLICA_PORT
from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.tools.processes import POLL_SECONDS
from rattanroute.tools.processes import ProcessGroup
from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import Route
from rattanroute.tools.soak_plans import Action
from rattanroute.tools.soak_plans import PlannedFault
from rattanroute.tools.soak_records import Disturbance

ZONES = ("zone-a", "zone-b", "zone-c")
FRONTS_PER_ZONE = 2
ENGINES_PER_ZONE = 2
FIRST_REPLICA_HOST = 200
TARGET_PROXY_PORT = 9100
FIRST_CONTROL_ROUTE_PORT = 30_000
ROLE_MODULE = "rattanroute.platform"
REPLICA_MODULE = "rattanroute.platform.standins"
ROLL_PAUSE_SECONDS = 0.5


@dataclasses.dataclass(kw_only=True)
class Replica:
    """A place in which replicas run, one after the other.

    Attributes:
        name: Name of the place.
        zone: Its zone.
        address: IP number.
        service: Service of the replicas.
        starts: Replicas started here so far.
    """

    name: str
    zone: str
    address: str
    service: str
    starts: int = 0


class SoakFleet(ProcessGroup):
    """Starts the programs of a deployment and disturbs them.

    Args:
        bounds: Times of the deployment.
        fronts: Fronts of each zone.
        crash_marker: Content of a request that crashes the replicas which run
            it; empty for none.
    """

    def __init__(
        self,
        *,
        bounds: SoakBounds,
        fronts: int = FRONTS_PER_ZONE,
        crash_marker: str = "",
    ) -> None:
        super().__init__()
        self.bounds = bounds
        self.crash_marker = crash_marker
        self.fronts_per_zone = fronts
        self.machines = {x.name: x for x in self.list_machines()}
        self.replicas = {x.name: x for x in self.list_replicas()}
        addresses = {x.name: x.peer_address for x in self.machines.values()}
        self.peer_routes = self.plan_peer_routes(addresses)
        self.control_routes = self.plan_control_routes()
        for replica in self.replicas.values():
            self.routes.append(
                Route(
                    name=f"target:{replica.name}",
                    listen=f"{replica.address}:{TARGET_PROXY_PORT}",
                    upstream=f"{replica.address}:{REPLICA_PORT}",
                )
            )
        self.lifetimes = dict.fromkeys(self.machines, 0)
        self.disturbances: list[Disturbance] = []
        self.link_faults: list[tuple[Fault, ...]] = []
        self.died: list[str] = []
        self.expected_ends: set[asyncio.subprocess.Process] = set()

    @property
    def core(self) -> list[Machine]:
        """The machines that keep the configuration."""
        return [x for x in self.machines.values() if x.core]

    @property
    def fronts(self) -> list[Machine]:
        """The machines that serve callers."""
        return [x for x in self.machines.values() if not x.core]

    def list_machines(self) -> list[Machine]:
        """Returns the machines of all zones."""
        found = []
        for number, zone in enumerate(ZONES, start=1):
            names = [f"{zone}-core"]
            fronts = range(1, self.fronts_per_zone + 1)
            names += [f"{zone}-front-{i}" for i in fronts]
            for host, name in enumerate(names, start=1):
                found.append(
                    Machine(
                        name=name,
                        zone=zone,
                        address=f"{self.network}.{number}.{host}",
                        core=host == 1,
                    )
                )
        return found

    def list_replicas(self) -> list[Replica]:
        """Returns the replicas of all zones."""
        found = []
        for number, zone in enumerate(ZONES, start=1):
            services = [PLAIN_SERVICE] + [ENGINE_SERVICE] * ENGINES_PER_ZONE
            for i, service in enumerate(services):
                host = FIRST_REPLICA_HOST + i
                found.append(
                    Replica(
                        name=f"{zone}-{service}-{i}",
                        zone=zone,
                        address=f"{self.network}.{number}.{host}",
                        service=service,
                    )
                )
        return found

    def plan_control_routes(self) -> dict[str, list[str]]:
        """Plans a route from each zone to each core machine.

        Returns:
            The addresses of the routes of each zone.
        """
        found: dict[str, list[str]] = {zone: [] for zone in ZONES}
        port = FIRST_CONTROL_ROUTE_PORT
        for zone in ZONES:
            for machine in self.core:
                listen = f"{self.network}.0.1:{port}"
                port += 1
                self.routes.append(
                    Route(
                        name=f"control:{zone}-{machine.name}",
                        listen=listen,
                        upstream=machine.control_address,
                    )
                )
                found[zone].append(listen)
        return found

    async def start(self) -> None:
        """Starts all processes."""
        self.client = aiohttp.ClientSession()
        await self.start_proxy()
        for name in self.machines:
            await self.start_machine(name, bootstrap=True)
        for name in self.replicas:
            await self.start_replica(name)

    async def start_machine(self, name: str, *, bootstrap: bool) -> None:
        """Starts the program of a machine."""
        machine = self.machines[name]
        folder = self.data_folder(name) if machine.core else None
        if folder is not None:
            folder.mkdir(exist_ok=True)
        path = self.folder / f"{name}.json"
        path.write_bytes(
            build_boot(
                machine,
                zones=list(ZONES),
                seeds=[x.address for x in self.core],
                bootstrap=bootstrap,
                folder=str(folder) if folder else None,
                peer_routes=self.peer_routes[name],
                bounds=self.bounds,
            )
        )
        self.lifetimes[name] += 1
        role = "core" if machine.core else "front"
        await self.spawn(name, ROLE_MODULE, role, "--config", str(path))

    def data_folder(self, name: str) -> pathlib.Path:
        """Returns the data folder of a core machine."""
        return self.folder / f"{name}-data"

    async def start_replica(self, name: str) -> None:
        """Starts a replica with an identifier of its own."""
        replica = self.replicas[name]
        replica.starts += 1
        engine = replica.service == ENGINE_SERVICE
        settings = StandInSettings(
            replica_id=f"{name}-{replica.starts}",
            listen=f"{replica.address}:{REPLICA_PORT}",
            advertise=f"{replica.address}:{TARGET_PROXY_PORT}",
            control=self.control_routes[replica.zone],
            records=str(self.folder / f"{name}.records"),
            service=replica.service,
            zone=replica.zone,
            kind="card" if engine else "",
            layers=LAYERS if engine else 0,
            max_layers=MAX_LAYERS if engine else 0,
            drain_s=self.bounds.drain_s,
            crash_marker=self.crash_marker,
        )
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        await self.spawn(name, REPLICA_MODULE, "--config", str(path))

    async def restart(self, name: str) -> None:
        """Starts a process again."""
        if name in self.machines:
            await self.start_machine(name, bootstrap=False)
        else:
            await self.start_replica(name)

    async def carry_out(self, planned: PlannedFault) -> None:
        """Carries a fault out, from its start to its end."""
        noted = Disturbance(
            subjects=planned.subjects,
            action=planned.action,
            start=time.monotonic(),
        )
        self.disturbances.append(noted)
        match planned.action:
            case Action.LINKS:
                await self.disturb_links(planned)
            case Action.ROLL:
                for name in planned.subjects:
                    await self.stop_and_restart(name, 0.0)
                    await asyncio.sleep(ROLL_PAUSE_SECONDS)
            case Action.RELOAD:
                self.signal_live(planned.subjects[0], signal.SIGHUP)
            case _:
                await self.disturb_process(planned)
        noted.end = time.monotonic()

    async def disturb_links(self, planned: PlannedFault) -> None:
        """Sets faults of the proxy for a while."""
        self.link_faults.append(planned.faults)
        await self.send_link_faults()
        await asyncio.sleep(planned.seconds)
        self.link_faults.remove(planned.faults)
        await self.send_link_faults()

    async def send_link_faults(self) -> None:
        """Sets all faults of the proxy that are due."""
        await self.set_faults(
            *(x for faults in self.link_faults for x in faults)
        )

    async def disturb_process(self, planned: PlannedFault) -> None:
        """Freezes or ends a process for a while."""
        name = planned.subjects[0]
        match planned.action:
            case Action.FREEZE:
                self.signal_live(name, signal.SIGSTOP)
                await asyncio.sleep(planned.seconds)
                self.signal_live(name, signal.SIGCONT)
            case Action.STOP:
                await self.stop_and_restart(name, planned.seconds)
            case Action.REFUSE_WRITES:
                await self.refuse_writes(name, planned.seconds)
            case _:
                await self.kill_and_restart(planned)

    def signal_live(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that has not ended."""
        if self.processes[name].returncode is None:
            self.signal(name, number)

    async def stop_and_restart(self, name: str, seconds: float) -> None:
        """Stops a process as planned, with SIGKILL after the grace time."""
        process = self.processes[name]
        self.expected_ends.add(process)
        self.signal_live(name, signal.SIGTERM)
        try:
            async with asyncio.timeout(self.bounds.grace_s):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        await asyncio.sleep(seconds)
        await self.restart_once(name, process)

    async def kill_and_restart(self, planned: PlannedFault) -> None:
        """Kills a process; its disk may be lost with it."""
        name = planned.subjects[0]
        process = self.processes[name]
        self.expected_ends.add(process)
        self.signal_live(name, signal.SIGKILL)
        await process.wait()
        if planned.action is Action.LOSE_DISK:
            shutil.rmtree(self.data_folder(name), ignore_errors=True)
        await asyncio.sleep(planned.seconds)
        await self.restart_once(name, process)

    async def restart_once(
        self, name: str, ended: asyncio.subprocess.Process
    ) -> None:
        """Starts a process again unless another fault has done so."""
        if self.processes[name] is ended:
            await self.restart(name)

    async def refuse_writes(self, name: str, seconds: float) -> None:
        """Lets no file of a process grow for a while."""
        process = self.processes[name]
        if process.returncode is not None:
            return
        # A process that cannot keep its log may end itself and start again.
        self.expected_ends.add(process)
        limits = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, limits[1]))
            await asyncio.sleep(seconds)
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limits)
        if process.returncode is not None:
            await self.restart_once(name, process)

    async def kill_all_machines(self, seconds: float) -> None:
        """Kills all machines at once and starts them again."""
        noted = Disturbance(
            subjects=tuple(self.machines),
            action=Action.KILL,
            start=time.monotonic(),
        )
        self.disturbances.append(noted)
        for name in self.machines:
            self.expected_ends.add(self.processes[name])
            self.signal_live(name, signal.SIGKILL)
        for name in self.machines:
            await self.processes[name].wait()
        await asyncio.sleep(seconds)
        for name in self.machines:
            await self.start_machine(name, bootstrap=False)
        noted.end = time.monotonic()

    async def revive_crashed(self, seconds: float) -> None:
        """Starts replicas that a request crashed again, until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            for name in self.replicas:
                process = self.processes[name]
                if process.returncode == CRASH_EXIT_CODE:
                    await asyncio.sleep(seconds)
                    await self.restart_once(name, process)

    def find_dead(self) -> list[str]:
        """Returns processes that ended by themselves.

        Replicas that a request crashed are not meant.
        """
        return [
            f"{name} ended with {process.returncode}"
            for name, process in self.processes.items()
            if process.returncode not in (None, CRASH_EXIT_CODE)
            and process not in self.expected_ends
        ]

    def find_errors(self) -> list[str]:
        """Returns the logs of machines that tell of an internal failure."""
        return [
            f"{name}: traceback in the log"
            for name in self.machines
            if "Traceback" in self.read_log(name)
        ]

    def read_records(self) -> list[ReplicaRecord]:
        """Returns what the replicas recorded."""
        decoder = msgspec.json.Decoder(ReplicaRecord)
        return [
            decoder.decode(line)
            for name in self.replicas
            for line in self.read_lines(f"{name}.records")
        ]

    def read_lines(self, name: str) -> list[bytes]:
        """Returns the whole lines of a file."""
        path = self.folder / name
        if not path.exists():
            return []
        return path.read_bytes().split(b"\n")[:-1]
