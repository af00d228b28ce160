"""What became of an attempt, and how a call without an answer ends."""

import dataclasses
import random as randoms

from rattanroute.gateway.calls import Call
from rattanroute.gateway.terms import HeaderCodec
from rattanroute.http1.heads import ResponseHead
from rattanroute.logs import get_logger

# Parts of the time left after which a caller comes back. Callers have few tries
# and honour at most a third of the time that they have left; the later they
# return, the more of a burst or of a repair is over. The spread keeps those
# who were refused together from returning together.
MIN_RETRY_PART = 0.1
MAX_RETRY_PART = 0.3
MIN_RETRY_SECONDS = 0.1

log = get_logger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """A target answered; the request ran."""

    head: ResponseHead
    body: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The request certainly did not run at the target."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The request may have run.

    Attributes:
        reason: What is known of the end.
        timed_out: Whether its time ended.
        progress_s: Seconds from the first event of a stream to the end.
    """

    reason: str
    timed_out: bool = False
    progress_s: float = 0.0


Outcome = Answered | NotRun | Unknown


@dataclasses.dataclass(kw_only=True, slots=True)
class CallEnder:
    """Ends calls: logs the outcome and answers those without an answer.

    Attributes:
        codec: Headers of the deployment.
        random: Spreads the times to come back.
    """

    codec: HeaderCodec
    random: randoms.Random

    def refuse(
        self,
        call: Call,
        reason: str,
        *,
        timed_out: bool,
        free_at: float | None = None,
    ) -> None:
        """Ends a call that no target answered.

        Only a call that certainly did not run is told so.

        Args:
            call: The call.
            reason: Why no target answered it.
            timed_out: Whether its time ended.
            free_at: Time at which the first target takes work again, when all
                want none for a while.
        """
        exchange = call.exchange
        if exchange.disconnected:
            self.log(call, 0, "caller left")
            return
        if exchange.started:
            exchange.abort()
            self.log(call, 0, reason)
            return
        retry_after_s = None
        if not call.may_have_run:
            status = 503
            retry_after_s = self.choose_return(call, free_at)
        else:
            status = 504 if timed_out else 502
        exchange.send(
            self.codec.build_refusal(
                status=status,
                request_id=call.terms.request_id,
                retry_after_s=retry_after_s,
            )
        )
        self.log(call, status, reason)

    def choose_return(self, call: Call, free_at: float | None) -> float:
        """Returns after how many seconds a refused caller should come back."""
        now = call.exchange.connection.loop.time()
        left = call.time_left(now)
        part = self.random.uniform(MIN_RETRY_PART, MAX_RETRY_PART)
        seconds = max(MIN_RETRY_SECONDS, part * left)
        if free_at is not None:
            # Callers that were refused together return spread out after it.
            spread = self.random.uniform(0, MIN_RETRY_PART) * left
            seconds = max(seconds, free_at - now + spread)
        return seconds

    def log(self, call: Call, status: int, reason: str) -> None:
        """Writes the line of a call that ended."""
        now = call.exchange.connection.loop.time()
        log.info(
            "request ended",
            request_id=call.terms.request_id,
            status=status,
            reason=reason,
            route=call.route.name,
            revision=call.revision,
            service=call.service.name,
            sends=call.sends,
            targets=",".join(call.targets),
            failures=";".join(call.failures),
            waited=call.waited_s,
            first_event=call.first_event_s,
            longest_gap=call.longest_gap_s,
            seconds=now - call.exchange.received_at,
        )
