"""Finds out at which target of a chain a stream has stalled."""

import asyncio
from collections.abc import Callable
import dataclasses

from rattanroute.errors import RouterError
from rattanroute.gateway.calls import Call
from rattanroute.gateway.selectors import TargetSelector
from rattanroute.gateway.terms import ChainHop
from rattanroute.http1.clients import CollectingSink
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import RequestHead

# A healthy target answers within a few milliseconds and its link's delay.
ANSWER_SECONDS = 0.25
MAX_REPORT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StalledRequest:
    """A request that waits for a member of its chain."""

    request_id: str
    address: str


@dataclasses.dataclass(kw_only=True, slots=True)
class StallInspector:
    """Asks the first target of a chain which member it waits for.

    Attributes:
        pool: Connections to targets.
        selector: Health of targets.
        build_request: Returns the head of the question to an address.
        decode: Decodes the answer.
    """

    pool: ConnectionPool
    selector: TargetSelector
    build_request: Callable[[str], RequestHead]
    decode: Callable[[bytes], list[StalledRequest]]

    async def find_stalled(
        self, call: Call, chain: tuple[ChainHop, ...]
    ) -> list[str]:
        """Returns the targets that hold a request up; none if it only waits.

        The first target itself is returned when it does not answer.
        """
        now = asyncio.get_running_loop().time()
        first = chain[0]
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                body = await self.ask(first.address)
            stalled = self.decode(body)
        except (RouterError, TimeoutError) as error:
            call.failures.append(f"no report: {error}")
            self.selector.note_failure(first.target_id, now=now, crashed=True)
            return [first.target_id]
        by_address = {hop.address: hop.target_id for hop in chain}
        found = []
        for item in stalled:
            target_id = by_address.get(item.address)
            if item.request_id == call.terms.request_id and target_id:
                self.selector.note_failure(target_id, now=now, crashed=True)
                found.append(target_id)
        return found

    async def ask(self, address: str) -> bytes:
        """Returns the report of a target.

        Raises:
            RouterError: If it does not answer properly.
        """
        connection = await self.pool.take(address, timeout_s=ANSWER_SECONDS)
        sink = CollectingSink(max_bytes=MAX_REPORT_BYTES)
        try:
            connection.send(self.build_request(address), b"", sink)
            await sink.done
        finally:
            if not sink.done.done() or sink.done.cancelled():
                connection.cancel()
        return sink.body
