"""State of the attempts that run on this VM, and their usage records."""

import asyncio
import dataclasses
import time

from rattanroute.actions import Dispatch
from rattanroute.actions import Hop
from rattanroute.actions import ReplaceStage
from rattanroute.tables.requests import Request


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptUsage:
    """Usage of one attempt, for accounting.

    Attributes:
        request: The request.
        attempt: Attempt number at dispatch.
        target_ids: Targets that ran at least a part of the attempt.
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
    """State of a running attempt.

    Attributes:
        dispatch: The action of the core that started the attempt.
        attempt: Attempt number; a replaced stage raises it.
        started: Time of dispatch, in seconds of the monotonic clock.
        scope: Timeout that is rescheduled to end the attempt; None before the
            attempt runs.
        tokens: Tokens that are buffered until the answer is complete, with
            those of a silent attempt that it continues; empty for a stream.
        unreported_tokens: Tokens since the last failure reported to the core.
        total_tokens: Tokens since the dispatch, over all replacements.
        silent: Whether its target has sent no token in time.
        has_started: Whether a token was reported to the core, since the last
            silence if there was one.
        replacements: Hops that replaced failed stages.
        replacement: The core's answer to the latest stage failure; None when
            it replaces no stage.
    """

    dispatch: Dispatch
    attempt: int
    started: float = dataclasses.field(default_factory=time.monotonic)
    scope: asyncio.Timeout | None = None
    tokens: list[str] = dataclasses.field(default_factory=list)
    unreported_tokens: int = 0
    total_tokens: int = 0
    silent: bool = False
    has_started: bool = False
    replacements: list[Hop] = dataclasses.field(default_factory=list)
    replacement: ReplaceStage | None = None

    @property
    def first_target_id(self) -> str:
        """Target of the first hop."""
        return self.dispatch.chain[0].target_id

    @property
    def target_ids(self) -> tuple[str, ...]:
        """All targets that ran a part of the attempt, without repeats."""
        hops = (*self.dispatch.chain, *self.replacements)
        return tuple(dict.fromkeys(hop.target_id for hop in hops))

    def interrupt(self) -> None:
        """Ends the attempt by an immediate timeout."""
        if self.scope is not None:
            self.scope.reschedule(asyncio.get_running_loop().time())

    def count_token(self) -> None:
        """Counts a token of the attempt."""
        self.unreported_tokens += 1
        self.total_tokens += 1
