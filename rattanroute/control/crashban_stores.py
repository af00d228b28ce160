"""Keeps what a voter knows of requests that crash targets over its restarts.

All programs may end at the same moment, while the caller of such a request
goes on. What cannot be stored is still known while the program runs.
"""

import pathlib
import time

import msgspec

from rattanroute.errors import StorageError
from rattanroute.logs import get_logger
from rattanroute.storage.journals import Journal
from rattanroute.storage.records import FileAccess
from rattanroute.storage.state_files import StateFile
from rattanroute.systems.crash_bans import CrashBanSystem
from rattanroute.tables.crash_suspects import CrashEvent
from rattanroute.tables.suspect_requests import CrashKey

FILE_NAME = "crashbans.log"

log = get_logger(__name__)


class StoredCrash(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A crash under a request.

    Attributes:
        target_id: The target.
        incarnation: Its incarnation.
        request_id: The call that it ran.
        at: Time of day of the crash, in seconds.
        early: Whether the target had only just begun to run it.
    """

    target_id: str
    incarnation: int
    request_id: str
    at: float
    early: bool = True


class StoredSuspect(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A request under which targets crashed.

    Attributes:
        fingerprint: The request's fingerprint.
        crashes: The crashes; empty when this voter was only told of a ban.
        banned_until: Time of day until which it is refused, in seconds.
        cleared: Whether it was answered since.
    """

    fingerprint: str
    crashes: tuple[StoredCrash, ...] = ()
    banned_until: float = 0.0
    cleared: bool = False


DECODER = msgspec.msgpack.Decoder(StoredSuspect)
ENCODER = msgspec.msgpack.Encoder()


class CrashBanStore:
    """Writes the suspects of a voter to a file, and restores them.

    Args:
        folder: Data folder of the voter.
        bans: The suspects.
        files: File access.
    """

    def __init__(
        self, *, folder: pathlib.Path, bans: CrashBanSystem, files: FileAccess
    ) -> None:
        self.bans = bans
        self.tickets = 0
        self.journal: Journal | None = None
        try:
            file = StateFile(folder, FILE_NAME, files=files)
        except StorageError as error:
            log.error("bans not stored", peer=error.peer, error=error)
            return
        self.restore(file.restored or [])
        self.journal = Journal(
            file=file,
            snapshot=self.take_snapshot,
            on_synced=lambda ticket: None,
            on_failed=lambda: log.error("bans no longer stored"),
        )
        bans.on_changed = self.store

    def restore(self, records: list[bytes]) -> None:
        """Takes over what an earlier process stored; the last record counts."""
        newest: dict[str, StoredSuspect] = {}
        for record in records:
            try:
                stored = DECODER.decode(record)
            except msgspec.DecodeError as error:
                log.error("stored ban not read", error=error)
                continue
            newest[stored.fingerprint] = stored
        now = time.monotonic()
        offset = time.time() - now
        for stored in newest.values():
            if stored.cleared:
                continue
            self.bans.restore(
                stored.fingerprint,
                {
                    CrashKey(x.target_id, x.incarnation): CrashEvent(
                        # The time of day may have been set back.
                        at=min(x.at - offset, now),
                        request_id=x.request_id,
                        early=x.early,
                    )
                    for x in stored.crashes
                },
                banned_s=stored.banned_until - offset - now,
                now=now,
            )
        log.info("bans restored", suspects=len(self.bans.suspects))

    def store(self, fingerprint: str) -> None:
        """Writes the present state of a request."""
        self.tickets += 1
        record = ENCODER.encode(self.describe(fingerprint))
        self.journal.append((record,), self.tickets)

    def describe(self, fingerprint: str) -> StoredSuspect:
        """Returns the present state of a request with times of day."""
        row = self.bans.suspects.get(fingerprint)
        if row is None:
            return StoredSuspect(fingerprint=fingerprint, cleared=True)
        offset = time.time() - time.monotonic()
        return StoredSuspect(
            fingerprint=fingerprint,
            crashes=tuple(
                StoredCrash(
                    target_id=crash.target_id,
                    incarnation=crash.incarnation,
                    request_id=event.request_id,
                    at=event.at + offset,
                    early=event.early,
                )
                for crash, event in row.crashes.items()
            ),
            banned_until=row.banned_until + offset,
        )

    def take_snapshot(self) -> list[bytes]:
        """Returns the records that replace a file which has grown."""
        return [
            ENCODER.encode(self.describe(x)) for x in self.bans.suspects.rows
        ]

    async def close(self) -> None:
        """Closes the file."""
        if self.journal is not None:
            await self.journal.close()
