"""Open-loop load on callers' interfaces, with the times that callers see."""

import asyncio
import dataclasses
import itertools
import random
import time

import aiohttp
from hdrh.histogram import HdrHistogram
import msgspec

HIGHEST_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3
DONE = b"[DONE]"


class RefusalField(msgspec.Struct):
    """The parts of a refusal that a report counts."""

    type: str = ""
    execution: str = ""
    retry_after_s: float | None = None


class ErrorBody(msgspec.Struct):
    """A refusal's JSON body."""

    error: RefusalField


ERROR_DECODER = msgspec.json.Decoder(ErrorBody)


def new_histogram() -> HdrHistogram:
    """Returns a histogram of microseconds."""
    return HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(kw_only=True)
class LoadReport:
    """What the callers of a load saw.

    Attributes:
        sent: Requests sent.
        done: Complete answers.
        on_time: Complete answers within the deadline.
        tokens: Tokens of complete answers.
        refusals: Refusals by type.
        broken: Answers that ended in an error event after the first token.
        lost: Requests that got neither an answer nor a refusal.
        first_token: Times to the first token, in microseconds.
        token_gap: Times between tokens, in microseconds.
        ended_at: Times at which complete answers ended.
        seconds: Length of the load.
    """

    sent: int = 0
    done: int = 0
    on_time: int = 0
    tokens: int = 0
    refusals: dict[str, int] = dataclasses.field(default_factory=dict)
    broken: int = 0
    lost: int = 0
    first_token: HdrHistogram = dataclasses.field(default_factory=new_histogram)
    token_gap: HdrHistogram = dataclasses.field(default_factory=new_histogram)
    ended_at: list[float] = dataclasses.field(default_factory=list)
    seconds: float = 0.0

    def first_token_ms(self, percentile: float) -> float:
        """Returns a percentile of the time to the first token."""
        return self.first_token.get_value_at_percentile(percentile) / 1000

    def token_gap_ms(self, percentile: float) -> float:
        """Returns a percentile of the time between tokens."""
        return self.token_gap.get_value_at_percentile(percentile) / 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadPlan:
    """A load.

    Attributes:
        urls: Base URLs of VMs, used in turn.
        keys: Bearer keys, used in turn.
        model: Model name.
        rate: Mean requests per second; arrivals are a Poisson process.
        seconds: Length.
        max_tokens: Tokens of each answer.
        prompt_words: Words of each prompt.
        deadline_s: Deadline of each request.
        seed: Seed of arrivals and prompts.
        prefixes: Number of common prompt prefixes; 0 for none.
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


class LoadClient:
    """Sends a load and reports what its callers saw.

    Args:
        client: HTTP client without a limit of connections.
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
        due = started
        while due - started < plan.seconds:
            due += rng.expovariate(plan.rate)
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
        """Sends one request and reads its stream."""
        body = {
            "model": plan.model,
            "stream": True,
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
                await read_stream(response, started, plan, report)
        except (aiohttp.ClientError, TimeoutError, OSError):
            report.lost += 1


async def read_stream(
    response: aiohttp.ClientResponse,
    started: float,
    plan: LoadPlan,
    report: LoadReport,
) -> None:
    """Reads the events of an answer and records their times."""
    tokens = 0
    last = started
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        if line.startswith(DONE, 6):
            finish(report, plan, started, tokens)
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


def finish(
    report: LoadReport, plan: LoadPlan, started: float, tokens: int
) -> None:
    """Counts a complete answer."""
    now = time.monotonic()
    report.done += 1
    report.tokens += tokens
    report.ended_at.append(now)
    if now - started <= plan.deadline_s:
        report.on_time += 1


def count_refusal(report: LoadReport, body: bytes) -> None:
    """Counts a refusal by its type."""
    try:
        kind = ERROR_DECODER.decode(body).error.type
    except msgspec.DecodeError:
        kind = "not JSON"
    report.refusals[kind] = report.refusals.get(kind, 0) + 1


def build_prompt(plan: LoadPlan, rng: random.Random, number: int) -> str:
    """Builds a prompt, with one of the common prefixes if there are any."""
    words = plan.prompt_words
    if not plan.prefixes:
        return " ".join(f"p{number}w{i}" for i in range(words))
    prefix = rng.randrange(plan.prefixes)
    common = [f"c{prefix}w{i}" for i in range(words - 4)]
    return " ".join([*common, *(f"p{number}w{i}" for i in range(4))])
