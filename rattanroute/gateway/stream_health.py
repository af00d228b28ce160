"""Records what attempts of streams show about the health of targets."""

import dataclasses

from rattanroute.gateway.crash_detectors import CrashDetector
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.outcomes import MISDIRECTED
from rattanroute.gateway.outcomes import Unknown
from rattanroute.gateway.stream_attempts import StreamAttempt
from rattanroute.gateway.stream_attempts import StreamRun
from rattanroute.gateway.target_selectors import TargetSelector

# If a target states that a request did not run only after this fraction of the
# engine's stall time, a target of its chain has failed rather than being full.
STALL_FRACTION = 0.8


@dataclasses.dataclass(kw_only=True, slots=True)
class StreamHealthRecorder:
    """Updates health, lost attempts and the targets that a call avoids.

    Attributes:
        selector: Health of targets.
        crashes: Detects requests that crash targets.
    """

    selector: TargetSelector
    crashes: CrashDetector

    def note_complete(self, attempt: StreamAttempt) -> None:
        """Records that all targets of a chain served a stream."""
        now = attempt.sink.loop.time()
        for target_id in attempt.target_ids:
            self.selector.note_success(target_id, now)

    def note_lost(
        self, run: StreamRun, attempt: StreamAttempt, outcome: Unknown
    ) -> None:
        """Records once that an attempt may have crashed its targets."""
        if attempt.lost is not None:
            self.crashes.probe(attempt.reports[0].address)
            return
        progress_s = attempt.sink.measure_progress()
        outcome = dataclasses.replace(outcome, progress_s=progress_s)
        attempt.lost = self.crashes.note_lost(
            run.call, attempt.reports, outcome
        )

    def note_resumed(self, attempt: StreamAttempt) -> None:
        """Takes back what was assumed of an attempt that goes on."""
        attempt.resumed = False
        now = attempt.sink.loop.time()
        for target_id in attempt.target_ids:
            self.selector.note_resumed(target_id, now)
        if attempt.lost is not None:
            self.crashes.retract(attempt.lost)
            attempt.lost = None

    def is_gone(self, hop: ChainHop) -> bool:
        """Returns whether a target of a chain is unknown or unreachable."""
        target = self.selector.targets.get(hop.target_id)
        return target is None or not target.reachable

    def avoid_gone(self, run: StreamRun, attempt: StreamAttempt) -> None:
        """Avoids the targets of a failed attempt that caused the failure."""
        gone = [hop.target_id for hop in attempt.chain if self.is_gone(hop)]
        run.avoided.update(gone)
        if run.avoided.isdisjoint(attempt.target_ids):
            first = attempt.chain[0].target_id
            run.avoided.add(first)
            self.selector.note_failure(first, now=attempt.sink.loop.time())

    def note_not_run(self, run: StreamRun, attempt: StreamAttempt) -> None:
        """Backs off from the target that rejected or caused the rejection."""
        sink, chain = attempt.sink, attempt.chain
        now = sink.loop.time()
        engine = run.call.service.engine
        if engine is None:
            if sink.head.status == MISDIRECTED:
                first = chain[0].target_id
                self.selector.note_failure(first, now=now, crashed=True)
            return
        address = sink.metadata.faulty_address or chain[0].address
        by_address = {hop.address: hop.target_id for hop in chain}
        target_id = by_address.get(address, chain[0].target_id)
        waited_s = now - sink.event_at
        if waited_s >= STALL_FRACTION * engine.stall_s:
            run.avoided.add(target_id)
            self.selector.note_failure(target_id, now=now, crashed=True)
        else:
            run.rejected = True
            self.selector.note_full(target_id, now)
