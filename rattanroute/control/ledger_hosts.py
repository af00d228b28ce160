"""Runs the ledger system: writes its file and reports the accounts."""

import asyncio
import collections
from collections.abc import Callable
import time

from rattanroute.actions import Action
from rattanroute.actions import PersistUsages
from rattanroute.logs import get_logger
from rattanroute.requests.attempt_runs import AttemptUsage
from rattanroute.servers.operator_sources import AccountTotal
from rattanroute.servers.operator_sources import ShareUse
from rattanroute.servers.operator_sources import UnsettledTotal
from rattanroute.servers.targets import UsageStatement as UsageBody
from rattanroute.settings import DaemonSettings
from rattanroute.storage.journals import Journal
from rattanroute.storage.ledger_files import LedgerFile
from rattanroute.storage.records import SystemFileAccess
from rattanroute.systems.ledgers import LedgerSystem
from rattanroute.systems.memberships import MembershipSystem
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.usages import parse_tag
from rattanroute.tables.usages import SECONDS_PER_DAY
from rattanroute.tables.usages import TargetStatement
from rattanroute.tables.usages import Usage

MILLISECONDS_PER_SECOND = 1000
# A batch is sent every 0.5 s, and again after 2 s if a holder does not confirm.
FLUSH_LIMIT_SECONDS = 3.0
FLUSH_POLL_SECONDS = 0.05

log = get_logger(__name__)


class LedgerHost:
    """Records the usage of this VM's attempts and reports account totals.

    Args:
        settings: Settings of the daemon.
        membership: The membership system; its voters hold the ledger.
        configuration: Returns the configuration in force.
        execute: Executes the ledger system's actions.
    """

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        membership: MembershipSystem,
        configuration: Callable[[], Configuration],
        execute: Callable[[list[Action]], None],
    ) -> None:
        self.execute = execute
        self.membership = membership
        self.configuration = configuration
        self.journal: Journal | None = None
        restored: list[bytes] | None = None
        holders: tuple[str, ...] = ()
        if settings.storage.voter:
            file = LedgerFile(settings.storage.folder, files=SystemFileAccess())
            restored = file.restored
            holders = (settings.vm_id,)
            self.journal = self.open_journal(file)
        self.system = LedgerSystem(
            vm_id=settings.vm_id,
            started_ms=int(time.time() * MILLISECONDS_PER_SECOND),
            now=time.monotonic(),
            holders=holders,
            restored=restored,
        )

    def open_journal(self, file: LedgerFile) -> Journal:
        """Returns a journal that syncs groups of records to the file."""
        return Journal(
            file=file,
            snapshot=self.take_snapshot,
            on_synced=self.handle_synced,
            on_failed=self.handle_storage_failure,
        )

    def take_snapshot(self) -> list[bytes]:
        """Returns the records of a compacted ledger file."""
        return self.system.snapshot()

    def handle_synced(self, ticket: int) -> None:
        """Releases the confirmations that waited for a sync."""
        now = time.monotonic()
        self.execute(self.system.persisted(ticket=ticket, now=now))

    def handle_storage_failure(self) -> None:
        """Stops this VM from confirming items that it cannot make durable."""
        self.system.storage_failed()

    def try_execute(self, action: Action) -> bool:
        """Executes a ledger system action; returns False for other actions."""
        if not isinstance(action, PersistUsages):
            return False
        if self.journal is not None:
            self.journal.append(action.records, action.ticket)
        return True

    def open(self, request: Request, attempt: int) -> str:
        """Returns the account tag of an attempt that is being dispatched."""
        return self.system.open(
            request_id=request.request_id,
            attempt=attempt,
            neighbour=request.neighbour,
            workspace=request.workspace,
            model=request.model,
            now=time.monotonic(),
        )

    def record(self, usage: AttemptUsage) -> None:
        """Records an attempt that has ended."""
        request = usage.request
        is_service = request.kind is RequestKind.SERVICE
        self.system.record(
            Usage(
                request_id=request.request_id,
                attempt=usage.attempt,
                neighbour=request.neighbour,
                workspace=request.workspace,
                model=request.model,
                tokens_in=usage.tokens_in,
                tokens_out=usage.tokens_out,
                layers=0 if is_service else usage.layers,
                targets=usage.target_ids,
                outcome=usage.outcome,
                max_tokens_out=request.max_tokens,
                elapsed_seconds=usage.seconds,
            ),
            time.monotonic(),
        )

    def receive_statements(
        self, target_id: str, statements: tuple[UsageBody, ...]
    ) -> list[tuple[str, int]]:
        """Records a target's usage statements.

        Returns:
            Request and attempt of each statement that the target may delete.
            A statement without a valid account tag is among them, as it can
            never be recorded.
        """
        return [
            (item.request_id, item.attempt)
            for item in statements
            if parse_tag(item.account) is None
            or self.system.hear(
                TargetStatement(
                    target_id=target_id,
                    request_id=item.request_id,
                    attempt=item.attempt,
                    account=item.account,
                    tokens_in=item.tokens_in,
                    tokens_out=item.tokens_out,
                    seconds=item.seconds,
                    layers=item.layers,
                )
            )
        ]

    def update_holders(self) -> None:
        """Sets the ledger holders to all known voters, also failed ones."""
        voters = sorted(
            member.vm_id for member in self.membership.table if member.voter
        )
        if voters:
            self.system.set_holders(tuple(voters))

    def totals(self) -> list[AccountTotal]:
        """Returns the totals of all days by workspace and model."""
        sums: dict[tuple[str, str, str], collections.Counter[str]] = {}
        for row in self.system.totals():
            name = (row.key.neighbour, row.key.workspace, row.key.model)
            counter = sums.setdefault(name, collections.Counter())
            counter["requests"] += row.amounts.attempts
            counter["tokens_in"] += row.amounts.tokens_in
            counter["tokens_out"] += row.amounts.tokens_out
        return [
            AccountTotal(
                neighbour=neighbour,
                workspace=workspace,
                model=model,
                requests=counter["requests"],
                tokens_in=counter["tokens_in"],
                tokens_out=counter["tokens_out"],
            )
            for (neighbour, workspace, model), counter in sorted(sums.items())
        ]

    def share_uses(self) -> list[ShareUse]:
        """Returns each neighbour's fraction of today's accelerator time."""
        day = int(time.time()) // SECONDS_PER_DAY
        used = self.system.shares(day)
        neighbours = self.configuration().neighbours
        return [
            ShareUse(
                neighbour=name,
                share=neighbours[name].share if name in neighbours else 0.0,
                used=used.get(name, 0.0),
            )
            for name in sorted({*neighbours, *used})
        ]

    def unsettled(self) -> list[UnsettledTotal]:
        """Returns the attempts whose usage may still change, by state."""
        return [
            UnsettledTotal(
                state=state.value,
                attempts=amounts.attempts,
                tokens_in=amounts.tokens_in,
                tokens_out=amounts.tokens_out,
            )
            for state, amounts in self.system.count_states().items()
        ]

    async def flush(self) -> None:
        """Waits until the holders have this VM's items, for a limited time.

        Afterwards they could be lost with this VM. Targets delete the
        statements that it has acknowledged.
        """
        ends_at = time.monotonic() + FLUSH_LIMIT_SECONDS
        sender = self.system.sender
        while sender.pending and sender.holders:
            if time.monotonic() >= ends_at:
                log.warning("usage not confirmed", items=len(sender.pending))
                return
            await asyncio.sleep(FLUSH_POLL_SECONDS)

    async def close(self) -> None:
        """Closes the ledger file."""
        if self.journal is not None:
            await self.journal.close()
