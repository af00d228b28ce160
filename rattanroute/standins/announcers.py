"""Announcements, heartbeats and usage reports of stand-in targets."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses
import time

import aiohttp
import msgspec

from rattanroute.tables.targets import TargetReport

RESPONSE_TIMEOUT_S = 0.5
"""Timeout of a request to one VM; the next VM is tried afterwards."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageStatement:
    """Usage report for one attempt.

    Attributes:
        request_id: Identifier of the request.
        attempt: Attempt number.
        account: Account that the router named in the request.
        tokens_in: Number of prompt tokens.
        tokens_out: Number of generated tokens.
        seconds: Time for which the attempt was served.
        layers: Number of layers that the target ran; 0 for a service.
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
    """Delays load reports by a fixed time.

    Attributes:
        lag_s: Age of the reported load, in seconds.
        samples: Recorded loads as (time, running, queued), oldest first.
    """

    lag_s: float
    samples: collections.deque[tuple[float, int, int]] = dataclasses.field(
        default_factory=collections.deque
    )

    def record(self, *, running: int, queued: int) -> tuple[int, int]:
        """Records the current load and returns the load to report."""
        now = time.monotonic()
        self.samples.append((now, running, queued))
        while len(self.samples) > 1 and self.samples[1][0] <= now - self.lag_s:
            self.samples.popleft()
        return self.samples[0][1:]


class Announcer:
    """Announces a target to one VM of its data centre at a time.

    Attributes:
        addresses: Target interfaces (`IP:port`) of the VMs, in the order in
            which they are tried.
        build_report: Returns the current report; the announcer sets its
            incarnation and sequence.
        heartbeat_s: Time between heartbeats, in seconds.
        silent: Returns whether to suppress heartbeats (an injected fault).
        incarnation: Start time in Unix milliseconds; tells a restarted
            target from its earlier process.
        sequence: Number of the latest report.
        address_index: Index of the VM that gets the reports.
        usage: Usage statements not yet acknowledged, by request and attempt.
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
        self.address_index = 0
        self.usage: dict[tuple[str, int], UsageStatement] = {}
        self.session: aiohttp.ClientSession | None = None
        self.task: asyncio.Task[None] | None = None

    def report_usage(self, statement: UsageStatement) -> None:
        """Adds a usage statement to the next heartbeats."""
        key = (statement.request_id, statement.attempt)
        self.usage[key] = statement

    def start(self) -> None:
        """Starts sending announcements and heartbeats."""
        if self.addresses:
            self.session = aiohttp.ClientSession(
                headers=self.headers,
                timeout=aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S),
            )
            self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Sends heartbeats until cancelled, with an announcement first.

        After a failure the next VM is announced to at once; after a round of
        failures with all VMs, the next attempt waits for a heartbeat period.
        """
        announced: int | None = None
        while True:
            if not self.silent():
                kind = (
                    "heartbeat"
                    if announced == self.address_index
                    else "announce"
                )
                if await self.send(kind):
                    announced = self.address_index
                else:
                    self.address_index = (self.address_index + 1) % len(
                        self.addresses
                    )
                    announced = None
                    if self.address_index != 0:
                        continue
            await asyncio.sleep(self.heartbeat_s)

    async def send(self, kind: str) -> bool:
        """Posts the current report; returns whether the VM accepted it."""
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
        address = self.addresses[self.address_index]
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
        """Drops the usage statements that a response acknowledges."""
        try:
            answer = msgspec.json.decode(data) if data else {}
        except msgspec.DecodeError:
            return
        for item in answer.get("acknowledged", ()):
            self.usage.pop((item["request_id"], item["attempt"]), None)

    async def leave(self) -> None:
        """Announces the departure to the first VM that answers."""
        if self.session is None:
            return
        for _ in self.addresses:
            if await self.send("leave"):
                return
            self.address_index = (self.address_index + 1) % len(self.addresses)

    async def stop(self) -> None:
        """Stops the heartbeats and closes the HTTP session."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        if self.session is not None:
            await self.session.close()
