"""Tests of forwarding changes to voters."""

import dataclasses
import random
import unittest
from unittest import mock

from rattanroute.control import log_forwarders
from rattanroute.control.log_forwarders import LogForwarder
from rattanroute.errors import NotProposedError
from rattanroute.messages.forwards import ChangeAnswer
from rattanroute.messages.forwards import ChangeForward
from rattanroute.tables.changes import ChangeOutcome
from rattanroute.tables.changes import encode_outcome
from rattanroute.tables.changes import Verdict
from rattanroute.tables.configuration_replicas import ConfigurationReplica

TIMEOUT_SECONDS = 0.3
RESEND_INTERVAL_SECONDS = 0.05
ACCEPTED = ChangeOutcome(verdict=Verdict.ACCEPTED, version=7)


@dataclasses.dataclass
class FakeMember:
    """A live VM."""

    vm_id: str
    voter: bool = True


class LogForwarderTest(unittest.IsolatedAsyncioTestCase):
    """Guards against reporting a change as not proposed when it may be."""

    def setUp(self) -> None:
        self.members: list[FakeMember] = []
        self.sent: list[tuple[str, object]] = []
        self.reachable = True
        # Answers in the order of the calls; None sends no answer.
        self.answers: list[dict[str, object] | None] = []
        self.forwarder = LogForwarder(
            vm_id="vm-1",
            members=lambda: self.members,
            send=self.send,
            replica=ConfigurationReplica(),
            random=random.Random(1),
        )
        patch = mock.patch.object(
            log_forwarders, "RESEND_INTERVAL_SECONDS", RESEND_INTERVAL_SECONDS
        )
        self.enterContext(patch)

    def send(self, peer: str, message: object) -> bool:
        """Records a message and delivers its planned answer."""
        if not self.reachable:
            return False
        self.sent.append((peer, message))
        assert isinstance(message, ChangeForward)
        plan = self.answers.pop(0) if self.answers else None
        if plan is not None:
            answer = ChangeAnswer(number=message.number, **plan)
            self.forwarder.receive(peer=peer, message=answer, now=0.0)
        return True

    async def propose(self) -> object:
        """Forwards a change."""
        return await self.forwarder.propose(b"change", TIMEOUT_SECONDS)

    async def test_no_voter_known(self) -> None:
        """Guards against an unknown outcome for a change that was not sent."""
        self.members = [FakeMember("vm-2", voter=False)]
        result = await self.propose()
        self.assertIsInstance(result.error, NotProposedError)
        self.assertEqual(self.sent, [])

    async def test_voter_without_an_address(self) -> None:
        """Guards against counting a message without an address as sent."""
        self.members = [FakeMember("vm-2")]
        self.reachable = False
        result = await self.propose()
        self.assertIsInstance(result.error, NotProposedError)

    async def test_silent_voter(self) -> None:
        """Guards against "not proposed" when a voter may have the change."""
        self.members = [FakeMember("vm-2")]
        result = await self.propose()
        self.assertTrue(result.is_error())
        self.assertNotIsInstance(result.error, NotProposedError)

    async def test_other_voter_answers(self) -> None:
        """Guards against giving up when the first voter does not answer."""
        self.members = [FakeMember("vm-2"), FakeMember("vm-3")]
        self.answers = [None, {"outcome": encode_outcome(ACCEPTED)}]
        result = await self.propose()
        self.assertEqual(result.ok, ACCEPTED)
        peers = {peer for peer, _ in self.sent}
        self.assertEqual(peers, {"vm-2", "vm-3"})
        numbers = {message.number for _, message in self.sent}
        self.assertEqual(len(numbers), 1)

    async def test_refusal_of_the_only_voter_asked(self) -> None:
        """Guards against an unknown outcome when the only voter rejects it."""
        self.members = [FakeMember("vm-2")]
        self.answers = [{"proposed": False, "message": "no leader"}]
        result = await self.propose()
        self.assertIsInstance(result.error, NotProposedError)
        self.assertIn("no leader", str(result.error))

    async def test_refusal_after_a_silent_voter(self) -> None:
        """Guards against "not proposed" when the first voter may have it."""
        self.members = [FakeMember("vm-2"), FakeMember("vm-3")]
        self.answers = [None, {"proposed": False, "message": "no leader"}]
        result = await self.propose()
        self.assertTrue(result.is_error())
        self.assertNotIsInstance(result.error, NotProposedError)

    async def test_late_answer_to_another_call(self) -> None:
        """Guards against using a late answer as the outcome of another call."""
        self.members = [FakeMember("vm-2")]
        await self.propose()
        number = self.sent[0][1].number
        late = ChangeAnswer(number=number, outcome=encode_outcome(ACCEPTED))
        self.forwarder.receive(peer="vm-2", message=late, now=0.0)
        result = await self.propose()
        self.assertTrue(result.is_error())
        self.assertNotEqual(self.sent[-1][1].number, number)
