"""Exchange of engine loads and attempt counts between VMs.

Each VM learns the load that the other VMs put on engines, and their attempts
at services, which count against the shared retry budget, their requests to
targets that name a limit, and their queues of services whose requests have
different ranks.

A voter of each data centre is its aggregator. Each VM sends its own load there
at a short interval, or a longer one while it has none, and receives the load
of all others in response. The aggregators exchange their sums, so traffic
between data centres does not grow with the number of VMs. A VM whose
aggregator does not respond assumes that the others have no load and switches
to the next voter.

The attempts of a VM process that stopped or restarted count until the budget
window has passed, because a restarted VM no longer has them.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

import msgspec

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.loads import AttemptCount
from rattanroute.messages.loads import EngineLoad
from rattanroute.messages.loads import LimitUse
from rattanroute.messages.loads import OtherLoads
from rattanroute.messages.loads import OwnLoads
from rattanroute.messages.loads import ServiceQueue
from rattanroute.systems.retry_budgets import RetryBudget
from rattanroute.systems.target_limits import TargetLimiter
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.service_queues import EXPIRY_SECONDS as QUEUE_SECONDS
from rattanroute.tables.service_queues import QueueCounts
from rattanroute.tables.service_queues import ServiceQueueTable

# Intervals at which a VM with and without load reports to its aggregator.
REPORT_INTERVAL_SECONDS = 0.25
IDLE_REPORT_INTERVAL_SECONDS = 1.0
# The load of a VM or aggregator that has not reported for this long is dropped.
EXPIRY_SECONDS = 2.5
# Interval at which aggregators exchange their sums.
SUM_INTERVAL_SECONDS = 0.25
# A VM without a response for this long switches to another aggregator.
ANSWER_TIMEOUT_SECONDS = 3.0


class MemberRow(Protocol):
    """The fields of a live VM that this system reads."""

    vm_id: str
    data_centre: str
    voter: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class ReportedLoads:
    """The load reported by a VM, or the sums of an aggregator.

    Attributes:
        loads: Load by target.
        attempts: Attempt counts by service.
        vms: Number of VMs that the load comes from.
        received_at: Time at which it was received, in seconds.
        process: Identifies the process of the reporting VM; 0 for sums.
        limits: Requests to targets that name a limit.
        queues: Queues by service and rank.
    """

    loads: dict[str, EngineLoad]
    attempts: tuple[AttemptCount, ...]
    vms: int
    received_at: float
    process: int = 0
    limits: tuple[LimitUse, ...] = ()
    queues: tuple[ServiceQueue, ...] = ()


class LoadSum:
    """Sums the load and attempt counts of several VMs."""

    def __init__(self) -> None:
        self.requests: dict[str, int] = {}
        self.units: dict[str, int] = {}
        self.prompts: dict[str, int] = {}
        self.later: dict[str, int] = {}
        self.firsts: dict[str, int] = {}
        self.repeats: dict[str, int] = {}
        self.recent: dict[str, int] = {}
        self.limits: dict[str, LimitUse] = {}
        self.queues: dict[tuple[str, int], QueueCounts] = {}
        self.vms = 0

    def add(self, report: ReportedLoads, now: float) -> None:
        """Adds the report of a VM or the sums of an aggregator."""
        self.vms += report.vms
        for name, load in report.loads.items():
            self.requests[name] = self.requests.get(name, 0) + load.requests
            self.units[name] = self.units.get(name, 0) + load.cache_units
            self.prompts[name] = self.prompts.get(name, 0) + load.prompt_units
            self.later[name] = self.later.get(name, 0) + load.later_requests
        for count in report.attempts:
            name = count.service
            self.firsts[name] = self.firsts.get(name, 0) + count.firsts
            self.repeats[name] = self.repeats.get(name, 0) + count.repeats
            self.recent[name] = self.recent.get(name, 0) + count.recent
        held_s = now - report.received_at
        if held_s <= QUEUE_SECONDS:
            self.add_queues(report.queues)
        for use in report.limits:
            held = msgspec.structs.replace(use, age_s=use.age_s + held_s)
            known = self.limits.get(use.target_id)
            self.limits[use.target_id] = (
                held if known is None else add_uses(known, held)
            )

    def add_queues(self, queues: tuple[ServiceQueue, ...]) -> None:
        """Adds queues by service and rank."""
        for queue in queues:
            key = (queue.service, queue.priority)
            self.queues.setdefault(key, QueueCounts()).add(queue)

    def build(self, vms: int) -> OtherLoads:
        """Returns the sums as a message.

        Args:
            vms: Number of VMs to state in the message.
        """
        return OtherLoads(
            loads=tuple(
                EngineLoad(
                    target_id=name,
                    requests=count,
                    cache_units=self.units[name],
                    prompt_units=self.prompts[name],
                    later_requests=self.later[name],
                )
                for name, count in self.requests.items()
            ),
            vms=vms,
            attempts=tuple(
                AttemptCount(
                    service=name,
                    firsts=count,
                    repeats=self.repeats[name],
                    recent=self.recent[name],
                )
                for name, count in self.firsts.items()
            ),
            limits=tuple(self.limits.values()),
            queues=tuple(
                ServiceQueue(
                    service=service,
                    priority=priority,
                    waiting=counts.waiting,
                    refused=counts.refused,
                    granted=counts.granted,
                )
                for (service, priority), counts in self.queues.items()
            ),
        )


def add_uses(one: LimitUse, other: LimitUse) -> LimitUse:
    """Returns the sum of two counts, with what the target said last."""
    if one.incarnation != other.incarnation:
        return max(one, other, key=lambda use: use.incarnation)
    newest = min(one, other, key=lambda use: use.age_s)
    return msgspec.structs.replace(
        newest,
        sends=one.sends + other.sends,
        demand=one.demand + other.demand,
    )


class EngineLoadSystem:
    """Reports the load of this VM, or aggregates the reports of others.

    Args:
        vm_id: Identifier of this VM.
        data_centre: Data centre of this VM.
        members: Returns the live VMs, including this one.
        loads: Table of engine loads; None on a VM that serves no clients and
            thus aggregates the reports of others.
        budget: Retry budget that all VMs share; None on a VM that serves no
            clients.
        process: Number that differs between the processes of this VM.
        window_s: Window of the retry budget, in seconds.
        limiter: Keeps the limits that targets name; None on a VM that serves
            no clients.
        queues: Queues of the services whose requests have different ranks;
            None on a VM that serves no clients.
    """

    message_types: tuple[type, ...] = (OwnLoads, OtherLoads)

    def __init__(
        self,
        *,
        vm_id: str,
        data_centre: str,
        members: Callable[[], Iterable[MemberRow]],
        loads: EngineLoadTable | None = None,
        budget: RetryBudget | None = None,
        process: int = 0,
        window_s: float = 0.0,
        limiter: TargetLimiter | None = None,
        queues: ServiceQueueTable | None = None,
    ) -> None:
        self.vm_id = vm_id
        self.process = process
        self.window_s = window_s
        self.data_centre = data_centre
        self.members = members
        self.loads = loads
        self.budget = budget
        self.limiter = limiter
        self.queues = queues
        self.aggregator = ""
        self.next_send_at = 0.0
        self.answered_at = 0.0
        self.reported: dict[str, ReportedLoads] = {}
        self.aggregator_sums: dict[str, ReportedLoads] = {}
        self.ended_processes: list[ReportedLoads] = []
        self.voter_index = 0

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a report, the sums of an aggregator, or its response.

        Args:
            peer: The sending VM.
            message: `OwnLoads` of a VM, or `OtherLoads` of an aggregator.
            now: Current time in seconds.

        Returns:
            The response to a report; nothing for other messages.
        """
        is_own = isinstance(message, OwnLoads)
        report = ReportedLoads(
            loads={load.target_id: load for load in message.loads},
            attempts=message.attempts,
            vms=1 if is_own else message.vms,
            received_at=now,
            process=message.process if is_own else 0,
            limits=message.limits,
            queues=message.queues,
        )
        if is_own:
            known = self.reported.get(peer)
            if known is not None and known.process != report.process:
                self.retain_attempts(known)
            self.reported[peer] = report
            return [SendMessage(peer=peer, message=self.sum_others(peer, now))]
        if self.loads is None:
            self.aggregator_sums[peer] = report
            return []
        self.answered_at = now
        if self.budget is not None:
            self.budget.update_others(
                message.attempts, vms=message.vms, now=now
            )
        if self.limiter is not None:
            self.limiter.take_others(message.limits, now)
        if self.queues is not None and peer == self.aggregator:
            # A former aggregator that was frozen answers with old sums.
            self.queues.take_others(message.queues, now)
        self.loads.take_others(message.loads, message.vms)
        return []

    def sum_others(self, peer: str, now: float) -> OtherLoads:
        """Returns the load of all VMs except one."""
        self.drop_expired(now)
        total = LoadSum()
        for vm_id, report in self.reported.items():
            if vm_id != peer:
                total.add(report, now)
        for report in (*self.aggregator_sums.values(), *self.ended_processes):
            total.add(report, now)
        return total.build(vms=total.vms + 1)

    def sum_reported(self, now: float) -> OtherLoads:
        """Returns the load of the VMs that report to this aggregator."""
        self.drop_expired(now)
        total = LoadSum()
        for report in (*self.reported.values(), *self.ended_processes):
            total.add(report, now)
        return total.build(vms=total.vms)

    def drop_expired(self, now: float) -> None:
        """Drops loads of silent VMs and aggregators, and outdated attempts."""
        for vm_id, report in list(self.aggregator_sums.items()):
            if now - report.received_at > EXPIRY_SECONDS:
                del self.aggregator_sums[vm_id]
        for vm_id, report in list(self.reported.items()):
            if now - report.received_at > EXPIRY_SECONDS:
                self.retain_attempts(self.reported.pop(vm_id))
        self.ended_processes = [
            x
            for x in self.ended_processes
            if now - x.received_at < self.window_s
        ]

    def retain_attempts(self, report: ReportedLoads) -> None:
        """Keeps the attempt counts of an ended process, without its load."""
        if report.attempts:
            attempts = tuple(
                msgspec.structs.replace(count, recent=0)
                for count in report.attempts
            )
            ended = dataclasses.replace(
                report, loads={}, vms=0, limits=(), queues=(), attempts=attempts
            )
            self.ended_processes.append(ended)

    def tick(self, *, now: float) -> list[Action]:
        """Sends the load of this VM, or its sums as an aggregator, when due."""
        if now < self.next_send_at:
            return []
        if self.loads is None:
            return self.send_sums(now)
        own_loads = self.loads.own_loads()
        limits = self.limiter.list_own(now) if self.limiter else ()
        queues = self.queues.count_own(now) if self.queues else ()
        self.next_send_at = now + (
            REPORT_INTERVAL_SECONDS
            if own_loads or limits or queues
            else IDLE_REPORT_INTERVAL_SECONDS
        )
        if now - self.answered_at > ANSWER_TIMEOUT_SECONDS:
            self.voter_index += 1
            self.answered_at = now
            self.loads.take_others((), 1)
        voters = self.list_voters()
        if not voters:
            return []
        self.aggregator = voters[self.voter_index % len(voters)]
        attempts = self.budget.count_own(now) if self.budget else ()
        message = OwnLoads(
            loads=own_loads,
            attempts=attempts,
            process=self.process,
            limits=limits,
            queues=queues,
        )
        return [SendMessage(peer=self.aggregator, message=message)]

    def send_sums(self, now: float) -> list[Action]:
        """Sends the sums of this aggregator to the other voters."""
        self.next_send_at = now + SUM_INTERVAL_SECONDS
        if not self.reported and not self.ended_processes:
            return []
        message = self.sum_reported(now)
        return [
            SendMessage(peer=vm_id, message=message)
            for vm_id in self.list_voters()
            if vm_id != self.vm_id
        ]

    def list_voters(self) -> list[str]:
        """Returns the live voters, those of this data centre first."""
        voters = [x for x in self.members() if x.voter]
        voters.sort(key=lambda x: (x.data_centre != self.data_centre, x.vm_id))
        return [x.vm_id for x in voters]
