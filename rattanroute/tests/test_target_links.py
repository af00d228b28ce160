"""Tests of the evidence for lost links, and of the tunnel protocol."""

import unittest

from rattanroute.errors import RouterError
from rattanroute.systems.target_links import EVIDENCE_SECONDS
from rattanroute.systems.target_links import PEER_PENALTY_SECONDS
from rattanroute.systems.target_links import RETEST_SECONDS
from rattanroute.systems.target_links import TunnelReply
from rattanroute.systems.target_links import UNREACHED_SECONDS
from rattanroute.tests.link_hosts import build_links
from rattanroute.tests.link_hosts import build_members
from rattanroute.tests.link_hosts import FAR_PEER
from rattanroute.tests.link_hosts import FRONT
from rattanroute.tests.link_hosts import NEAR_PEER
from rattanroute.tests.support import MemberStub
from rattanroute.tunnels.frames import encode_frame
from rattanroute.tunnels.frames import END_FRAME
from rattanroute.tunnels.frames import FrameDecoder
from rattanroute.tunnels.frames import LENGTH
from rattanroute.tunnels.frames import MAX_FRAME_BYTES

A, B, C = "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"


class TargetLinkTest(unittest.TestCase):
    """Guards against targets blamed for lost links, and the reverse."""

    def setUp(self) -> None:
        self.members = build_members()
        self.links = build_links(FRONT, self.members)

    def connect_through_peer(self, address: str, now: float) -> None:
        """Fails to connect directly and connects through a peer."""
        self.links.note_direct(address, connected=False, now=now)
        self.links.note_reply(
            address, NEAR_PEER, TunnelReply.CONNECTED, now + 0.01
        )

    def lose(self) -> None:
        """Gives the evidence that the links are lost."""
        self.connect_through_peer(A, 1.0)
        self.connect_through_peer(B, 1.1)

    def test_two_targets_that_only_peers_reach(self) -> None:
        self.connect_through_peer(A, 1.0)
        self.assertFalse(self.links.lost)
        self.connect_through_peer(A, 1.5)
        self.assertFalse(self.links.lost)
        self.connect_through_peer(B, 2.0)
        self.assertTrue(self.links.lost)

    def test_reply_before_the_direct_failure(self) -> None:
        for address in (A, B):
            self.links.note_reply(
                address, NEAR_PEER, TunnelReply.CONNECTED, 1.0
            )
        self.assertFalse(self.links.lost)
        for address in (A, B):
            self.links.note_direct(address, connected=False, now=1.2)
        self.assertTrue(self.links.lost)

    def test_failures_far_apart(self) -> None:
        self.connect_through_peer(A, 1.0)
        self.connect_through_peer(B, 2.0 + EVIDENCE_SECONDS)
        self.assertFalse(self.links.lost)

    def test_dead_targets(self) -> None:
        for address in (A, B, C):
            self.links.note_direct(address, connected=False, now=1.0)
            for reply in (TunnelReply.REFUSED, TunnelReply.UNREACHED):
                self.links.note_reply(address, NEAR_PEER, reply, 1.0)
            self.links.note_unreached(address, 1.0)
        self.assertFalse(self.links.lost)
        self.assertEqual(self.links.plan(A, 1.1).peers, ())
        later = 1.0 + UNREACHED_SECONDS
        self.assertNotEqual(self.links.plan(A, later).peers, ())

    def test_direct_connection_between_two_failures(self) -> None:
        """Guards against single dead links, of which others are sound."""
        self.connect_through_peer(A, 1.0)
        self.links.note_direct(C, connected=True, now=1.1)
        self.connect_through_peer(B, 1.2)
        self.assertFalse(self.links.lost)

    def test_links_return(self) -> None:
        self.lose()
        self.assertFalse(self.links.plan(A, 1.2).direct)
        self.assertTrue(self.links.is_retest_due(1.2))
        self.assertFalse(self.links.is_retest_due(1.3))
        self.assertTrue(self.links.is_retest_due(1.2 + RETEST_SECONDS))
        self.links.note_direct(A, connected=True, now=2.0)
        self.links.note_direct(A, connected=True, now=2.5)
        self.assertTrue(self.links.lost)
        self.links.note_direct(C, connected=True, now=3.0)
        self.assertFalse(self.links.lost)
        self.assertTrue(self.links.plan(A, 3.1).direct)

    def test_lost_links_without_peers(self) -> None:
        """Guards against a VM that tries nothing at all."""
        self.lose()
        self.members[:] = self.members[:1]
        plan = self.links.plan(A, 1.2)
        self.assertEqual((plan.direct, plan.peers), (True, ()))

    def test_choice_of_peers(self) -> None:
        peers = self.links.plan(A, 0.0).peers
        self.assertEqual(peers, (NEAR_PEER, FAR_PEER))
        self.links.note_reply(A, NEAR_PEER, TunnelReply.LINKS_LOST, 0.0)
        self.assertEqual(self.links.plan(A, 0.1).peers, (FAR_PEER,))
        later = PEER_PENALTY_SECONDS
        self.assertEqual(self.links.plan(A, later).peers, peers)
        for changes in ({"draining": True}, {"ready": False}):
            values = {"vm_id": NEAR_PEER, "ready": True, **changes}
            self.members[1] = MemberStub(**values)
            self.assertEqual(self.links.plan(A, later).peers, (FAR_PEER,))

    def test_peer_that_failed_where_another_helped(self) -> None:
        """Guards against a cut peer that is asked again and again."""
        self.links.note_reply(A, NEAR_PEER, TunnelReply.UNREACHED, 1.0)
        self.assertIn(NEAR_PEER, self.links.plan(A, 1.0).peers)
        self.links.note_reply(A, FAR_PEER, TunnelReply.CONNECTED, 1.1)
        self.assertEqual(self.links.plan(A, 1.2).peers, (FAR_PEER,))

    def test_old_entries_are_removed(self) -> None:
        self.connect_through_peer(A, 1.0)
        self.links.note_reply(B, FAR_PEER, TunnelReply.BUSY, 1.0)
        self.links.note_unreached(C, 1.0)
        self.links.note_reply(C, FAR_PEER, TunnelReply.REFUSED, 1.0)
        self.links.note_direct(C, connected=True, now=1.1)
        self.links.note_direct(A, connected=False, now=1.2)
        self.links.expire(100.0)
        for entries in (
            self.links.failed,
            self.links.tunnelled,
            self.links.avoided,
            self.links.unreached,
            self.links.unhelpful,
        ):
            self.assertEqual(entries, {})


class FrameTest(unittest.TestCase):
    """Guards against bytes that are lost, and an end that is none."""

    def test_split_frames(self) -> None:
        data = encode_frame(b"one") + encode_frame(b"two") + END_FRAME
        decoder = FrameDecoder()
        parts = []
        for number in range(len(data)):
            self.assertFalse(decoder.ended)
            parts += decoder.feed(data[number : number + 1])
        self.assertEqual(parts, [b"one", b"two"])
        self.assertTrue(decoder.ended)

    def test_malformed_frames(self) -> None:
        for data in (
            LENGTH.pack(MAX_FRAME_BYTES + 1),
            END_FRAME + encode_frame(b"late"),
        ):
            with self.subTest(data=data[:8]), self.assertRaises(RouterError):
                FrameDecoder().feed(data)
