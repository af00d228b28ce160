"""The request core: decides what happens to each request of this VM.

Every request ends with exactly one `Finish` or `Refuse`, unless its caller
has disconnected. The slots of a failed attempt are released before the core
chooses the next step.
"""

from collections.abc import Collection
import dataclasses

from rattanroute.actions import Action
from rattanroute.actions import Finish
from rattanroute.actions import Hop
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptStarted
from rattanroute.events import AttemptSucceeded
from rattanroute.events import AttemptSuspected
from rattanroute.events import CallerDisconnected
from rattanroute.events import Event
from rattanroute.events import Provenance
from rattanroute.events import RequestArrived
from rattanroute.events import StageDegraded
from rattanroute.requests.attempt_cores import AttemptCore
from rattanroute.requests.crash_events import build_crash_event
from rattanroute.requests.crash_events import find_model
from rattanroute.systems import refusals
from rattanroute.systems.admissions import find_weights
from rattanroute.systems.routing import build_hop
from rattanroute.tables.pools import PoolKey
from rattanroute.tables.requests import Attempt
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.requests import RequestState
from rattanroute.tables.suspect_requests import CrashKey


@dataclasses.dataclass(kw_only=True, slots=True)
class RequestCore(AttemptCore):
    """Maps request events to actions for the host; does no I/O itself."""

    def handle(self, event: Event, *, now: float) -> list[Action]:
        """Handles an event; ignores events of requests that have ended."""
        match event:
            case RequestArrived():
                return self.handle_arrival(event.request, now)
            case AttemptStarted():
                return self.handle_start(event, now)
            case AttemptSucceeded():
                return self.handle_success(event, now)
            case AttemptFailed():
                return self.handle_failure(event, now)
            case AttemptSuspected() | StageDegraded():
                return self.handle_slow_target(event, now)
            case CallerDisconnected():
                return self.handle_caller_gone(event, now)

    def tick(self, *, now: float) -> list[Action]:
        """Runs all due work: back-offs, deadlines, retries, queues, hedges."""
        actions: list[Action] = []
        self.detections.end_backoffs(now)
        stopped = self.quarantines.take_cancellations()
        actions += self.stop_suspects(stopped, "", now)
        for request_id, number in self.detections.unstarted(now):
            actions += self.suspect_unstarted(request_id, number, now)
        actions += self.expire(now)
        for request_id in self.retries.release(now):
            request = self.requests.get(request_id)
            if request is None or request.has_trusted_attempt:
                continue
            if request.live:
                actions += self.supplement(request, now)
            else:
                actions += self.resume(request, now)
        for key in list(self.admissions.queues):
            actions += self.start_waiting(key, now)
        for request_id, number in self.hedges.take_late(now):
            actions += self.hedge(request_id, number, now)
        self.gate.set_backlog(self.admissions.backlog())
        return actions

    def resume(self, request: Request, now: float) -> list[Action]:
        """Starts a request again after its back-off.

        Requests on which targets have already spent work bypass the queue. A
        begun answer also waits a while for late reports of targets.
        """
        started = self.try_start(request, now)
        if started:
            return started
        servable = self.selections.is_servable(request, now)
        if not servable and self.expirations.may_wait(request, now):
            return self.delay(request, now)
        return self.route(request, now)

    def handle_arrival(self, request: Request, now: float) -> list[Action]:
        """Dispatches, queues or refuses a new request."""
        self.requests.add(request)
        self.expirations.watch(request)
        self.retries.budget.earn()
        self.hedges.earn()
        if request.kind is RequestKind.CHAT:
            request.pool = self.routing.find_pool_key(request)
            work = self.selections.run_seconds(request)
            self.gate.offer(request.neighbour, work=work)
        return self.route(request, now)

    def route(self, request: Request, now: float) -> list[Action]:
        """Dispatches, queues or refuses a request with no running attempt."""
        banned = self.banned_for(request, now)
        if banned:
            return self.refuse(request, refusals.quarantined(request, banned))
        ban = self.bans.find_part_ban(
            request.fingerprint, request.part_fingerprints, now
        )
        if ban is not None:
            refusal = refusals.prompt_quarantined(request, ban.until - now)
            return self.refuse(request, refusal)
        key = request.pool = self.routing.find_pool_key(request)
        if not self.selections.is_known(request):
            return self.refuse(request, refusals.no_target(request))
        queue = self.admissions.queue(key)
        if not len(queue):
            placed = self.try_start(request, now)
            if placed:
                share, weight = find_weights(request, self.configuration())
                cost = self.selections.run_seconds(request)
                queue.charge(request, share=share, weight=weight, cost=cost)
                return placed
        return self.enqueue(request, now)

    def enqueue(self, request: Request, now: float) -> list[Action]:
        """Queues a request if it can be served in time, else refuses it."""
        key = request.pool
        if not self.selections.is_servable(request, now):
            return self.refuse(request, refusals.no_target(request))
        run = self.selections.run_seconds(request)
        if run > request.deadline - now:
            return self.refuse(request, refusals.deadline_unreachable(request))
        refusal = self.admissions.check(request, key=key, run=run, now=now)
        if refusal is not None:
            return self.refuse(request, refusal)
        request.state = RequestState.QUEUED
        self.admissions.enqueue(
            request, key=key, run=run, configuration=self.configuration()
        )
        return []

    def try_start(self, request: Request, now: float) -> list[Action]:
        """Starts an attempt; returns no action if no slot or share is free."""
        if not self.may_start(request, now):
            return []
        chain = self.selections.select(request, now)
        return self.dispatch(request, chain, now) if chain else []

    def handle_start(self, event: AttemptStarted, now: float) -> list[Action]:
        """Records a token of a running attempt: its first or after a silence.

        The attempt that continues a stream ends all others.
        """
        request, attempt = self.find_attempt(event.request_id, event.attempt)
        if attempt is None:
            return []
        attempt.suspected = False
        if attempt.started_at is None:
            request.state = RequestState.STARTED
            attempt.started_at = now
            self.note_begun(request, now)
            self.attempts.note_started(request, attempt, now)
        if not request.stream or len(request.live) < 2:
            return []
        actions = self.cancel(request, now, kept=attempt)
        return actions + self.start_waiting(request.pool, now)

    def note_begun(self, request: Request, now: float) -> None:
        """Records that an answer to a request has begun."""
        self.bans.note_begun(
            request.part_fingerprints, find_model(request), now
        )

    def handle_success(
        self, event: AttemptSucceeded, now: float
    ) -> list[Action]:
        """Ends a request whose answer is complete."""
        request, attempt = self.find_attempt(event.request_id, event.attempt)
        if attempt is None:
            return []
        actions = self.attempts.complete(request, attempt, event, now)
        actions += self.cancel(request, now)
        self.note_begun(request, now)
        self.bans.note_answer(request.fingerprint, now)
        request.state = RequestState.DONE
        self.requests.remove(request.request_id)
        actions.insert(0, Finish(request_id=request.request_id))
        return actions + self.start_waiting(request.pool, now)

    def handle_failure(self, event: AttemptFailed, now: float) -> list[Action]:
        """Ends a failed attempt, then retries or refuses its request."""
        request, attempt = self.find_attempt(event.request_id, event.attempt)
        if attempt is None:
            self.note_cancelled_tokens(request, event)
            return []
        if attempt.started_at is not None:
            # An attempt with a first token has run, whatever provenance the
            # host reports.
            event = dataclasses.replace(event, provenance=Provenance.STARTED)
        never_dispatched = event.provenance is Provenance.NOT_DISPATCHED
        request.tokens_out += event.tokens_out
        attempt.tokens_out = event.tokens_out
        actions: list[Action] = []
        if event.crashed and not never_dispatched:
            actions += self.note_crash(attempt, event, now)
        attempt.never_dispatched = never_dispatched
        actions += self.attempts.end(request, attempt, now)
        self.attempts.note_failure(event, now)
        if not request.live:
            actions += self.retry(request, attempt, event, now)
        elif not request.has_trusted_attempt:
            actions += self.supplement(request, now)
        return actions + self.start_waiting(request.pool, now)

    def note_crash(
        self,
        attempt: Attempt,
        event: AttemptFailed,
        now: float,
    ) -> list[Action]:
        """Records a crash with all requests that ran on the target."""
        incarnation = 0
        for hop, number in zip(
            attempt.chain, attempt.incarnations, strict=True
        ):
            if hop.target_id == event.target_id:
                incarnation = number
        running = self.attempts.running.get(event.target_id, ())
        rows = [self.requests.get(request_id) for request_id in running]
        # An attempt that was dispatched after the crash cannot have caused it:
        # a middlebox may accept its connection and then reset it.
        crash_time = self.quarantines.crash_time(
            target_id=event.target_id, incarnation=incarnation
        )
        rows = [
            row
            for row in rows
            if row
            and (crash_time is None or row.current.dispatched_at <= crash_time)
        ]
        self.note_crashed_requests(event.target_id, incarnation, rows, now)
        latest = max(
            rows, key=lambda row: row.current.dispatched_at, default=None
        )
        suspects, actions = self.quarantines.note_crash(
            target_id=event.target_id,
            incarnation=incarnation,
            fingerprints={row.fingerprint for row in rows},
            now=now,
            latest=latest.fingerprint if latest else "",
        )
        return actions + self.stop_suspects(suspects, event.target_id, now)

    def note_crashed_requests(
        self,
        target_id: str,
        incarnation: int,
        requests: list[Request],
        now: float,
    ) -> None:
        """Records a crash under requests and the parts of unanswered prompts.

        Args:
            target_id: The target that crashed.
            incarnation: Its incarnation.
            requests: Requests that ran on it.
            now: Time in seconds.
        """
        crash = CrashKey(target_id, incarnation)
        for request in requests:
            if request.fingerprint:
                event = build_crash_event(request, now)
                self.bans.note_crash(request.fingerprint, crash, event, now)

    def retry(
        self,
        request: Request,
        attempt: Attempt,
        event: AttemptFailed,
        now: float,
    ) -> list[Action]:
        """Retries after a failed attempt, at once or later, or refuses."""
        refusal = event.refusal or self.retries.check_retry(
            request, event, banned=self.banned_for(request, now)
        )
        ban = self.bans.find_part_ban(
            request.fingerprint, request.part_fingerprints, now
        )
        if refusal is None and ban is not None:
            refusal = refusals.prompt_quarantined(request, ban.until - now)
        if refusal is not None:
            return self.refuse(request, refusal)
        hops = self.selections.replacement(
            request, failed_target_id=event.target_id, now=now
        )
        if hops is not None:
            return self.replace(request, attempt, event, hops, now)
        chain = self.select_other_chain(request, attempt, event, now)
        if chain is not None:
            return self.dispatch(request, chain, now)
        if not self.expirations.may_wait(request, now):
            return self.refuse(request, refusals.no_target(request))
        return self.delay(request, now)

    def select_other_chain(
        self,
        request: Request,
        attempt: Attempt,
        event: AttemptFailed,
        now: float,
    ) -> tuple[Hop, ...] | None:
        """Returns a chain without the failed targets, or None.

        A target that has just failed the request is tried again only after a
        back-off; immediate retries on it would use up all allowed attempts.
        """
        if not self.may_start(request, now):
            return None
        failed = request.tried
        if len(attempt.chain) > 1:
            failed = {event.target_id}
        chain = self.selections.select(request, now)
        names = {hop.target_id for hop in chain or ()}
        return None if names & failed else chain

    def handle_caller_gone(
        self, event: CallerDisconnected, now: float
    ) -> list[Action]:
        """Cancels the work for a caller that has disconnected."""
        request = self.requests.get(event.request_id)
        if request is None:
            return []
        self.requests.remove(request.request_id)
        self.admissions.remove(request.request_id, request.pool)
        actions = self.cancel(request, now)
        return actions + self.start_waiting(request.pool, now)

    def stop_suspects(
        self, fingerprints: Collection[str], crashed: str, now: float
    ) -> list[Action]:
        """Cancels suspected requests and routes them again or refuses them.

        Attempts on the crashed target are left to fail by themselves, and
        running requests that are not repeatable go on.
        """
        actions: list[Action] = []
        for request in list(self.requests) if fingerprints else ():
            if request.fingerprint not in fingerprints:
                continue
            targets = {h.target_id for a in request.live for h in a.chain}
            if crashed in targets or (targets and not request.repeatable):
                continue
            banned = self.quarantines.banned_for(request.fingerprint, now)
            if targets or banned:
                actions += self.cancel(request, now)
                actions += self.route(request, now)
        return actions

    def expire(self, now: float) -> list[Action]:
        """Refuses requests past their deadline or that no target can serve."""
        actions: list[Action] = []
        for request, refusal in self.expirations.due(now):
            actions += self.cancel(request, now)
            actions += self.refuse(request, refusal)
        return actions

    def start_waiting(self, key: PoolKey | None, now: float) -> list[Action]:
        """Starts queued requests of a pool while it has free slots."""
        actions: list[Action] = []
        queue = self.admissions.queues.get(key)
        if queue is None:
            return actions

        def place(request: Request) -> bool:
            started = self.try_start(request, now)
            actions.extend(started)
            return bool(started)

        def admits(neighbour: str) -> bool:
            return self.gate.admits(neighbour, now=now)

        while len(queue):
            request = queue.pop(
                admits=admits,
                place=place,
                cost=self.selections.run_seconds,
            )
            if request is None:
                break
        return actions

    def hedge(self, request_id: str, number: int, now: float) -> list[Action]:
        """Sends a late request to a second target if the budget allows."""
        request, attempt = self.find_attempt(request_id, number)
        if attempt is None or len(request.live) > 1:
            return []
        if len(self.admissions.queue(request.pool)):
            return []
        target = self.selections.hedge_target(request, now)
        if target is None or not self.hedges.spend(now):
            return []
        return self.dispatch(request, (build_hop(target),), now)
