"""Attributes crashes of targets to requests and refuses banned requests.

A closed connection does not prove a crash: targets also reset single
requests, and links fail. A target counts as crashed when its host refuses
connections, when the inspections of all VMs find it unreachable, or when a
later incarnation reports from its address.
"""

import asyncio
from collections.abc import Iterable
import dataclasses
import functools

from aioprometheus import Counter

from rattanroute.gateway.calls import Call
from rattanroute.gateway.outcomes import Unknown
from rattanroute.gateway.target_probes import ProbeResult
from rattanroute.gateway.target_probes import TargetProbes
from rattanroute.logs import get_logger
from rattanroute.systems.crash_bans import Ban
from rattanroute.systems.crash_bans import CrashBanSystem
from rattanroute.systems.crash_causes import SETTLE_SECONDS
from rattanroute.tables.crash_suspects import CrashEvent
from rattanroute.tables.crash_suspects import EARLY_SECONDS
from rattanroute.tables.suspect_requests import CrashKey
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

CHECK_INTERVAL_SECONDS = 0.2
# A crashed target restarts and reports again within a few seconds.
VERDICT_TIMEOUT_SECONDS = 8.0
# The crash of a full target loses about a hundred attempts of one VM.
MAX_LOST_ATTEMPTS = 512
# A host refuses a connection within milliseconds, and the inspection of a
# crashed engine takes two messages.
SUSPECT_WAIT_SECONDS = 0.3
# Reports and announcements take two ticks of the control plane, 0.1 s each.
JUDGEMENT_SECONDS = SETTLE_SECONDS + 0.25
JUDGEMENT_INTERVAL_SECONDS = 0.05
BANNED_REASON = "targets crashed under this request"

log = get_logger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LostAttempt:
    """An attempt that ended without a complete answer for an unknown reason.

    Attributes:
        request_id: Identifier of the client's request.
        fingerprint: Hash that all repetitions of the request share.
        parts: Hashes of the shared parts of its prompt; empty once an answer
            had begun.
        service: Name of the service that it was sent to.
        reports: Reports of the attempt's targets when it was sent.
        lost_at: Time of the end, in seconds of the event loop's clock.
        early: Whether the attempt ended before its first event or within
            `EARLY_SECONDS` of it.
        begun: Whether an answer had begun, in any attempt.
        verdict: Resolves to the report of the crashed target, or to None if
            no crash was detected in time.
    """

    request_id: str
    fingerprint: str
    parts: frozenset[str]
    service: str
    reports: tuple[TargetReport, ...]
    lost_at: float
    early: bool
    begun: bool
    verdict: asyncio.Future[TargetReport | None]


class CrashDetector:
    """Decides whether lost attempts were crashes and looks up banned requests.

    Args:
        probes: Checks hosts for refused connections.
        targets: All known targets.
        bans: Suspect and banned requests, shared by all VMs.
        lost_attempts: Counts lost attempts by verdict.
    """

    def __init__(
        self,
        *,
        probes: TargetProbes,
        targets: TargetTable,
        bans: CrashBanSystem,
        lost_attempts: Counter,
    ) -> None:
        self.targets = targets
        self.bans = bans
        self.lost_attempts = lost_attempts
        self.unresolved: list[LostAttempt] = []
        self.probes = probes
        self.refused_at: dict[str, float] = {}

    async def find_ban(self, call: Call) -> Ban | None:
        """Returns the ban that applies to a request; None if it may be sent.

        A suspect request first waits a short time for the verdict on its
        latest lost attempt. If its parts were in several crashes, it also
        waits until the voters have judged the latest one.
        """
        if not self.is_suspect(call):
            return None
        await self.wait_for_verdict(call)
        await self.wait_for_judgement(call)
        ban = self.check_ban(call)
        if ban is None:
            self.log_trial(call)
        return ban

    def is_suspect(self, call: Call) -> bool:
        """Returns whether targets have crashed under a request or its parts."""
        suspects = self.bans.suspects
        if not suspects:
            return False
        names = (call.fingerprint, *call.part_fingerprints)
        return any(name in suspects for name in names)

    def log_trial(self, call: Call) -> None:
        """Logs that a call is sent to find out whether a ban must go on."""
        suspect = self.bans.find_trial(
            call.fingerprint,
            call.part_fingerprints,
            asyncio.get_running_loop().time(),
        )
        if suspect is not None:
            log.info(
                "request sent on trial after a ban",
                request_id=call.metadata.request_id,
                fingerprint=suspect,
            )

    async def wait_for_judgement(self, call: Call) -> None:
        """Waits for the judgement on the parts of a call that was just lost."""
        if call.begun or not call.may_have_run:
            return
        loop = asyncio.get_running_loop()
        end = loop.time() + min(JUDGEMENT_SECONDS, call.time_left(loop.time()))
        parts = call.part_fingerprints
        while loop.time() < end:
            watched = any(self.may_be_cause(x, loop.time()) for x in parts)
            banned = self.bans.find_ban(call.fingerprint, parts, loop.time())
            if banned or not watched:
                return
            await asyncio.sleep(JUDGEMENT_INTERVAL_SECONDS)

    def may_be_cause(self, part: str, now: float) -> bool:
        """Returns whether a part may be banned after one more crash."""
        is_known = self.bans.suspects.is_known(part)
        return not is_known and self.bans.is_watched(part, now)

    def check_ban(self, call: Call) -> Ban | None:
        """Returns the ban that applies to a request now, and logs it."""
        if not self.bans.suspects:
            return None
        now = asyncio.get_running_loop().time()
        ban = self.bans.find_ban(call.fingerprint, call.part_fingerprints, now)
        if ban is not None:
            log.info(
                "banned request not sent",
                request_id=call.metadata.request_id,
                fingerprint=ban.fingerprint,
                part=find_part(call, ban),
                seconds=ban.until - now,
            )
        return ban

    async def wait_for_verdict(self, call: Call) -> None:
        """Waits briefly for the verdict on a call's latest lost attempt."""
        # A caller may give different requests one identifier.
        name = (call.metadata.request_id, call.fingerprint)
        for lost in reversed(self.unresolved):
            if (lost.request_id, lost.fingerprint) == name:
                await asyncio.wait(
                    (lost.verdict,), timeout=SUSPECT_WAIT_SECONDS
                )
                return

    def note_answered(self, call: Call) -> None:
        """Clears the suspicion against a request that was answered."""
        if self.bans.suspects:
            now = asyncio.get_running_loop().time()
            self.bans.note_answer(call.fingerprint, now)
        self.note_begun(call)

    def note_begun(self, call: Call) -> None:
        """Clears the suspicion against the parts of a prompt.

        A part that crashes targets does so before the first event.
        """
        call.begun = True
        now = asyncio.get_running_loop().time()
        self.bans.note_begun(call.part_fingerprints, call.service.name, now)

    def list_reports(
        self, target_ids: Iterable[str]
    ) -> tuple[TargetReport, ...]:
        """Returns the current reports of targets, without unknown targets."""
        rows = [self.targets.get(target_id) for target_id in target_ids]
        return tuple(row.report for row in rows if row is not None)

    def note_lost(
        self, call: Call, reports: tuple[TargetReport, ...], outcome: Unknown
    ) -> LostAttempt | None:
        """Records an attempt that ended, or seems to end, without an answer.

        Args:
            call: The call.
            reports: Reports of its targets when it was sent. The first one
                belongs to the target that received the request.
            outcome: How the attempt ended.

        Returns:
            The record; None if there is none.
        """
        if not reports or len(self.unresolved) >= MAX_LOST_ATTEMPTS:
            return None
        loop = asyncio.get_running_loop()
        lost = LostAttempt(
            request_id=call.metadata.request_id,
            fingerprint=call.fingerprint,
            parts=frozenset(() if call.begun else call.part_fingerprints),
            service=call.service.name,
            reports=reports,
            lost_at=loop.time(),
            early=outcome.progress_s < EARLY_SECONDS,
            begun=call.begun,
            verdict=loop.create_future(),
        )
        self.unresolved.append(lost)
        log.info(
            "attempt lost",
            request_id=lost.request_id,
            fingerprint=lost.fingerprint,
            target=reports[0].target_id,
            incarnation=reports[0].incarnation,
            reason=outcome.reason,
            early=lost.early,
            begun=lost.begun,
            parts=",".join(call.metadata.shared_parts),
        )
        # A timeout says nothing about a crash, and a probe adds to the load.
        if not outcome.timed_out:
            self.probe(reports[0].address)
        return lost

    def probe(self, address: str) -> None:
        """Checks whether a target's host refuses connections."""
        self.probes.probe(address).add_done_callback(
            functools.partial(self.note_probe, address)
        )

    def retract(self, lost: LostAttempt) -> None:
        """Removes the record of an attempt that goes on after all."""
        if lost in self.unresolved:
            self.unresolved.remove(lost)
            lost.verdict.set_result(None)

    def note_probe(self, address: str, task: asyncio.Task[ProbeResult]) -> None:
        """Records that a host refuses connections."""
        if not task.cancelled() and task.result() is ProbeResult.REFUSED:
            self.refused_at[address] = asyncio.get_running_loop().time()
            self.check()

    def check(self) -> None:
        """Sets the verdicts that are due; called at an interval."""
        now = asyncio.get_running_loop().time()
        newest = self.list_incarnations() if self.unresolved else {}
        remaining = []
        for lost in self.unresolved:
            crashed = self.find_crashed(lost, newest)
            if crashed is not None:
                self.set_verdict(lost, crashed, now)
            elif now - lost.lost_at >= VERDICT_TIMEOUT_SECONDS:
                self.set_verdict(lost, None, now)
            else:
                remaining.append(lost)
        self.unresolved = remaining
        for address, at in list(self.refused_at.items()):
            if now - at >= VERDICT_TIMEOUT_SECONDS:
                del self.refused_at[address]

    def list_incarnations(self) -> dict[str, int]:
        """Returns the latest incarnation at each address."""
        newest: dict[str, int] = {}
        for row in self.targets:
            address = row.report.address
            known = newest.get(address, 0)
            newest[address] = max(known, row.report.incarnation)
        return newest

    def find_crashed(
        self, lost: LostAttempt, newest: dict[str, int]
    ) -> TargetReport | None:
        """Returns the first target of an attempt that has crashed, if any.

        Args:
            lost: The attempt.
            newest: The latest incarnation at each address.
        """
        for report in lost.reports:
            row = self.targets.get(report.target_id)
            if row is not None and row.report.leaving:
                continue
            if self.refused_at.get(report.address, 0.0) >= lost.lost_at:
                return report
            if row is not None and not row.reachable:
                return report
            if newest.get(report.address, 0) > report.incarnation:
                return report
        return None

    def set_verdict(
        self, lost: LostAttempt, crashed: TargetReport | None, now: float
    ) -> None:
        """Sets the verdict on an attempt and records a crash, if any."""
        lost.verdict.set_result(crashed)
        verdict = "unknown" if crashed is None else "crashed"
        self.lost_attempts.inc({"verdict": verdict})
        if crashed is None:
            return
        log.info(
            "target crashed under a request",
            request_id=lost.request_id,
            fingerprint=lost.fingerprint,
            parts=",".join(sorted(lost.parts)),
            target=crashed.target_id,
            incarnation=crashed.incarnation,
            seconds=now - lost.lost_at,
        )
        crash = CrashKey(crashed.target_id, crashed.incarnation)
        event = CrashEvent(
            at=lost.lost_at,
            request_id=lost.request_id,
            early=lost.early,
            begun=lost.begun,
            fingerprint=lost.fingerprint,
            parts=lost.parts,
            service=lost.service,
        )
        self.bans.note_crash(lost.fingerprint, crash, event, now)


def find_part(call: Call, ban: Ban) -> str:
    """Returns the banned part of a call's prompt; empty if it is the call."""
    if ban.fingerprint not in call.part_fingerprints:
        return ""
    index = call.part_fingerprints.index(ban.fingerprint)
    return call.metadata.shared_parts[index]
