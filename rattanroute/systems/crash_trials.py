"""Trials of requests and parts of prompts whose ban has ended.

A ban ends on all VMs at the same time, and the requests that it refused come at
all of them. Each VM therefore sends them again at a time of its own, one at a
time, until an answer clears the suspect or a crash bans it again.
"""

import xxhash

from rattanroute.tables.crash_suspects import CrashSuspect

# Time after the end of a ban within which the VMs send such requests again, one
# VM after the other.
TRIAL_SPREAD_SECONDS = 30.0
# A VM sends the next such request after this time. The verdict on a lost
# attempt takes up to about 3 s.
TRIAL_SECONDS = 3.0
HASH_BITS = 64


def find_trial_start(vm_id: str, fingerprint: str, row: CrashSuspect) -> float:
    """Returns the time at which a VM sends requests again after a ban.

    Args:
        vm_id: Identifier of the VM.
        fingerprint: Fingerprint of the suspect.
        row: Its row.
    """
    digest = xxhash.xxh3_64_intdigest(f"{vm_id} {fingerprint}".encode())
    fraction = digest / 2**HASH_BITS
    return row.banned_until + fraction * TRIAL_SPREAD_SECONDS


def refuse_until(
    vm_id: str, fingerprint: str, row: CrashSuspect, request: str, now: float
) -> float | None:
    """Returns the time until which a VM refuses a request of a suspect.

    Starts a trial with the request if it is not refused after a ban.

    Args:
        vm_id: Identifier of the VM.
        fingerprint: Fingerprint of the suspect.
        row: Its row.
        request: Fingerprint of the request.
        now: Time in seconds.

    Returns:
        The time in seconds; None if the request may be sent.
    """
    if row.banned_until > now:
        return row.banned_until
    if not row.banned_until:
        return None
    starts_at = find_trial_start(vm_id, fingerprint, row)
    if starts_at > now:
        return starts_at
    if row.trial_until > now and row.trial_request != request:
        return row.trial_until
    if row.trial_until <= now:
        row.trial_until = now + TRIAL_SECONDS
        row.trial_request = request
    return None
