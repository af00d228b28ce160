"""Builds the metadata of requests that are sent over chains of targets."""

from rattanroute.gateway.calls import Call
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.header_codecs import UpstreamMetadata

# Engines know ten ranks and treat a request without one as rank 5.
LAST_RANK = 9


def build_stream_metadata(
    call: Call,
    chain: tuple[ChainHop, ...],
    *,
    last_event_id: bytes,
    now: float,
) -> UpstreamMetadata:
    """Returns the metadata of an attempt.

    Args:
        call: The call.
        chain: Targets that run the request.
        last_event_id: Last event that the client has; empty before the first.
        now: Time in seconds.
    """
    return UpstreamMetadata(
        target_id=chain[0].target_id,
        time_left_s=call.time_left(now),
        workspace=call.workspace,
        priority=find_rank(call),
        last_event_id=last_event_id,
        chain=chain if call.service.engine is not None else (),
    )


def find_rank(call: Call) -> int | None:
    """Returns the rank of a call at engines; None if all have the same."""
    if not call.ranked:
        return None
    return min(max(call.priority, 0), LAST_RANK)
