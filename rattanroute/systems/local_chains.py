"""Finds the fastest chains that stay within one data centre, one by one."""

import dataclasses
import math

from rattanroute.systems.chain_searches import ChainPath
from rattanroute.systems.chain_searches import find_chain
from rattanroute.systems.chain_searches import StageCandidate
from rattanroute.tables.routes import Engine


@dataclasses.dataclass(kw_only=True, slots=True)
class LocalChainSearch:
    """Searches each data centre again only after a change of its candidates.

    Attributes:
        engine: Performance model of the engines.
        data_centre: Data centre of this VM.
        answer_tokens: Expected tokens of the answer.
        centres: Targets with room for the request, by data centre.
        paths: Fastest chain of each data centre that was searched; None if
            there is none.
    """

    engine: Engine
    data_centre: str
    answer_tokens: int
    centres: dict[str, list[StageCandidate]]
    paths: dict[str, ChainPath | None] = dataclasses.field(default_factory=dict)

    def find_best(self) -> ChainPath | None:
        """Returns the fastest chain within one data centre."""
        best = None
        best_seconds = math.inf
        for centre, group in self.centres.items():
            if centre not in self.paths:
                self.paths[centre] = find_chain(group, 0, self.engine.layers)
            path = self.paths[centre]
            if path is None:
                continue
            delay = self.engine.delay_s(self.data_centre, centre)
            seconds = path.cost + delay * self.answer_tokens
            if seconds < best_seconds:
                best, best_seconds = path, seconds
        return best

    def exclude(self, target_id: str, *, only_first: bool) -> None:
        """Removes a target from the candidates.

        Args:
            target_id: The target.
            only_first: Whether it may still run layers after the first one.
        """
        for centre, group in self.centres.items():
            found = [x for x in group if x.target_id == target_id]
            if not found:
                continue
            kept = [x for x in group if x.target_id != target_id]
            if only_first:
                kept += [exclude_first_layer(x) for x in found]
            self.centres[centre] = kept
            self.paths.pop(centre, None)


def exclude_first_target(
    centres: dict[str, list[StageCandidate]], target_id: str
) -> None:
    """Replaces a candidate by one that cannot run the first layer."""
    for group in centres.values():
        for number, candidate in enumerate(group):
            if candidate.target_id == target_id:
                group[number] = exclude_first_layer(candidate)


def exclude_first_layer(candidate: StageCandidate) -> StageCandidate:
    """Returns a copy of a candidate that cannot run the first layer."""
    return dataclasses.replace(candidate, first=max(1, candidate.first))
