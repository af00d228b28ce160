"""What the gateway reads from heads and writes into them."""

import dataclasses
from typing import Protocol

from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """What a request says about itself.

    Attributes:
        request_id: Identifier of this request, chosen by its caller.
        host: Host in lower case, without a port.
        time_left_s: Seconds that the caller waits; None when not stated.
        key: Bearer key; empty when there is none.
        prompt_tokens: Tokens of the prompt; 0 when not stated.
        max_answer_tokens: Most tokens of the answer; 0 when not stated.
        answer_estimate: The caller's estimate of the tokens of the answer.
        last_event_id: Event after which the caller wants a stream to go on.
    """

    request_id: str = ""
    host: str = ""
    time_left_s: float | None = None
    key: str = ""
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    answer_estimate: int | None = None
    last_event_id: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChainHop:
    """A target of a chain with the layers that it runs.

    Attributes:
        target_id: The target.
        address: Its address as `IP:port`.
        first_layer: First layer.
        end_layer: Layer after the last one.
    """

    target_id: str
    address: str
    first_layer: int
    end_layer: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamMetadata:
    """What the gateway tells a target besides the caller's request.

    Attributes:
        target_id: The target that is meant to answer.
        time_left_s: Seconds until the caller's answer is due.
        workspace: Workspace of the caller; empty when there is none.
        priority: Rank among waiting requests; None for the usual one.
        last_event_id: Event after which a stream goes on, when this is not
            the caller's own.
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
    """What an answer says about itself.

    Attributes:
        request_id: Request that it answers.
        stamped: Whether it bears the signature of a target.
        not_run: Whether the target states that it did not run the request.
        encoded: Whether the body is compressed, which nobody asked for.
        target_id: The target, where it names itself.
        faulty_address: Address of the target at fault, where it is named.
        leaving: Whether the target takes no new work.
        pause_s: Seconds for which a target that turned a request away wants
            nothing from this VM; None when it asks for no pause.
    """

    request_id: str = ""
    stamped: bool = False
    not_run: bool = False
    encoded: bool = False
    target_id: str = ""
    faulty_address: str = ""
    leaving: bool = False
    pause_s: float | None = None


class HeaderCodec(Protocol):
    """Reads and writes the headers of a deployment."""

    def read_request(self, head: RequestHead) -> RequestMetadata:
        """Decodes what a request says about itself."""
        ...

    def build_request(
        self, head: RequestHead, upstream: UpstreamMetadata
    ) -> RequestHead:
        """Returns the head of the request to a target."""
        ...

    def read_answer(self, head: ResponseHead) -> AnswerMetadata:
        """Decodes what an answer says about itself."""
        ...

    def build_answer(self, head: ResponseHead) -> ResponseHead:
        """Returns the head of the answer to the caller."""
        ...

    def build_refusal(
        self, *, status: int, request_id: str, retry_after_s: float | None
    ) -> ResponseHead:
        """Returns the head of an answer of the router itself."""
        ...
