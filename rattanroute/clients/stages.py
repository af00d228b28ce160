"""Runs attempts on chains of engines that each hold a range of layers.

The inputs of each stage are kept in a journal in memory. When a stage fails,
its replacement rebuilds the cache by replaying the journal, and the other
stages go on unchanged.
"""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

import aiohttp

from rattanroute.actions import Hop
from rattanroute.actions import ReplaceStage
from rattanroute.clients.attempts import AttemptError
from rattanroute.clients.attempts import AttemptSpec
from rattanroute.clients.attempts import prompt_words
from rattanroute.clients.attempts import TokenChunk
from rattanroute.clients.attempts import Usage
from rattanroute.clients.failures import AttemptContext
from rattanroute.clients.link_monitors import LinkMonitor
from rattanroute.clients.stage_sockets import copy_cache
from rattanroute.clients.stage_sockets import FailureKind
from rattanroute.clients.stage_sockets import StageError
from rattanroute.clients.stage_sockets import StageSocket

DEFAULT_MAX_TOKENS = 16
PREFILL_FRAME_POSITIONS = 64
"""Most positions in one frame during prefill and replay."""
MAX_JOURNAL_BYTES = 32 * 1024 * 1024
"""Size limit of the journals of one request, over all stages; a request that
exceeds it is recomputed from its tokens when a stage is replaced."""
MAX_TOTAL_JOURNAL_BYTES = 256 * 1024 * 1024
"""Size limit of the journals of all requests of the daemon."""
MAX_RECOVERIES = 8
"""Stage failures that one attempt survives; bounds the work of a request whose
replacements fail as well."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StageFailure:
    """A stage that failed or became slow during a run.

    Attributes:
        request_id: The request.
        attempt: Attempt number of the stage.
        hop: The stage.
        kind: Kind of the failure; a DEGRADED stage, and one that is silent
            (TIMEOUT), stay in use unless they are replaced.
        error: The error that the attempt raises if the stage is not replaced.
    """

    request_id: str
    attempt: int
    hop: Hop
    kind: FailureKind
    error: AttemptError


@dataclasses.dataclass(kw_only=True, eq=False)
class StageReplacedError(Exception):
    """Raised when a silent stage is to be replaced.

    Attributes:
        action: The replacement.
    """

    action: ReplaceStage


FailureCallback = Callable[[StageFailure], Awaitable[ReplaceStage | None]]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Stage:
    """State of one stage of a running chain.

    Attributes:
        hop: Target and layers.
        attempt: Attempt number of the stage.
        positions_run: Positions whose outputs arrived.
        journal: Inputs from position 0; shorter than the run's `position`
            when some are not known, and empty for the first stage, whose
            inputs are the tokens.
        socket: Connection to the target; None before the first frame.
        monitor: Detects slow round trips.
    """

    hop: Hop
    attempt: int
    positions_run: int = 0
    journal: list[bytes] = dataclasses.field(default_factory=list)
    socket: StageSocket | None = None
    monitor: LinkMonitor = dataclasses.field(default_factory=LinkMonitor)


class PipelineClient:
    """Runs attempts on chains of stages over a shared HTTP session.

    Attributes:
        session: Shared HTTP session.
        journal_bytes: Total size of the journals of all running requests.
        closing: Tasks that close connections in the background.
    """

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.journal_bytes = 0
        self.closing: set[asyncio.Task[None]] = set()

    def open(
        self,
        *,
        spec: AttemptSpec,
        chain: tuple[Hop, ...],
        on_failure: FailureCallback,
    ) -> "PipelineRun":
        """Prepares a run; nothing is sent before its `run` is iterated.

        Args:
            spec: Parameters of the attempt; its `address` is not used.
            chain: Hops in layer order.
            on_failure: Called with each stage failure; returns a replacement,
                or None to fail the attempt or to keep a degraded stage.
        """
        return PipelineRun(
            client=self, spec=spec, chain=chain, on_failure=on_failure
        )

    def close_socket(self, stage: Stage) -> None:
        """Closes a stage's connection without waiting for the target."""
        if stage.socket is None:
            return
        task = asyncio.create_task(stage.socket.close())
        stage.socket = None
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    async def close(self) -> None:
        """Waits until all connections are closed."""
        await asyncio.gather(*self.closing, return_exceptions=True)


class PipelineRun:
    """Runs one attempt on a chain.

    Attributes:
        spec: Parameters of the attempt.
        stages: The current chain.
        attempts: Attempt numbers used so far.
        tokens: Inputs of the first layer: prompt and generated tokens.
        position: Positions that the whole chain has run.
        recoveries: Stage failures so far.
        sent: Whether any frame was sent.
        journal_bytes: Size of this request's journals.
        journal_full: Whether the journals were dropped as they grew too large.
        pending_replacements: Replacements to make before the next position.
    """

    def __init__(
        self,
        *,
        client: PipelineClient,
        spec: AttemptSpec,
        chain: tuple[Hop, ...],
        on_failure: FailureCallback,
    ) -> None:
        self.client = client
        self.spec = spec
        self.on_failure = on_failure
        self.attempts = {spec.attempt}
        self.stages = [Stage(hop=hop, attempt=spec.attempt) for hop in chain]
        first = len(spec.resume_tokens)
        self.context = AttemptContext(
            target_id=spec.target_id, first_index=first, next_index=first
        )
        self.deadline = time.monotonic() + spec.deadline_s
        self.tokens: list[bytes] = []
        self.position = 0
        self.recoveries = 0
        self.sent = False
        self.journal_bytes = 0
        self.journal_full = False
        self.pending_replacements: list[ReplaceStage] = []

    def replace_stage(self, action: ReplaceStage) -> None:
        """Replaces a working stage before the next position.

        Used when a target leaves; its cache is copied if the target still
        answers.
        """
        self.pending_replacements.append(action)

    async def run(self) -> AsyncGenerator[TokenChunk | Usage, None]:
        """Runs the attempt; closing the generator cancels all stages.

        Yields:
            A `TokenChunk` for each token, then one `Usage`.

        Raises:
            AttemptError: If a stage failed and was not replaced.
        """
        spec = self.spec
        context = self.context
        words = prompt_words(spec.body["messages"])
        limit = int(spec.body.get("max_tokens") or DEFAULT_MAX_TOKENS)
        inputs = [word.encode() for word in [*words, *spec.resume_tokens]]
        reason = "length"
        try:
            while context.next_index < limit:
                text = await self.run_tokens(inputs)
                if not text:
                    reason = "stop"
                    break
                context.next_index += 1
                yield TokenChunk(index=context.next_index - 1, text=text)
                inputs = [text.encode()]
            yield Usage(
                tokens_in=len(words),
                tokens_out=context.next_index - context.first_index,
                finish_reason=reason,
            )
        finally:
            self.drop_journals()
            for stage in self.stages:
                self.client.close_socket(stage)

    async def run_tokens(self, inputs: list[bytes]) -> str:
        """Runs new input tokens and returns the token that follows them."""
        self.tokens.extend(inputs)
        output = b""
        while self.position < len(self.tokens):
            await self.replace_slow_stages()
            end = self.position + PREFILL_FRAME_POSITIONS
            block = self.tokens[self.position : end]
            outputs = await self.run_block(block)
            if outputs is not None:
                self.position += len(block)
                output = outputs[-1]
        try:
            return output.decode()
        except UnicodeDecodeError as error:
            raise self.context.build_error("sample", str(error)) from error

    async def run_block(self, block: list[bytes]) -> list[bytes] | None:
        """Runs a block through the chain; returns None after a restart."""
        values = block
        index = 0
        while index < len(self.stages):
            try:
                if not await self.catch_up(index):
                    self.restart()
                    return None
                self.record_inputs(index, values)
                values = await self.exchange(self.stages[index], values)
                index += 1
            except StageError as error:
                await self.recover(self.stages[index], error)
            except StageReplacedError as error:
                await self.apply_replacement(error.action, copy=False)
        return values

    async def catch_up(self, index: int) -> bool:
        """Replays the journal to a stage that has not run all positions.

        If the journal of the next stage lacks these positions, as for a new
        stage, the outputs are added to it.

        Returns:
            False if the journal does not hold all inputs.
        """
        stage = self.stages[index]
        inputs = self.tokens if index == 0 else stage.journal
        while stage.positions_run < self.position:
            if len(inputs) < self.position:
                return False
            start = stage.positions_run
            end = min(start + PREFILL_FRAME_POSITIONS, self.position)
            outputs = await self.exchange(stage, inputs[start:end])
            if index + 1 < len(self.stages):
                following = self.stages[index + 1]
                if len(following.journal) == start:
                    self.append_inputs(following, outputs)
        return True

    async def exchange(self, stage: Stage, values: list[bytes]) -> list[bytes]:
        """Runs positions on a stage and returns their outputs.

        Raises:
            StageError: If the stage fails.
            StageReplacedError: If it is silent and there is another target.
        """
        spec = self.spec
        limit = spec.token_timeout_s
        if len(values) > 1 or stage.socket is None:
            limit = spec.first_token_timeout_s
        until = min(self.deadline, time.monotonic() + limit)
        if stage.socket is None:
            stage.socket = await StageSocket.connect(
                session=self.client.session,
                spec=spec,
                hop=stage.hop,
                attempt=stage.attempt,
                position=stage.positions_run,
                until=until,
            )
        self.sent = True
        started = time.monotonic()
        try:
            outputs = await stage.socket.exchange(
                position=stage.positions_run, inputs=values, until=until
            )
        except StageError as error:
            outputs = await self.wait_for_silent(
                stage, len(values), limit, error
            )
        if len(values) == 1:
            stage.monitor.record(time.monotonic() - started)
        stage.positions_run += len(values)
        return outputs

    async def wait_for_silent(
        self, stage: Stage, count: int, limit: float, error: StageError
    ) -> list[bytes]:
        """Goes on waiting for a stage whose answer did not arrive in time.

        A silence is no proof of a failure. Without another target, the stage
        may still answer until the deadline of the attempt.

        Args:
            stage: The stage.
            count: Number of outputs to wait for.
            limit: Seconds between two requests for a replacement.
            error: Why there are no outputs.

        Raises:
            StageError: If the stage has failed or the deadline has passed.
            StageReplacedError: If there is another target.
        """
        while error.kind is FailureKind.TIMEOUT:
            if time.monotonic() >= self.deadline:
                break
            if self.recoveries < MAX_RECOVERIES:
                failure = self.build_failure(stage, error)
                action = await self.request_replacement(failure)
                if action is not None:
                    self.recoveries += 1
                    raise StageReplacedError(action=action)
            until = min(self.deadline, time.monotonic() + limit)
            try:
                return await stage.socket.receive_outputs(
                    position=stage.positions_run, count=count, until=until
                )
            except StageError as later:
                error = later
        raise error

    def record_inputs(self, index: int, values: list[bytes]) -> None:
        """Adds a block's inputs to a stage's journal unless it has them."""
        stage = self.stages[index]
        if index > 0 and len(stage.journal) == self.position:
            self.append_inputs(stage, values)

    def append_inputs(self, stage: Stage, values: list[bytes]) -> None:
        """Appends to a journal; drops all journals of the run past a limit."""
        if self.journal_full:
            return
        size = sum(map(len, values))
        total = self.client.journal_bytes + size
        if (
            self.journal_bytes + size > MAX_JOURNAL_BYTES
            or total > MAX_TOTAL_JOURNAL_BYTES
        ):
            self.journal_full = True
            self.drop_journals()
            return
        self.journal_bytes += size
        self.client.journal_bytes = total
        stage.journal.extend(values)

    def drop_journals(self) -> None:
        """Frees all journals."""
        self.client.journal_bytes -= self.journal_bytes
        self.journal_bytes = 0
        for stage in self.stages:
            stage.journal = []

    async def recover(self, stage: Stage, error: StageError) -> None:
        """Replaces a failed stage.

        Raises:
            AttemptError: If there is no replacement.
        """
        self.client.close_socket(stage)
        self.recoveries += 1
        failure = self.build_failure(stage, error)
        action = None
        if self.recoveries <= MAX_RECOVERIES:
            action = await self.request_replacement(failure)
        if action is None:
            raise failure.error from error
        await self.apply_replacement(action, copy=False)

    async def request_replacement(
        self, failure: StageFailure
    ) -> ReplaceStage | None:
        """Requests a replacement from the host; stops at the deadline."""
        left = max(0.0, self.deadline - time.monotonic())
        try:
            async with asyncio.timeout(left):
                return await self.on_failure(failure)
        except TimeoutError:
            return None

    def build_failure(self, stage: Stage, error: StageError) -> StageFailure:
        """Builds the report of a failed or degraded stage for the host."""
        context = dataclasses.replace(
            self.context, target_id=stage.hop.target_id
        )
        return StageFailure(
            request_id=self.spec.request_id,
            attempt=stage.attempt,
            hop=stage.hop,
            kind=error.kind,
            error=context.build_error(
                "run stage",
                str(error),
                crashed=error.kind is FailureKind.CRASHED,
                dispatched=self.sent,
                retry_after_s=error.retry_after_s,
                status=error.status,
            ),
        )

    async def replace_slow_stages(self) -> None:
        """Replaces degraded stages and those scheduled for replacement."""
        for stage in self.stages:
            if stage.monitor.degraded:
                message = f"mean round trip was {stage.monitor.mean_s:.4f} s"
                error = StageError(kind=FailureKind.DEGRADED, message=message)
                stage.monitor.reset()
                action = await self.request_replacement(
                    self.build_failure(stage, error)
                )
                if action is not None:
                    self.pending_replacements.append(action)
        while self.pending_replacements:
            await self.apply_replacement(
                self.pending_replacements.pop(0), copy=True
            )

    async def apply_replacement(
        self, action: ReplaceStage, *, copy: bool
    ) -> None:
        """Replaces one stage by one or more new stages.

        Args:
            action: The replacement; ignored if its target is no longer part
                of the chain.
            copy: Whether to copy the cache from the old target.
        """
        index = self.find_stage(action.failed_target_id)
        if index is None:
            return
        old = self.stages[index]
        self.check_action(old.hop, action)
        self.attempts.add(action.attempt)
        stages = [Stage(hop=hop, attempt=action.attempt) for hop in action.hops]
        stages[0].journal = old.journal
        if copy and self.position and await self.copy_caches(old, stages):
            for stage in stages:
                stage.positions_run = self.position
        self.stages[index : index + 1] = stages
        self.client.close_socket(old)

    def find_stage(self, target_id: str) -> int | None:
        """Returns the index of a target's stage."""
        for index, stage in enumerate(self.stages):
            if stage.hop.target_id == target_id:
                return index
        return None

    def check_action(self, old: Hop, action: ReplaceStage) -> None:
        """Checks that a replacement runs exactly the layers of the old hop.

        Raises:
            AttemptError: If it does not, or if its attempt number was used
                before.
        """
        problem = ""
        if not covers_layers(old, action.hops):
            problem = f"layers of {action.hops} differ from {old}"
        elif action.attempt in self.attempts:
            problem = f"attempt {action.attempt} twice"
        if problem:
            raise self.context.build_error(
                "replace stage", problem, dispatched=self.sent
            )

    async def copy_caches(self, old: Stage, stages: list[Stage]) -> bool:
        """Copies the old stage's cache to all new stages."""
        results = await asyncio.gather(
            *(
                copy_cache(
                    session=self.client.session,
                    request_id=self.spec.request_id,
                    old=old.hop,
                    hop=stage.hop,
                    attempt=stage.attempt,
                    position=self.position,
                )
                for stage in stages
            )
        )
        return all(results)

    def restart(self) -> None:
        """Restarts the chain from the tokens, with empty caches.

        Needed after a replacement of a stage whose journal is incomplete; all
        stages get the highest attempt number used so far.
        """
        self.drop_journals()
        self.position = 0
        for stage in self.stages:
            self.client.close_socket(stage)
            stage.attempt = max(self.attempts)
            stage.positions_run = 0


def covers_layers(old: Hop, hops: tuple[Hop, ...]) -> bool:
    """Returns whether hops run each layer of the old hop once, in order."""
    layer = old.first_layer
    for hop in hops:
        if hop.first_layer != layer or hop.last_layer < layer:
            return False
        layer = hop.last_layer + 1
    return layer == old.last_layer + 1
