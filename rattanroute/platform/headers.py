"""Codec of the platform's HTTP headers."""

import re

from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.header_codecs import RequestMetadata
from rattanroute.gateway.header_codecs import UpstreamMetadata
from rattanroute.http1.heads import drop_connection_headers
from rattanroute.http1.heads import Headers
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead

REQUEST_ID = b"Rattanroute-Request-Id"
# Remaining time of the sender in milliseconds, despite the word "deadline".
TIME_LEFT = b"Rattanroute-Request-Deadline"
EXPECTED_TARGET = b"Rattanroute-Expect-Replica"
WORKSPACE = b"Rattanroute-Tenant"
PRIORITY = b"Rattanroute-Request-Priority"
# Prompt tokens and maximum answer tokens, separated by a comma.
TOKENS = b"Rattanroute-Token-Count"
ANSWER_ESTIMATE = b"Rattanroute-Length-Hint"
# All parts of the prompt, not only a prefix, as `ID:TOKENS` with hexadecimal
# identifiers. The last part belongs to the request or to its session.
PROMPT_PARTS = b"Rattanroute-Prompt-Prefix"
# Targets of the chain with the layers of each, despite the word "count".
CHAIN = b"Rattanroute-Hop-Count"
STAMP = b"Rattanroute-Replica-Stamp"
NOT_RUN = b"Rattanroute-Not-Executed"
TARGET_ID = b"Rattanroute-Replica-Id"
FAULTY_TARGET = b"At-Server"
LAST_EVENT = b"Last-Event-Id"
# "1" in each answer of a replica that is shutting down.
LEAVING = b"Server-Leaving"
RETRY_AFTER = b"Retry-After"
# Requests per second that a replica takes from all machines together. It holds
# until an answer of the replica comes without it.
LIMIT = b"Server-Limit"
BEARER = "bearer "
HEXADECIMAL = re.compile(rb"[0-9a-f]+")

# Headers of a client that are not copied into the request to a target: the
# router sets its own, and the key must not reach a target.
NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        TIME_LEFT,
        EXPECTED_TARGET,
        WORKSPACE,
        PRIORITY,
        CHAIN,
        b"Content-Length",
        b"Authorization",
    )
)
MILLISECONDS = 1000
# Limit the memory for the parts of a prompt; further parts are ignored.
MAX_SHARED_PARTS = 16
MAX_PART_ID_BYTES = 64
SERVICE_UNAVAILABLE = 503


class PlatformHeaderCodec:
    """Reads and writes the headers of requests and answers."""

    def read_request(self, head: RequestHead) -> RequestMetadata:
        """Decodes the metadata of a client's request."""
        values = {name.lower(): value for name, value in head.headers}
        prompt, answer = parse_token_counts(values.get(TOKENS.lower(), b""))
        estimate = parse_number(values.get(ANSWER_ESTIMATE.lower(), b""))
        time_left = parse_number(values.get(TIME_LEFT.lower(), b""))
        return RequestMetadata(
            request_id=values.get(REQUEST_ID.lower(), b"").decode("latin-1"),
            host=parse_host(values.get(b"host", b"")),
            time_left_s=None if time_left is None else time_left / MILLISECONDS,
            key=parse_bearer_key(values.get(b"authorization", b"")),
            prompt_tokens=prompt,
            max_answer_tokens=answer,
            answer_estimate=None if estimate is None else int(estimate),
            last_event_id=values.get(LAST_EVENT.lower(), b""),
            shared_parts=parse_shared_parts(
                values.get(PROMPT_PARTS.lower(), b"")
            ),
        )

    def build_request(
        self, head: RequestHead, upstream: UpstreamMetadata
    ) -> RequestHead:
        """Returns the head of the request to a target."""
        dropped = {*NOT_FORWARDED, REQUEST_ID.lower()}
        if upstream.last_event_id:
            dropped.add(LAST_EVENT.lower())
        headers: Headers = [
            item
            for item in drop_connection_headers(head.headers)
            if item[0].lower() not in dropped
        ]
        # A target may use the first of several identifiers, but the answer is
        # expected under the last one. `Connection` must not remove it.
        identifiers = list_identifiers(head)
        headers += [(REQUEST_ID, value) for value in identifiers[-1:]]
        left_ms = max(1, int(upstream.time_left_s * MILLISECONDS))
        headers.append((TIME_LEFT, b"%d" % left_ms))
        headers.append((EXPECTED_TARGET, upstream.target_id.encode()))
        if upstream.workspace:
            headers.append((WORKSPACE, upstream.workspace.encode()))
        if upstream.last_event_id:
            headers.append((LAST_EVENT, upstream.last_event_id))
        if upstream.priority is not None:
            headers.append((PRIORITY, b"%d" % upstream.priority))
        if upstream.chain:
            headers.append((CHAIN, encode_chain(upstream.chain)))
        return RequestHead(
            method=head.method, target=head.target, headers=headers
        )

    def read_answer(self, head: ResponseHead) -> AnswerMetadata:
        """Decodes the metadata of a target's answer."""
        return read_answer(head)

    def build_answer(self, head: ResponseHead) -> ResponseHead:
        """Returns the head of the answer to the client."""
        return ResponseHead(
            status=head.status,
            reason=head.reason,
            headers=[
                item
                for item in drop_connection_headers(head.headers)
                if item[0].lower() != b"content-length"
            ],
        )

    def build_refusal(
        self, *, status: int, request_id: str, retry_after_s: float | None
    ) -> ResponseHead:
        """Returns the head of an answer by the router itself."""
        headers: Headers = []
        if request_id:
            headers.append((REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.2f" % retry_after_s))
        return ResponseHead(status=status, headers=headers)


def list_identifiers(head: RequestHead) -> list[bytes]:
    """Returns all identifiers that a client's request has."""
    name = REQUEST_ID.lower()
    return [value for key, value in head.headers if key.lower() == name]


def read_answer(head: ResponseHead) -> AnswerMetadata:
    """Decodes the metadata of a target's answer."""
    values = {name.lower(): value for name, value in head.headers}
    return AnswerMetadata(
        request_id=values.get(REQUEST_ID.lower(), b"").decode("latin-1"),
        stamp=decode_stamp(values.get(STAMP.lower())),
        not_run=NOT_RUN.lower() in values,
        encoded=b"content-encoding" in values,
        target_id=values.get(TARGET_ID.lower(), b"").decode("latin-1"),
        faulty_address=values.get(FAULTY_TARGET.lower(), b"").decode("latin-1"),
        leaving=values.get(LEAVING.lower(), b"").strip() == b"1",
        pause_s=(
            parse_number(values.get(RETRY_AFTER.lower(), b""))
            if head.status == SERVICE_UNAVAILABLE
            else None
        ),
        limit_per_s=parse_number(values.get(LIMIT.lower(), b"")),
    )


def decode_stamp(value: bytes | None) -> str | None:
    """Returns a target's signature; None if there is none."""
    return None if value is None else value.decode("latin-1")


def parse_number(value: bytes) -> float | None:
    """Returns a finite number of at least 0; None if the value is none."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def parse_token_counts(value: bytes) -> tuple[int, int]:
    """Returns the prompt and maximum answer tokens; 0 if not stated."""
    prompt, _, answer = value.partition(b",")
    return int(parse_number(prompt) or 0), int(parse_number(answer) or 0)


def parse_shared_parts(value: bytes) -> tuple[str, ...]:
    """Returns the identifiers of all parts of a prompt but the last one.

    Malformed identifiers are left out.
    """
    *shared, _ = value.lower().split(b",")
    identifiers = (part.partition(b":")[0].strip() for part in shared)
    return tuple(
        identifier.decode()
        for identifier in identifiers
        if len(identifier) <= MAX_PART_ID_BYTES
        and HEXADECIMAL.fullmatch(identifier)
    )[:MAX_SHARED_PARTS]


def parse_host(value: bytes) -> str:
    """Returns the host in lower case without its port."""
    return value.decode("latin-1").partition(":")[0].strip().lower()


def parse_bearer_key(value: bytes) -> str:
    """Returns the bearer key; empty if there is none."""
    text = value.decode("latin-1")
    if text[: len(BEARER)].lower() != BEARER:
        return ""
    return text[len(BEARER) :].strip()


def encode_chain(chain: tuple[ChainHop, ...]) -> bytes:
    """Encodes a chain as `address=first-end`, with an exclusive end."""
    return ",".join(
        f"{hop.address}={hop.first_layer}-{hop.end_layer}" for hop in chain
    ).encode()
