"""Tests of the wait until another voter holds a notice."""

import asyncio
import unittest

from rattanroute.control.departure_confirmations import DepartureConfirmations
from rattanroute.messages.departures import Departure
from rattanroute.messages.departures import DepartureReceipt
from rattanroute.tests.test_departures import build_system

RECEIPT = DepartureReceipt(
    departures=(Departure(target_id="t1", until_incarnation=5),)
)


class WaitTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an acknowledgement before another voter has the notice."""

    async def asyncSetUp(self) -> None:
        """Announces a notice to a voter."""
        self.system = build_system("a")
        self.confirmations = DepartureConfirmations(departures=self.system)
        self.system.announce(target_id="t1", until_incarnation=5, now=1.0)

    async def test_ends_with_the_receipt(self) -> None:
        waits = [
            asyncio.create_task(self.confirmations.wait("t1")) for _ in range(2)
        ]
        await asyncio.sleep(0)
        self.assertFalse(any(x.done() for x in waits))
        self.system.receive(peer="b", message=RECEIPT, now=1.1)
        await asyncio.gather(*waits)
        self.assertFalse(self.confirmations.waiting)

    async def test_confirmed_notice_is_not_waited_for(self) -> None:
        self.system.receive(peer="b", message=RECEIPT, now=1.1)
        await self.confirmations.wait("t1")
        self.assertFalse(self.confirmations.waiting)

    async def test_timeout_leaves_nothing(self) -> None:
        """Guards against memory for notices that nobody confirms."""
        await self.confirmations.wait("t1")
        self.assertFalse(self.system.is_confirmed("t1"))
        self.assertFalse(self.confirmations.waiting)
