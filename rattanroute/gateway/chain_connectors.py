"""Connects to the first targets of chains, and waits for the retry budget."""

import asyncio
import dataclasses

from rattanroute.gateway.calls import Call
from rattanroute.gateway.calls import NO_CONNECTION
from rattanroute.gateway.chain_finders import build_demand
from rattanroute.gateway.chain_finders import ChainFinder
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.stream_attempts import StreamRun
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool
from rattanroute.systems.wait_queues import MAX_RESUME_WAIT_SECONDS
from rattanroute.systems.wait_queues import MAX_WAIT_SECONDS

# Connecting within a region takes a few milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.25
# Interval at which a stream without retry budget tries again.
BUDGET_POLL_SECONDS = 0.05


@dataclasses.dataclass(kw_only=True, slots=True)
class ChainConnector:
    """Opens connections for attempts of streams.

    Attributes:
        pool: Connections to targets.
        selector: Health of targets.
        finder: Counts the load of attempts.
    """

    pool: ConnectionPool
    selector: TargetSelector
    finder: ChainFinder

    async def connect(
        self, run: StreamRun, chain: tuple[ChainHop, ...]
    ) -> ClientConnection | None:
        """Connects to the first target of a chain; None if that fails."""
        call = run.call
        loop = asyncio.get_running_loop()
        tokens = build_demand(call).tokens
        call.sends += 1
        call.targets.append("+".join(hop.target_id for hop in chain))
        call.data_centres.append(self.finder.describe_data_centres(chain))
        self.finder.count_load(chain, tokens, 1, loop.time())
        try:
            connection = await self.open(call, chain[0])
        except ConnectError as error:
            call.connections.append(NO_CONNECTION)
            self.note_failure(run, chain[0], error)
            return None
        finally:
            self.finder.count_load(chain, tokens, -1, loop.time())
        call.connections.append(connection.describe_use())
        return connection

    async def wait_for_budget(self, run: StreamRun) -> bool:
        """Waits a moment; returns whether the stream may try again.

        The budget grows with each request and with time. After a start, it is
        known within a second. A part of an answer is of no use to its client,
        and a refused client would return seconds later.
        """
        exchange = run.call.exchange
        since, limit = exchange.received_at, MAX_WAIT_SECONDS
        if exchange.started:
            since, limit = run.state.event_at, MAX_RESUME_WAIT_SECONDS
        if asyncio.get_running_loop().time() - since > limit:
            return False
        await asyncio.sleep(BUDGET_POLL_SECONDS)
        return True

    async def open(self, call: Call, first: ChainHop) -> ClientConnection:
        """Returns a connection to a target.

        Raises:
            ConnectError: If that fails or takes too long.
        """
        left_s = call.time_left(asyncio.get_running_loop().time())
        return await self.pool.take(
            first.address,
            timeout_s=min(CONNECT_TIMEOUT_SECONDS, left_s),
            identifier=call.metadata.request_id,
            # What broke one connection may have broken all idle ones.
            fresh=call.sends > 1 or call.needs_new_connection,
        )

    def note_failure(
        self, run: StreamRun, first: ChainHop, error: ConnectError
    ) -> None:
        """Records a target that cannot be connected to."""
        now = asyncio.get_running_loop().time()
        self.selector.note_failure(first.target_id, now=now, crashed=True)
        run.avoided.add(first.target_id)
        run.note_failure(str(error))
        if not error.refused:
            self.selector.note_connect_timeout(first.target_id, now)
            self.avoid_data_centre(run, first.target_id, now)

    def avoid_data_centre(
        self, run: StreamRun, target_id: str, now: float
    ) -> None:
        """Lets a call avoid the data centre of a target, if others serve.

        Its other targets are likely to be cut off as well, and the call has
        already lost the time of one connection attempt.
        """
        target = self.selector.targets.get(target_id)
        service = run.call.service
        if target is None or service.engine is None:
            return
        data_centre = target.report.data_centre
        avoided = run.avoided | {
            other.report.target_id
            for other in self.selector.targets.serving(service.name)
            if other.report.data_centre == data_centre
        }
        if self.finder.chooser.is_covered(service, excluded=avoided, now=now):
            run.avoided |= avoided
