"""Builds HTTP responses and stream events from refusals."""

import math
from typing import TypeVar

from aiohttp import web
from expression import Result
import msgspec

from rattanroute.actions import Execution
from rattanroute.actions import Refusal

Value = TypeVar("Value")


class RequestRefusedError(Exception):
    """Raised to end the handling of a request with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def unwrap(result: Result[Value, Refusal]) -> Value:
    """Returns the value of a result.

    Raises:
        RequestRefusedError: If the result is a refusal.
    """
    if result.is_error():
        raise RequestRefusedError(result.error)
    return result.ok


def build_refusal_body(refusal: Refusal, request_id: str) -> dict[str, object]:
    """Returns the JSON body of a refusal."""
    return {
        "error": {
            "type": refusal.type,
            "message": refusal.message,
            "execution": refusal.execution.value,
            "retry_after_s": refusal.retry_after_s,
            "request_id": request_id,
        }
    }


def build_refusal_response(
    refusal: Refusal, request_id: str, headers: dict[str, str]
) -> web.Response:
    """Builds the HTTP response of a refusal.

    `Retry-After` is sent if the refusal has one, rounded up to whole seconds.
    """
    headers = dict(headers)
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return web.Response(
        status=refusal.status,
        body=msgspec.json.encode(build_refusal_body(refusal, request_id)),
        content_type="application/json",
        headers=headers,
    )


def build_refusal_event(refusal: Refusal, request_id: str) -> bytes:
    """Builds the event that ends a broken stream with a refusal."""
    body = msgspec.json.encode(build_refusal_body(refusal, request_id))
    return b"event: error\ndata: " + body + b"\n\n"


UNAUTHENTICATED = Refusal(
    type="unauthenticated",
    message="the bearer key is missing or unknown",
    status=401,
)
NOT_READY = Refusal(
    type="not_ready",
    message="this VM has no current configuration yet",
    status=503,
    retry_after_s=1.0,
)
NOT_CURRENT = Refusal(
    type="not_current",
    message="this VM cannot confirm at present that its configuration is the "
    "newest one, in which the key, model or service does not exist",
    status=503,
    retry_after_s=1.0,
)
STOPPING = Refusal(
    type="stopping",
    message="this VM is shutting down; another VM takes the request",
    status=503,
    retry_after_s=0.5,
)
INTERNAL = Refusal(
    type="internal",
    message="the router failed while it served the request",
    status=500,
    execution=Execution.UNKNOWN,
)
