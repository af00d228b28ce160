"""Parses the headers of callers' requests and checks their bearer keys."""

import hashlib
import re

from aiohttp import web
from expression import Error
from expression import Ok
from expression import Result

from rattanroute.actions import Refusal
from rattanroute.requests.bodies import build_invalid_refusal
from rattanroute.requests.refusals import UNAUTHENTICATED
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.configurations import Workspace

MAX_DEADLINE_SECONDS = 3600.0
MAX_PRIORITY = 9
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")


def hash_key(key: str) -> str:
    """Returns the SHA-256 of a bearer key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_key(http_request: web.Request) -> Result[str, Refusal]:
    """Returns the bearer key of a request."""
    header = http_request.headers.get("Authorization", "")
    scheme, _, key = header.partition(" ")
    if scheme.lower() != "bearer" or not key:
        return Error(UNAUTHENTICATED)
    return Ok(key.strip())


def authenticate(
    key: str, configuration: Configuration
) -> Result[Workspace, Refusal]:
    """Returns the workspace to which a bearer key belongs."""
    name = configuration.workspaces_by_key_hash.get(hash_key(key))
    workspace = configuration.workspaces.get(name) if name else None
    return Ok(workspace) if workspace else Error(UNAUTHENTICATED)


def parse_deadline(
    http_request: web.Request, *, default_s: float
) -> Result[float, Refusal]:
    """Returns the seconds until the caller's deadline, at most an hour."""
    text = http_request.headers.get("X-Deadline-Ms")
    if text is None:
        return Ok(default_s)
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        return Error(
            build_invalid_refusal(
                "X-Deadline-Ms is not a number of milliseconds"
            )
        )
    return Ok(min(int(text) / 1000, MAX_DEADLINE_SECONDS))


def parse_priority(
    http_request: web.Request, workspace: Workspace
) -> Result[int, Refusal]:
    """Returns the priority, at most the default of the workspace."""
    text = http_request.headers.get("X-Priority")
    if text is None:
        return Ok(workspace.priority)
    digit = text.isascii() and text.isdigit() and len(text) == 1
    if not digit or int(text) > MAX_PRIORITY:
        return Error(
            build_invalid_refusal(
                f"X-Priority is not between 0 and {MAX_PRIORITY}"
            )
        )
    return Ok(min(int(text), workspace.priority))


def parse_idempotency_key(http_request: web.Request) -> Result[str, Refusal]:
    """Returns the idempotency key, or an empty string when there is none."""
    key = http_request.headers.get("Idempotency-Key", "")
    if key and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        return Error(
            build_invalid_refusal(
                "Idempotency-Key is not 1 to 200 printable characters"
            )
        )
    return Ok(key)
