"""Tests of bans of requests that crash targets."""

import pathlib
import tempfile
import time
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec

from rattanroute.control.crash_ban_stores import CrashBanStore
from rattanroute.control.crash_ban_stores import DECODER
from rattanroute.control.crash_ban_stores import FILE_NAME
from rattanroute.messages.crashbans import ClearedRequests
from rattanroute.messages.crashbans import ObservedCrash
from rattanroute.messages.crashbans import ObservedCrashes
from rattanroute.messages.crashbans import SuspectState
from rattanroute.messages.crashbans import SuspectStates
from rattanroute.storage.records import SystemFileAccess
from rattanroute.systems.crash_bans import BAN_FACTOR
from rattanroute.systems.crash_bans import BAN_SECONDS
from rattanroute.systems.crash_bans import CrashBanSystem
from rattanroute.systems.crash_bans import REPEAT_SECONDS
from rattanroute.systems.crash_bans import SUSPECT_EXPIRY_SECONDS
from rattanroute.systems.crash_causes import CRASHES_TO_BAN
from rattanroute.systems.crash_reports import MAX_REPEATS
from rattanroute.tables.crash_suspects import CrashEvent
from rattanroute.tables.crash_suspects import MAX_CRASH_EVENTS
from rattanroute.tables.crash_suspects import MAX_SUSPECTS
from rattanroute.tables.crash_suspects import SAME_CAUSE_SECONDS
from rattanroute.tables.suspect_requests import CrashKey
from rattanroute.tests.crash_ban_support import BanCluster
from rattanroute.tests.crash_ban_support import build_crash
from rattanroute.tests.crash_ban_support import FRONTS
from rattanroute.tests.crash_ban_support import TICK_SECONDS
from rattanroute.tests.crash_ban_support import VOTERS

CRASHING = "bad"
ALL_FRONTS = list(FRONTS)


class RepeatedCrashTest(unittest.TestCase):
    """Guards against a request that crashes one target after another.

    Its caller retries it through other VMs, so that no VM sees all crashes.
    """

    def setUp(self) -> None:
        self.cluster = BanCluster()

    def crash_in_turn(self, count: int = CRASHES_TO_BAN) -> None:
        """Crashes targets under the request, each on another front."""
        for number in range(count):
            self.cluster.crash_later(FRONTS[number], CRASHING, number)

    def test_third_crash_bans_the_request_on_all_vms(self) -> None:
        self.crash_in_turn(CRASHES_TO_BAN - 1)
        self.cluster.run(1.0)
        self.assertEqual(self.cluster.list_refusing(CRASHING), [])
        self.cluster.crash(FRONTS[2], CRASHING, 2)
        self.cluster.run(2 * TICK_SECONDS)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)

    def test_crash_reported_by_several_vms_counts_once(self) -> None:
        for front in FRONTS:
            self.cluster.crash(front, CRASHING, 0)
        self.cluster.run(2.0)
        self.assertEqual(self.cluster.list_refusing(CRASHING), [])

    def test_crash_belongs_to_the_attempt_that_was_lost_first(self) -> None:
        """Guards against crashes that are attributed to later attempts.

        A target that has crashed may still accept connections (a middlebox
        does) and loses further attempts, whose verdicts may arrive first. Their
        times are close to those of the next crash, so that several crashes
        would count as one with a common cause.
        """
        start = self.cluster.now
        self.cluster.run(2.0)
        for front, call, number, seconds in (
            ("front-2", "c2", 0, 0.5),
            ("front-3", "c3", 1, 0.76),
            ("front-3", "c3", 2, 0.95),
            ("front-1", "c0", 0, 0.0),
            ("front-1", "c0", 1, 0.02),
        ):
            event = CrashEvent(at=start + seconds, request_id=call)
            self.cluster.systems[front].note_crash(
                CRASHING, build_crash(number), event, self.cluster.now
            )
            self.cluster.run(2 * TICK_SECONDS)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)

    def test_front_that_starts_later_receives_the_ban(self) -> None:
        self.crash_in_turn()
        self.cluster.run(5.0)
        self.cluster.start("front-4")
        self.cluster.run(1.1)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)

    def test_front_knows_the_bans_before_it_serves(self) -> None:
        """Guards against a front that sends banned requests at its start.

        Voters repeat bans once a second; the front starts at any moment.
        """
        self.crash_in_turn()
        self.cluster.run(5.0)
        for _ in range(round(REPEAT_SECONDS / TICK_SECONDS)):
            self.cluster.run(TICK_SECONDS)
            self.cluster.start("front-4")
            front = self.cluster.systems["front-4"]
            self.assertFalse(front.synchronised)
            self.cluster.run(TICK_SECONDS)
            self.assertTrue(front.synchronised)
            self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)

    def test_front_asks_until_a_voter_answers(self) -> None:
        """Guards against a front whose first question is lost."""
        self.crash_in_turn()
        self.cluster.run(2.0)
        self.cluster.cut = set(VOTERS)
        self.cluster.start("front-4")
        self.cluster.run(1.0)
        self.assertFalse(self.cluster.systems["front-4"].synchronised)
        self.cluster.cut = {VOTERS[0], VOTERS[1]}
        self.cluster.run(TICK_SECONDS)
        self.assertTrue(self.cluster.systems["front-4"].synchronised)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)
        sent = self.cluster.sent
        self.cluster.run(TICK_SECONDS)
        self.assertLess(self.cluster.sent - sent, len(VOTERS) * len(FRONTS))

    def test_lost_crash_reports_are_repeated(self) -> None:
        self.cluster.cut = {"front-2"}
        self.crash_in_turn()
        self.cluster.run(0.5)
        self.assertEqual(self.cluster.list_refusing(CRASHING), [])
        self.cluster.cut = set()
        self.cluster.run(1.2)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)

    def test_restarted_voters_receive_the_ban(self) -> None:
        """Guards against a ban that is lost when all voters restart."""
        self.crash_in_turn()
        self.cluster.run(5.0)
        for voter in VOTERS:
            self.cluster.start(voter)
        self.cluster.start("front-1")
        self.cluster.run(5.0)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)

    def test_ban_does_not_depend_on_one_voter(self) -> None:
        self.cluster.cut = {"core-1", "core-2"}
        self.crash_in_turn()
        self.cluster.run(2 * TICK_SECONDS)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)

    def pass_time(self, seconds: float) -> None:
        """Advances the time quickly, with one tick per second."""
        for _ in range(int(seconds)):
            self.cluster.now += 1.0 - TICK_SECONDS
            self.cluster.run(TICK_SECONDS)

    def test_ban_ends(self) -> None:
        """Guards against a request that is refused forever."""
        self.crash_in_turn()
        self.cluster.run(1.0)
        self.pass_time(BAN_SECONDS - 10)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)
        self.pass_time(12)
        self.assertEqual(self.cluster.list_refusing(CRASHING), [])

    def test_first_crash_after_a_ban_brings_a_longer_one(self) -> None:
        """Guards against three more crashes after the end of each ban."""
        self.crash_in_turn()
        self.cluster.run(1.0)
        for number in (CRASHES_TO_BAN, CRASHES_TO_BAN + 1):
            seconds = BAN_SECONDS * BAN_FACTOR ** (number - CRASHES_TO_BAN)
            self.pass_time(seconds + 2)
            self.assertEqual(self.cluster.list_refusing(CRASHING), [], number)
            self.cluster.crash("front-1", CRASHING, number)
            self.cluster.run(2 * TICK_SECONDS)
            self.assertEqual(
                self.cluster.list_refusing(CRASHING), ALL_FRONTS, number
            )

    def test_suspects_expire(self) -> None:
        """Guards against memory use that grows over time."""
        self.crash_in_turn()
        self.cluster.run(1.0)
        self.pass_time(SUSPECT_EXPIRY_SECONDS + 2)
        for system in self.cluster.systems.values():
            self.assertEqual(system.suspects.rows, {})

    def test_delayed_messages_do_not_extend_a_ban(self) -> None:
        """Guards against voters that extend each other's bans forever."""
        voter = self.cluster.systems["core-1"]
        for number in range(CRASHES_TO_BAN):
            event = CrashEvent(at=100.0, request_id="r1")
            voter.add(CRASHING, build_crash(number), event, 100.0)
        late = SuspectStates(
            states=(
                SuspectState(
                    fingerprint=CRASHING, banned_s=BAN_SECONDS, crash_age_s=5.0
                ),
            )
        )
        voter.receive(peer="core-2", message=late, now=105.0)
        self.assertEqual(
            voter.banned_until(CRASHING, 105.0), 100.0 + BAN_SECONDS
        )


class ServingVoterTest(unittest.TestCase):
    """Guards against voters that serve callers and keep what they see.

    In the daemon every VM serves callers, the voters too.
    """

    def setUp(self) -> None:
        self.cluster = BanCluster()

    def test_crashes_seen_by_voters_count_together(self) -> None:
        for number, voter in enumerate(VOTERS):
            self.cluster.crash_later(voter, CRASHING, number)
        self.cluster.run(3 * TICK_SECONDS)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)
        for voter in VOTERS:
            system = self.cluster.systems[voter]
            self.assertEqual(len(system.suspects.get(CRASHING).crashes), 3)

    def test_answer_seen_by_a_voter_clears_the_request_everywhere(
        self,
    ) -> None:
        for number in range(CRASHES_TO_BAN):
            self.cluster.crash_later("front-1", CRASHING, number)
        self.cluster.run(1.0)
        self.cluster.answer(VOTERS[0], CRASHING)
        self.cluster.run(4.0)
        self.assertEqual(self.cluster.list_refusing(CRASHING), [])
        for system in self.cluster.systems.values():
            self.assertNotIn(CRASHING, system.suspects)

    def test_reports_of_a_voter_end(self) -> None:
        """Guards against reports that a voter keeps for ever."""
        self.cluster.crash(VOTERS[0], CRASHING, 0)
        self.cluster.run(MAX_REPEATS + 2)
        reporter = self.cluster.systems[VOTERS[0]].reporter
        self.assertEqual(reporter.observations, [])


class HarmlessRequestTest(unittest.TestCase):
    """Guards against bans of requests that only shared crashed targets."""

    def setUp(self) -> None:
        self.cluster = BanCluster()

    def test_answer_elsewhere_clears_a_request(self) -> None:
        """Guards against the ban of a popular request.

        Targets that crash and restart in turn are always running it.
        """
        for number in range(4 * CRASHES_TO_BAN):
            self.cluster.crash(FRONTS[number % 3], CRASHING, number)
            self.cluster.run(0.3)
            self.cluster.answer("front-4", CRASHING)
            self.cluster.run(0.3)
            self.assertEqual(self.cluster.list_refusing(CRASHING), [], number)

    def test_loss_of_all_targets_at_once_bans_nothing(self) -> None:
        """Guards against the ban of a popular request in an outage.

        All targets run calls with its fingerprint when they crash together.
        """
        for number in range(4 * CRASHES_TO_BAN):
            self.cluster.crash(FRONTS[number % 4], CRASHING, number)
        self.cluster.run(2.0)
        self.assertEqual(self.cluster.list_refusing(CRASHING), [])

    def test_crashes_after_an_outage_still_count(self) -> None:
        """Guards against a bound on stored crashes that drops later ones."""
        for number in range(2 * MAX_CRASH_EVENTS):
            self.cluster.crash("front-1", CRASHING, number)
        for number in range(CRASHES_TO_BAN):
            self.cluster.crash_later("front-1", CRASHING, 100 + number)
        self.cluster.run(1.0)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)

    def test_streams_beside_three_crashes_are_not_banned(self) -> None:
        """Guards against a ban of streams that move between crashed engines.

        The crashes come late in the run of such a stream, while the request
        that causes them crashes its engines early in its run.
        """
        for number in range(CRASHES_TO_BAN):
            self.cluster.run(1.0)
            event = CrashEvent(
                at=self.cluster.now, request_id=f"r{number}", early=False
            )
            self.cluster.systems["front-1"].note_crash(
                CRASHING, build_crash(number), event, self.cluster.now
            )
        self.cluster.run(1.0)
        self.assertEqual(self.cluster.list_refusing(CRASHING), [])

    def test_attempts_of_one_call_count_each(self) -> None:
        """Guards against the crashes of one call counted as a common cause."""
        for number in range(CRASHES_TO_BAN):
            event = CrashEvent(at=self.cluster.now, request_id="r1")
            self.cluster.systems["front-1"].note_crash(
                CRASHING, build_crash(number), event, self.cluster.now
            )
        self.cluster.run(1.0)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)

    def test_answer_lifts_a_ban(self) -> None:
        for number in range(CRASHES_TO_BAN):
            self.cluster.crash_later("front-1", CRASHING, number)
        self.cluster.run(1.0)
        self.assertEqual(self.cluster.list_refusing(CRASHING), ALL_FRONTS)
        self.cluster.answer("front-3", CRASHING)
        self.cluster.run(4.0)
        self.assertEqual(self.cluster.list_refusing(CRASHING), [])

    def test_lost_report_of_an_answer_is_repeated(self) -> None:
        for number in range(CRASHES_TO_BAN):
            self.cluster.crash_later("front-1", CRASHING, number)
        self.cluster.run(1.0)
        self.cluster.cut = {"front-3"}
        self.cluster.answer("front-3", CRASHING)
        self.cluster.run(0.5)
        self.cluster.cut = set()
        self.cluster.run(5.0)
        self.assertEqual(self.cluster.list_refusing(CRASHING), [])

    def test_delayed_crash_report_does_not_count_after_an_answer(self) -> None:
        self.cluster.cut = {"front-1"}
        for number in range(CRASHES_TO_BAN):
            self.cluster.crash_later("front-1", CRASHING, number)
        self.cluster.run(0.3)
        voter = self.cluster.systems["core-1"]
        voter.clear(CRASHING, self.cluster.now)
        self.cluster.cut = set()
        self.cluster.run(1.0)
        self.assertNotIn(CRASHING, voter.suspects)

    def test_front_does_not_ban_by_its_own_count(self) -> None:
        """Guards against a front that misses answers seen by the voters."""
        for number in range(CRASHES_TO_BAN):
            self.cluster.crash_later("front-1", CRASHING, number)
            self.cluster.run(0.3)
            if number == 0:
                self.cluster.systems["core-1"].clear(CRASHING, self.cluster.now)
                self.cluster.systems["core-2"].clear(CRASHING, self.cluster.now)
                self.cluster.systems["core-3"].clear(CRASHING, self.cluster.now)
        self.assertEqual(self.cluster.list_refusing(CRASHING), [])

    def test_other_requests_are_not_refused(self) -> None:
        for number in range(CRASHES_TO_BAN):
            self.cluster.crash_later("front-1", CRASHING, number)
            self.cluster.crash("front-1", f"beside-{number}", number)
        self.cluster.run(1.0)
        for number in range(CRASHES_TO_BAN):
            name = f"beside-{number}"
            self.assertEqual(self.cluster.list_refusing(name), [])


class StoredBanTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bans that are lost when all VMs stop at once."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def open(self) -> tuple[CrashBanSystem, CrashBanStore]:
        """Starts a voter that stores its bans in the test's folder."""
        system = BanCluster().systems["core-1"]
        store = CrashBanStore(
            folder=self.folder, bans=system, files=SystemFileAccess()
        )
        return system, store

    def report(self, system: CrashBanSystem, count: int) -> None:
        """Reports crashes to a voter."""
        now = time.monotonic()
        crashes = tuple(
            ObservedCrash(
                fingerprint=CRASHING,
                target_id=f"t{number}",
                incarnation=1,
                request_id="r1",
                age_s=0.0,
            )
            for number in range(count)
        )
        message = ObservedCrashes(crashes=crashes)
        system.receive(peer="front-1", message=message, now=now)

    async def test_ban_is_kept(self) -> None:
        system, store = self.open()
        self.report(system, CRASHES_TO_BAN)
        await store.close()
        system, store = self.open()
        until = system.banned_until(CRASHING, time.monotonic())
        self.assertAlmostEqual(until, time.monotonic() + BAN_SECONDS, delta=1.0)
        await store.close()

    async def test_count_before_a_ban_is_kept(self) -> None:
        system, store = self.open()
        self.report(system, CRASHES_TO_BAN - 1)
        await store.close()
        system, store = self.open()
        now = time.monotonic()
        self.assertIsNone(system.banned_until(CRASHING, now))
        event = CrashEvent(at=now + 1, request_id="r9")
        system.add(CRASHING, CrashKey("t9", 1), event, now + 1)
        self.assertIsNotNone(system.banned_until(CRASHING, now))
        await store.close()

    async def test_ban_received_from_another_voter_is_kept(self) -> None:
        """Guards against a voter that stores only bans of its own count."""
        system, store = self.open()
        state = SuspectState(
            fingerprint=CRASHING, banned_s=BAN_SECONDS, crash_age_s=1.0
        )
        now = time.monotonic()
        message = SuspectStates(states=(state,))
        system.receive(peer="core-2", message=message, now=now)
        await store.close()
        system, store = self.open()
        self.assertIsNotNone(system.banned_until(CRASHING, time.monotonic()))
        await store.close()

    async def test_records_without_parts_are_read(self) -> None:
        """Guards against losing the bans of the release without parts."""
        at = time.time()
        crashes = [[f"t{n}", 1, "r1", at - n, True] for n in range(3)]
        record = msgspec.msgpack.encode(
            [CRASHING, crashes, at + BAN_SECONDS, False]
        )
        self.assertEqual(len(DECODER.decode(record).crashes), 3)
        system, store = self.open()
        store.restore([record])
        self.assertEqual(len(system.suspects.get(CRASHING).crashes), 3)
        self.assertIsNotNone(system.banned_until(CRASHING, time.monotonic()))
        await store.close()

    async def test_cleared_request_stays_cleared(self) -> None:
        system, store = self.open()
        self.report(system, CRASHES_TO_BAN)
        system.receive(
            peer="front-1",
            message=ClearedRequests(fingerprints=(CRASHING,)),
            now=time.monotonic(),
        )
        await store.close()
        system, store = self.open()
        self.assertEqual(system.suspects.rows, {})
        await store.close()

    async def test_damaged_file_does_not_stop_a_voter(self) -> None:
        """Guards against a voter that fails to start for a damaged file."""
        (self.folder / FILE_NAME).write_bytes(b"x" * 100)
        system, store = self.open()
        self.assertEqual(system.suspects.rows, {})
        self.report(system, CRASHES_TO_BAN)
        await store.close()
        system, store = self.open()
        self.assertEqual(len(system.suspects), 1)
        await store.close()

    async def test_unusable_folder_does_not_stop_a_voter(
        self,
    ) -> None:
        """Guards against a voter that a faulty disk keeps from banning."""
        (self.folder / "file").write_bytes(b"")
        self.folder /= "file"
        system, store = self.open()
        self.report(system, CRASHES_TO_BAN)
        self.assertIsNotNone(system.banned_until(CRASHING, time.monotonic()))
        await store.close()


class BoundsTest(unittest.TestCase):
    """Guards against memory and messages that grow with the crashes."""

    def test_full_suspect_table_keeps_bans(self) -> None:
        cluster = BanCluster()
        for number in range(CRASHES_TO_BAN):
            cluster.crash_later("front-1", CRASHING, number)
        cluster.run(1.0)
        for number in range(MAX_SUSPECTS + 100):
            cluster.crash("front-1", f"beside-{number}", 0)
        system = cluster.systems["front-1"]
        self.assertEqual(len(system.suspects), MAX_SUSPECTS)
        self.assertIsNotNone(system.banned_until(CRASHING, cluster.now))

    def test_answers_after_single_crashes_reach_voters_only(self) -> None:
        """Guards against a broadcast for each answer after a crash."""
        cluster = BanCluster()
        for number in range(100):
            cluster.crash("front-1", f"beside-{number}", 0)
        cluster.run(MAX_REPEATS + 2)
        sent = cluster.sent
        for number in range(100):
            cluster.answer("front-1", f"beside-{number}")
        cluster.run(MAX_REPEATS + 2)
        self.assertEqual(cluster.sent - sent, len(VOTERS) * (1 + MAX_REPEATS))
        self.assertEqual(cluster.systems["core-1"].suspects.rows, {})

    def test_single_crashes_are_not_announced_to_fronts(self) -> None:
        """Guards against a broadcast for each crash."""
        cluster = BanCluster()
        # The fronts ask for the bans once.
        cluster.run(TICK_SECONDS)
        sent = cluster.sent
        for number in range(100):
            cluster.crash("front-1", f"beside-{number}", 0)
        cluster.run(MAX_REPEATS + 2)
        self.assertEqual(cluster.systems["front-2"].suspects.rows, {})
        self.assertEqual(cluster.sent - sent, len(VOTERS) * (1 + MAX_REPEATS))


class MessageLossTest(unittest.TestCase):
    """Guards against VMs that miss a ban after messages were lost."""

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(FRONTS),
                st.sets(st.sampled_from((*VOTERS, *FRONTS)), max_size=5),
                st.floats(SAME_CAUSE_SECONDS + TICK_SECONDS, 1.0),
            ),
            min_size=CRASHES_TO_BAN,
            max_size=8,
        )
    )
    def test_all_vms_refuse_the_request_once_messages_arrive(
        self, crashes: list[tuple[str, set[str], float]]
    ) -> None:
        cluster = BanCluster()
        for number, (front, cut, pause) in enumerate(crashes):
            cluster.cut = cut
            cluster.crash(front, CRASHING, number)
            cluster.run(pause)
        cluster.cut = set()
        cluster.run(3.5)
        count = len(crashes)
        with self.subTest(crashes=count):
            self.assertEqual(cluster.list_refusing(CRASHING), ALL_FRONTS)
