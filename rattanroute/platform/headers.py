"""The platform's headers: decoding and writing them."""

from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.header_codecs import RequestMetadata
from rattanroute.gateway.header_codecs import UpstreamMetadata
from rattanroute.http1.heads import drop_connection_headers
from rattanroute.http1.heads import Headers
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead

REQUEST_ID = b"Rattanroute-Request-Id"
# Milliseconds that the sender still waits, not a point in time.
TIME_LEFT = b"Rattanroute-Request-Deadline"
EXPECTED_TARGET = b"Rattanroute-Expect-Replica"
WORKSPACE = b"Rattanroute-Tenant"
PRIORITY = b"Rattanroute-Request-Priority"
# Prompt tokens and most answer tokens, separated by a comma.
TOKENS = b"Rattanroute-Token-Count"
ANSWER_ESTIMATE = b"Rattanroute-Length-Hint"
# The chain of targets with the layers that each runs, not a count.
CHAIN = b"Rattanroute-Hop-Count"
STAMP = b"Rattanroute-Replica-Stamp"
NOT_RUN = b"Rattanroute-Not-Executed"
TARGET_ID = b"Rattanroute-Replica-Id"
FAULTY_TARGET = b"At-Server"
LAST_EVENT = b"Last-Event-Id"
# "1" in each answer of a replica that leaves.
LEAVING = b"Server-Leaving"
RETRY_AFTER = b"Retry-After"
BEARER = "bearer "

SET_BY_ROUTER = frozenset(
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
TURNED_AWAY = 503


class PlatformHeaders:
    """Reads and writes the headers of requests and answers."""

    def read_request(self, head: RequestHead) -> RequestMetadata:
        """Decodes what a request says about itself."""
        values = {name.lower(): value for name, value in head.headers}
        prompt, answer = read_tokens(values.get(TOKENS.lower(), b""))
        estimate = read_number(values.get(ANSWER_ESTIMATE.lower(), b""))
        time_left = read_number(values.get(TIME_LEFT.lower(), b""))
        return RequestMetadata(
            request_id=values.get(REQUEST_ID.lower(), b"").decode("latin-1"),
            host=read_host(values.get(b"host", b"")),
            time_left_s=None if time_left is None else time_left / MILLISECONDS,
            key=read_key(values.get(b"authorization", b"")),
            prompt_tokens=prompt,
            max_answer_tokens=answer,
            answer_estimate=None if estimate is None else int(estimate),
            last_event_id=values.get(LAST_EVENT.lower(), b""),
        )

    def build_request(
        self, head: RequestHead, upstream: UpstreamMetadata
    ) -> RequestHead:
        """Returns the head of the request to a target."""
        dropped = set(SET_BY_ROUTER)
        if upstream.last_event_id:
            dropped.add(LAST_EVENT.lower())
        headers: Headers = [
            item
            for item in drop_connection_headers(head.headers)
            if item[0].lower() not in dropped
        ]
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
            headers.append((CHAIN, write_chain(upstream.chain)))
        return RequestHead(
            method=head.method, target=head.target, headers=headers
        )

    def read_answer(self, head: ResponseHead) -> AnswerMetadata:
        """Decodes what an answer says about itself."""
        return read_answer(head)

    def build_answer(self, head: ResponseHead) -> ResponseHead:
        """Returns the head of the answer to the caller."""
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
        """Returns the head of an answer of the router itself."""
        headers: Headers = []
        if request_id:
            headers.append((REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.2f" % retry_after_s))
        return ResponseHead(status=status, headers=headers)


def read_answer(head: ResponseHead) -> AnswerMetadata:
    """Decodes what an answer says about itself."""
    values = {name.lower(): value for name, value in head.headers}
    return AnswerMetadata(
        request_id=values.get(REQUEST_ID.lower(), b"").decode("latin-1"),
        stamped=STAMP.lower() in values,
        not_run=NOT_RUN.lower() in values,
        encoded=b"content-encoding" in values,
        target_id=values.get(TARGET_ID.lower(), b"").decode("latin-1"),
        faulty_address=values.get(FAULTY_TARGET.lower(), b"").decode("latin-1"),
        leaving=values.get(LEAVING.lower(), b"").strip() == b"1",
        pause_s=(
            read_number(values.get(RETRY_AFTER.lower(), b""))
            if head.status == TURNED_AWAY
            else None
        ),
    )


def read_number(value: bytes) -> float | None:
    """Returns a number that is not negative, or None."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def read_tokens(value: bytes) -> tuple[int, int]:
    """Returns the prompt tokens and the most answer tokens; 0 if unknown."""
    prompt, _, answer = value.partition(b",")
    return int(read_number(prompt) or 0), int(read_number(answer) or 0)


def read_host(value: bytes) -> str:
    """Returns a host in lower case without its port."""
    return value.decode("latin-1").partition(":")[0].strip().lower()


def read_key(value: bytes) -> str:
    """Returns the bearer key; empty when there is none."""
    text = value.decode("latin-1")
    if text[: len(BEARER)].lower() != BEARER:
        return ""
    return text[len(BEARER) :].strip()


def write_chain(chain: tuple[ChainHop, ...]) -> bytes:
    """Encodes a chain; the layer after the last one ends a part."""
    return ",".join(
        f"{hop.address}={hop.first_layer}-{hop.end_layer}" for hop in chain
    ).encode()
