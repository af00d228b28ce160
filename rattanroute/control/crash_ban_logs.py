"""Log lines of the ban system, which itself does no I/O."""

from rattanroute.logs import get_logger
from rattanroute.tables.crash_suspects import CrashSuspect

log = get_logger(__name__)


def log_ban(fingerprint: str, suspect: CrashSuspect) -> None:
    """Logs a new ban on this VM.

    A VM that only received the ban knows few of the crashes.

    Args:
        fingerprint: Fingerprint of the request or part.
        suspect: Its row.
    """
    log.info(
        "request banned",
        fingerprint=fingerprint,
        part=suspect.is_part,
        crashes=len(suspect.crashes),
        requests=suspect.count_requests(),
        companions=",".join(sorted(suspect.companions)),
    )
