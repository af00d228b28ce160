"""Local clusters of real processes for the demo, tests and benchmarks."""

import asyncio
import contextlib
import shutil
import sys
import time
from typing import Self

import aiohttp
import yaml

from rattanroute.tools.cluster_hosts import CALLERS_PORT
from rattanroute.tools.cluster_hosts import merge_settings
from rattanroute.tools.cluster_hosts import OPERATORS_TOKEN
from rattanroute.tools.cluster_hosts import StandInTarget
from rattanroute.tools.cluster_hosts import TARGET_PORT
from rattanroute.tools.cluster_hosts import TARGETS_PORT
from rattanroute.tools.cluster_hosts import ToolResult
from rattanroute.tools.cluster_hosts import Vm
from rattanroute.tools.processes import POLL_SECONDS
from rattanroute.tools.processes import ProcessGroup
from rattanroute.tools.processes import START_TIMEOUT_SECONDS
from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import FaultKind
from rattanroute.tools.proxies import Route

TARGET_PROXY_PORT = 9100
FIRST_TARGET_HOST = 100
# Claim holders must start before their sets become active.
CLAIM_SETS_DELAY_SECONDS = 6.0
CLAIM_GRANT_MARGIN_SECONDS = 1.2
LOG_TAIL_CHARACTERS = 2000


class LocalCluster(ProcessGroup):
    """Manages a cluster on loopback addresses and injects faults into it.

    Each VM and target has its own loopback address, so that ports are fixed
    and the proxy can distinguish data centres by source address.

    Args:
        data_centres: Number of VMs in each data centre.
        voters: Number of voters, which store the configuration log, in each
            data centre.
        claim_holders: Number of claim holders in each data centre, rounded
            down to an odd number.
        proxied: Whether connections between data centres and to targets pass
            through the fault-injecting proxy.
        settings: Changes to the settings of each daemon.
        claim_sets_delay_s: Time for the VMs to start before the sets of claim
            holders become active.
    """

    def __init__(
        self,
        *,
        data_centres: dict[str, int],
        voters: int = 1,
        claim_holders: int = 3,
        proxied: bool = False,
        settings: dict[str, object] | None = None,
        claim_sets_delay_s: float = CLAIM_SETS_DELAY_SECONDS,
    ) -> None:
        super().__init__()
        self.proxied = proxied
        self.extra_settings = settings or {}
        self.vms: dict[str, Vm] = {}
        self.targets: dict[str, StandInTarget] = {}
        self.data_centres = list(data_centres)
        self.claim_holders: dict[str, list[str]] = {}
        self.claim_sets_delay_s = claim_sets_delay_s
        self.created_ms = 0
        for data_centre, count in data_centres.items():
            names = [f"{data_centre}-{i + 1}" for i in range(count)]
            for i, name in enumerate(names):
                self.vms[name] = Vm(
                    name=name,
                    data_centre=data_centre,
                    address=self.build_address(data_centre, i + 1),
                    voter=i < voters,
                )
            holders = min(claim_holders, count)
            self.claim_holders[data_centre] = names[
                : holders - (holders + 1) % 2
            ]
        self.address_maps: dict[str, dict[str, str]] = {}
        if proxied:
            addresses = {x.name: x.peers_address for x in self.vms.values()}
            self.address_maps = self.plan_peer_routes(addresses)

    async def __aenter__(self) -> Self:
        self.client = aiohttp.ClientSession()
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    def build_address(self, data_centre: str, host: int) -> str:
        """Builds the loopback address of a host of a data centre."""
        number = self.data_centres.index(data_centre) + 1
        return f"{self.network}.{number}.{host}"

    def build_source_prefix(self, data_centre: str) -> str:
        """Builds the common prefix of the addresses of a data centre."""
        return f"{self.network}.{self.data_centres.index(data_centre) + 1}."

    async def start(self) -> None:
        """Starts the proxy and all VMs and waits until the VMs answer.

        A claim holder that starts after its set became active counts as one
        that lost its state, and a set of such holders grants no claims. If
        the start took too long, all VMs are restarted with twice the time.
        """
        if self.proxied:
            await self.start_proxy()
        while not await self.start_vms():
            for name in self.vms:
                await self.kill(name)
                shutil.rmtree(self.folder / name, ignore_errors=True)
            self.claim_sets_delay_s *= 2

    async def start_vms(self) -> bool:
        """Starts all VMs and returns whether they answered in time.

        They must answer before the sets of claim holders become active.
        """
        self.created_ms = int((time.time() + self.claim_sets_delay_s) * 1000)
        for name in self.vms:
            await self.start_vm(name)
        for name in self.vms:
            await self.wait_healthy(name)
        return time.time() * 1000 < self.created_ms

    def partition_data_centre(self, data_centre: str) -> list[Fault]:
        """Returns faults that partition a data centre from the others."""
        inside = [
            vm.name for vm in self.vms.values() if vm.data_centre == data_centre
        ]
        outside = [name for name in self.vms if name not in inside]
        faults = [
            Fault(route=f"peer:{a}:{b}", kind=FaultKind.HOLD)
            for a, b in [(i, o) for i in inside for o in outside]
            + [(o, i) for i in inside for o in outside]
        ]
        for target in self.targets.values():
            route = f"target:{target.name}"
            for other in self.data_centres:
                if (other == data_centre) != (
                    target.data_centre == data_centre
                ):
                    faults.append(
                        Fault(
                            route=route,
                            kind=FaultKind.HOLD,
                            source=self.build_source_prefix(other),
                        )
                    )
        return faults

    def build_settings(self, vm: Vm) -> dict[str, object]:
        """Builds the settings file of a VM."""
        token_file = self.folder / "operators.token"
        token_file.write_text(OPERATORS_TOKEN + "\n", encoding="utf-8")
        voters = [v.name for v in self.vms.values() if v.voter]
        storage: dict[str, object] = {}
        if vm.voter:
            storage = {
                "folder": str(self.folder / vm.name),
                "voter": True,
                "bootstrap_voters": voters,
            }
        settings: dict[str, object] = {
            "vm_id": vm.name,
            "data_centre": vm.data_centre,
            "data_centres": self.data_centres,
            "claim_holders": self.claim_holders,
            "claim_sets_created_ms": dict.fromkeys(
                self.data_centres, self.created_ms
            ),
            "listen": {
                "callers": f"{vm.address}:{CALLERS_PORT}",
                "targets": f"{vm.address}:{TARGETS_PORT}",
                "peers": vm.peers_address,
                "operators": vm.operators_address,
                "source": vm.address,
            },
            "peers": {
                "seeds": [self.vms[name].peers_address for name in voters],
                "address_map": self.address_maps.get(vm.name, {}),
            },
            "storage": storage,
            "security": {"operators_token_file": str(token_file)},
            "telemetry": {"trace_file": str(self.folder / f"{vm.name}.spans")},
        }
        return merge_settings(settings, self.extra_settings)

    async def start_vm(self, name: str) -> None:
        """Writes the settings of a VM and starts its daemon."""
        path = self.folder / f"{name}.yaml"
        path.write_text(
            yaml.safe_dump(self.build_settings(self.vms[name])),
            encoding="utf-8",
        )
        await self.spawn(name, "rattanroute", "--config", str(path))

    async def add_engine(
        self, name: str, data_centre: str, **configuration: object
    ) -> StandInTarget:
        """Starts a stand-in model engine."""
        return await self.add_target(
            name, data_centre, "rattanroute.standins.engine", configuration
        )

    async def add_service(
        self, name: str, data_centre: str, **configuration: object
    ) -> StandInTarget:
        """Starts a stand-in service."""
        return await self.add_target(
            name, data_centre, "rattanroute.standins.service", configuration
        )

    async def add_target(
        self,
        name: str,
        data_centre: str,
        module: str,
        configuration: dict[str, object],
    ) -> StandInTarget:
        """Starts a stand-in target, behind the proxy if there is one."""
        host = FIRST_TARGET_HOST + len(self.targets)
        address = self.build_address(data_centre, host)
        advertise = f"http://{address}:{TARGET_PORT}"
        if self.proxied:
            listen = f"{address}:{TARGET_PROXY_PORT}"
            upstream = f"{address}:{TARGET_PORT}"
            self.routes.append(
                Route(name=f"target:{name}", listen=listen, upstream=upstream)
            )
            advertise = f"http://{listen}"
            await self.send_routes()
        values: dict[str, object] = {
            "target_id": name,
            "listen": f"{address}:{TARGET_PORT}",
            "advertise": advertise,
            "data_centre": data_centre,
            "announce_to": [
                f"{vm.address}:{TARGETS_PORT}"
                for vm in self.vms.values()
                if vm.data_centre == data_centre
            ],
            **configuration,
        }
        target = StandInTarget(
            name=name,
            data_centre=data_centre,
            address=address,
            module=module,
            configuration=values,
        )
        self.targets[name] = target
        await self.start_target(name)
        return target

    async def start_target(self, name: str) -> None:
        """Starts the process of a stand-in target."""
        target = self.targets[name]
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(target.configuration), encoding="utf-8")
        await self.spawn(name, target.module, "--config", str(path))

    async def run_tool(
        self, *arguments: str, addresses: tuple[str, ...] = ()
    ) -> ToolResult:
        """Runs the command-line tool against VMs, by default against all."""
        all_addresses = tuple(vm.operators_address for vm in self.vms.values())
        options = [f"--address={item}" for item in addresses or all_addresses]
        token_file = self.folder / "operators.token"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rattanroute.tools.cli",
            *options,
            f"--token-file={token_file}",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL,
        )
        output, errors = await process.communicate()
        return ToolResult(
            code=process.returncode,
            output=output.decode(),
            errors=errors.decode(),
        )

    async def apply(
        self, operations: list[dict[str, object]], *arguments: str
    ) -> ToolResult:
        """Applies operations with the command-line tool."""
        path = self.folder / f"change-{time.monotonic_ns()}.yaml"
        path.write_text(
            yaml.safe_dump({"operations": operations}), encoding="utf-8"
        )
        return await self.run_tool("apply", str(path), *arguments)

    async def wait_healthy(self, name: str) -> None:
        """Waits until a VM is healthy.

        Raises:
            TimeoutError: If it is not in time; shows the end of its log.
        """
        try:
            await self.wait_status(f"{self.vms[name].callers_url}/healthz")
        except TimeoutError as error:
            state = self.describe_process(name)
            tail = self.read_log(name)[-LOG_TAIL_CHARACTERS:]
            raise TimeoutError(
                f"{error}; {state}; its log ends with: {tail}"
            ) from None

    async def wait_ready(self, *names: str) -> None:
        """Waits until the named VMs are ready; without names, all VMs."""
        for name in names or tuple(self.vms):
            await self.wait_status(f"{self.vms[name].callers_url}/readyz")

    async def wait_claims(self) -> None:
        """Waits until the claim holders may grant claims."""
        due = self.created_ms / 1000 + CLAIM_GRANT_MARGIN_SECONDS
        await asyncio.sleep(max(0.0, due - time.time()))

    async def wait_status(self, url: str) -> None:
        """Waits until a URL answers with status 200.

        Raises:
            TimeoutError: If it does not within the start timeout.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.client.get(
                    url, timeout=aiohttp.ClientTimeout(total=1)
                ) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError(f"{url} did not answer with status 200")
