"""Finds the loss and the return of this VM's links to the targets early."""

import asyncio
from collections.abc import Callable
import random as randoms

from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.clients import open_direct
from rattanroute.logs import get_logger
from rattanroute.systems.target_links import SILENCE_SECONDS
from rattanroute.systems.target_links import TargetLinkSystem
from rattanroute.tasks import wait_for_reply

CHECK_INTERVAL_SECONDS = 0.1
CONNECT_TIMEOUT_SECONDS = 0.25
CLEAN_INTERVAL_SECONDS = 1.0
# Targets that are tested when all are silent.
MAX_TESTED = 3

log = get_logger(__name__)


class LinkChecker:
    """Tests the links when all targets are silent, and while they are lost.

    Args:
        links: Links of this VM to the targets.
        pool: Connections to targets.
        list_addresses: Returns the addresses of the known targets.
        random: Selects the targets to test.

    Attributes:
        tests: Running tests.
        tested_at: Time of the latest tests, in seconds.
        clean_at: Time at which old entries are removed next, in seconds.
    """

    def __init__(
        self,
        *,
        links: TargetLinkSystem,
        pool: ConnectionPool,
        list_addresses: Callable[[], list[str]],
        random: randoms.Random,
    ) -> None:
        self.links = links
        self.pool = pool
        self.list_addresses = list_addresses
        self.random = random
        self.tests: set[asyncio.Task[None]] = set()
        self.tested_at = 0.0
        self.clean_at = 0.0

    def run(self) -> None:
        """Starts the tests that are due; called at an interval."""
        now = asyncio.get_running_loop().time()
        if now >= self.clean_at:
            self.clean_at = now + CLEAN_INTERVAL_SECONDS
            self.links.expire(now)
            self.close_unwanted()
        if self.links.is_retest_due(now):
            # Any target: an open request may hold on to one for long.
            known = self.list_addresses()
            known = [x for x in known if x not in self.links.restored] or known
            if known:
                self.start(self.retest(self.random.choice(known)))
        elif not self.tests and self.is_silent(now):
            self.tested_at = now
            for address in self.choose_addresses(MAX_TESTED):
                self.start(self.test(address))

    def start(self, test: object) -> None:
        """Starts a test."""
        task = asyncio.create_task(test)
        self.tests.add(task)
        task.add_done_callback(self.tests.discard)

    def is_silent(self, now: float) -> bool:
        """Returns whether requests are open and no target sends anything."""
        if self.links.lost:
            return False
        since = now - SILENCE_SECONDS
        if max(self.pool.received_at, self.tested_at) > since:
            return False
        return any(
            not x.tunnelled and x.sent_at <= since for x in self.pool.busy
        )

    def choose_addresses(self, count: int) -> list[str]:
        """Returns different addresses, those with open requests first."""
        busy = sorted({x.address for x in self.pool.busy if not x.tunnelled})
        known = self.list_addresses()
        self.random.shuffle(busy)
        self.random.shuffle(known)
        return list(dict.fromkeys([*busy, *known]))[:count]

    async def test(self, address: str) -> None:
        """Connects to a target in any way, which shows how that is possible."""
        try:
            connection = await self.pool.take(
                address,
                timeout_s=CONNECT_TIMEOUT_SECONDS,
                identifier=None,
                fresh=True,
            )
        except ConnectError as error:
            log.info("target not connected in a test", error=error)
            return
        self.pool.put(connection)

    async def retest(self, address: str) -> None:
        """Connects to a target directly while the links are lost."""
        loop = asyncio.get_running_loop()
        try:
            connection = await wait_for_reply(
                open_direct(address), CONNECT_TIMEOUT_SECONDS
            )
        except (OSError, TimeoutError, ValueError):
            self.links.note_direct(address, connected=False, now=loop.time())
            return
        self.links.note_direct(address, connected=True, now=loop.time())
        connection.close()

    def close_unwanted(self) -> None:
        """Closes idle connections through peers that stop or have gone."""
        peers = {
            x.vm_id for x in self.links.members() if x.ready and not x.draining
        }

        def is_unwanted(connection: ClientConnection) -> bool:
            return connection.tunnelled and connection.peer not in peers

        self.pool.close_idle_where(is_unwanted)
