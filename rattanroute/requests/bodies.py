"""Request bodies of callers: size limits, decoding and validation."""

import asyncio

from aiohttp import web
from expression import Error
from expression import Ok
from expression import Result
import msgspec
import pydantic

from rattanroute.actions import Refusal
from rattanroute.requests.body_meters import BodyMeter
from rattanroute.requests.body_meters import find_meter
from rattanroute.requests.body_meters import OVERLOADED

# Memory of a piece of a body besides its content.
PIECE_BYTES = 64
MAX_MESSAGES = 4096
MAX_NAME_CHARACTERS = 128
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 131_072


class ChatMessage(pydantic.BaseModel):
    """One message of a chat."""

    model_config = pydantic.ConfigDict(extra="allow")

    role: str = pydantic.Field(min_length=1, max_length=32)
    content: str


class ChatBody(pydantic.BaseModel):
    """Body of a chat completion in the common format.

    Fields that are not listed are forwarded to the engine unchanged.
    """

    model_config = pydantic.ConfigDict(extra="allow")

    model: str = pydantic.Field(min_length=1, max_length=MAX_NAME_CHARACTERS)
    messages: tuple[ChatMessage, ...] = pydantic.Field(
        min_length=1, max_length=MAX_MESSAGES
    )
    stream: bool = False
    max_tokens: int = pydantic.Field(
        default=DEFAULT_MAX_TOKENS, ge=1, le=MAX_TOKENS_LIMIT
    )
    version: str = pydantic.Field(default="", max_length=MAX_NAME_CHARACTERS)
    adapter: str = pydantic.Field(default="", max_length=MAX_NAME_CHARACTERS)


def build_invalid_refusal(message: str, *, status: int = 400) -> Refusal:
    """Returns the refusal of an invalid request, which is never dispatched."""
    types = {408: "body_timeout", 413: "body_too_large"}
    return Refusal(
        type=types.get(status, "invalid_request"),
        message=message,
        status=status,
    )


def build_too_large_refusal(max_bytes: int) -> Refusal:
    """Returns the refusal of a body above the size limit."""
    return build_invalid_refusal(f"body exceeds {max_bytes} bytes", status=413)


async def read_body(
    http_request: web.Request, *, max_bytes: int, timeout_s: float
) -> Result[bytes, Refusal]:
    """Reads a body of limited size within a time limit.

    It is refused with 503 if the bodies of all clients take too much memory.

    Args:
        http_request: The caller's request.
        max_bytes: Largest accepted size, in bytes.
        timeout_s: Longest time to receive the body, in seconds.
    """
    declared = http_request.content_length
    if declared is not None and declared > max_bytes:
        return Error(build_too_large_refusal(max_bytes))
    meter = find_meter(http_request)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s) as scope:
            meter.start_body(lambda: scope.reschedule(loop.time()))
            result = await receive_body(http_request, max_bytes, meter)
    except TimeoutError:
        if not meter.note_body(0):
            return Error(OVERLOADED)
        message = f"body did not arrive within {timeout_s:g} s"
        return Error(build_invalid_refusal(message, status=408))
    except web.RequestPayloadError as error:
        return Error(build_invalid_refusal(f"body is incomplete: {error}"))
    finally:
        meter.stop_body()
    if result.is_ok() and not meter.finish_body(result.ok):
        return Error(OVERLOADED)
    return result


async def receive_body(
    http_request: web.Request, max_bytes: int, meter: BodyMeter
) -> Result[bytes, Refusal]:
    """Receives a body up to its end, a size or a refusal by the meter."""
    pieces: list[bytes] = []
    size = 0
    async for piece in http_request.content.iter_any():
        pieces.append(piece)
        size += len(piece)
        if size > max_bytes:
            return Error(build_too_large_refusal(max_bytes))
        if not meter.note_body(size + PIECE_BYTES * len(pieces)):
            return Error(OVERLOADED)
    return Ok(b"".join(pieces))


def decode_json(data: bytes, *, max_depth: int) -> Result[object, Refusal]:
    """Decodes JSON and refuses a body that is nested too deeply."""
    try:
        value = msgspec.json.decode(data)
    except RecursionError:
        return Error(
            build_invalid_refusal(
                f"body is nested deeper than {max_depth} levels"
            )
        )
    except msgspec.DecodeError as error:
        return Error(build_invalid_refusal(f"body is not valid JSON: {error}"))
    if is_deeper_than(value, max_depth):
        return Error(
            build_invalid_refusal(
                f"body is nested deeper than {max_depth} levels"
            )
        )
    return Ok(value)


def is_deeper_than(value: object, max_depth: int) -> bool:
    """Returns whether lists and objects are nested deeper than a limit."""
    level = [value]
    for _ in range(max_depth + 1):
        children: list[object] = []
        for item in level:
            if isinstance(item, dict):
                children.extend(item.values())
            elif isinstance(item, list):
                children.extend(item)
        if not children:
            return False
        level = children
    return True


def parse_chat(value: object) -> Result[ChatBody, Refusal]:
    """Validates a chat body; the refusal names up to three wrong fields."""
    try:
        return Ok(ChatBody.model_validate(value))
    except pydantic.ValidationError as error:
        problems = "; ".join(
            ".".join(str(part) for part in problem["loc"])
            + ": "
            + problem["msg"]
            for problem in error.errors()[:3]
        )
        return Error(build_invalid_refusal(problems))
