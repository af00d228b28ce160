"""Open-loop load generator that measures latencies at the client."""

import asyncio
import dataclasses
import itertools
import pathlib
import random
import sys
import tempfile
import time

import aiohttp
from hdrh.histogram import HdrHistogram
import msgspec
import uvloop

MAX_RECORDED_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3
DONE_MARKER = b"[DONE]"
HISTOGRAMS = ("first_token", "token_gap")


class RefusalDetail(msgspec.Struct):
    """The fields of a refusal that clients evaluate."""

    type: str = ""
    execution: str = ""
    retry_after_s: float | None = None


class ErrorBody(msgspec.Struct):
    """JSON body of a refusal."""

    error: RefusalDetail


ERROR_DECODER = msgspec.json.Decoder(ErrorBody)


def build_histogram() -> HdrHistogram:
    """Returns an empty histogram of durations in microseconds."""
    return HdrHistogram(1, MAX_RECORDED_MICROSECONDS, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(kw_only=True)
class LoadReport:
    """Results of a load, as its clients measured them.

    Attributes:
        sent: Requests sent.
        done: Requests with a complete answer.
        on_time: Requests with a complete answer within the deadline.
        tokens: Tokens of complete answers.
        refusals: Number of refusals and error events by error type.
        broken: Answer streams that ended in an error event.
        lost: Requests that got neither an answer nor a refusal.
        first_token: Times to the first token, in microseconds.
        token_gap: Times between tokens, in microseconds.
        ended_at: End times of the answers counted in `on_time`, in seconds of
            the monotonic clock.
        started_at: Start time, in seconds of the machine's monotonic clock.
        seconds: Duration of the load.
    """

    sent: int = 0
    done: int = 0
    on_time: int = 0
    tokens: int = 0
    refusals: dict[str, int] = dataclasses.field(default_factory=dict)
    broken: int = 0
    lost: int = 0
    first_token: HdrHistogram = dataclasses.field(
        default_factory=build_histogram
    )
    token_gap: HdrHistogram = dataclasses.field(default_factory=build_histogram)
    ended_at: list[float] = dataclasses.field(default_factory=list)
    started_at: float = 0.0
    seconds: float = 0.0

    def first_token_ms(self, percentile: float) -> float:
        """Returns a percentile of the time to the first token, in ms."""
        return self.first_token.get_value_at_percentile(percentile) / 1000

    def token_gap_ms(self, percentile: float) -> float:
        """Returns a percentile of the time between tokens, in ms."""
        return self.token_gap.get_value_at_percentile(percentile) / 1000

    def merge(self, other: "LoadReport") -> None:
        """Adds the results of another load that ran at the same time."""
        self.sent += other.sent
        self.done += other.done
        self.on_time += other.on_time
        self.tokens += other.tokens
        self.broken += other.broken
        self.lost += other.lost
        for kind, count in other.refusals.items():
            self.refusals[kind] = self.refusals.get(kind, 0) + count
        self.first_token.add(other.first_token)
        self.token_gap.add(other.token_gap)
        self.ended_at += other.ended_at
        self.started_at = max(self.started_at, other.started_at)
        self.seconds = max(self.seconds, other.seconds)

    def encode(self) -> bytes:
        """Encodes the report for another process."""
        values = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
            if field.name not in HISTOGRAMS
        }
        for name in HISTOGRAMS:
            values[name] = getattr(self, name).encode().decode()
        return msgspec.json.encode(values)

    @classmethod
    def decode(cls, data: bytes) -> "LoadReport":
        """Decodes the report of another process."""
        values = msgspec.json.decode(data)
        for name in HISTOGRAMS:
            values[name] = HdrHistogram.decode(values[name])
        return cls(**values)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadPlan:
    """Parameters of a load.

    Attributes:
        urls: Base URLs of VMs, used in turn.
        keys: API keys, used in turn.
        model: Model name.
        rate: Mean number of requests per second.
        seconds: Duration of the load.
        max_tokens: Number of tokens of each answer.
        prompt_words: Number of words of each prompt.
        deadline_s: Deadline of each request, in seconds after its start.
        seed: Seed of arrival times and prompts.
        prefixes: Number of shared prompt prefixes; 0 for none.
        steady: Whether requests are sent at equal intervals; otherwise the
            arrivals are a Poisson process.
        stream: Whether answers are streamed; without streaming, the time to
            the first token is that of the complete answer.
    """

    urls: tuple[str, ...]
    keys: tuple[str, ...]
    model: str
    rate: float
    seconds: float
    max_tokens: int = 16
    prompt_words: int = 32
    deadline_s: float = 30.0
    seed: int = 1
    prefixes: int = 0
    steady: bool = False
    stream: bool = True


class LoadGenerator:
    """Sends the requests of a load and measures their answers.

    Args:
        client: HTTP client without a limit on its connections.
    """

    def __init__(self, *, client: aiohttp.ClientSession) -> None:
        self.client = client

    async def run(self, plan: LoadPlan) -> LoadReport:
        """Sends a load and waits for all its answers."""
        report = LoadReport()
        rng = random.Random(plan.seed)
        urls = itertools.cycle(plan.urls)
        keys = itertools.cycle(plan.keys)
        tasks: set[asyncio.Task[None]] = set()
        started = time.monotonic()
        due = report.started_at = started
        while due - started < plan.seconds:
            due += 1 / plan.rate if plan.steady else rng.expovariate(plan.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            report.sent += 1
            prompt = build_prompt(plan, rng, report.sent)
            task = asyncio.create_task(
                self.send(plan, next(urls), next(keys), prompt, report)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        report.seconds = time.monotonic() - started
        await asyncio.gather(*tasks)
        return report

    async def send(
        self,
        plan: LoadPlan,
        url: str,
        key: str,
        prompt: str,
        report: LoadReport,
    ) -> None:
        """Sends one request and records its answer."""
        body = {
            "model": plan.model,
            "stream": plan.stream,
            "max_tokens": plan.max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        headers = {
            "Authorization": f"Bearer {key}",
            "X-Deadline-Ms": str(int(plan.deadline_s * 1000)),
        }
        started = time.monotonic()
        try:
            async with self.client.post(
                f"{url}/v1/chat/completions",
                data=msgspec.json.encode(body),
                headers=headers,
            ) as response:
                if response.status != 200:
                    count_refusal(report, await response.read())
                    return
                if plan.stream:
                    await read_stream(response, started, plan, report)
                    return
                await response.read()
                report.first_token.record_value(
                    int((time.monotonic() - started) * 1e6)
                )
                record_completion(report, plan, started, plan.max_tokens)
        except (aiohttp.ClientError, TimeoutError, OSError):
            report.lost += 1


async def read_stream(
    response: aiohttp.ClientResponse,
    started: float,
    plan: LoadPlan,
    report: LoadReport,
) -> None:
    """Reads the events of a streamed answer and records their times."""
    tokens = 0
    last = started
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        if line.startswith(DONE_MARKER, 6):
            record_completion(report, plan, started, tokens)
            return
        if b'"content"' in line:
            now = time.monotonic()
            histogram = report.token_gap if tokens else report.first_token
            histogram.record_value(int((now - last) * 1e6))
            last = now
            tokens += 1
        elif b'"error"' in line:
            report.broken += 1
            count_refusal(report, line[6:])
            return
    report.lost += 1


def record_completion(
    report: LoadReport, plan: LoadPlan, started: float, tokens: int
) -> None:
    """Records a complete answer."""
    now = time.monotonic()
    report.done += 1
    report.tokens += tokens
    if now - started <= plan.deadline_s:
        report.on_time += 1
        report.ended_at.append(now)


def count_refusal(report: LoadReport, body: bytes) -> None:
    """Counts a refusal or an error event by its type."""
    try:
        kind = ERROR_DECODER.decode(body).error.type
    except msgspec.DecodeError:
        kind = "not JSON"
    report.refusals[kind] = report.refusals.get(kind, 0) + 1


def build_prompt(plan: LoadPlan, rng: random.Random, number: int) -> str:
    """Builds a prompt, with a random shared prefix if the plan has any."""
    words = plan.prompt_words
    if not plan.prefixes:
        # The seed keeps prompts of different processes of a load apart,
        # as each process numbers its prompts from 1.
        name = f"s{plan.seed}p{number}"
        return " ".join(f"{name}w{i}" for i in range(words))
    prefix = rng.randrange(plan.prefixes)
    common = [f"c{prefix}w{i}" for i in range(words - 4)]
    return " ".join([*common, *(f"p{number}w{i}" for i in range(4))])


async def run_processes(plan: LoadPlan, count: int) -> LoadReport:
    """Splits a load over several processes and merges their reports.

    Raises:
        RuntimeError: If a process fails.
    """
    with tempfile.TemporaryDirectory(prefix="rattanroute-load-") as name:
        folder = pathlib.Path(name)
        runs = [
            run_process(
                dataclasses.replace(
                    plan, rate=plan.rate / count, seed=plan.seed * 100 + number
                ),
                folder / f"{number}.json",
            )
            for number in range(count)
        ]
        reports = await asyncio.gather(*runs)
    report = LoadReport()
    for part in reports:
        report.merge(part)
    return report


async def run_process(plan: LoadPlan, path: pathlib.Path) -> LoadReport:
    """Runs a load in a separate process."""
    path.write_bytes(msgspec.json.encode(plan))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rattanroute.tools.loads",
        str(path),
        stdout=asyncio.subprocess.PIPE,
        stdin=asyncio.subprocess.DEVNULL,
    )
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
    if process.returncode != 0:
        raise RuntimeError(f"load process exited with {process.returncode}")
    return LoadReport.decode(output)


async def run_plan(plan: LoadPlan) -> LoadReport:
    """Runs a load in this process with a new HTTP session."""
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None),
    ) as client:
        return await LoadGenerator(client=client).run(plan)


def main() -> None:
    """Run the load of a plan file and print its report."""
    data = pathlib.Path(sys.argv[1]).read_bytes()
    plan = msgspec.json.decode(data, type=LoadPlan)
    sys.stdout.buffer.write(uvloop.run(run_plan(plan)).encode())


if __name__ == "__main__":
    main()
