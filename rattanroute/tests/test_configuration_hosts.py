"""Tests of the configuration host of a daemon."""

import pathlib
import random
import tempfile
import unittest

from rattanroute.actions import SendMessage
from rattanroute.control.configuration_hosts import ConfigurationHost
from rattanroute.control.voters import build_voter
from rattanroute.messages.distributions import VersionAnswer
from rattanroute.settings import DaemonSettings
from rattanroute.settings import StorageSettings
from rattanroute.systems.memberships import MembershipSystem
from rattanroute.tables.changes import ANY_VERSION
from rattanroute.tables.changes import Change
from rattanroute.tables.changes import encode_change
from rattanroute.tables.changes import PutManifest
from rattanroute.tables.configurations import Manifest
from rattanroute.tables.members import Member


class PublishedChangeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against losing an acknowledged change with its only voter."""

    def build_host(self, folder: str) -> ConfigurationHost:
        """Builds the host of a single voter that knows one other VM."""
        membership = MembershipSystem(
            vm_id="v1",
            address="127.0.0.1:1",
            data_centre="dc-a",
            region="r",
            voter=True,
            incarnation=1,
            random=random.Random(1),
        )
        peer = Member(
            vm_id="f1", address="127.0.0.1:2", data_centre="dc-a", region="r"
        )
        membership.view.apply_record(peer, 0.0)
        settings = DaemonSettings(
            vm_id="v1",
            data_centre="dc-a",
            storage=StorageSettings(
                folder=pathlib.Path(folder),
                voter=True,
                bootstrap_voters=("v1",),
            ),
        )
        rng = random.Random(1)
        return ConfigurationHost(
            settings=settings,
            membership=membership,
            send=lambda peer, message: True,
            execute=self.sent.extend,
            random=rng,
            voter=build_voter(settings, self.sent.extend, rng),
        )

    async def test_change_is_pushed_before_it_is_acknowledged(self) -> None:
        self.sent: list[object] = []
        with tempfile.TemporaryDirectory() as folder:
            host = self.build_host(folder)
            self.addCleanup(host.close)
            consensus = host.consensus
            for _ in range(3):
                consensus.tick(now=consensus.clock())
            entity = Manifest(name="m", revision=7, content=b"x")
            change = Change(
                command_id="c1",
                operator="o",
                expected_version=ANY_VERSION,
                operations=(PutManifest(entity=entity),),
            )
            result = await host.log.propose(encode_change(change), 2.0)
            self.assertTrue(result.is_ok(), result)
            pushed = [
                action.peer
                for action in self.sent
                if isinstance(action, SendMessage)
                and isinstance(action.message, VersionAnswer)
                and action.message.version == result.ok.version
            ]
            self.assertEqual(pushed, ["f1"])
