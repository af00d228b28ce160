"""Attempts of requests in the core: their start, replacement and end.

A silent target is only suspected, as a silence is no proof of a failure: the
attempt goes on beside the next one, and the first of them to continue a stream
or to complete an answer ends the others.
"""

import dataclasses

from rattanroute.actions import Action
from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.actions import Hop
from rattanroute.actions import Refusal
from rattanroute.actions import Refuse
from rattanroute.actions import ReplaceStage
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptSuspected
from rattanroute.events import StageDegraded
from rattanroute.requests.core_systems import CoreSystems
from rattanroute.tables.requests import Attempt
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.requests import RequestState


@dataclasses.dataclass(kw_only=True, slots=True)
class AttemptCore(CoreSystems):
    """Starts, replaces, suspects and cancels attempts; does no I/O."""

    def banned_for(self, request: Request, now: float) -> float:
        """Returns the seconds until a request may run again; 0 without a ban.

        The quarantine is kept in memory; the voters store the bans.
        """
        fingerprint = request.fingerprint
        seconds = self.quarantines.banned_for(fingerprint, now)
        ban = self.bans.find_suspect_ban(fingerprint, fingerprint, now)
        return max(seconds, ban.until - now if ban is not None else 0.0)

    def may_start(self, request: Request, now: float) -> bool:
        """Returns whether the neighbour's share allows a start.

        Two kinds of requests are always allowed: those with an earlier
        attempt, as their work would be lost, and service calls, as they do
        not use the pooled accelerators.
        """
        if request.kind is RequestKind.SERVICE or request.attempts:
            return True
        return self.gate.admits(request.neighbour, now=now)

    def dispatch(
        self, request: Request, chain: tuple[Hop, ...], now: float
    ) -> list[Action]:
        """Starts the next attempt on a chain."""
        attempt, messages = self.attempts.begin(request, chain, now)
        started = Dispatch(
            request_id=request.request_id,
            attempt=attempt.number,
            chain=chain,
        )
        return [started, *messages]

    def replace(
        self,
        request: Request,
        attempt: Attempt,
        event: AttemptFailed | StageDegraded,
        hops: tuple[Hop, ...],
        now: float,
    ) -> list[Action]:
        """Starts an attempt that replaces only the failed or slow hop."""
        chain: tuple[Hop, ...] = ()
        for hop in attempt.chain:
            chain += hops if hop.target_id == event.target_id else (hop,)
        started, *messages = self.dispatch(request, chain, now)
        replaced = ReplaceStage(
            request_id=request.request_id,
            attempt=started.attempt,
            failed_target_id=event.target_id,
            hops=hops,
        )
        return [replaced, *messages]

    def delay(self, request: Request, now: float) -> list[Action]:
        """Looks for a target again after a back-off."""
        request.state = RequestState.QUEUED
        self.retries.delay(
            request.request_id, failures=len(request.attempts), now=now
        )
        return []

    def cancel(
        self, request: Request, now: float, *, kept: Attempt | None = None
    ) -> list[Action]:
        """Cancels all running attempts of a request, except a kept one."""
        actions: list[Action] = []
        for attempt in request.live:
            if attempt is kept:
                continue
            attempt.superseded = kept is not None
            actions.append(
                CancelAttempt(
                    request_id=request.request_id, attempt=attempt.number
                )
            )
            actions += self.attempts.end(request, attempt, now)
        return actions

    def refuse(self, request: Request, refusal: Refusal) -> list[Action]:
        """Refuses a request that has no running attempt."""
        request.state = RequestState.REFUSED
        self.requests.remove(request.request_id)
        self.admissions.remove(request.request_id, request.pool)
        return [Refuse(request_id=request.request_id, refusal=refusal)]

    def find_attempt(
        self, request_id: str, number: int
    ) -> tuple[Request | None, Attempt | None]:
        """Returns a request and the attempt of a number if that is running."""
        request = self.requests.get(request_id)
        if request is None or not 1 <= number <= len(request.attempts):
            return request, None
        attempt = request.attempts[number - 1]
        return request, attempt if attempt.live else None

    def note_cancelled_tokens(
        self, request: Request | None, event: AttemptFailed
    ) -> None:
        """Counts the tokens that the caller has from a cancelled attempt."""
        if request is None or not 1 <= event.attempt <= len(request.attempts):
            return
        attempt = request.attempts[event.attempt - 1]
        if not attempt.tokens_out:
            attempt.tokens_out = event.tokens_out
            request.tokens_out += event.tokens_out

    def handle_slow_target(
        self, event: AttemptSuspected | StageDegraded, now: float
    ) -> list[Action]:
        """Looks for a replacement of a silent or slow target."""
        if isinstance(event, StageDegraded):
            return self.replace_slow_stage(event, now)
        return self.suspect(event, now)

    def suspect(self, event: AttemptSuspected, now: float) -> list[Action]:
        """Suspects an attempt with a silent target and starts another one.

        A call that runs at most once has no other attempt; its target may
        still answer until the deadline.
        """
        request, attempt = self.find_attempt(event.request_id, event.attempt)
        if attempt is None or attempt.suspected or not request.repeatable:
            return []
        attempt.suspected = True
        self.attempts.note_silence(event.target_id, now)
        if request.has_trusted_attempt:
            return []
        return self.supplement(request, now)

    def supplement(self, request: Request, now: float) -> list[Action]:
        """Starts an attempt beside suspected ones, or tries again later.

        Nothing is lost if no other attempt may be started.
        """
        chain = None
        if self.may_start(request, now):
            chain = self.selections.select(request, now)
        names = {hop.target_id for hop in chain or ()}
        if chain is None or names & request.tried:
            self.retries.delay(
                request.request_id, failures=len(request.attempts), now=now
            )
            return []
        if not self.may_supplement(request, now):
            return []
        return self.dispatch(request, chain, now)

    def may_supplement(self, request: Request, now: float) -> bool:
        """Decides whether another attempt may run, and charges it."""
        ban = self.bans.find_part_ban(
            request.fingerprint, request.part_fingerprints, now
        )
        banned = self.banned_for(request, now)
        return ban is None and self.retries.may_supplement(
            request, banned=banned
        )

    def replace_slow_stage(
        self, event: StageDegraded, now: float
    ) -> list[Action]:
        """Replaces a slow stage if other targets can run its layers."""
        request, attempt = self.find_attempt(event.request_id, event.attempt)
        # A replacement refers to the latest chain.
        if attempt is None or attempt is not request.current:
            return []
        if event.silent:
            self.attempts.note_silence(event.target_id, now)
        hops = self.selections.replacement(
            request, failed_target_id=event.target_id, now=now
        )
        if hops is None:
            return []
        if event.silent and not self.may_supplement(request, now):
            return []
        attempt.tokens_out = event.tokens_out
        request.tokens_out += event.tokens_out
        actions = self.attempts.end(request, attempt, now)
        return actions + self.replace(request, attempt, event, hops, now)

    def suspect_unstarted(
        self, request_id: str, number: int, now: float
    ) -> list[Action]:
        """Suspects an attempt without a first token in the expected time."""
        request, attempt = self.find_attempt(request_id, number)
        if attempt is None or attempt.started_at is not None:
            return []
        if len(attempt.chain) > 1:
            return self.move_unstarted(request, attempt, now)
        silent = AttemptSuspected(
            request_id=request_id,
            attempt=number,
            target_id=attempt.chain[0].target_id,
        )
        return self.suspect(silent, now)

    def move_unstarted(
        self, request: Request, attempt: Attempt, now: float
    ) -> list[Action]:
        """Moves an attempt on several targets to a chain without the first.

        The chains share targets, which run one attempt of a request at a
        time. The attempt therefore ends, but only if there is another chain.
        """
        first = attempt.chain[0].target_id
        self.attempts.note_silence(first, now)
        hops = self.selections.replacement(
            request, failed_target_id=first, now=now
        )
        if (
            hops is None
            or attempt is not request.current
            or not self.may_supplement(request, now)
        ):
            self.detections.schedule_start_check(
                request_id=request.request_id,
                attempt=attempt.number,
                expected=0.0,
                now=now,
            )
            return []
        actions = self.cancel(request, now)
        return actions + self.dispatch(request, hops + attempt.chain[1:], now)
