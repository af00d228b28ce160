"""Queries the state of targets for the inspection system."""

import asyncio
from collections.abc import Callable
import dataclasses

from rattanroute.actions import Action
from rattanroute.errors import RouterError
from rattanroute.gateway.engine_control_clients import EngineControlClient
from rattanroute.gateway.engine_control_clients import EngineState
from rattanroute.gateway.engine_control_clients import TargetPausedError
from rattanroute.http1.clients import ConnectError
from rattanroute.logs import get_logger
from rattanroute.systems.inspections import InspectionSystem
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetReport
from rattanroute.tasks import wait_for_reply

# A healthy target of the same data centre answers within a few milliseconds.
ANSWER_TIMEOUT_SECONDS = 0.3

log = get_logger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetInspector:
    """Sends the state queries that are due.

    Attributes:
        system: Selects the targets to query and processes the results.
        engine_control: Client for state queries.
        execute: Executes the actions of the system.
        on_leaving: Called with the report of a target that announces its
            departure.
        tasks: Queries that are still running.
    """

    system: InspectionSystem
    engine_control: EngineControlClient
    execute: Callable[[list[Action]], None]
    on_leaving: Callable[[TargetReport], None]
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def run(self) -> None:
        """Queries the targets that are due; called at an interval."""
        now = asyncio.get_running_loop().time()
        for target in self.system.take_due_targets(now):
            task = asyncio.create_task(self.query(target))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def note_closed_connection(self, address: str) -> None:
        """Immediately queries a target that closed a connection."""
        now = asyncio.get_running_loop().time()
        self.system.note_closed_connection(address, now)
        self.run()

    async def query(self, target: Target) -> None:
        """Queries a target once and reports the result to the system."""
        report = target.report
        loop = asyncio.get_running_loop()
        try:
            state = await wait_for_reply(
                self.engine_control.fetch_state(report.address),
                ANSWER_TIMEOUT_SECONDS,
            )
        except TargetPausedError as error:
            self.system.postpone(report.target_id, until=error.until)
            actions = []
        except (RouterError, TimeoutError) as error:
            log.info(
                "target silent",
                target=report.target_id,
                error=str(error) or "timed out",
            )
            actions = self.system.note_missing_answer(
                report.target_id,
                refused=isinstance(error, ConnectError) and error.refused,
                now=loop.time(),
            )
        else:
            actions = self.note_state(report, state)
        self.execute(actions)

    def note_state(
        self, report: TargetReport, state: EngineState
    ) -> list[Action]:
        """Processes the state that was found at a target's address."""
        now = asyncio.get_running_loop().time()
        if state.incarnation > report.incarnation > 0:
            # A later lifetime at the address proves that this one has ended.
            log.info(
                "target replaced at its address",
                target=report.target_id,
                incarnation=report.incarnation,
                found=state.incarnation,
            )
            return self.system.note_missing_answer(
                report.target_id, refused=True, now=now
            )
        if state.leaving and not state.is_of_another(report.incarnation):
            self.on_leaving(report)
        return self.system.note_answer(
            report.target_id,
            pace=state.pace,
            limit_per_s=state.limit_per_s,
            identified=state.incarnation == report.incarnation,
            now=now,
        )
