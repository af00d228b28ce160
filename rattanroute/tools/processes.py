"""Test processes on loopback addresses, behind a fault-injecting proxy."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time

import aiohttp
import msgspec
import psutil

from rattanroute.tools.cluster_hosts import reserve_network
from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import Route

PROXY_CONTROL_PORT = 8090
FIRST_PEER_ROUTE_PORT = 20000
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05
KEEP_FOLDER_VARIABLE = "RATTANROUTE_KEEP_FOLDER"
# Options of the interpreter for the modules that are deployed with any.
INTERPRETER_OPTIONS = {"rattanroute.platform": ("-S",)}


class ProcessGroup:
    """Manages test processes and the faults of the proxy between them.

    Attributes:
        folder: Folder of the settings, data and output of the processes.
        lock: Socket that reserves the network.
        network: First two octets of all loopback addresses.
        processes: The last process started under each name.
        routes: Routes of the proxy.
        faults: Active faults of the proxy.
        client: HTTP client, which subclasses open at their start.
        keep_folder: Whether the folder is kept at the end.
    """

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rattanroute-"))
        self.lock, self.network = reserve_network()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.routes: list[Route] = []
        self.faults: list[Fault] = []
        self.client: aiohttp.ClientSession | None = None
        self.keep_folder = bool(os.environ.get(KEEP_FOLDER_VARIABLE))

    def plan_peer_routes(
        self, addresses: dict[str, str]
    ) -> dict[str, dict[str, str]]:
        """Adds a proxy route for each ordered pair of peers.

        Args:
            addresses: Peer address of each process.

        Returns:
            For each process, the route's listen address by peer address.
        """
        maps: dict[str, dict[str, str]] = {name: {} for name in addresses}
        port = FIRST_PEER_ROUTE_PORT
        for source, peer in itertools.permutations(addresses, 2):
            listen = f"{self.network}.0.1:{port}"
            port += 1
            self.routes.append(
                Route(
                    name=f"peer:{source}:{peer}",
                    listen=listen,
                    upstream=addresses[peer],
                )
            )
            maps[source][addresses[peer]] = listen
        return maps

    async def start_proxy(self) -> None:
        """Starts the proxy and sends its routes."""
        control = f"{self.network}.0.1:{PROXY_CONTROL_PORT}"
        await self.spawn("proxy", "rattanroute.tools.proxies", control)
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while True:
            try:
                await self.send_routes()
                return
            except aiohttp.ClientError:
                if time.monotonic() > deadline:
                    raise
                await asyncio.sleep(POLL_SECONDS)

    async def send_routes(self) -> None:
        """Sends the routes to the proxy."""
        await self.put_control("routes", self.routes)

    async def close_route(self, name: str) -> None:
        """Closes a route, so that connections to it are refused."""
        self.routes = [route for route in self.routes if route.name != name]
        await self.send_routes()

    async def put_control(self, path: str, items: list[object]) -> None:
        """Replaces the routes or the faults of the proxy."""
        url = f"http://{self.network}.0.1:{PROXY_CONTROL_PORT}/{path}"
        async with self.client.put(
            url, data=msgspec.json.encode(items)
        ) as response:
            response.raise_for_status()

    async def set_faults(self, *faults: Fault) -> None:
        """Replaces all faults of the proxy."""
        self.faults = list(faults)
        await self.put_control("faults", self.faults)

    async def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Runs a Python module as a process and appends its output to a log."""
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                *INTERPRETER_OPTIONS.get(module, ()),
                "-m",
                module,
                *arguments,
                stdout=output,
                stderr=output,
                stdin=asyncio.subprocess.DEVNULL,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process, unless it has ended."""
        with contextlib.suppress(ProcessLookupError):
            self.processes[name].send_signal(number)

    def freeze(self, name: str) -> None:
        """Suspends a process with SIGSTOP."""
        self.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resumes a suspended process with SIGCONT."""
        self.signal(name, signal.SIGCONT)

    async def kill(self, name: str) -> None:
        """Kills a process with SIGKILL and waits for its end."""
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    async def stop(self, name: str) -> int:
        """Stops a process with SIGTERM and returns its exit code."""
        self.signal(name, signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            return await self.processes[name].wait()

    def read_log(self, name: str) -> str:
        """Returns the output of all processes of a name."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def describe_process(self, name: str) -> str:
        """Describes the state of a process for an error message.

        A process that logged nothing may have ended, wait for something or
        have got little processor time on a loaded machine.
        """
        load = f"load {os.getloadavg()[0]:.1f}"
        process = self.processes[name]
        if process.returncode is not None:
            return f"ended with {process.returncode}, {load}"
        try:
            row = psutil.Process(process.pid)
            used_s = sum(row.cpu_times()[:2])
            age_s = time.time() - row.create_time()
            state = row.status()
        except psutil.NoSuchProcess:
            return f"ended, {load}"
        return (
            f"{state}, {used_s:.1f} s of processor time in {age_s:.1f} s, "
            f"{load}"
        )

    async def close(self) -> None:
        """Kills all processes, and removes the folder unless it is kept."""
        for name, process in self.processes.items():
            if process.returncode is None:
                self.signal(name, signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        if self.client is not None:
            await self.client.close()
        self.lock.close()
        if not self.keep_folder:
            shutil.rmtree(self.folder, ignore_errors=True)
