"""Storage of a voter's crash suspects and bans across restarts.

All processes may stop at the same moment while a client keeps retrying a
request that crashes targets, so the bans must survive restarts. Without a
usable file, bans are kept in memory only.
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
from rattanroute.tables.crash_suspects import CrashSuspect
from rattanroute.tables.suspect_requests import CrashKey

FILE_NAME = "crashbans.log"

log = get_logger(__name__)


class StoredCrash(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Stored form of a crash during a request.

    Attributes:
        target_id: The target that crashed.
        incarnation: Incarnation of the target.
        request_id: The request that it was running.
        at: Wall-clock time of the crash, in seconds since 1970.
        early: Whether the target had only just started the request.
        fingerprint: Fingerprint of the request.
        parts: Fingerprints of the shared parts of its prompt.
        begun: Whether an answer had begun.
    """

    target_id: str
    incarnation: int
    request_id: str
    at: float
    early: bool = True
    fingerprint: str = ""
    parts: tuple[str, ...] = ()
    begun: bool = False


class StoredSuspect(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Stored form of a request or part during which targets crashed.

    Attributes:
        fingerprint: Its fingerprint.
        crashes: The crashes; empty when this voter only received the ban.
        banned_until: Wall-clock end of the ban, in seconds since 1970.
        cleared: Whether it was answered after the crashes.
        is_part: Whether it is a part of a prompt.
        companions: Of a part, the other parts that were in each prompt.
        parts: Of a request, the shared parts of its prompt.
        is_known: Of a part, whether prompts with it were answered lately.
        service_answers: Of a part, whether other prompts to its service were
            answered lately.
    """

    fingerprint: str
    crashes: tuple[StoredCrash, ...] = ()
    banned_until: float = 0.0
    cleared: bool = False
    is_part: bool = False
    companions: tuple[str, ...] = ()
    parts: tuple[str, ...] = ()
    is_known: bool = False
    service_answers: bool = False


DECODER = msgspec.msgpack.Decoder(StoredSuspect)
ENCODER = msgspec.msgpack.Encoder()


class CrashBanStore:
    """Writes a voter's crash suspects to a file and restores them.

    Args:
        folder: Data folder of the voter.
        bans: The crash ban system, which holds the suspects.
        files: File access.
    """

    def __init__(
        self, *, folder: pathlib.Path, bans: CrashBanSystem, files: FileAccess
    ) -> None:
        self.bans = bans
        self.last_ticket = 0
        self.journal: Journal | None = None
        try:
            file = StateFile(folder, FILE_NAME, files=files)
        except StorageError as error:
            log.error(
                "crash bans file cannot be opened, bans are not stored",
                peer=error.peer,
                error=error,
            )
            return
        self.restore(file.restored or [])
        self.journal = Journal(
            file=file,
            snapshot=self.take_snapshot,
            on_synced=lambda ticket: None,
            on_failed=lambda: log.error(
                "crash bans file cannot be written, bans are no longer stored"
            ),
        )
        bans.on_changed = self.store

    def restore(self, records: list[bytes]) -> None:
        """Installs stored suspects; the last record of each one is used."""
        newest: dict[str, StoredSuspect] = {}
        for record in records:
            try:
                stored = DECODER.decode(record)
            except msgspec.DecodeError as error:
                log.error("stored crash ban cannot be decoded", error=error)
                continue
            newest[stored.fingerprint] = stored
        now = time.monotonic()
        offset = time.time() - now
        for stored in newest.values():
            if stored.cleared:
                continue
            crashes = {
                CrashKey(x.target_id, x.incarnation): CrashEvent(
                    # The wall clock may have been set back since.
                    at=min(x.at - offset, now),
                    request_id=x.request_id,
                    early=x.early,
                    fingerprint=x.fingerprint,
                    parts=frozenset(x.parts),
                    begun=x.begun,
                )
                for x in stored.crashes
            }
            suspect = CrashSuspect(
                is_part=stored.is_part,
                crashes=crashes,
                banned_until=stored.banned_until - offset,
                companions=frozenset(stored.companions),
                parts=frozenset(stored.parts),
                is_known=stored.is_known,
                service_answers=stored.service_answers,
            )
            self.bans.restore(stored.fingerprint, suspect, now)
        log.info("crash bans restored", suspects=len(self.bans.suspects))

    def store(self, fingerprint: str) -> None:
        """Appends the current state of a suspect to the file."""
        self.last_ticket += 1
        record = ENCODER.encode(self.build_record(fingerprint))
        self.journal.append((record,), self.last_ticket)

    def build_record(self, fingerprint: str) -> StoredSuspect:
        """Returns the current state of a suspect with wall-clock times."""
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
                    fingerprint=event.fingerprint,
                    parts=tuple(sorted(event.parts)),
                    begun=event.begun,
                )
                for crash, event in row.crashes.items()
            ),
            banned_until=row.banned_until + offset,
            is_part=row.is_part,
            companions=tuple(sorted(row.companions)),
            parts=tuple(sorted(row.parts)),
            is_known=row.is_known,
            service_answers=row.service_answers or row.beside_known,
        )

    def take_snapshot(self) -> list[bytes]:
        """Returns the records of a compacted file."""
        return [
            ENCODER.encode(self.build_record(x))
            for x in self.bans.suspects.rows
        ]

    async def close(self) -> None:
        """Closes the file."""
        if self.journal is not None:
            await self.journal.close()
