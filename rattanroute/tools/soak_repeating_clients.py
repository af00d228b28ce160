"""Soak clients that repeat a failed request under the same identifier."""

import dataclasses
import random as randoms

from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import Machine
from rattanroute.tools.soak_clients import FrontSelector
from rattanroute.tools.soak_clients import SoakClient
from rattanroute.tools.soak_records import Attempt
from rattanroute.tools.soak_records import AttemptOutcome
from rattanroute.tools.soak_records import SoakLog

REPEATING_CLIENT = "repeating"
REPEATING_CLIENTS_PER_ZONE = 2
# Longest delay before a repeat without `Retry-After`; short, so that no other
# request uses the connection on which a second answer is due in the meantime.
MAX_REPEAT_SECONDS = 0.01


@dataclasses.dataclass(kw_only=True)
class RepeatingClient(SoakClient):
    """Repeats failed requests under one identifier at the same front.

    It numbers its tries, so that the replicas' records tell them apart, and
    keeps its connection after a complete answer of any status.

    Attributes:
        call_number: Number of the current request.
        tries: Tries of that request so far.
    """

    kept_outcomes: frozenset[AttemptOutcome] = frozenset(
        {AttemptOutcome.COMPLETE, AttemptOutcome.REFUSED}
    )
    call_number: int = 0
    tries: int = 0

    async def send_with_retries(self, kind: CallKind) -> None:
        """Sends a request and repeats it where its kind allows that."""
        self.call_number = next(self.numbers)
        self.tries = 0
        await super().send_with_retries(kind)

    def build_identifier(self) -> str:
        """Returns the identifier of all tries of the current request."""
        return f"{self.name}-{self.call_number}"

    def start_attempt(
        self, kind: CallKind, expected_events: int, time_left_s: float
    ) -> Attempt:
        """Returns a numbered try of the current request."""
        attempt = super().start_attempt(kind, expected_events, time_left_s)
        self.tries += 1
        attempt.try_number = self.tries
        return attempt

    def draw_retry_delay(self) -> float:
        """Returns the delay before a try that no answer puts off."""
        return MAX_REPEAT_SECONDS * self.random.random()

    def choose_front(self) -> Machine | None:
        """Returns the front of the earlier tries while it is ready."""
        if (
            self.tries
            and self.front is not None
            and self.front_selector.is_ready(self.front)
        ):
            return self.front
        return super().choose_front()


def build_repeating_clients(
    seed: int,
    *,
    zones: tuple[str, ...],
    front_selector: FrontSelector,
    log: SoakLog,
    parts: tuple[str, ...],
) -> list[SoakClient]:
    """Builds the repeating clients of all zones.

    Args:
        seed: Seed of the traffic.
        zones: The zones.
        front_selector: Chooses fronts for new connections.
        log: Records the attempts.
        parts: Shared parts of the prompts of their streams.
    """
    return [
        RepeatingClient(
            name=f"{zone}-{REPEATING_CLIENT}-{i}",
            zone=zone,
            front_selector=front_selector,
            log=log,
            random=randoms.Random(f"{seed} {zone} {REPEATING_CLIENT} {i}"),
            parts=parts,
        )
        for zone in zones
        for i in range(REPEATING_CLIENTS_PER_ZONE)
    ]
