"""Runs the claim system: awaits its decisions and writes the claims file."""

import asyncio
from collections.abc import Callable
import time

from rattanroute.actions import Action
from rattanroute.actions import AnswerStored
from rattanroute.actions import ClaimDecision
from rattanroute.actions import PersistClaims
from rattanroute.settings import DaemonSettings
from rattanroute.storage.claim_files import ClaimFile
from rattanroute.storage.journals import Journal
from rattanroute.storage.records import SystemFileAccess
from rattanroute.systems.claims import ClaimSystem
from rattanroute.tables.requests import Request

MILLISECONDS_PER_SECOND = 1000
HANDOVER_POLL_SECONDS = 0.05


class ClaimHost:
    """Claims idempotency keys for the requests of this VM.

    The claim system decides without input or output; this class executes its
    actions and completes the futures of the requests that wait for it.

    Args:
        settings: Settings of the daemon.
        execute: Executes the claim system's actions; passes those meant for
            this class to `try_execute`.
    """

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        execute: Callable[[list[Action]], None],
    ) -> None:
        self.execute = execute
        self.claim_futures: dict[str, asyncio.Future[ClaimDecision]] = {}
        self.answer_futures: dict[str, asyncio.Future[bool]] = {}
        self.journal: Journal | None = None
        restored: list[bytes] | None = None
        if settings.storage.folder is not None:
            file = ClaimFile(settings.storage.folder, files=SystemFileAccess())
            restored = file.restored
            self.journal = self.open_journal(file)
        self.system = ClaimSystem(
            vm_id=settings.vm_id,
            data_centres=settings.data_centres,
            claim_holders=settings.claim_holders,
            created_ms=settings.claim_sets_created_ms,
            started_ms=int(time.time() * MILLISECONDS_PER_SECOND),
            now=time.monotonic(),
            durable=self.journal is not None,
            restored=restored,
        )

    def open_journal(self, file: ClaimFile) -> Journal:
        """Returns a journal that syncs groups of records to the file."""
        return Journal(
            file=file,
            snapshot=self.take_snapshot,
            on_synced=self.handle_synced,
            on_failed=self.handle_storage_failure,
        )

    def take_snapshot(self) -> list[bytes]:
        """Returns the records of a compacted claims file."""
        return self.system.snapshot()

    def handle_storage_failure(self) -> None:
        """Stops this VM from holding claims that it cannot make durable."""
        self.system.storage_failed()

    def try_execute(self, action: Action) -> bool:
        """Executes a claim system action; returns False for other actions."""
        if isinstance(action, ClaimDecision):
            set_result(self.claim_futures, action.request_id, action)
        elif isinstance(action, AnswerStored):
            set_result(self.answer_futures, action.request_id, action.stored)
        elif isinstance(action, PersistClaims):
            self.persist(action)
        else:
            return False
        return True

    def persist(self, action: PersistClaims) -> None:
        """Writes claims to the file; without a file reports them persisted."""
        if self.journal is not None:
            self.journal.append(action.records, action.ticket)
        else:
            self.handle_synced(action.ticket)

    def handle_synced(self, ticket: int) -> None:
        """Releases the replies that waited for a sync."""
        now = time.monotonic()
        self.execute(self.system.persisted(ticket=ticket, now=now))

    async def claim(self, request: Request, content_hash: str) -> ClaimDecision:
        """Claims the key of a request; the claim system limits the wait."""
        future = asyncio.get_running_loop().create_future()
        self.claim_futures[request.request_id] = future
        now = time.monotonic()
        self.execute(
            self.system.claim(
                request=request, content_hash=content_hash, now=now
            )
        )
        return await future

    def release(self, request_id: str) -> None:
        """Releases the claim of a call that certainly did not run."""
        now = time.monotonic()
        self.execute(self.system.release_request(request_id, now))

    def mark_unknown(self, request_id: str) -> None:
        """Records that the outcome of a claimed call is unknown."""
        now = time.monotonic()
        self.execute(self.system.mark_unknown(request_id, now))

    async def complete(self, request_id: str, answer: bytes) -> bool:
        """Stores the first answer; returns whether a majority stored it."""
        future = asyncio.get_running_loop().create_future()
        self.answer_futures[request_id] = future
        now = time.monotonic()
        actions = self.system.store_answer(request_id, answer, now)
        self.execute(actions)
        if not actions:
            set_result(self.answer_futures, request_id, False)
        return await future

    async def hand_over(self) -> None:
        """Transfers the claims of this VM to the other holders."""
        self.execute(self.system.start_handover(time.monotonic()))
        while not self.system.is_handover_finished(time.monotonic()):
            await asyncio.sleep(HANDOVER_POLL_SECONDS)

    async def close(self) -> None:
        """Closes the claims file."""
        if self.journal is not None:
            await self.journal.close()


def set_result(
    futures: dict[str, asyncio.Future[object]], key: str, value: object
) -> None:
    """Sets the result of a future and drops it; ignores a missing one."""
    future = futures.pop(key, None)
    if future is not None and not future.done():
        future.set_result(value)
