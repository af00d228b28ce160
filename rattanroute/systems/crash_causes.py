"""Finds the suspects that explain a series of crashes.

All requests that a target was running when it crashed are suspects, and so are
the shared parts of the prompts whose answers had not begun. Most of them only
shared the target with the cause. The narrowest suspects that explain the
crashes are the causes: first requests, then parts, those with most crashes
first. The crashes that they explain do not count against the others, so that
few are refused beside the causes.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import heapq

from rattanroute.tables.crash_suspects import CrashSuspect
from rattanroute.tables.crash_suspects import MIN_REQUESTS_OF_PART
from rattanroute.tables.suspect_requests import CrashKey

# Time in which the reports of all VMs on a crash arrive, and those of VMs that
# learn of a suspect part and have seen answers to prompts with it. Parts, and
# requests whose answers had begun, are judged after it: the target may have run
# a likelier cause.
SETTLE_SECONDS = 0.4
# Two consecutive crashes may be a coincidence: a request that shared the first
# target with the cause may have moved to the same second target.
CRASHES_TO_BAN = 3
# The same for a part with which answers began lately. While nothing is
# answered, a popular part is in the crashes of all other causes.
CRASHES_TO_BAN_KNOWN = 2 * CRASHES_TO_BAN
# One crash that no other suspect explains may be a coincidence.
MIN_UNEXPLAINED_CRASHES = 2
# A part that came with a certain other one refuses fewer prompts. It is
# preferred until the other one alone has more crashes than a coincidence.
COMPANION_BONUS = 1.5
# Parts that are compared with each other and with all requests, which takes
# time proportional to the square of their number and to that of requests.
MAX_COMPARED_PARTS = 32


@dataclasses.dataclass(kw_only=True, slots=True)
class JudgeQueue:
    """Suspects whose crashes have not been judged yet.

    Attributes:
        due_at: Times in seconds at which all reports have arrived, by
            fingerprint.
    """

    due_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, fingerprint: str, at: float) -> None:
        """Adds a suspect with a new crash; keeps an earlier time."""
        self.due_at[fingerprint] = min(at, self.due_at.get(fingerprint, at))

    def take_due(self, now: float) -> set[str]:
        """Removes and returns the suspects to judge now."""
        due = {name for name, at in self.due_at.items() if now >= at}
        for name in due:
            del self.due_at[name]
        return due


def is_plausible(suspect: CrashSuspect) -> bool:
    """Returns whether enough crashes speak against a suspect.

    A part of one request only is not blamed: the request explains the crashes
    and its refusal affects nobody else.
    """
    needed = CRASHES_TO_BAN_KNOWN if suspect.is_known else CRASHES_TO_BAN
    if suspect.count() < needed:
        return False
    if not suspect.is_part:
        return True
    return suspect.count_requests() >= MIN_REQUESTS_OF_PART


def find_due_causes(
    suspects: Mapping[str, CrashSuspect], due: Collection[str]
) -> list[str]:
    """Returns the causes among some suspects, compared with all of them."""
    if not any(x in suspects and is_plausible(suspects[x]) for x in due):
        return []
    return [name for name in find_causes(suspects) if name in due]


def list_equal_parts(
    suspects: Mapping[str, CrashSuspect], part: str
) -> list[str]:
    """Returns the parts that only came together with a part.

    They are banned with it, so that the ban goes on when an answer clears one
    of them.
    """
    return [
        name
        for name in suspects[part].companions
        if name in suspects and part in suspects[name].companions
    ]


def find_causes(suspects: Mapping[str, CrashSuspect]) -> list[str]:
    """Returns the fingerprints of the suspects that explain the crashes.

    The narrowest explanations come first, as a popular part is in most crashes
    that anything else causes while nothing is answered: requests, then the
    parts that explain what is left. A request whose crashes a part explains
    better is left to that part. Requests whose answers had begun come last: a
    cause mostly crashes its targets before that.

    Args:
        suspects: The suspects by fingerprint.
    """
    plausible = {
        name: row
        for name, row in suspects.items()
        if len(row.crashes) >= CRASHES_TO_BAN and is_plausible(row)
    }
    parts = select_parts(plausible)
    requests = {k: x for k, x in plausible.items() if not x.is_part}
    causes = [
        name
        for name, row in requests.items()
        if not row.has_begun and not is_generalised(row, parts)
    ]
    explained: set[CrashKey] = set()
    for name in causes:
        explained.update(requests[name].crashes)
    causes += choose_parts(parts, explained)
    causes += [
        name
        for name, row in requests.items()
        if name not in causes
        and row.count(explained) >= MIN_UNEXPLAINED_CRASHES
    ]
    return causes


def select_parts(
    plausible: Mapping[str, CrashSuspect],
) -> dict[str, CrashSuspect]:
    """Returns the parts with most crashes, which are compared."""
    parts = ((name, row) for name, row in plausible.items() if row.is_part)
    return dict(
        heapq.nlargest(MAX_COMPARED_PARTS, parts, key=lambda x: x[1].count())
    )


def is_generalised(
    request: CrashSuspect, parts: Mapping[str, CrashSuspect]
) -> bool:
    """Returns whether a part explains the crashes of a request better.

    That is a part of its prompt that was in more crashes, or another part that
    was in all of its crashes and is in few prompts: a sound request may move
    from one target to the next that such a part crashes.
    """
    for name, part in parts.items():
        if name in request.parts:
            explains = request.crashes.keys() < part.crashes.keys()
        else:
            explains = request.crashes.keys() <= part.crashes.keys()
            explains &= is_narrow(part, request)
        if explains:
            return True
    return False


def is_narrow(part: CrashSuspect, request: CrashSuspect) -> bool:
    """Returns whether a part is not in the prompt of a request for a reason.

    Nobody answered it lately, unlike other parts of its prompts, or it came
    with all parts of the request, which may be answered at any moment.
    """
    if part.beside_known and not part.is_known:
        return True
    if part.is_known or not request.parts:
        return False
    return request.parts <= part.companions


def choose_parts(
    parts: Mapping[str, CrashSuspect], explained: set[CrashKey]
) -> list[str]:
    """Chooses the part that explains most crashes, then the next one.

    Args:
        parts: Plausible parts.
        explained: Crashes that have a cause; those of the chosen parts are
            added.

    Returns:
        The fingerprints of the parts that are causes.
    """
    remaining = dict(parts)
    causes: list[str] = []
    while remaining:
        name = max(remaining, key=lambda x: rank(x, remaining[x], explained))
        row = remaining.pop(name)
        needed = CRASHES_TO_BAN if row.is_known else MIN_UNEXPLAINED_CRASHES
        if row.count(explained) >= needed:
            causes.append(name)
            explained.update(row.crashes)
    return causes


def rank(
    name: str, part: CrashSuspect, explained: Collection[CrashKey]
) -> tuple[bool, float, int, int, int, str]:
    """Returns the key by which the most likely part sorts last.

    Parts with which answers began lately come last. Crashes that count no
    further, as they may have a common cause, still tell parts with equal counts
    apart; then those go first that explain little else.
    """
    score = part.count(explained)
    if part.companions:
        score += COMPANION_BONUS
    crashes = sum(crash not in explained for crash in part.crashes)
    return (
        not part.is_known,
        score,
        crashes,
        -len(part.crashes),
        part.count_requests(),
        name,
    )
