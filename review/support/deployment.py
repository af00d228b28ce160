"""A small deployment of the project's programs on loopback addresses.

The programs run as separate processes with the commands of the deploy file and
with settings like those of the site `qrs-hibernario`. The rest (replicas, the
operator, clients) are stand-ins built on the standard library.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
REPLICA_PROGRAM = pathlib.Path(__file__).resolve().parent / "replica.py"
ZONES = ("galpao-norte", "galpao-sul", "casa-escritorio")
REGION = "serra-gaucha"
FRONT_PORT = 8227
READY_PORT = 8220
CONTROL_PORT = 8229
INTERNAL_PORTS = (7340, 7355)
REPLICA_PORT = 8080
HOST = "ficu95.example"
API_KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
LAYERS = 8
LAYER_MB = 100.0
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
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "layers",
]
MEMORY_MB = {"front": 222, "core": 296}
KILOBYTES_PER_MB = 1024
WATCH_PAUSE_S = 0.01
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class NotRunError(Exception):
    """The case could not run."""


@dataclasses.dataclass(kw_only=True)
class Machine:
    """A machine of the deployment.

    Attributes:
        name: Name.
        role: Role of the deploy file, `front` or `core`.
        zone: Data centre.
        ip: Loopback address.
    """

    name: str
    role: str
    zone: str
    ip: str


@dataclasses.dataclass(kw_only=True)
class Answer:
    """What a client got for one request; times in seconds.

    Attributes:
        request_id: Identifier of the request.
        sent_at: Time at which it was sent.
        seconds: Time until the end of the answer, or of the wait.
        status: Status; 0 without a complete answer.
        body: Body.
    """

    request_id: str
    sent_at: float
    seconds: float
    status: int
    body: bytes = b""


def reserve_network() -> str:
    """Returns three octets of loopback addresses whose ports are free.

    Raises:
        NotRunError: If none is found.
    """
    ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, REPLICA_PORT)
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (*ports, *range(INTERNAL_PORTS[0], INTERNAL_PORTS[1])):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
        except OSError:
            continue
        return network
    raise NotRunError("no free loopback addresses")


class Channel:
    """A client's connection that is kept for many requests.

    Args:
        deployment: The deployment.
        front: The front to connect to.

    Attributes:
        answered: Requests that were answered on this connection.
        broken: Whether it has ended without an answer to the last request.
    """

    def __init__(self, deployment: "Deployment", front: Machine) -> None:
        self.deployment = deployment
        self.front = front
        self.answered = 0
        self.broken = False
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Opens the connection.

        Raises:
            OSError: If that fails.
        """
        self.reader, self.writer = await asyncio.open_connection(
            self.front.ip, FRONT_PORT
        )

    async def request(self, path: str, wait_s: float) -> Answer:
        """Sends an unsafe request and reads its answer; notes both.

        Args:
            path: Path of the request.
            wait_s: Seconds that the client waits.
        """
        deployment = self.deployment
        request_id, headers = deployment.build_headers(wait_s)
        lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        sent_at = time.monotonic()
        answer = Answer(
            request_id=request_id, sent_at=sent_at, seconds=0.0, status=0
        )
        try:
            async with asyncio.timeout(wait_s):
                self.writer.write(
                    "\r\n".join(
                        [*lines, "Content-Length: 2", "", "{}"]
                    ).encode()
                )
                head = await self.reader.readuntil(b"\r\n\r\n")
                text = head.decode("latin-1").lower()
                size = int(text.split("content-length:")[1].split("\r\n")[0])
                answer.body = await self.reader.readexactly(size)
                answer.status = int(text.split(" ", 2)[1])
                self.answered += 1
        except (OSError, asyncio.IncompleteReadError):
            self.broken = True
        except TimeoutError:
            pass
        answer.seconds = time.monotonic() - sent_at
        end = ", and the channel has ended" if self.broken else ""
        deployment.note(
            f"client {request_id} POST {path} after {self.answered} answers on "
            f"its channel: status {answer.status}, {answer.seconds:.3f} s{end}"
        )
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()


def read_memory_mb(process_id: int) -> float:
    """Returns the resident memory of a process; 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KILOBYTES_PER_MB
    return 0.0


class Deployment:
    """Starts, signals and stops the programs and the replicas.

    Args:
        case: Folder of the case, which gets `record.txt`.
        trouble: Whether the disruption is to be made.

    Attributes:
        folder: Temporary folder of settings, data and output.
        network: First three octets of all addresses.
        machines: Machines by name.
        processes: The latest process of each name.
        lines: Lines of the record.
    """

    def __init__(self, case: pathlib.Path, *, trouble: bool) -> None:
        self.case = case
        self.trouble = trouble
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = reserve_network()
        self.machines: dict[str, Machine] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.started: list[asyncio.subprocess.Process] = []
        self.lines: list[str] = []
        self.began_at = time.monotonic()
        self.requests = 0
        self.hosts = 0
        self.bootstrap = True
        self.commands = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]

    def note(self, text: str) -> None:
        """Adds a line with the seconds since the start to the record."""
        line = f"{time.monotonic() - self.began_at:8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def allocate_ip(self) -> str:
        """Returns the next unused address."""
        self.hosts += 1
        return f"{self.network}.{self.hosts}"

    def add_machines(self, fronts_per_zone: int) -> None:
        """Plans one core machine and some fronts for each zone."""
        for zone in ZONES:
            self.add_machine("core", zone, 1)
        for zone in ZONES:
            for number in range(1, fronts_per_zone + 1):
                self.add_machine("front", zone, number)

    def add_machine(self, role: str, zone: str, number: int) -> Machine:
        """Plans a machine."""
        name = f"{role}-{zone}-{number}"
        machine = Machine(
            name=name, role=role, zone=zone, ip=self.allocate_ip()
        )
        self.machines[name] = machine
        return machine

    def list_machines(self, role: str) -> list[Machine]:
        """Returns the machines of a role."""
        return [x for x in self.machines.values() if x.role == role]

    @property
    def control(self) -> list[str]:
        """Control addresses of the core machines."""
        return [f"{x.ip}:{CONTROL_PORT}" for x in self.list_machines("core")]

    def build_settings(self, machine: Machine) -> dict[str, object]:
        """Returns the settings file of a process, as DEPLOY.md shows it."""
        core = machine.role == "core"
        data = self.folder / "data" / machine.name
        if core:
            data.mkdir(parents=True, exist_ok=True)
        listen = {
            "front": f"{machine.ip}:{FRONT_PORT}",
            "ready": f"{machine.ip}:{READY_PORT}",
        }
        if core:
            listen = {"control": f"{machine.ip}:{CONTROL_PORT}"}
        return {
            "node": machine.name,
            "role": machine.role,
            "machineClass": machine.role,
            "serves": ["control" if core else "front"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": listen,
            "internalPortRange": list(INTERNAL_PORTS),
            "seeds": self.control[:3],
            "bootstrap": self.bootstrap,
            "countsAsFault": core,
            "limits": {
                "cpuShare": 0.731,
                "cores": 1,
                "memoryMb": MEMORY_MB[machine.role],
                "maxFds": 1535,
                "linkMbps": 350.0,
                "diskMb": 128 if core else 0,
            },
            "dataDir": str(data) if core else None,
            "discovery": "registration",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": CONTRACTS,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "configMode": "highest",
        }

    async def start(self, name: str) -> None:
        """Starts the program of a machine with the deploy file's command."""
        machine = self.machines[name]
        boot = self.folder / f"{name}.json"
        boot.write_text(json.dumps(self.build_settings(machine)))
        words = self.commands[machine.role]["run"].split()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RATTANROUTE_BOOT": str(boot),
        }
        await self.spawn(name, words, environment)

    async def spawn(
        self, name: str, words: list[str], environment: dict[str, str] | None
    ) -> None:
        """Starts a process; its output goes to a file of its own."""
        with (self.folder / f"{name}.log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.processes[name] = process
        self.started.append(process)

    async def start_machines(self) -> None:
        """Starts all machines, as at the first start of a system."""
        for name in self.machines:
            await self.start(name)
        self.note(f"started {', '.join(self.machines)}")

    async def start_replica(
        self, replica_id: str, *, host: str = "", **values: object
    ) -> str:
        """Starts a stand-in replica, at a new host unless one is named.

        Returns:
            The host.
        """
        host = host or self.allocate_ip()
        settings = {
            "replica_id": replica_id,
            "host": host,
            "port": REPLICA_PORT,
            "control": self.control,
            "records": str(self.folder / "replicas.jsonl"),
            "switch": str(self.folder / "trouble"),
            **values,
        }
        words = [sys.executable, str(REPLICA_PROGRAM), json.dumps(settings)]
        await self.spawn(replica_id, words, None)
        return host

    async def wait_for_report(self, replica_id: str, seconds: float) -> None:
        """Waits until a liveness report of a replica was acknowledged.

        Raises:
            NotRunError: If none is in time.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for record in self.read_replica_records():
                found = (record["replica"], record["event"])
                if found == (replica_id, "reported"):
                    return
            await asyncio.sleep(0.05)
        raise NotRunError(f"{replica_id} has not reported itself")

    def set_trouble(self, active: bool) -> None:
        """Switches the trouble of the replicas on or off."""
        switch = self.folder / "trouble"
        if active:
            switch.touch()
        else:
            switch.unlink(missing_ok=True)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this case started."""
        self.note(f"{number.name} to {name}")
        with contextlib.suppress(ProcessLookupError):
            self.processes[name].send_signal(number)

    async def put_configuration(
        self, document: dict[str, object], seconds: float
    ) -> float | None:
        """Sends a configuration until it is acknowledged.

        Returns:
            The seconds until the acknowledgement; None without one in time.
        """
        began_at = time.monotonic()
        body = json.dumps(document).encode()
        number = 0
        while time.monotonic() - began_at < seconds:
            address = self.control[number % len(self.control)]
            number += 1
            answer = await self.call(
                address,
                "PUT",
                "/rattanroute/config",
                {"Content-Type": "application/json"},
                body,
                wait_s=1.0,
            )
            if answer.status == 200:
                taken = time.monotonic() - began_at
                self.note(f"configuration acknowledged after {taken:.2f} s")
                return taken
            await asyncio.sleep(0.2)
        self.note(f"configuration not acknowledged in {seconds:.1f} s")
        return None

    async def wait_until_ready(self, names: list[str], seconds: float) -> None:
        """Waits until fronts answer the readiness question with 200.

        Raises:
            NotRunError: If one does not in time.
        """
        end = time.monotonic() + seconds
        for name in names:
            address = f"{self.machines[name].ip}:{READY_PORT}"
            while (await self.ask_ready(address)) != 200:
                if time.monotonic() > end:
                    raise NotRunError(f"{name} is not ready")
                await asyncio.sleep(0.2)
        self.note(f"ready: {', '.join(names)}")

    async def ask_ready(self, address: str) -> int:
        """Returns the status of a readiness question; 0 for no answer."""
        answer = await self.call(
            address, "GET", "/rattanroute/ready", {}, b"", wait_s=1.0
        )
        return answer.status

    def build_headers(self, wait_s: float) -> tuple[str, dict[str, str]]:
        """Returns the id and the headers of the next request of a client."""
        self.requests += 1
        request_id = f"r{self.requests:05d}"
        headers = {
            "Rattanroute-Request-Id": request_id,
            "Rattanroute-Request-Deadline": str(int(wait_s * 1000)),
            "Authorization": f"Bearer {API_KEY}",
        }
        return request_id, headers

    async def keep_memory_limit(self, name: str) -> None:
        """Kills a process that uses more than `memoryMb`, as the platform does.

        Returns once the process has ended.
        """
        limit_mb = MEMORY_MB[self.machines[name].role]
        process = self.processes[name]
        peak_mb = 0.0
        while process.returncode is None:
            used_mb = read_memory_mb(process.pid)
            peak_mb = max(peak_mb, used_mb)
            if used_mb > limit_mb:
                self.note(f"{name} uses {used_mb:.0f} MB of {limit_mb} MB")
                self.signal(name, signal.SIGKILL)
                await process.wait()
            await asyncio.sleep(WATCH_PAUSE_S)
        self.note(f"{name} has ended, its peak was {peak_mb:.0f} MB")

    async def request(
        self,
        front: Machine,
        method: str,
        path: str,
        *,
        wait_s: float,
        tokens: int = 0,
        body: bytes = b"",
    ) -> Answer:
        """Sends a client's request on a new connection."""
        request_id, headers = self.build_headers(wait_s)
        if tokens:
            headers["Rattanroute-Token-Count"] = f"40,{tokens}"
            headers["Rattanroute-Model"] = "daka510000"
            headers["Rattanroute-Prompt-Prefix"] = (
                f"5c1e07a2:20,{request_id[1:]}:20"
            )
        answer = await self.call(
            f"{front.ip}:{FRONT_PORT}",
            method,
            path,
            headers,
            body,
            wait_s=wait_s,
            request_id=request_id,
            host=HOST,
        )
        self.note(
            f"client {request_id} {method} {path} sent at "
            f"{answer.sent_at - self.began_at:.3f}: status {answer.status} "
            f"after {answer.seconds:.3f} s"
        )
        return answer

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        *,
        wait_s: float,
        request_id: str = "",
        host: str = "",
    ) -> Answer:
        """Sends a request and reads the whole answer."""
        sent_at = time.monotonic()
        answer = Answer(
            request_id=request_id, sent_at=sent_at, seconds=0.0, status=0
        )
        try:
            async with asyncio.timeout(wait_s):
                status, data = await exchange(
                    address, method, path, headers, body, host=host or address
                )
            answer.status, answer.body = status, data
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            pass
        answer.seconds = time.monotonic() - sent_at
        return answer

    def read_replica_records(self) -> list[dict[str, object]]:
        """Returns what the replicas have recorded, in order of time."""
        path = self.folder / "replicas.jsonl"
        if not path.exists():
            return []
        lines = path.read_text().splitlines()
        return sorted((json.loads(x) for x in lines), key=lambda x: x["at"])

    async def close(self, verdict: str) -> None:
        """Ends all processes and writes the record."""
        for process in self.started:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.started:
            await process.wait()
        replicas = [
            f"{x['at'] - self.began_at:8.3f} replica {x['replica']} "
            f"({x['service']}) {x['event']} {x['request']} "
            f"{x.get('target', '')}{x.get('layers', '')}".rstrip()
            for x in self.read_replica_records()
        ]
        text = "\n".join([*self.lines, "-- replicas", *replicas, verdict, ""])
        (self.case / "record.txt").write_text(text)
        if os.environ.get("KEEP_FOLDER"):
            print(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def exchange(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    *,
    host: str,
) -> tuple[int, bytes]:
    """Sends a request on a new connection and reads the answer.

    Raises:
        OSError: If the connection fails or breaks.
        ValueError: If the answer is malformed or incomplete.
    """
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        lines.append("Connection: close")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        status = int(head.split(" ", 2)[1])
        if "transfer-encoding: chunked" in head:
            return status, await read_chunks(reader)
        size = int(head.split("content-length:")[1].split("\r\n")[0])
        return status, await reader.readexactly(size)
    finally:
        writer.close()


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Reads a chunked body up to its last chunk.

    Raises:
        ValueError: If it is malformed or incomplete.
    """
    data = b""
    while True:
        size = int(await reader.readline(), 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return data
        data += part[:-2]


def build_route(
    name: str, service: str, kind: str, timeout_ms: int, **values: object
) -> dict[str, object]:
    """Returns a route whose path prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "goalMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind != "unsafe" else 1,
        "public": False,
        **values,
    }


def build_event(number: int) -> bytes:
    """Returns an event as the stand-in replicas write it."""
    return b"id: %d\ndata: token\n\n" % number


def build_plain_service(name: str) -> dict[str, object]:
    """Returns a plain service."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 244,
        "protocol": "h1",
        "tls": False,
    }


def build_engine_service(
    name: str, *, kind: str = "a100", size_mb: float = 2000.0
) -> dict[str, object]:
    """Returns a service with engines on one kind of card.

    Args:
        name: Name of the service.
        kind: Name of the kind.
        size_mb: Memory of a card; a layer takes `LAYER_MB` of it.
    """
    return {
        **build_plain_service(name),
        "maxConns": 2173,
        "engine": {
            "slots": 96,
            "kvCapacityTokens": 50_000,
            "kvTokenBytes": 100_000,
            "linkMbps": 400_000.0,
            "stride": 3,
            "models": [{"name": "daka510000", "pace": 1.0, "loadS": 0.5}],
            "step_ms": 1.02,
            "per_seq_ms": 0.01428,
            "context_per_k": 0.01912,
            "read_per_s": 105_000.0,
            "chunk": 512,
            "report_lag_ms": 200.0,
            "loads_at_once": 5,
            "delays": [],
            "usual": {"prompt": 40, "answer": 20},
            "layers": LAYERS,
            "layerMb": LAYER_MB,
            "activationBytes": 1000,
            "pipeMbps": 18_000.0,
            "kinds": [
                {"name": kind, "sizeMb": size_mb, "pace": 1.0, "readX": 1.0}
            ],
        },
    }


def build_configuration(
    version: int,
    routes: list[dict[str, object]],
    services: list[dict[str, object]],
) -> dict[str, object]:
    """Returns a complete configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [API_KEY], "priority": 1}],
    }


def run_case(case_file: str, play: object) -> None:
    """Plays a case and exits with its result.

    Args:
        case_file: Path of the case's program.
        play: Coroutine function that gets the deployment and returns why the
            rule was broken; empty if it held.
    """
    case = pathlib.Path(case_file).resolve().parent
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--trouble",
        choices=("0", "1"),
        required=True,
        help="0 leaves the disruption out",
    )
    trouble = parser.parse_args().trouble == "1"

    async def run() -> int:
        try:
            deployment = Deployment(case, trouble=trouble)
        except NotRunError as error:
            print(f"could not run: {error}")
            return EXIT_NOT_RUN
        verdict, code = "could not run", EXIT_NOT_RUN
        deployment.note(f"with the disruption: {'yes' if trouble else 'no'}")
        try:
            async with asyncio.timeout(115):
                broken = await play(deployment)
            verdict = f"RULE BROKEN: {broken}" if broken else "the rule held"
            code = EXIT_BROKEN if broken else EXIT_HELD
        except (NotRunError, TimeoutError) as error:
            verdict = f"could not run: {error!r}"
        finally:
            await deployment.close(verdict)
        print(verdict)
        return code

    sys.exit(asyncio.run(run()))
