"""The request core: decides what happens to each request of this VM.

Every request ends in exactly one `Finish` or `Refuse`, unless its caller has
gone. An attempt's slots are given back before it is decided what follows.
"""

from collections.abc import Collection
import dataclasses

from rattanroute.actions import Action
from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.actions import Finish
from rattanroute.actions import Hop
from rattanroute.actions import Refusal
from rattanroute.actions import Refuse
from rattanroute.actions import ReplaceStage
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptStarted
from rattanroute.events import AttemptSucceeded
from rattanroute.events import CallerGone
from rattanroute.events import Event
from rattanroute.events import Provenance
from rattanroute.events import RequestArrived
from rattanroute.events import StageDegraded
from rattanroute.requests.core_systems import CoreSystems
from rattanroute.systems import refusals
from rattanroute.systems.admissions import weights_of
from rattanroute.systems.routing import hop_of
from rattanroute.tables.pools import PoolKey
from rattanroute.tables.requests import Attempt
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.requests import RequestState


@dataclasses.dataclass(kw_only=True, slots=True)
class RequestCore(CoreSystems):
    """Takes events of requests and returns actions for the host."""

    def handle(self, event: Event, *, now: float) -> list[Action]:
        """Handles an event; events of ended requests are ignored."""
        match event:
            case RequestArrived():
                return self.arrive(event.request, now)
            case AttemptStarted():
                return self.start(event, now)
            case AttemptSucceeded():
                return self.succeed(event, now)
            case AttemptFailed():
                return self.fail(event, now)
            case StageDegraded():
                return self.replace_slow_stage(event, now)
            case CallerGone():
                return self.abandon(event, now)

    def tick(self, *, now: float) -> list[Action]:
        """Does what is due: retries, deadlines, probes and the queues."""
        actions: list[Action] = []
        self.detections.wake(now)
        stopped = self.quarantines.take_stopped()
        actions += self.stop_suspects(stopped, "", now)
        for request_id, number in self.detections.silent(now):
            actions += self.give_up(request_id, number, now)
        actions += self.expire(now)
        for request_id in self.retries.release(now):
            request = self.requests.get(request_id)
            if request is not None and not request.live:
                # Requests that have used work go ahead of the queue.
                actions += self.place(request, now) or self.route(request, now)
        for key in list(self.admissions.queues):
            actions += self.drain(key, now)
        for request_id, number in self.hedges.late(now):
            actions += self.hedge(request_id, number, now)
        self.gate.set_backlog(self.admissions.backlog())
        return actions

    def arrive(self, request: Request, now: float) -> list[Action]:
        """Dispatches, queues or refuses a new request."""
        self.requests.add(request)
        self.expirations.watch(request)
        self.retries.budget.earn()
        self.hedges.budget.earn()
        if request.kind is RequestKind.CHAT:
            request.pool = self.routing.key_of(request)
            work = self.selections.run_seconds(request)
            self.gate.offer(request.neighbour, work=work)
        return self.route(request, now)

    def route(self, request: Request, now: float) -> list[Action]:
        """Dispatches, queues or refuses a request without an attempt."""
        banned = self.quarantines.banned_for(request.fingerprint, now)
        if banned:
            return self.refuse(request, refusals.quarantined(request, banned))
        key = request.pool = self.routing.key_of(request)
        if not self.selections.is_known(request):
            return self.refuse(request, refusals.no_target(request))
        queue = self.admissions.queue(key)
        if not len(queue):
            placed = self.place(request, now)
            if placed:
                share, weight = weights_of(request, self.configuration())
                cost = self.selections.run_seconds(request)
                queue.charge(request, share=share, weight=weight, cost=cost)
                return placed
        return self.enqueue(request, now)

    def enqueue(self, request: Request, now: float) -> list[Action]:
        """Makes a request wait for a slot unless that is of no use."""
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

    def place(self, request: Request, now: float) -> list[Action]:
        """Starts an attempt where a slot is free; returns no action else."""
        if not self.admits(request, now):
            return []
        chain = self.selections.select(request, now)
        return self.dispatch(request, chain, now) if chain else []

    def admits(self, request: Request, now: float) -> bool:
        """Tells whether the neighbour's share allows a start.

        A request that has already used work goes on, and services do not use
        the pooled accelerators.
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

    def start(self, event: AttemptStarted, now: float) -> list[Action]:
        """Notes the first token of a running attempt."""
        request, attempt = self.find(event.request_id, event.attempt)
        if attempt is not None and attempt.started_at is None:
            request.state = RequestState.STARTED
            attempt.started_at = now
            self.attempts.note_started(request, attempt, now)
        return []

    def succeed(self, event: AttemptSucceeded, now: float) -> list[Action]:
        """Ends a request whose answer is complete."""
        request, attempt = self.find(event.request_id, event.attempt)
        if attempt is None:
            return []
        actions = self.attempts.complete(request, attempt, event, now)
        actions += self.cancel(request, now)
        request.state = RequestState.DONE
        self.requests.remove(request.request_id)
        actions.insert(0, Finish(request_id=request.request_id))
        return actions + self.drain(request.pool, now)

    def fail(self, event: AttemptFailed, now: float) -> list[Action]:
        """Moves or refuses a request by what is known of its attempt."""
        request, attempt = self.find(event.request_id, event.attempt)
        if attempt is None:
            return []
        if attempt.started_at is not None:
            # An attempt that answered has run, whatever the host says later.
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
            actions += self.move(request, attempt, event, now)
        return actions + self.drain(request.pool, now)

    def note_crash(
        self,
        attempt: Attempt,
        event: AttemptFailed,
        now: float,
    ) -> list[Action]:
        """Reports a crash with all requests that ran on the target."""
        incarnation = 0
        for hop, number in zip(
            attempt.chain, attempt.incarnations, strict=True
        ):
            if hop.target_id == event.target_id:
                incarnation = number
        running = self.attempts.running.get(event.target_id, ())
        rows = [self.requests.get(request_id) for request_id in running]
        # An attempt that was sent to a dead target cannot have crashed it;
        # a middlebox may accept its connection and then reset it.
        died_at = self.quarantines.died_at(
            target_id=event.target_id, incarnation=incarnation
        )
        rows = [
            row
            for row in rows
            if row and (died_at is None or row.current.dispatched_at <= died_at)
        ]
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

    def move(
        self,
        request: Request,
        attempt: Attempt,
        event: AttemptFailed,
        now: float,
    ) -> list[Action]:
        """Starts the next attempt, or refuses, after a failed one."""
        refusal = event.refusal or self.retries.judge(
            request,
            event,
            banned=self.quarantines.banned_for(request.fingerprint, now),
        )
        if refusal is not None:
            return self.refuse(request, refusal)
        hops = self.selections.replacement(
            request, failed_target_id=event.target_id, now=now
        )
        if hops is not None:
            return self.replace(request, attempt, event, hops, now)
        chain = self.choose_other(request, attempt, event, now)
        if chain is not None:
            return self.dispatch(request, chain, now)
        if not self.selections.is_servable(request, now):
            return self.refuse(request, refusals.no_target(request))
        request.state = RequestState.QUEUED
        self.retries.delay(
            request.request_id, failures=len(request.attempts), now=now
        )
        return []

    def choose_other(
        self,
        request: Request,
        attempt: Attempt,
        event: AttemptFailed,
        now: float,
    ) -> tuple[Hop, ...] | None:
        """Returns a chain without the failed targets, or None.

        A target that has just failed the request gets it again only after the
        back-off; at once it would fail it as often as retries are allowed.
        """
        if not self.admits(request, now):
            return None
        failed = request.tried
        if len(attempt.chain) > 1:
            failed = {event.target_id}
        chain = self.selections.select(request, now)
        names = {hop.target_id for hop in chain or ()}
        return None if names & failed else chain

    def replace(
        self,
        request: Request,
        attempt: Attempt,
        event: AttemptFailed | StageDegraded,
        hops: tuple[Hop, ...],
        now: float,
    ) -> list[Action]:
        """Starts an attempt that keeps all hops but the failed one."""
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

    def replace_slow_stage(
        self, event: StageDegraded, now: float
    ) -> list[Action]:
        """Replaces a slow stage where another target can run its layers."""
        request, attempt = self.find(event.request_id, event.attempt)
        if attempt is None:
            return []
        hops = self.selections.replacement(
            request, failed_target_id=event.target_id, now=now
        )
        if hops is None:
            return []
        actions = self.attempts.end(request, attempt, now)
        return actions + self.replace(request, attempt, event, hops, now)

    def abandon(self, event: CallerGone, now: float) -> list[Action]:
        """Cancels the work of a caller that closed its connection."""
        request = self.requests.get(event.request_id)
        if request is None:
            return []
        self.requests.remove(request.request_id)
        self.admissions.remove(request.request_id, request.pool)
        actions = self.cancel(request, now)
        return actions + self.drain(request.pool, now)

    def cancel(self, request: Request, now: float) -> list[Action]:
        """Cancels all running attempts of a request."""
        actions: list[Action] = []
        for attempt in request.live:
            actions.append(
                CancelAttempt(
                    request_id=request.request_id, attempt=attempt.number
                )
            )
            actions += self.attempts.end(request, attempt, now)
        return actions

    def refuse(self, request: Request, refusal: Refusal) -> list[Action]:
        """Ends a request that has no running attempt with a refusal."""
        request.state = RequestState.REFUSED
        self.requests.remove(request.request_id)
        self.admissions.remove(request.request_id, request.pool)
        return [Refuse(request_id=request.request_id, refusal=refusal)]

    def find(
        self, request_id: str, number: int
    ) -> tuple[Request | None, Attempt | None]:
        """Returns a request and its running attempt of a number."""
        request = self.requests.get(request_id)
        if request is None or not 1 <= number <= len(request.attempts):
            return request, None
        attempt = request.attempts[number - 1]
        return request, attempt if attempt.live else None

    def give_up(self, request_id: str, number: int, now: float) -> list[Action]:
        """Moves a request whose target has not started to answer."""
        _, attempt = self.find(request_id, number)
        if attempt is None or attempt.started_at is not None:
            return []
        cancel = CancelAttempt(request_id=request_id, attempt=number)
        silent = AttemptFailed(
            request_id=request_id,
            attempt=number,
            target_id=attempt.chain[0].target_id,
            provenance=Provenance.UNKNOWN,
            reason="no answer within the expected time",
        )
        return [cancel, *self.fail(silent, now)]

    def stop_suspects(
        self, fingerprints: Collection[str], crashed: str, now: float
    ) -> list[Action]:
        """Restarts suspects, except on a crashed target, or refuses them."""
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
        """Refuses requests that are late or that no target can serve."""
        actions: list[Action] = []
        for request, refusal in self.expirations.due(now):
            actions += self.cancel(request, now)
            actions += self.refuse(request, refusal)
        return actions

    def drain(self, key: PoolKey | None, now: float) -> list[Action]:
        """Starts waiting requests of a pool while it has free slots."""
        actions: list[Action] = []
        queue = self.admissions.queues.get(key)
        if queue is None:
            return actions

        def place(request: Request) -> bool:
            started = self.place(request, now)
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
        """Asks a second target for a whole answer that is late."""
        request, attempt = self.find(request_id, number)
        if attempt is None or len(request.live) > 1:
            return []
        if len(self.admissions.queue(request.pool)):
            return []
        target = self.selections.hedge_target(request, now)
        if target is None or not self.hedges.budget.spend():
            return []
        return self.dispatch(request, (hop_of(target),), now)
