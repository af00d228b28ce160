"""Attempts as they run on this VM, and what the accounts get of them."""

import asyncio
import dataclasses
import time

from rattanroute.actions import Dispatch
from rattanroute.actions import Hop
from rattanroute.actions import ReplaceStage
from rattanroute.tables.requests import Request


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptUsage:
    """What one attempt did, for the accounts.

    Attributes:
        request: The request.
        attempt: Attempt number at dispatch.
        target_ids: Targets that ran a part of the attempt.
        tokens_in: Prompt tokens.
        tokens_out: Generated tokens that reached this VM.
        seconds: Time from dispatch to the end of the attempt.
        layers: Layers that ran for each token.
        outcome: "done" or the provenance of the failure.
    """

    request: Request
    attempt: int
    target_ids: tuple[str, ...]
    tokens_in: int
    tokens_out: int
    seconds: float
    layers: int
    outcome: str


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class AttemptRun:
    """An attempt that runs.

    Attributes:
        dispatch: The core's order.
        attempt: Attempt number; it grows with each replaced stage.
        started: Time of dispatch, in seconds of the monotonic clock.
        scope: Ends the attempt when it is rescheduled; None before it runs.
        tokens: Tokens that are kept back until the answer is whole.
        unreported: Tokens since the core was last told of a failure.
        total: Tokens since the dispatch.
        has_started: Whether the core knows of the first token.
        replacements: Hops that replaced failed stages.
        replacement: The core's latest replacement; None for none.
    """

    dispatch: Dispatch
    attempt: int
    started: float = dataclasses.field(default_factory=time.monotonic)
    scope: asyncio.Timeout | None = None
    tokens: list[str] = dataclasses.field(default_factory=list)
    unreported_tokens: int = 0
    total_tokens: int = 0
    has_started: bool = False
    replacements: list[Hop] = dataclasses.field(default_factory=list)
    replacement: ReplaceStage | None = None

    @property
    def first_target_id(self) -> str:
        """Target of the first hop."""
        return self.dispatch.chain[0].target_id

    @property
    def target_ids(self) -> tuple[str, ...]:
        """All targets that ran a part of the attempt."""
        hops = (*self.dispatch.chain, *self.replacements)
        return tuple(dict.fromkeys(hop.target_id for hop in hops))

    def interrupt(self) -> None:
        """Ends the attempt at once."""
        if self.scope is not None:
            self.scope.reschedule(asyncio.get_running_loop().time())

    def count_token(self) -> None:
        """Counts a token of the attempt."""
        self.unreported_tokens += 1
        self.total_tokens += 1
