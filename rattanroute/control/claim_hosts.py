"""Host of the claim system: waits for verdicts and keeps the claims file."""

import asyncio
from collections.abc import Callable
import time

from rattanroute.actions import Action
from rattanroute.actions import AnswerStored
from rattanroute.actions import Claimed
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

    Args:
        settings: Settings of the daemon.
        execute: Executes the claim system's actions; those for this class come
            back through `take`.
    """

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        execute: Callable[[list[Action]], None],
    ) -> None:
        self.execute = execute
        self.claimed: dict[str, asyncio.Future[Claimed]] = {}
        self.stored: dict[str, asyncio.Future[bool]] = {}
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
        """Returns a journal that syncs the claims file in groups."""
        return Journal(
            file=file,
            snapshot=self.take_snapshot,
            on_synced=self.note_synced,
            on_failed=self.note_failed,
        )

    def take_snapshot(self) -> list[bytes]:
        """Returns the records of a compacted claims file."""
        return self.system.snapshot()

    def note_failed(self) -> None:
        """Stops holding claims that can no longer be made durable."""
        self.system.storage_failed()

    def take(self, action: Action) -> bool:
        """Takes an action of the claim system; returns False for others."""
        if isinstance(action, Claimed):
            resolve(self.claimed, action.request_id, action)
        elif isinstance(action, AnswerStored):
            resolve(self.stored, action.request_id, action.stored)
        elif isinstance(action, PersistClaims):
            self.persist(action)
        else:
            return False
        return True

    def persist(self, action: PersistClaims) -> None:
        """Writes claims to the file; without one they count as kept."""
        if self.journal is not None:
            self.journal.append(action.records, action.ticket)
        else:
            self.note_synced(action.ticket)

    def note_synced(self, ticket: int) -> None:
        """Lets the replies go that waited for a sync."""
        now = time.monotonic()
        self.execute(self.system.persisted(ticket=ticket, now=now))

    async def claim(self, request: Request, content_hash: str) -> Claimed:
        """Claims the key of a request; the system bounds the wait."""
        future = asyncio.get_running_loop().create_future()
        self.claimed[request.request_id] = future
        now = time.monotonic()
        self.execute(
            self.system.claim(
                request=request, content_hash=content_hash, now=now
            )
        )
        return await future

    def release(self, request_id: str) -> None:
        """Gives a claim back whose call certainly did not run."""
        now = time.monotonic()
        self.execute(self.system.release_request(request_id, now))

    def mark_unknown(self, request_id: str) -> None:
        """Leaves a claim whose call may have run."""
        now = time.monotonic()
        self.execute(self.system.mark_unknown(request_id, now))

    async def complete(self, request_id: str, answer: bytes) -> bool:
        """Stores the first answer; returns whether a majority has it."""
        future = asyncio.get_running_loop().create_future()
        self.stored[request_id] = future
        now = time.monotonic()
        actions = self.system.store_answer(request_id, answer, now)
        self.execute(actions)
        if not actions:
            resolve(self.stored, request_id, False)
        return await future

    async def hand_over(self) -> None:
        """Hands the claims of this VM to the other holders."""
        self.execute(self.system.start_handover(time.monotonic()))
        while not self.system.is_handover_finished(time.monotonic()):
            await asyncio.sleep(HANDOVER_POLL_SECONDS)

    async def close(self) -> None:
        """Closes the claims file."""
        if self.journal is not None:
            await self.journal.close()


def resolve(
    futures: dict[str, asyncio.Future[object]], key: str, value: object
) -> None:
    """Gives a result to the one who waits for it, if anyone still does."""
    future = futures.pop(key, None)
    if future is not None and not future.done():
        future.set_result(value)
