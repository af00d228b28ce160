"""Benchmarks of pipeline planning, the engine client and stage recovery."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import json
import os
import pathlib
import random
import statistics
import sys
import tempfile
import time

import aiohttp
from aiohttp import web
import msgspec
import yaml

from rattanroute.actions import Hop
from rattanroute.actions import ReplaceStage
from rattanroute.clients.attempts import AttemptSpec
from rattanroute.clients.attempts import TokenChunk
from rattanroute.clients.engines import EngineClient
from rattanroute.clients.failures import build_session
from rattanroute.clients.stages import PipelineClient
from rattanroute.clients.stages import StageFailure
from rattanroute.standins.engine import StandinEngine
from rattanroute.standins.settings import EngineSettings
from rattanroute.standins.settings import FaultSettings
from rattanroute.systems.pipelines import PipelinePlanner
from rattanroute.tables.links import LinkTable
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

LAYERS = 80
STAGE_COUNTS = (30, 120, 500)
PLANS = 20
PLAN_TARGET_MS = 20.0
"""Upper bound. Planning runs on the event loop and delays the tokens of all
other requests; it may use less than a third of the 70 ms allowed per token."""
RELAY_TARGET = 1.2
RELAY_REQUESTS = 40
RELAY_TOKENS = 400
RELAY_ROUNDS = 5
RECOVERY_TARGET_S = 1.6
"""Upper bound: the time to first token that clients may expect."""
RECOVERY_PROMPT_TOKENS = 500
DELAYS_S = {"dc-a": 0.0001, "dc-b": 0.0005, "dc-c": 0.01}


def build_row(
    name: str,
    value: float,
    unit: str,
    target: float | None = None,
    baseline: float | None = None,
) -> dict[str, object]:
    """Builds a result row; `target` is an upper bound."""
    met = None if target is None else value <= target
    return {
        "name": name,
        "value": round(value, 4),
        "unit": unit,
        "target": target,
        "met": met,
        "baseline": baseline,
    }


def build_targets(
    count: int, *, aligned: bool, rng: random.Random
) -> TargetTable:
    """Builds stages of a model with aligned or random layer ranges."""
    table = TargetTable()
    for number in range(count):
        first = 10 * (number % 8)
        last = first + 9
        if not aligned and number >= 8:
            first = rng.randrange(LAYERS - 8)
            last = min(LAYERS - 1, first + rng.randrange(8, 20))
        report = TargetReport(
            target_id=f"t{number}",
            address="",
            data_centre=rng.choice(sorted(DELAYS_S)),
            model="m",
            version="1",
            first_layer=first,
            last_layer=last,
            total_layers=LAYERS,
            slots=4,
            tokens_per_second=rng.uniform(20.0, 100.0),
            running=rng.randrange(8),
        )
        table.record(report=report, observer="vm", received_at=0.0)
    return table


def measure_planning() -> list[dict[str, object]]:
    """Measures the median time to compute a plan."""
    links = LinkTable()
    for name, delay in DELAYS_S.items():
        links.record(source="dc-a", destination=name, delay_s=delay)
    rows: list[dict[str, object]] = []
    for count in STAGE_COUNTS:
        for aligned in (True, False):
            rng = random.Random(1)
            targets = build_targets(count, aligned=aligned, rng=rng)
            planner = PipelinePlanner(
                data_centre="dc-a",
                links=links,
                eligible=lambda row, now: True,
                rng=rng,
            )
            times: list[float] = []
            for _ in range(PLANS):
                started = time.perf_counter()
                planner.plan(model="m", version="1", targets=targets, now=0.0)
                times.append((time.perf_counter() - started) * 1000)
            kind = "aligned" if aligned else "random"
            name = f"plan_{count}_stages_{kind}_ranges"
            target = PLAN_TARGET_MS if count <= 120 else None
            median = statistics.median(times)
            rows.append(build_row(name, median, "ms", target))
    return rows


@contextlib.asynccontextmanager
async def engine_process(**values: object) -> AsyncIterator[str]:
    """Runs a stand-in engine in a process and yields its address."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "engine.yaml"
        values = {"target_id": "e1", "data_centre": "dc-a", **values}
        path.write_text(yaml.safe_dump(values), encoding="utf-8")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rattanroute.standins.engine",
            "--config",
            str(path),
            stdout=asyncio.subprocess.PIPE,
            env=dict(os.environ),
        )
        try:
            line = await process.stdout.readline()
            address = line.decode().strip().removeprefix("listening address=")
            yield address
        finally:
            process.kill()
            await process.wait()


RelayHandler = Callable[[web.StreamResponse, int], Awaitable[int]]


async def measure_relays() -> list[dict[str, object]]:
    """Compares the processor time of two relays in this process.

    The engine and the clients run in other processes, so that this process
    only measures the relay. Rounds of the two relays alternate.
    """
    async with (
        engine_process(
            slots=RELAY_REQUESTS,
            tokens_per_second=200.0,
            max_executions=0,
            first_layer=0,
            last_layer=0,
            total_layers=1,
        ) as engine,
        build_session() as session,
    ):
        relays = {
            "bare": build_bare_relay(session, engine),
            "client": build_client_relay(session, engine),
        }
        times: dict[str, list[float]] = {name: [] for name in relays}
        for _ in range(RELAY_ROUNDS):
            for name, relay in relays.items():
                times[name].append(await measure_relay(relay))
    bare = statistics.median(times["bare"])
    client = statistics.median(times["client"])
    return [
        build_row("relay_bare_per_chunk", bare, "us"),
        build_row(
            "relay_engine_client_per_chunk", client, "us", None, round(bare, 4)
        ),
        build_row(
            "relay_engine_client_to_bare", client / bare, "ratio", RELAY_TARGET
        ),
    ]


def build_body() -> dict[str, object]:
    """Builds the body of the relayed requests."""
    return {
        "messages": [{"role": "user", "content": "one two three"}],
        "max_tokens": RELAY_TOKENS,
    }


def build_bare_relay(
    session: aiohttp.ClientSession, engine: str
) -> RelayHandler:
    """Builds a relay that forwards bytes without parsing them."""

    async def relay(response: web.StreamResponse, number: int) -> int:
        async with session.post(
            f"{engine}/v1/chat/completions",
            json={**build_body(), "stream": True},
            headers={"X-Request-Id": f"r{number}", "X-Attempt": "1"},
        ) as answer:
            async for data in answer.content.iter_any():
                await response.write(data)
        return RELAY_TOKENS

    return relay


def build_client_relay(
    session: aiohttp.ClientSession, engine: str
) -> RelayHandler:
    """Builds a relay that validates chunks and re-encodes the events."""
    client = EngineClient(session=session)

    async def relay(response: web.StreamResponse, number: int) -> int:
        spec = AttemptSpec(
            request_id=f"r{number}",
            attempt=1,
            target_id="e1",
            address=engine,
            body=build_body(),
        )
        prefix = (
            b'data: {"id":"%s","object":"chat.completion.chunk","choices":'
            b'[{"index":0,"delta":{"content":' % spec.request_id.encode()
        )
        count = 0
        async with contextlib.aclosing(client.run(spec)) as items:
            async for item in items:
                if isinstance(item, TokenChunk):
                    count += 1
                    text = msgspec.json.encode(item.text)
                    await response.write(prefix + text + b"}}]}\n\n")
        await response.write(b"data: [DONE]\n\n")
        return count

    return relay


async def measure_relay(relay: RelayHandler) -> float:
    """Returns the processor time per chunk of one round, in microseconds."""
    chunks: list[int] = []

    async def handle(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        chunks.append(await relay(response, len(chunks)))
        return response

    app = web.Application()
    app.router.add_get("/", handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}/"
    clients = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rattanroute.tools.bench_pipelines",
        "--callers",
        url,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    await clients.stdout.readline()
    started = time.process_time()
    clients.stdin.write(b"go\n")
    await clients.wait()
    used = time.process_time() - started
    await runner.cleanup()
    return used / sum(chunks) * 1e6


async def run_clients(url: str) -> None:
    """Reads answers of a relay concurrently, in a separate process."""

    async def call(session: aiohttp.ClientSession) -> None:
        async with session.get(url) as answer:
            async for _ in answer.content.iter_any():
                pass

    async with build_session() as session:
        print("ready", flush=True)
        sys.stdin.readline()
        await asyncio.gather(*(call(session) for _ in range(RELAY_REQUESTS)))


async def measure_recovery() -> list[dict[str, object]]:
    """Measures the longest gap between tokens when a stage crashes."""
    async with contextlib.AsyncExitStack() as stack:
        hosts: dict[str, StandinEngine] = {}
        for name, first, last in (
            ("first", 0, 2),
            ("middle", 3, 5),
            ("last", 6, 7),
            ("spare", 3, 5),
        ):
            host = StandinEngine(
                EngineSettings(
                    target_id=name,
                    data_centre="dc-a",
                    first_layer=first,
                    last_layer=last,
                    tokens_per_second=50.0,
                    prefill_tokens_per_second=5000.0,
                )
            )
            await host.start()
            stack.push_async_callback(host.stop)
            hosts[name] = host
        session = await stack.enter_async_context(build_session())
        gaps = {
            crashes: await measure_gap(session, hosts, crashes)
            for crashes in (False, True)
        }
    return [
        build_row("longest_token_gap_without_failure", gaps[False], "s"),
        build_row(
            "longest_token_gap_with_stage_death",
            gaps[True],
            "s",
            RECOVERY_TARGET_S,
            round(gaps[False], 4),
        ),
    ]


async def measure_gap(
    session: aiohttp.ClientSession,
    hosts: dict[str, StandinEngine],
    crashes: bool,
) -> float:
    """Returns the longest time between two tokens of a request, in s."""

    def build_hop(name: str) -> Hop:
        host = hosts[name]
        return Hop(
            target_id=name,
            address=host.address,
            first_layer=host.first_layer,
            last_layer=host.last_layer,
        )

    async def replace(failure: StageFailure) -> ReplaceStage:
        return ReplaceStage(
            request_id=failure.request_id,
            attempt=2,
            failed_target_id="middle",
            hops=(build_hop("spare"),),
        )

    close_at = RECOVERY_PROMPT_TOKENS + 10 if crashes else -1
    hosts["middle"].faults = FaultSettings(close_at=close_at)
    prompt = "word " * RECOVERY_PROMPT_TOKENS
    spec = AttemptSpec(
        request_id=f"r{crashes}",
        attempt=1,
        target_id="first",
        address="",
        body={
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": 30,
        },
    )
    client = PipelineClient(session=session)
    run = client.open(
        spec=spec,
        chain=tuple(build_hop(name) for name in ("first", "middle", "last")),
        on_failure=replace,
    )
    times: list[float] = []
    async with contextlib.aclosing(run.run()) as items:
        async for _ in items:
            times.append(time.perf_counter())
    await client.close()
    return max(b - a for a, b in itertools.pairwise(times))


def run() -> list[dict[str, object]]:
    """Runs all benchmarks and returns their rows."""
    return [
        *measure_planning(),
        *asyncio.run(measure_relays()),
        *asyncio.run(measure_recovery()),
    ]


def main() -> None:
    """Prints the result rows, or runs the clients of a relay."""
    if sys.argv[1:2] == ["--callers"]:
        asyncio.run(run_clients(sys.argv[2]))
        return
    for row in run():
        print(json.dumps(row))


if __name__ == "__main__":
    main()
