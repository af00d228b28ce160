"""Announcements, heartbeats and usage statements of stand-in targets."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses
import time

import aiohttp
import msgspec

from rattanroute.tables.targets import TargetReport

ANSWER_TIMEOUT_S = 0.5
"""Time after which the next VM is tried."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageStatement:
    """Work that a target did for one attempt.

    Attributes:
        request_id: The request.
        attempt: Attempt number.
        account: Account named by the router.
        tokens_in: Prompt tokens.
        tokens_out: Generated tokens.
        seconds: Time in a slot.
        layers: Layers that the target ran; 0 for a service.
    """

    request_id: str
    attempt: int
    account: str
    tokens_in: int
    tokens_out: int
    seconds: float
    layers: int


@dataclasses.dataclass(kw_only=True, slots=True)
class LoadHistory:
    """Reports load as it was `lag_s` ago."""

    lag_s: float
    samples: collections.deque[tuple[float, int, int]] = dataclasses.field(
        default_factory=collections.deque
    )

    def record(self, *, running: int, queued: int) -> tuple[int, int]:
        """Stores the present load and returns the one to report."""
        now = time.monotonic()
        self.samples.append((now, running, queued))
        while len(self.samples) > 1 and self.samples[1][0] <= now - self.lag_s:
            self.samples.popleft()
        return self.samples[0][1:]


class Announcer:
    """Tells one VM of the data centre about a target.

    Attributes:
        build_report: Returns the present report; the announcer sets its
            incarnation and sequence.
        usage: Statements not yet acknowledged, by request and attempt.
    """

    def __init__(
        self,
        *,
        addresses: tuple[str, ...],
        build_report: Callable[[], TargetReport],
        heartbeat_s: float,
        token: str = "",
        silent: Callable[[], bool] = lambda: False,
    ) -> None:
        self.addresses = addresses
        self.build_report = build_report
        self.heartbeat_s = heartbeat_s
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.silent = silent
        self.incarnation = time.time_ns() // 1_000_000
        self.sequence = 0
        self.current = 0
        self.usage: dict[tuple[str, int], UsageStatement] = {}
        self.session: aiohttp.ClientSession | None = None
        self.task: asyncio.Task[None] | None = None

    def state_usage(self, statement: UsageStatement) -> None:
        """Adds a statement to the next heartbeats."""
        key = (statement.request_id, statement.attempt)
        self.usage[key] = statement

    def start(self) -> None:
        """Starts to announce and to send heartbeats."""
        if self.addresses:
            self.session = aiohttp.ClientSession(
                headers=self.headers,
                timeout=aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S),
            )
            self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Sends heartbeats until cancelled; announces to each new VM."""
        announced: int | None = None
        while True:
            if not self.silent():
                kind = "heartbeat" if announced == self.current else "announce"
                if await self.send(kind):
                    announced = self.current
                else:
                    self.current = (self.current + 1) % len(self.addresses)
                    announced = None
                    if self.current != 0:
                        continue
            await asyncio.sleep(self.heartbeat_s)

    async def send(self, kind: str) -> bool:
        """Posts the report; returns whether the VM accepted it."""
        self.sequence += 1
        report = dataclasses.replace(
            self.build_report(),
            incarnation=self.incarnation,
            sequence=self.sequence,
        )
        body = msgspec.to_builtins(report)
        if kind != "announce":
            body["usage"] = [
                msgspec.to_builtins(item) for item in self.usage.values()
            ]
        address = self.addresses[self.current]
        url = f"http://{address}/v1/targets/{kind}"
        try:
            async with self.session.post(url, json=body) as answer:
                data = await answer.read()
                if answer.status != 200:
                    return False
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        self.acknowledge(data)
        return True

    def acknowledge(self, data: bytes) -> None:
        """Drops the statements that a heartbeat's answer acknowledges."""
        try:
            answer = msgspec.json.decode(data) if data else {}
        except msgspec.DecodeError:
            return
        for item in answer.get("acknowledged", ()):
            self.usage.pop((item["request_id"], item["attempt"]), None)

    async def leave(self) -> None:
        """Sends the leave notice to the first VM that answers."""
        if self.session is None:
            return
        for _ in self.addresses:
            if await self.send("leave"):
                return
            self.current = (self.current + 1) % len(self.addresses)

    async def stop(self) -> None:
        """Ends the heartbeats."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        if self.session is not None:
            await self.session.close()
