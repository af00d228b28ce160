"""Estimates waits for capacity from the queues of all VMs.

A stream that found no capacity is told to return when those that wait before
it are expected to have got theirs. An earlier return would only be refused
again.
"""

import math
import random as randoms

from rattanroute.tables.service_queues import QueueCounts

MIN_RETRY_SECONDS = 0.1
# Clients honour at most a third of their time left.
MAX_RETRY_FRACTION = 1 / 3
# Largest random increase of a delay, as a fraction of it. It keeps clients
# that were refused together from returning together.
JITTER = 0.5
# A request does not wait at all if it is expected to wait for this many times
# its longest wait. The estimate is an average of arrivals that vary.
CERTAINTY_FACTOR = 2.0


def estimate_wait(
    sums: dict[int, QueueCounts], priority: int, *, minimum_share: float
) -> float | None:
    """Estimates how long a new request would wait for capacity.

    Requests of its rank and of more urgent ones are served before it. What
    ranks that are more urgent were granted in the last second is not available
    to it, except for its minimum share.

    Args:
        sums: Requests of all VMs by rank.
        priority: Rank of the request.
        minimum_share: Fraction of the granted capacity that each rank may use.

    Returns:
        The wait in seconds; None if nothing was granted in the last second.
    """
    granted = sum(counts.granted for counts in sums.values())
    if not granted:
        return None
    urgent = [counts for rank, counts in sums.items() if rank < priority]
    own = sums.get(priority, QueueCounts())
    left = granted - sum(counts.granted for counts in urgent)
    ahead = own.waiting + sum(counts.waiting for counts in urgent)
    rate = max(left, minimum_share * granted)
    return (ahead + 1) / rate if rate else math.inf


def is_hopeless(wait_s: float | None, max_wait_s: float) -> bool:
    """Returns whether a request certainly gets no capacity in time.

    Args:
        wait_s: Estimated wait in seconds; None if unknown.
        max_wait_s: Longest wait that is of use, in seconds.
    """
    return wait_s is not None and wait_s > CERTAINTY_FACTOR * max_wait_s


def choose_retry_delay(
    wait_s: float, time_left_s: float, random: randoms.Random
) -> float:
    """Returns the seconds after which a refused client should return.

    Args:
        wait_s: Estimated wait for capacity, in seconds.
        time_left_s: Seconds for which the client still waits.
        random: Source of the jitter.
    """
    longest = MAX_RETRY_FRACTION * time_left_s
    if wait_s >= longest:
        # Below the maximum, so that these clients are spread too.
        delay = longest / (1 + JITTER * random.random())
    else:
        delay = min(longest, wait_s * (1 + JITTER * random.random()))
    return max(MIN_RETRY_SECONDS, delay)
