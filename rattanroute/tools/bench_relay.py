"""Cost of the router's request path compared with a bare aiohttp relay.

Both forward to the same stand-in engines and alternate under the same load in
one run.
"""

import asyncio
import contextlib
import dataclasses
import time

import aiohttp
import msgspec
import psutil
import uvloop

from rattanroute.tools.bench_arithmetic import build_row
from rattanroute.tools.bench_baselines import BenchCluster
from rattanroute.tools.cluster_hosts import Vm
from rattanroute.tools.demo_configuration import apply_configuration
from rattanroute.tools.demo_configuration import LOAD_KEYS
from rattanroute.tools.loads import LoadGenerator
from rattanroute.tools.loads import LoadPlan
from rattanroute.tools.loads import LoadReport

MODEL = "chat"
RELAY_PORT = 8095
ENGINE_SLOTS = 4000
LATENCY_RATE = 100.0
LATENCY_SECONDS = 8.0
LATENCY_TOKENS = 8
CHUNK_REQUESTS = 40
CHUNK_TOKENS = 400
CHUNK_ROUNDS = 2
OPEN_STREAMS = 1000
OPEN_STREAM_TOKENS = 60
OPEN_STREAM_TOKENS_PER_SECOND = 4.0
MEMORY_DELAY_SECONDS = 5.0
MAX_CHUNK_RATIO = 1.5
MAX_ADDED_MEDIAN_MS = 2.0
MAX_ADDED_P99_MS = 8.0
MAX_STREAM_KIB = 64.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class MeasuredProcess:
    """A router or relay process under measurement.

    Attributes:
        url: Base URL.
        pid: Process identifier.
    """

    url: str
    pid: int

    def cpu_seconds(self) -> float:
        """Returns the processor seconds used so far."""
        times = psutil.Process(self.pid).cpu_times()
        return times.user + times.system

    def resident_bytes(self) -> int:
        """Returns the resident memory in bytes."""
        return psutil.Process(self.pid).memory_info().rss


async def start_processes(
    cluster: BenchCluster, vm: Vm
) -> list[MeasuredProcess]:
    """Starts engines and relays.

    Returns:
        The daemon, the relay of the fast engine and that of the slow engine.
    """
    engine = await cluster.add_engine(
        "engine",
        vm.data_centre,
        model=MODEL,
        slots=ENGINE_SLOTS,
        max_queued=ENGINE_SLOTS,
        tokens_per_second=OPEN_STREAM_TOKENS_PER_SECOND,
        prefill_tokens_per_second=1e6,
        max_executions=0,
    )
    fast = await cluster.add_engine(
        "engine-fast",
        vm.data_centre,
        model="instruct",
        slots=ENGINE_SLOTS,
        max_queued=ENGINE_SLOTS,
        tokens_per_second=100.0,
        prefill_tokens_per_second=1e6,
        max_executions=0,
    )
    await cluster.wait_status(f"{engine.url}/healthz")
    await cluster.wait_status(f"{fast.url}/healthz")
    for name, target in (("relay-slow", engine), ("relay", fast)):
        port = RELAY_PORT + (name == "relay-slow")
        await cluster.spawn(
            name, "rattanroute.tools.relays", vm.address, str(port), target.url
        )
        await cluster.wait_status(f"http://{vm.address}:{port}/healthz")
    return [
        MeasuredProcess(url=vm.callers_url, pid=cluster.processes[vm.name].pid),
        MeasuredProcess(
            url=f"http://{vm.address}:{RELAY_PORT}",
            pid=cluster.processes["relay"].pid,
        ),
        MeasuredProcess(
            url=f"http://{vm.address}:{RELAY_PORT + 1}",
            pid=cluster.processes["relay-slow"].pid,
        ),
    ]


async def measure_latency(
    loads: LoadGenerator, process: MeasuredProcess, seed: int
) -> LoadReport:
    """Measures the time to first token under a load."""
    return require_complete(
        await loads.run(
            LoadPlan(
                urls=(process.url,),
                keys=LOAD_KEYS,
                model="instruct",
                rate=LATENCY_RATE,
                seconds=LATENCY_SECONDS,
                max_tokens=LATENCY_TOKENS,
                seed=seed,
            )
        )
    )


def require_complete(report: LoadReport) -> LoadReport:
    """Returns the report if all requests got complete answers.

    Raises:
        RuntimeError: If some did not, which invalidates the measurement.
    """
    if report.done != report.sent:
        raise RuntimeError(
            f"{report.sent - report.done} of {report.sent} requests failed: "
            f"{report.refusals}"
        )
    return report


async def measure_chunk(
    loads: LoadGenerator, process: MeasuredProcess
) -> float:
    """Returns the processor microseconds per streamed chunk.

    The idle cost per second is measured first and subtracted.
    """
    idle_started = process.cpu_seconds()
    await asyncio.sleep(2.0)
    idle = (process.cpu_seconds() - idle_started) / 2.0
    started = time.monotonic()
    before = process.cpu_seconds()
    report = require_complete(
        await loads.run(
            LoadPlan(
                urls=(process.url,),
                keys=LOAD_KEYS,
                model="instruct",
                rate=float(CHUNK_REQUESTS),
                seconds=1.0,
                max_tokens=CHUNK_TOKENS,
                seed=3,
            )
        )
    )
    used = process.cpu_seconds() - before
    used -= idle * (time.monotonic() - started)
    return used / max(report.tokens, 1) * 1e6


async def compare_chunks(
    loads: LoadGenerator, router: MeasuredProcess, relay: MeasuredProcess
) -> tuple[float, float]:
    """Returns the minimum processor us per chunk of router and relay."""
    router_times: list[float] = []
    relay_times: list[float] = []
    for _ in range(CHUNK_ROUNDS):
        relay_times.append(await measure_chunk(loads, relay))
        router_times.append(await measure_chunk(loads, router))
    return min(router_times), min(relay_times)


async def measure_memory(
    client: aiohttp.ClientSession, process: MeasuredProcess
) -> float:
    """Returns the KiB of resident memory per open stream."""
    before = process.resident_bytes()
    tasks = [
        asyncio.create_task(hold_stream(client, process.url, number))
        for number in range(OPEN_STREAMS)
    ]
    await asyncio.sleep(MEMORY_DELAY_SECONDS)
    used = process.resident_bytes() - before
    if any(task.done() for task in tasks):
        raise RuntimeError("a stream ended before memory was measured")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return used / OPEN_STREAMS / 1024


async def hold_stream(
    client: aiohttp.ClientSession, url: str, number: int
) -> None:
    """Opens a slow stream and reads it until cancelled."""
    body = {
        "model": MODEL,
        "stream": True,
        "max_tokens": OPEN_STREAM_TOKENS,
        "messages": [{"role": "user", "content": f"hold {number}"}],
    }
    headers = {"Authorization": f"Bearer {LOAD_KEYS[0]}"}
    async with client.post(
        f"{url}/v1/chat/completions",
        data=msgspec.json.encode(body),
        headers=headers,
    ) as response:
        response.raise_for_status()
        async for _ in response.content:
            pass


async def run_all() -> list[dict[str, object]]:
    """Runs all measurements."""
    async with contextlib.AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(
            BenchCluster(data_centres={"dc-a": 1})
        )
        client = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=None),
            )
        )
        vm = next(iter(cluster.vms.values()))
        await apply_configuration(cluster)
        router, relay, slow_relay = await start_processes(cluster, vm)
        await asyncio.sleep(1.5)
        loads = LoadGenerator(client=client)
        # Memory is measured first: after other loads, new streams could reuse
        # freed memory of the process and would not increase its size.
        rows: list[dict[str, object]] = []
        bare = await measure_memory(client, slow_relay)
        used = await measure_memory(client, router)
        rows.append(
            build_row(
                "memory per open stream beyond the relay",
                used - bare,
                "KiB",
                at_most=MAX_STREAM_KIB,
                baseline=bare,
            )
        )
        rows += await compare_latency(loads, router, relay)
        chunk, bare = await compare_chunks(loads, router, relay)
        rows.append(
            build_row("processor time per chunk", chunk, "us", baseline=bare)
        )
        rows.append(
            build_row(
                "processor time per chunk against the relay",
                chunk / bare,
                "ratio",
                at_most=MAX_CHUNK_RATIO,
                baseline=1.0,
            )
        )
        return rows


async def compare_latency(
    loads: LoadGenerator, router: MeasuredProcess, relay: MeasuredProcess
) -> list[dict[str, object]]:
    """Compares the times to first token; router and relay run twice."""
    reports: dict[str, list[LoadReport]] = {"router": [], "relay": []}
    for seed in (1, 2):
        reports["relay"].append(await measure_latency(loads, relay, seed))
        reports["router"].append(await measure_latency(loads, router, seed))
    for pair in reports.values():
        pair[0].first_token.add(pair[1].first_token)
    routed, bare = reports["router"][0], reports["relay"][0]
    rows = []
    for percentile, target in (
        (50.0, MAX_ADDED_MEDIAN_MS),
        (99.0, MAX_ADDED_P99_MS),
    ):
        base = bare.first_token_ms(percentile)
        added = routed.first_token_ms(percentile) - base
        rows.append(
            build_row(
                f"added time to first token, p{percentile:g}",
                added,
                "ms",
                at_most=target,
                baseline=base,
            )
        )
    return rows


def run() -> list[dict[str, object]]:
    """Runs the benchmark and returns its rows."""
    return uvloop.run(run_all())
