"""Finds chains with capacity for calls and counts the load of attempts.

A target of a service without engines is a chain of one hop without layers.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from rattanroute.gateway.calls import Call
from rattanroute.gateway.chain_queues import ChainQueue
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.priority_admissions import PriorityAdmission
from rattanroute.gateway.stream_attempts import StreamAttempt
from rattanroute.gateway.stream_attempts import StreamRun
from rattanroute.gateway.stream_sinks import Shortage
from rattanroute.gateway.target_selectors import LIMIT_POLL_SECONDS
from rattanroute.gateway.target_selectors import MAX_LIMIT_WAIT_SECONDS
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.systems.chain_choices import ChainChooser
from rattanroute.systems.chain_choices import RequestDemand
from rattanroute.systems.target_limits import WINDOW_SECONDS
from rattanroute.systems.wait_queues import MAX_RESUME_WAIT_SECONDS
from rattanroute.systems.wait_queues import MAX_WAIT_SECONDS
from rattanroute.tables.targets import Target


@dataclasses.dataclass(kw_only=True, slots=True)
class ChainFinder:
    """Finds a chain for the next attempt of a call.

    Attributes:
        selector: Health of targets.
        chooser: Selects chains.
        queue: Calls that wait for capacity.
        admission: Ranks of calls, where priorities differ.
    """

    selector: TargetSelector
    chooser: ChainChooser
    queue: ChainQueue = dataclasses.field(default_factory=ChainQueue)
    admission: PriorityAdmission = dataclasses.field(
        default_factory=PriorityAdmission
    )

    def __post_init__(self) -> None:
        self.queue.may_pass = self.admission.may_pass

    async def find_chain(self, run: StreamRun) -> tuple[ChainHop, ...]:
        """Returns a chain with capacity, waiting for a short time if needed.

        A call does not wait if some layers are held by no usable target, or if
        all targets that may still run it are avoided.
        """
        if run.call.service.engine is None:
            return await self.find_target(run)
        now = asyncio.get_running_loop().time()
        call, state, avoided = run.call, run.state, run.avoided
        self.admission.note_search(run)

        def choose() -> tuple[ChainHop, ...]:
            return self.choose_chain(call, avoided, run.demanded)

        first_targets = find_first_targets(call)
        if first_targets is not None and first_targets <= avoided:
            state.shortage = Shortage.TARGETS
            return ()
        service = call.service
        up_to = call.priority if call.ranked else None
        if not self.queue.wait_queue.has_waiting(service.name, up_to):
            chain = choose()
            if chain:
                self.admission.note_granted(run)
                return chain
        if not self.chooser.is_covered(service, excluded=avoided, now=now):
            state.shortage = Shortage.LAYERS
            return ()
        underway = call.exchange.started
        since = state.event_at if underway else call.exchange.received_at
        limit = MAX_RESUME_WAIT_SECONDS if underway else MAX_WAIT_SECONDS
        max_wait_s = min(call.time_left(now), since + limit - now)
        state.shortage = Shortage.ROOM
        if not underway and self.estimate_limit_wait(run) > max_wait_s:
            state.shortage = Shortage.LIMITS
            return ()
        chain = await self.wait_for_room(run, choose, max_wait_s)
        call.waited_s += asyncio.get_running_loop().time() - now
        return chain

    async def wait_for_room(
        self,
        run: StreamRun,
        choose: Callable[[], tuple[ChainHop, ...]],
        max_wait_s: float,
    ) -> tuple[ChainHop, ...]:
        """Returns a chain as soon as one has capacity; empty if none does.

        Args:
            run: The call.
            choose: Returns a chain with capacity; empty if there is none.
            max_wait_s: Maximum wait in seconds.
        """
        call = run.call
        underway = call.exchange.started
        if not call.ranked:
            return await self.queue.wait(
                call, choose, max_wait_s=max_wait_s, underway=underway
            )
        chain: tuple[ChainHop, ...] = ()
        if underway or not self.admission.is_hopeless(
            call, self.queue.wait_queue, max_wait_s
        ):
            queues = self.admission.reservations.queues
            with queues.note_waiting(call.service.name, call.priority):
                chain = await self.queue.wait(
                    call, choose, max_wait_s=max_wait_s, underway=underway
                )
        if chain:
            self.admission.note_granted(run)
        else:
            self.admission.note_refused(call)
        return chain

    async def find_target(self, run: StreamRun) -> tuple[ChainHop, ...]:
        """Returns a target of a service without engines; empty if none.

        A call goes to each target once. If all targets are at the limits that
        they name, it waits for a short time.
        """
        call, state = run.call, run.state
        loop = asyncio.get_running_loop()
        wait_until = min(loop.time() + MAX_LIMIT_WAIT_SECONDS, call.deadline)
        if len(call.possible_runners) >= call.route.max_attempts:
            state.shortage = Shortage.TARGETS
            return ()
        while True:
            now = loop.time()
            target = self.selector.choose(
                call.service.name,
                excluded=find_used_targets(run),
                demanded=run.demanded,
                now=now,
            )
            if target is not None:
                return (build_hop(target),)
            wait_s = self.estimate_limit_wait(run)
            state.shortage = Shortage.LIMITS if wait_s else Shortage.LAYERS
            if not wait_s or now + wait_s > wait_until:
                return ()
            await asyncio.sleep(LIMIT_POLL_SECONDS)

    def estimate_limit_wait(self, run: StreamRun) -> float:
        """Returns the seconds until the limits of targets allow a call.

        The wait is 0 if a target that may be first in a chain names no limit.
        """
        service = run.call.service
        now = asyncio.get_running_loop().time()
        if service.engine is None:
            return self.selector.estimate_limit_wait(
                service.name,
                excluded=find_used_targets(run),
                waiting=0,
                now=now,
            )
        rate = self.chooser.find_limited_rate(
            service, excluded=run.avoided, now=now
        )
        if not rate:
            return 0.0
        ahead = self.queue.wait_queue.count_waiting(service.name)
        return min((ahead + 1) / rate, WINDOW_SECONDS)

    def estimate_queue_wait(self, run: StreamRun) -> float | None:
        """Estimates the wait for capacity of a call that found none.

        Returns:
            The wait in seconds; None if it is unknown, if the call was refused
            for another reason, or if priorities do not differ.
        """
        is_short = run.state.shortage is Shortage.ROOM and not run.rejected
        if run.ban is not None or not is_short:
            return None
        return self.admission.estimate_wait(run.call)

    def choose_chain(
        self, call: Call, avoided: set[str], demanded: set[str]
    ) -> tuple[ChainHop, ...]:
        """Returns a chain that has capacity now; empty if there is none.

        Args:
            call: The call.
            avoided: IDs of targets that must not be used.
            demanded: IDs of the targets with a limit that have counted it.
        """
        now = asyncio.get_running_loop().time()
        self.selector.detections.end_backoffs(now)
        return self.chooser.choose(
            call.service,
            build_demand(call),
            excluded=frozenset(avoided),
            first_targets=find_first_targets(call),
            demanded=demanded,
            first_event_s=call.exchange.received_at + call.route.goal_s - now,
            reservation=self.admission.find_reservation(call, now),
            now=now,
        )

    def count_load(
        self, chain: tuple[ChainHop, ...], tokens: int, sign: int, now: float
    ) -> None:
        """Adds the load of a request to its targets, or subtracts it.

        Args:
            chain: Targets that run the request.
            tokens: Tokens of its prompt and answer.
            sign: 1 to add the load, -1 to subtract it.
            now: Time in seconds.
        """
        targets = self.selector.targets
        for hop in chain:
            layers = hop.end_layer - hop.first_layer
            if layers:
                self.chooser.loads.add(
                    hop.target_id,
                    requests=sign,
                    cache_units=sign * tokens * layers,
                    is_first=hop is chain[0],
                )
            if sign > 0:
                targets.note_dispatch(hop.target_id, now)
            else:
                targets.note_end(hop.target_id, now)

    def describe_data_centres(self, chain: tuple[ChainHop, ...]) -> str:
        """Returns the data centres that a chain passes through, for logs."""
        names: list[str] = []
        for hop in chain:
            target = self.selector.targets.get(hop.target_id)
            name = target.report.data_centre if target is not None else "?"
            if names[-1:] != [name]:
                names.append(name)
        return "+".join(names)

    def add_load(self, attempt: StreamAttempt) -> None:
        """Counts the load of an attempt unless it is counted already."""
        if not attempt.loaded:
            attempt.loaded = True
            now = attempt.sink.loop.time()
            self.count_load(attempt.chain, attempt.tokens, 1, now)
            if attempt.sink.first_event_at is None:
                attempt.prompt_counted = True
                self.count_prompt(attempt, 1)

    def subtract_load(self, attempt: StreamAttempt) -> None:
        """Subtracts the load of an attempt if it is counted."""
        if attempt.loaded:
            attempt.loaded = False
            now = attempt.sink.loop.time()
            self.count_load(attempt.chain, attempt.tokens, -1, now)
        self.note_begun(attempt)

    def note_begun(self, attempt: StreamAttempt) -> None:
        """Subtracts the prompt of an attempt from the unread ones."""
        if attempt.prompt_counted:
            attempt.prompt_counted = False
            self.count_prompt(attempt, -1)

    def count_prompt(self, attempt: StreamAttempt, sign: int) -> None:
        """Adds the prompt of an attempt to the unread ones, or subtracts it."""
        for hop in attempt.chain:
            layers = hop.end_layer - hop.first_layer
            if layers:
                self.chooser.loads.add_prompt(
                    hop.target_id, sign * attempt.prompt_tokens * layers
                )


def find_first_targets(call: Call) -> frozenset[str] | None:
    """Returns the only targets that may still run a call; None if any may."""
    if len(call.possible_runners) < call.route.max_attempts:
        return None
    return frozenset(call.possible_runners)


def find_used_targets(run: StreamRun) -> set[str]:
    """Returns the targets that a call must not be sent to again."""
    return run.avoided | set(run.call.targets)


def build_hop(target: Target) -> ChainHop:
    """Returns a target that runs a request by itself, without layers."""
    report = target.report
    return ChainHop(
        target_id=report.target_id,
        address=report.address,
        first_layer=0,
        end_layer=0,
    )


def build_demand(call: Call) -> RequestDemand:
    """Returns the token counts of a call, with estimates if not stated."""
    metadata = call.metadata
    engine = call.service.engine
    if engine is None:
        return RequestDemand(
            service=call.service.name,
            prompt_tokens=metadata.prompt_tokens,
            answer_tokens=max(1, metadata.max_answer_tokens),
        )
    answer = metadata.answer_estimate or int(engine.typical_answer)
    if metadata.max_answer_tokens:
        answer = min(answer, metadata.max_answer_tokens)
    return RequestDemand(
        service=call.service.name,
        prompt_tokens=metadata.prompt_tokens or int(engine.typical_prompt),
        answer_tokens=max(1, answer),
    )
