"""Outcomes of attempts and the end of calls."""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import random as randoms

from rattanroute.gateway.calls import Call
from rattanroute.gateway.header_codecs import HeaderCodec
from rattanroute.http1.heads import ResponseHead
from rattanroute.logs import get_logger
from rattanroute.systems import retry_delays

# Bounds of `Retry-After` as fractions of the time left. Clients have few
# retries and honour at most a third of their time left; the later they return,
# the more of a burst or a repair is over. The random spread keeps clients that
# were refused together from returning together.
MIN_RETRY_FRACTION = 0.1
MAX_RETRY_FRACTION = 0.3
MIN_RETRY_SECONDS = 0.1

# Status of a request that reached another target than the one it names.
MISDIRECTED = 421

log = get_logger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The target ran the request and answered."""

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
        reason: Why the outcome is unknown.
        timed_out: Whether the attempt timed out.
        progress_s: Seconds from the first event of a stream to its end.
    """

    reason: str
    timed_out: bool = False
    progress_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Superseded:
    """Another attempt of the same request delivers the answer."""


Outcome = Answered | NotRun | Unknown | Superseded


@dataclasses.dataclass(kw_only=True, slots=True)
class CallFinisher:
    """Finishes calls: refuses unanswered ones and logs the outcome.

    Attributes:
        codec: Header codec of the deployment.
        random: Spreads the retry delays.
    """

    codec: HeaderCodec
    random: randoms.Random

    def refuse(
        self,
        call: Call,
        reason: str,
        *,
        timed_out: bool,
        available_at: float | None = None,
        queue_wait_s: float | None = None,
    ) -> None:
        """Ends a call that no target answered.

        The client gets 503 with `Retry-After` only if the request certainly
        did not run; otherwise it gets 502, or 504 after a timeout.

        Args:
            call: The call.
            reason: Why no target answered it.
            timed_out: Whether the call or its last attempt timed out.
            available_at: Time at which the first target accepts work again,
                when all refuse it for a while.
            queue_wait_s: Estimated wait for capacity behind the requests of
                all VMs, if it found none and the wait is known.
        """
        exchange = call.exchange
        if exchange.disconnected:
            self.log_disconnect(call)
            return
        if exchange.started:
            exchange.abort()
            self.log(call, 0, reason)
            return
        retry_after_s = None
        if not call.may_have_run:
            status = 503
            retry_after_s = self.choose_retry_delay(
                call, available_at, queue_wait_s
            )
        else:
            status = 504 if timed_out else 502
        exchange.send(
            self.codec.build_refusal(
                status=status,
                request_id=call.metadata.request_id,
                retry_after_s=retry_after_s,
            )
        )
        self.log(call, status, reason)

    def choose_retry_delay(
        self,
        call: Call,
        available_at: float | None,
        queue_wait_s: float | None = None,
    ) -> float:
        """Returns the seconds after which a refused client should retry.

        The arguments are those of `refuse`.
        """
        now = call.exchange.connection.loop.time()
        remaining_s = call.time_left(now)
        if queue_wait_s is not None:
            return retry_delays.choose_retry_delay(
                queue_wait_s, remaining_s, self.random
            )
        fraction = self.random.uniform(MIN_RETRY_FRACTION, MAX_RETRY_FRACTION)
        seconds = max(MIN_RETRY_SECONDS, fraction * remaining_s)
        if available_at is not None:
            # Spreads the retries of clients that were refused together.
            spread = self.random.uniform(0, MIN_RETRY_FRACTION) * remaining_s
            seconds = max(seconds, available_at - now + spread)
        return seconds

    @contextlib.contextmanager
    def log_disconnects(self, call: Call) -> Iterator[None]:
        """Logs the call if its task is cancelled, as a disconnect does.

        A task that is cancelled at the end of a planned stop still refuses the
        call if no part of an answer was sent.
        """
        try:
            yield
        except asyncio.CancelledError:
            reason = call.exchange.connection.disconnect_reason
            self.refuse(call, reason, timed_out=False)
            raise

    def log_disconnect(self, call: Call) -> None:
        """Logs a call whose connection closed before its answer ended."""
        self.log(call, 0, call.exchange.connection.disconnect_reason)

    def log(self, call: Call, status: int, reason: str) -> None:
        """Logs the outcome of a call."""
        now = call.exchange.connection.loop.time()
        gap = call.longest_gap
        log.info(
            "request ended",
            request_id=call.metadata.request_id,
            status=status,
            reason=reason,
            route=call.route.name,
            revision=call.revision,
            service=call.service.name,
            sends=call.sends,
            targets=",".join(call.targets),
            connections=",".join(call.connections),
            stamp=call.stamp,
            failures=";".join(call.failures),
            hedge=call.hedge or "",
            parts=",".join(call.metadata.shared_parts),
            events=call.events,
            draining=call.exchange.draining_s,
            waited=call.waited_s,
            first_event=call.first_event_s,
            longest_gap=gap.seconds,
            seconds=now - call.exchange.received_at,
            priority=call.priority,
            goal=call.route.goal_s,
            gap_goal=call.route.gap_s,
            spent=call.spent_s,
            first_sent=call.first_sent_s,
            first_waited=call.first_waited_s,
            first_sends=call.first_sends,
            gap_at=gap.began_s,
            gap_sent=gap.sent_s,
            gap_waited=gap.waited_s,
            gap_sends=gap.sends,
            gap_failures=";".join(gap.failures),
            data_centres=",".join(call.data_centres),
        )
