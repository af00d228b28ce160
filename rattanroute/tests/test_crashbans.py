"""Tests of the refusal of requests that crash targets."""

import pathlib
import tempfile
import time
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rattanroute.control.crashban_stores import CrashBanStore
from rattanroute.control.crashban_stores import FILE_NAME
from rattanroute.messages.crashbans import ClearedRequests
from rattanroute.messages.crashbans import ObservedCrash
from rattanroute.messages.crashbans import ObservedCrashes
from rattanroute.messages.crashbans import SuspectState
from rattanroute.messages.crashbans import SuspectStates
from rattanroute.storage.records import SystemFileAccess
from rattanroute.systems.crashbans import BAN_FACTOR
from rattanroute.systems.crashbans import BAN_SECONDS
from rattanroute.systems.crashbans import CrashBanSystem
from rattanroute.systems.crashbans import MAX_CRASHES
from rattanroute.systems.crashbans import REPEATS
from rattanroute.systems.crashbans import SUSPECT_SECONDS
from rattanroute.tables.crash_suspects import CrashEvent
from rattanroute.tables.crash_suspects import MAX_CRASH_EVENTS
from rattanroute.tables.crash_suspects import MAX_SUSPECTS
from rattanroute.tables.crash_suspects import SAME_CAUSE_SECONDS
from rattanroute.tables.suspect_requests import CrashKey
from rattanroute.tests.crashban_support import BanCluster
from rattanroute.tests.crashban_support import build_crash
from rattanroute.tests.crashban_support import FRONTS
from rattanroute.tests.crashban_support import TICK_SECONDS
from rattanroute.tests.crashban_support import VOTERS

BAD = "bad"
ALL = list(FRONTS)


class ReturningRequestTest(unittest.TestCase):
    """Guards against a request that crashes one target after the other.

    It returns through other VMs, so that none of them sees all its crashes.
    """

    def setUp(self) -> None:
        self.cluster = BanCluster()

    def crash_everywhere(self, count: int = MAX_CRASHES) -> None:
        """Lets targets crash under the request, at one front after another."""
        for number in range(count):
            self.cluster.crash_later(FRONTS[number], BAD, number)

    def test_third_crash_bans_it_on_all_vms(self) -> None:
        self.crash_everywhere(MAX_CRASHES - 1)
        self.cluster.run(1.0)
        self.assertEqual(self.cluster.list_refusing(BAD), [])
        self.cluster.crash(FRONTS[2], BAD, 2)
        self.cluster.run(2 * TICK_SECONDS)
        self.assertEqual(self.cluster.list_refusing(BAD), ALL)

    def test_one_crash_that_several_vms_saw_counts_once(self) -> None:
        for front in FRONTS:
            self.cluster.crash(front, BAD, 0)
        self.cluster.run(2.0)
        self.assertEqual(self.cluster.list_refusing(BAD), [])

    def test_front_that_starts_later_learns_of_it(self) -> None:
        self.crash_everywhere()
        self.cluster.run(5.0)
        self.cluster.start("front-4")
        self.cluster.run(1.1)
        self.assertEqual(self.cluster.list_refusing(BAD), ALL)

    def test_lost_messages_are_repeated(self) -> None:
        self.cluster.cut = {"front-2"}
        self.crash_everywhere()
        self.cluster.run(0.5)
        self.assertEqual(self.cluster.list_refusing(BAD), [])
        self.cluster.cut = set()
        self.cluster.run(1.2)
        self.assertEqual(self.cluster.list_refusing(BAD), ALL)

    def test_voters_that_start_anew_learn_of_it(self) -> None:
        """Guards against a ban that is lost with the memory of the core."""
        self.crash_everywhere()
        self.cluster.run(5.0)
        for voter in VOTERS:
            self.cluster.start(voter)
        self.cluster.start("front-1")
        self.cluster.run(5.0)
        self.assertEqual(self.cluster.list_refusing(BAD), ALL)

    def test_ban_does_not_depend_on_one_voter(self) -> None:
        self.cluster.cut = {"core-1", "core-2"}
        self.crash_everywhere()
        self.cluster.run(2 * TICK_SECONDS)
        self.assertEqual(self.cluster.list_refusing(BAD), ALL)

    def pass_time(self, seconds: float) -> None:
        """Lets much time pass, with a tick at each second."""
        for _ in range(int(seconds)):
            self.cluster.now += 1.0 - TICK_SECONDS
            self.cluster.run(TICK_SECONDS)

    def test_ban_ends(self) -> None:
        """Guards against a fingerprint that is refused for ever."""
        self.crash_everywhere()
        self.cluster.run(1.0)
        self.pass_time(BAN_SECONDS - 10)
        self.assertEqual(self.cluster.list_refusing(BAD), ALL)
        self.pass_time(12)
        self.assertEqual(self.cluster.list_refusing(BAD), [])

    def test_first_crash_after_a_ban_brings_a_longer_one(self) -> None:
        """Guards against three more crashes each time that a ban ends."""
        self.crash_everywhere()
        self.cluster.run(1.0)
        for number in (MAX_CRASHES, MAX_CRASHES + 1):
            seconds = BAN_SECONDS * BAN_FACTOR ** (number - MAX_CRASHES)
            self.pass_time(seconds + 2)
            self.assertEqual(self.cluster.list_refusing(BAD), [], number)
            self.cluster.crash("front-1", BAD, number)
            self.cluster.run(2 * TICK_SECONDS)
            self.assertEqual(self.cluster.list_refusing(BAD), ALL, number)

    def test_suspects_are_forgotten(self) -> None:
        """Guards against memory that grows with the time."""
        self.crash_everywhere()
        self.cluster.run(1.0)
        self.pass_time(SUSPECT_SECONDS + 2)
        for system in self.cluster.systems.values():
            self.assertEqual(system.suspects.rows, {})

    def test_slow_messages_do_not_lengthen_a_ban(self) -> None:
        """Guards against voters that renew each other's bans for ever."""
        voter = self.cluster.systems["core-1"]
        for number in range(MAX_CRASHES):
            event = CrashEvent(at=100.0, request_id="r1")
            voter.add(BAD, build_crash(number), event, 100.0)
        late = SuspectStates(
            states=(
                SuspectState(
                    fingerprint=BAD, banned_s=BAN_SECONDS, crash_age_s=5.0
                ),
            )
        )
        voter.receive(peer="core-2", message=late, now=105.0)
        self.assertEqual(voter.banned_until(BAD, 105.0), 100.0 + BAN_SECONDS)


class HarmlessRequestTest(unittest.TestCase):
    """Guards against bans of requests that ran beside crashes."""

    def setUp(self) -> None:
        self.cluster = BanCluster()

    def test_answer_elsewhere_clears_a_request(self) -> None:
        """Guards against the ban of what many callers ask for.

        Targets that go down and up by turns always have it in work.
        """
        for number in range(4 * MAX_CRASHES):
            self.cluster.crash(FRONTS[number % 3], BAD, number)
            self.cluster.run(0.3)
            self.cluster.answer("front-4", BAD)
            self.cluster.run(0.3)
            self.assertEqual(self.cluster.list_refusing(BAD), [], number)

    def test_loss_of_all_targets_at_once_bans_nothing(self) -> None:
        """Lost service: guards against the ban of what many ask for.

        Calls for the same run on all targets when these crash together.
        """
        for number in range(4 * MAX_CRASHES):
            self.cluster.crash(FRONTS[number % 4], BAD, number)
        self.cluster.run(2.0)
        self.assertEqual(self.cluster.list_refusing(BAD), [])

    def test_crashes_after_a_large_loss_still_count(self) -> None:
        """Guards against a bound on crashes that hides the later ones."""
        for number in range(2 * MAX_CRASH_EVENTS):
            self.cluster.crash("front-1", BAD, number)
        for number in range(MAX_CRASHES):
            self.cluster.crash_later("front-1", BAD, 100 + number)
        self.cluster.run(1.0)
        self.assertEqual(self.cluster.list_refusing(BAD), ALL)

    def test_streams_beside_three_crashes_are_not_banned(self) -> None:
        """Crashes in a row: guards against a ban of streams under way.

        They move from one crashed engine to the next; the cause of the
        crashes never gets far.
        """
        for number in range(MAX_CRASHES):
            self.cluster.run(1.0)
            event = CrashEvent(
                at=self.cluster.now, request_id=f"r{number}", early=False
            )
            self.cluster.systems["front-1"].note_crash(
                BAD, build_crash(number), event, self.cluster.now
            )
        self.cluster.run(1.0)
        self.assertEqual(self.cluster.list_refusing(BAD), [])

    def test_attempts_of_one_call_count_each(self) -> None:
        """Guards against a call whose crashes pass for a common cause."""
        for number in range(MAX_CRASHES):
            event = CrashEvent(at=self.cluster.now, request_id="r1")
            self.cluster.systems["front-1"].note_crash(
                BAD, build_crash(number), event, self.cluster.now
            )
        self.cluster.run(1.0)
        self.assertEqual(self.cluster.list_refusing(BAD), ALL)

    def test_answer_lifts_a_ban(self) -> None:
        for number in range(MAX_CRASHES):
            self.cluster.crash_later("front-1", BAD, number)
        self.cluster.run(1.0)
        self.assertEqual(self.cluster.list_refusing(BAD), ALL)
        self.cluster.answer("front-3", BAD)
        self.cluster.run(4.0)
        self.assertEqual(self.cluster.list_refusing(BAD), [])

    def test_lost_word_of_an_answer_is_repeated(self) -> None:
        for number in range(MAX_CRASHES):
            self.cluster.crash_later("front-1", BAD, number)
        self.cluster.run(1.0)
        self.cluster.cut = {"front-3"}
        self.cluster.answer("front-3", BAD)
        self.cluster.run(0.5)
        self.cluster.cut = set()
        self.cluster.run(5.0)
        self.assertEqual(self.cluster.list_refusing(BAD), [])

    def test_crash_heard_of_late_does_not_count_after_an_answer(self) -> None:
        self.cluster.cut = {"front-1"}
        for number in range(MAX_CRASHES):
            self.cluster.crash_later("front-1", BAD, number)
        self.cluster.run(0.3)
        voter = self.cluster.systems["core-1"]
        voter.clear(BAD, self.cluster.now)
        self.cluster.cut = set()
        self.cluster.run(1.0)
        self.assertNotIn(BAD, voter.suspects)

    def test_answers_that_follow_single_crashes_clear_at_each_vm(self) -> None:
        """Guards against a VM that bans by a count of its own alone."""
        for number in range(MAX_CRASHES):
            self.cluster.crash_later("front-1", BAD, number)
            self.cluster.run(0.3)
            if number == 0:
                self.cluster.systems["core-1"].clear(BAD, self.cluster.now)
                self.cluster.systems["core-2"].clear(BAD, self.cluster.now)
                self.cluster.systems["core-3"].clear(BAD, self.cluster.now)
        self.assertEqual(self.cluster.list_refusing(BAD), [])

    def test_others_are_not_refused(self) -> None:
        for number in range(MAX_CRASHES):
            self.cluster.crash_later("front-1", BAD, number)
            self.cluster.crash("front-1", f"beside-{number}", number)
        self.cluster.run(1.0)
        for number in range(MAX_CRASHES):
            name = f"beside-{number}"
            self.assertEqual(self.cluster.list_refusing(name), [])


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bans that are lost when all programs end at once."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def open(self) -> tuple[CrashBanSystem, CrashBanStore]:
        """Starts a voter on the folder."""
        system = BanCluster().systems["core-1"]
        store = CrashBanStore(
            folder=self.folder, bans=system, files=SystemFileAccess()
        )
        return system, store

    def report(self, system: CrashBanSystem, count: int) -> None:
        """Lets a voter hear of crashes."""
        now = time.monotonic()
        crashes = tuple(
            ObservedCrash(
                fingerprint=BAD,
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
        self.report(system, MAX_CRASHES)
        await store.close()
        system, store = self.open()
        until = system.banned_until(BAD, time.monotonic())
        self.assertAlmostEqual(until, time.monotonic() + BAN_SECONDS, delta=1.0)
        await store.close()

    async def test_count_before_a_ban_is_kept(self) -> None:
        system, store = self.open()
        self.report(system, MAX_CRASHES - 1)
        await store.close()
        system, store = self.open()
        now = time.monotonic()
        self.assertIsNone(system.banned_until(BAD, now))
        event = CrashEvent(at=now + 1, request_id="r9")
        system.add(BAD, CrashKey("t9", 1), event, now + 1)
        self.assertIsNotNone(system.banned_until(BAD, now))
        await store.close()

    async def test_ban_that_another_voter_told_of_is_kept(self) -> None:
        """Guards against a voter that keeps only what it counted itself."""
        system, store = self.open()
        state = SuspectState(
            fingerprint=BAD, banned_s=BAN_SECONDS, crash_age_s=1.0
        )
        now = time.monotonic()
        message = SuspectStates(states=(state,))
        system.receive(peer="core-2", message=message, now=now)
        await store.close()
        system, store = self.open()
        self.assertIsNotNone(system.banned_until(BAD, time.monotonic()))
        await store.close()

    async def test_cleared_request_stays_cleared(self) -> None:
        system, store = self.open()
        self.report(system, MAX_CRASHES)
        system.receive(
            peer="front-1",
            message=ClearedRequests(fingerprints=(BAD,)),
            now=time.monotonic(),
        )
        await store.close()
        system, store = self.open()
        self.assertEqual(system.suspects.rows, {})
        await store.close()

    async def test_damaged_file_does_not_stop_a_voter(self) -> None:
        """Guards against a program that does not start for its bans."""
        (self.folder / FILE_NAME).write_bytes(b"x" * 100)
        system, store = self.open()
        self.assertEqual(system.suspects.rows, {})
        self.report(system, MAX_CRASHES)
        await store.close()
        system, store = self.open()
        self.assertEqual(len(system.suspects), 1)
        await store.close()

    async def test_folder_that_cannot_be_used_does_not_stop_a_voter(
        self,
    ) -> None:
        """Guards against a voter that a faulty disk keeps from its work."""
        (self.folder / "file").write_bytes(b"")
        self.folder /= "file"
        system, store = self.open()
        self.report(system, MAX_CRASHES)
        self.assertIsNotNone(system.banned_until(BAD, time.monotonic()))
        await store.close()


class CostTest(unittest.TestCase):
    """Guards against memory and messages that grow with crashes."""

    def test_suspects_are_bounded_and_bans_kept(self) -> None:
        cluster = BanCluster()
        for number in range(MAX_CRASHES):
            cluster.crash_later("front-1", BAD, number)
        cluster.run(1.0)
        for number in range(MAX_SUSPECTS + 100):
            cluster.crash("front-1", f"beside-{number}", 0)
        system = cluster.systems["front-1"]
        self.assertEqual(len(system.suspects), MAX_SUSPECTS)
        self.assertIsNotNone(system.banned_until(BAD, cluster.now))

    def test_answers_after_single_crashes_reach_voters_only(self) -> None:
        """Guards against a flood to all VMs once a crash is over."""
        cluster = BanCluster()
        for number in range(100):
            cluster.crash("front-1", f"beside-{number}", 0)
        cluster.run(REPEATS + 2)
        sent = cluster.sent
        for number in range(100):
            cluster.answer("front-1", f"beside-{number}")
        cluster.run(REPEATS + 2)
        self.assertEqual(cluster.sent - sent, len(VOTERS) * (1 + REPEATS))
        self.assertEqual(cluster.systems["core-1"].suspects.rows, {})

    def test_fronts_do_not_hear_of_single_crashes(self) -> None:
        """Guards against a flood to all VMs at each crash."""
        cluster = BanCluster()
        for number in range(100):
            cluster.crash("front-1", f"beside-{number}", 0)
        cluster.run(REPEATS + 2)
        self.assertEqual(cluster.systems["front-2"].suspects.rows, {})
        self.assertEqual(cluster.sent, len(VOTERS) * (1 + REPEATS))


class LossTest(unittest.TestCase):
    """Guards against a ban that some VM misses, whatever is lost."""

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(FRONTS),
                st.sets(st.sampled_from((*VOTERS, *FRONTS)), max_size=5),
                st.floats(SAME_CAUSE_SECONDS + TICK_SECONDS, 1.0),
            ),
            min_size=MAX_CRASHES,
            max_size=8,
        )
    )
    def test_all_vms_refuse_it_once_messages_arrive(
        self, crashes: list[tuple[str, set[str], float]]
    ) -> None:
        cluster = BanCluster()
        for number, (front, cut, pause) in enumerate(crashes):
            cluster.cut = cut
            cluster.crash(front, BAD, number)
            cluster.run(pause)
        cluster.cut = set()
        cluster.run(3.5)
        count = len(crashes)
        with self.subTest(crashes=count):
            self.assertEqual(cluster.list_refusing(BAD), ALL)
