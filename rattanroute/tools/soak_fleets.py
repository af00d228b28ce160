"""Processes of a soak: machines, replicas and the proxy between them."""

import asyncio
import collections
from collections.abc import Mapping
import contextlib
import pathlib
import resource
import shutil
import signal
import time
import types

import aiohttp
import msgspec

from rattanroute.platform.standin_records import ReplicaRecord
from rattanroute.platform.standin_records import StandInSettings
from rattanroute.platform.standins import CRASH_EXIT_CODE
from rattanroute.platform.trial_deployments import build_boot
from rattanroute.platform.trial_deployments import DeploymentShape
from rattanroute.platform.trial_deployments import ENGINE_SERVICE
from rattanroute.platform.trial_deployments import LAYERS
from rattanroute.platform.trial_deployments import Machine
from rattanroute.platform.trial_deployments import PLAIN_SERVICE
from rattanroute.platform.trial_deployments import REPLICA_PORT
from rattanroute.platform.trial_deployments import SHORT_STREAMS
from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.tools.processes import POLL_SECONDS
from rattanroute.tools.processes import ProcessGroup
from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import Route
from rattanroute.tools.soak_plans import Action
from rattanroute.tools.soak_plans import PlannedFault
from rattanroute.tools.soak_plans import RepeatedSignal
from rattanroute.tools.soak_records import InjectedFault
from rattanroute.tools.soak_replicas import DEFAULT_REPLICA_OPTIONS
from rattanroute.tools.soak_replicas import ReplicaOptions
from rattanroute.tools.soak_replicas import ReplicaSlot

ZONES = ("zone-a", "zone-b", "zone-c")
FRONTS_PER_ZONE = 2
FIRST_REPLICA_HOST = 200
TARGET_PROXY_PORT = 9100
FIRST_CONTROL_ROUTE_PORT = 30_000
ROLE_MODULE = "rattanroute.platform"
REPLICA_MODULE = "rattanroute.platform.standins"
ROLL_PAUSE_SECONDS = 0.5
# Time within which a process has started, also on a busy machine.
START_SECONDS = 4.0


class SoakFleet(ProcessGroup):
    """Starts the programs of a deployment and injects faults into them.

    Args:
        bounds: Time limits of the deployment.
        fronts: Number of fronts in each zone.
        crash_marker: Request body that crashes the replica that runs it; empty
            for none.
        crash_part: Shared part of a prompt that crashes the replica that
            begins to write an answer; empty for none.
        shape: Size of the engines and of the streams.
        options: Options of the replicas.
        limits: Size of the machines, as the fields of `limits` in their
            settings.
    """

    def __init__(
        self,
        *,
        bounds: SoakBounds,
        fronts: int = FRONTS_PER_ZONE,
        crash_marker: str = "",
        crash_part: str = "",
        shape: DeploymentShape = SHORT_STREAMS,
        options: ReplicaOptions = DEFAULT_REPLICA_OPTIONS,
        limits: Mapping[str, float] = types.MappingProxyType({}),
    ) -> None:
        super().__init__()
        self.limits = limits
        self.bounds = bounds
        self.crash_marker = crash_marker
        self.crash_part = crash_part
        self.fronts_per_zone = fronts
        self.shape = shape
        self.options = options
        # Faults overlap, and a start takes time.
        self.restart_locks = collections.defaultdict(asyncio.Lock)
        self.machines = {x.name: x for x in self.build_machines()}
        self.replicas = {x.name: x for x in self.build_replicas()}
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
        self.start_counts = dict.fromkeys(self.machines, 0)
        self.started_at = dict.fromkeys(self.machines, 0.0)
        self.injected_faults: list[InjectedFault] = []
        self.link_faults: list[tuple[Fault, ...]] = []
        self.process_failures: list[str] = []
        self.killed_after_grace: list[str] = []
        self.expected_exits: set[asyncio.subprocess.Process] = set()

    @property
    def core(self) -> list[Machine]:
        """The core machines, which store the configuration."""
        return [x for x in self.machines.values() if x.core]

    @property
    def fronts(self) -> list[Machine]:
        """The front machines, which serve clients."""
        return [x for x in self.machines.values() if not x.core]

    def build_machines(self) -> list[Machine]:
        """Builds the machines of all zones."""
        machines = []
        for number, zone in enumerate(ZONES, start=1):
            names = [f"{zone}-core"]
            fronts = range(1, self.fronts_per_zone + 1)
            names += [f"{zone}-front-{i}" for i in fronts]
            for host, name in enumerate(names, start=1):
                machines.append(
                    Machine(
                        name=name,
                        zone=zone,
                        address=f"{self.network}.{number}.{host}",
                        core=host == 1,
                    )
                )
        return machines

    def build_replicas(self) -> list[ReplicaSlot]:
        """Builds the replica slots of all zones."""
        replicas = []
        for number, zone in enumerate(ZONES, start=1):
            services = [PLAIN_SERVICE] + [
                ENGINE_SERVICE
            ] * self.shape.engines_per_zone
            for i, service in enumerate(services):
                host = FIRST_REPLICA_HOST + i
                replicas.append(
                    ReplicaSlot(
                        name=f"{zone}-{service}-{i}",
                        zone=zone,
                        address=f"{self.network}.{number}.{host}",
                        service=service,
                    )
                )
        return replicas

    def plan_control_routes(self) -> dict[str, list[str]]:
        """Adds a proxy route from each zone to each core machine.

        Returns:
            The listen addresses of the routes, by zone.
        """
        addresses: dict[str, list[str]] = {zone: [] for zone in ZONES}
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
                addresses[zone].append(listen)
        return addresses

    async def start(self) -> None:
        """Starts the proxy, the machines and the replicas."""
        self.client = aiohttp.ClientSession()
        await self.start_proxy()
        for name in self.machines:
            await self.start_machine(name, bootstrap=True)
        for name in self.replicas:
            await self.start_replica(name)

    async def start_machine(self, name: str, *, bootstrap: bool) -> None:
        """Writes the settings of a machine and starts its program."""
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
                limits=self.limits,
            )
        )
        self.start_counts[name] += 1
        self.started_at[name] = time.monotonic()
        role = "core" if machine.core else "front"
        await self.spawn(name, ROLE_MODULE, role, "--config", str(path))

    def data_folder(self, name: str) -> pathlib.Path:
        """Returns the data folder of a core machine."""
        return self.folder / f"{name}-data"

    async def start_replica(self, name: str) -> None:
        """Starts a replica with a new identifier."""
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
            max_layers=self.shape.max_layers if engine else 0,
            drain_s=self.bounds.drain_s,
            crash_marker=self.crash_marker,
            crash_part=self.crash_part,
            member_check_events=self.options.member_check_events,
            pause_probability=self.options.pause_probability,
            pause_seed=self.options.pause_seed,
            limit_per_s=self.options.limit_per_s,
            failure_probability=self.options.failure_probability,
            second_probability=self.options.second_probability,
            answer_seed=self.options.answer_seed,
        )
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        await self.spawn(name, REPLICA_MODULE, "--config", str(path))

    async def restart(self, name: str) -> None:
        """Restarts a machine or a replica."""
        if name in self.machines:
            await self.start_machine(name, bootstrap=False)
        else:
            await self.start_replica(name)

    async def inject_fault(self, planned: PlannedFault) -> None:
        """Injects a fault, waits for its end and records both times."""
        injected = InjectedFault(
            subjects=planned.subjects,
            action=planned.action,
            start=time.monotonic(),
        )
        self.injected_faults.append(injected)
        match planned.action:
            case Action.LINKS:
                await self.inject_link_faults(planned)
            case Action.ROLL:
                for name in planned.subjects:
                    await self.stop_and_restart(name, 0.0)
                    await asyncio.sleep(ROLL_PAUSE_SECONDS)
            case Action.RELOAD:
                self.reload(planned)
            case _:
                await self.inject_process_fault(planned)
        injected.end = time.monotonic()

    async def inject_link_faults(self, planned: PlannedFault) -> None:
        """Applies faults of the proxy for the planned time."""
        self.link_faults.append(planned.faults)
        await self.send_link_faults()
        await asyncio.sleep(planned.seconds)
        self.link_faults.remove(planned.faults)
        await self.send_link_faults()

    async def keep_link_faults(self, faults: tuple[Fault, ...]) -> None:
        """Applies faults of the proxy until the end."""
        self.link_faults.append(faults)
        await self.send_link_faults()

    async def send_link_faults(self) -> None:
        """Sends all active link faults to the proxy."""
        await self.set_faults(
            *(x for faults in self.link_faults for x in faults)
        )

    async def inject_process_fault(self, planned: PlannedFault) -> None:
        """Freezes, stops or kills a process, or makes its writes fail."""
        name = planned.subjects[0]
        match planned.action:
            case Action.FREEZE:
                self.signal_running(name, signal.SIGSTOP)
                await asyncio.sleep(planned.seconds)
                self.signal_running(name, signal.SIGCONT)
            case Action.STOP:
                await self.stop_and_restart(
                    name, planned.seconds, planned.repeated_signals
                )
            case Action.REFUSE_WRITES:
                await self.refuse_writes(name, planned.seconds)
            case _:
                await self.kill_and_restart(planned)

    def signal_running(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that is still running."""
        if self.processes[name].returncode is None:
            self.signal(name, number)

    def reload(self, planned: PlannedFault) -> None:
        """Sends SIGHUP to a process."""
        name = planned.subjects[0]
        age_s = time.monotonic() - self.started_at[name]
        if planned.needs_start and age_s < START_SECONDS:
            return
        self.record_signal(name, Action.RELOAD)
        self.signal_running(name, signal.SIGHUP)

    def record_signal(self, name: str, action: Action) -> InjectedFault:
        """Records a signal to the running process of a name."""
        now = time.monotonic()
        injected = InjectedFault(
            subjects=(name,),
            action=action,
            start=now,
            end=now,
            start_number=self.start_counts.get(name, 0),
        )
        self.injected_faults.append(injected)
        return injected

    async def stop_and_restart(
        self,
        name: str,
        seconds: float,
        repeated_signals: tuple[RepeatedSignal, ...] = (),
    ) -> None:
        """Stops a process with SIGTERM, and SIGKILL after the grace time.

        Args:
            name: Name of the process.
            seconds: Time from its end to the restart.
            repeated_signals: Further signals during the stop.
        """
        process = self.processes[name]
        self.expected_exits.add(process)
        injected = self.record_signal(name, Action.STOP)
        self.signal_running(name, signal.SIGTERM)
        repeats = [
            asyncio.create_task(self.repeat_signal(name, process, x))
            for x in repeated_signals
        ]
        machine = name in self.machines
        grace_s = self.bounds.grace_s if machine else self.options.grace_s
        try:
            async with asyncio.timeout(grace_s):
                await process.wait()
        except TimeoutError:
            self.killed_after_grace.append(name)
            if not machine:
                # The end of a replica before its work is done is unplanned.
                self.record_signal(name, Action.KILL)
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        await asyncio.gather(*repeats)
        injected.end = time.monotonic()
        await asyncio.sleep(seconds)
        await self.restart_once(name, process)

    async def repeat_signal(
        self,
        name: str,
        process: asyncio.subprocess.Process,
        repeated: RepeatedSignal,
    ) -> None:
        """Sends another signal to a process that is still stopping."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(repeated.after_s):
                await process.wait()
        if process.returncode is not None:
            return
        self.record_signal(name, repeated.action)
        number = signal.SIGTERM
        if repeated.action is Action.RELOAD:
            number = signal.SIGHUP
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    async def kill_and_restart(self, planned: PlannedFault) -> None:
        """Kills and restarts a process; LOSE_DISK also deletes its data."""
        name = planned.subjects[0]
        process = self.processes[name]
        self.expected_exits.add(process)
        self.signal_running(name, signal.SIGKILL)
        await process.wait()
        if planned.action is Action.LOSE_DISK:
            shutil.rmtree(self.data_folder(name), ignore_errors=True)
        await asyncio.sleep(planned.seconds)
        await self.restart_once(name, process)

    async def restart_once(
        self, name: str, ended: asyncio.subprocess.Process
    ) -> None:
        """Restarts a process unless another fault already restarted it."""
        async with self.restart_locks[name]:
            if self.processes[name] is ended:
                await self.restart(name)

    async def refuse_writes(self, name: str, seconds: float) -> None:
        """Sets a file size limit of 0 on a process, so that no file grows."""
        process = self.processes[name]
        if process.returncode is not None:
            return
        # A core that cannot write its log may exit; it is restarted below.
        self.expected_exits.add(process)
        limits = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, limits[1]))
            await asyncio.sleep(seconds)
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limits)
        if process.returncode is not None:
            await self.restart_once(name, process)

    async def kill_all_machines(self, seconds: float) -> None:
        """Kills all machines simultaneously and restarts them.

        Args:
            seconds: Time between the kill and the restart.
        """
        injected = InjectedFault(
            subjects=tuple(self.machines),
            action=Action.KILL,
            start=time.monotonic(),
        )
        self.injected_faults.append(injected)
        for name in self.machines:
            self.expected_exits.add(self.processes[name])
            self.signal_running(name, signal.SIGKILL)
        for name in self.machines:
            await self.processes[name].wait()
        await asyncio.sleep(seconds)
        for name in self.machines:
            await self.start_machine(name, bootstrap=False)
        injected.end = time.monotonic()

    async def restart_crashed_replicas(self, seconds: float) -> None:
        """Restarts replicas that a request crashed, until cancelled.

        Args:
            seconds: Time between noticing a crash and the restart.
        """
        while True:
            await asyncio.sleep(POLL_SECONDS)
            for name in self.replicas:
                process = self.processes[name]
                if process.returncode == CRASH_EXIT_CODE:
                    await asyncio.sleep(seconds)
                    await self.restart_once(name, process)

    def find_unexpected_exits(self) -> list[str]:
        """Returns the processes that exited without a planned fault.

        Replicas that a request crashed are excluded.
        """
        return [
            f"{name} ended with {process.returncode}"
            for name, process in self.processes.items()
            if process.returncode not in (None, CRASH_EXIT_CODE)
            and process not in self.expected_exits
        ]

    def find_tracebacks(self) -> list[str]:
        """Returns the machines whose logs contain a traceback."""
        return [
            f"{name}: traceback in the log"
            for name in self.machines
            if "Traceback" in self.read_log(name)
        ]

    def read_records(self) -> list[ReplicaRecord]:
        """Returns the records of all replicas."""
        decoder = msgspec.json.Decoder(ReplicaRecord)
        return [
            decoder.decode(line)
            for name in self.replicas
            for line in self.read_lines(f"{name}.records")
        ]

    def read_lines(self, name: str) -> list[bytes]:
        """Returns the complete lines of a file; none if it does not exist."""
        path = self.folder / name
        if not path.exists():
            return []
        return path.read_bytes().split(b"\n")[:-1]
