"""Metadata that the gateway reads from and writes into HTTP heads."""

import dataclasses
from typing import Protocol

from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """Metadata of a client's request.

    Attributes:
        request_id: Identifier of this request, chosen by the client.
        host: Host in lower case, without a port.
        time_left_s: Seconds that the client waits; None if not stated.
        key: Bearer key; empty if there is none.
        prompt_tokens: Tokens of the prompt; 0 if not stated.
        max_answer_tokens: Maximum tokens of the answer; 0 if not stated.
        answer_estimate: The client's estimate of the answer's tokens; None
            if not stated.
        last_event_id: Last event that the client has of a stream that it
            resumes.
        shared_parts: Identifiers of the parts of the prompt that other
            requests may share, in order.
    """

    request_id: str = ""
    host: str = ""
    time_left_s: float | None = None
    key: str = ""
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    answer_estimate: int | None = None
    last_event_id: bytes = b""
    shared_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChainHop:
    """A target of a chain and the layers that it runs.

    Attributes:
        target_id: Identifier of the target.
        address: Its address as `IP:port`.
        first_layer: Its first layer.
        end_layer: The layer after its last one.
    """

    target_id: str
    address: str
    first_layer: int
    end_layer: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamMetadata:
    """Metadata that the gateway adds to a request to a target.

    Attributes:
        target_id: Target that shall answer.
        time_left_s: Seconds until the client's answer is due.
        workspace: Workspace of the client; empty if there is none.
        priority: Rank among waiting requests; None for the default.
        last_event_id: Event after which a stream continues, if it differs
            from the client's own.
        chain: Targets that run the layers; empty for a plain service.
    """

    target_id: str
    time_left_s: float
    workspace: str = ""
    priority: int | None = None
    last_event_id: bytes = b""
    chain: tuple[ChainHop, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerMetadata:
    """Metadata of a target's answer.

    Attributes:
        request_id: Request that it answers.
        stamp: Signature of a target; None if it carries none.
        not_run: Whether the target states that the request did not run.
        encoded: Whether the body is compressed, which is never requested.
        target_id: Target that answered; empty if not stated.
        faulty_address: Address of the target at fault; empty if not stated.
        leaving: Whether the target accepts no new work.
        pause_s: Seconds for which a target that rejected a request accepts
            nothing from this VM; None if it asks for no pause.
        limit_per_s: Requests per second that the target takes from all VMs
            together; None if it names no limit.
    """

    request_id: str = ""
    stamp: str | None = None
    not_run: bool = False
    encoded: bool = False
    target_id: str = ""
    faulty_address: str = ""
    leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None

    @property
    def stamped(self) -> bool:
        """Whether it carries the signature of a target."""
        return self.stamp is not None

    @property
    def is_whole(self) -> bool:
        """Whether the body is the target's own, unchanged."""
        return self.stamped and not self.encoded

    def may_answer(self, request_id: str) -> bool:
        """Returns whether it may be the answer to a request.

        Some rejections name no request.
        """
        return self.request_id in ("", request_id)


class HeaderCodec(Protocol):
    """Reads and writes the headers of a deployment."""

    def read_request(self, head: RequestHead) -> RequestMetadata:
        """Decodes the metadata of a client's request."""
        ...

    def build_request(
        self, head: RequestHead, upstream: UpstreamMetadata
    ) -> RequestHead:
        """Returns the head of the request to a target."""
        ...

    def read_answer(self, head: ResponseHead) -> AnswerMetadata:
        """Decodes the metadata of a target's answer."""
        ...

    def build_answer(self, head: ResponseHead) -> ResponseHead:
        """Returns the head of the answer to the client."""
        ...

    def build_refusal(
        self, *, status: int, request_id: str, retry_after_s: float | None
    ) -> ResponseHead:
        """Returns the head of an answer by the router itself."""
        ...
