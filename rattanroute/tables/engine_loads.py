"""Open requests on engines, by target."""

import dataclasses

from rattanroute.messages.loads import EngineLoad


@dataclasses.dataclass(kw_only=True, slots=True)
class EngineLoadRow:
    """The load of one target.

    Attributes:
        requests: Open requests of this VM.
        cache_units: Tokens times layers of the requests of this VM.
        other_requests: Open requests of the other VMs, as last reported.
        other_cache_units: Tokens times layers of their requests.
        prompt_units: Tokens times layers of the prompts of this VM whose
            answers have not begun.
        other_prompt_units: The same of the other VMs.
        later_requests: Open requests of this VM for which the target is not
            the first one of their chains.
        other_later_requests: The same of the other VMs.
    """

    requests: int = 0
    cache_units: int = 0
    other_requests: int = 0
    other_cache_units: int = 0
    prompt_units: int = 0
    other_prompt_units: int = 0
    later_requests: int = 0
    other_later_requests: int = 0

    @property
    def all_requests(self) -> int:
        """Open requests of all VMs."""
        return self.requests + self.other_requests

    @property
    def all_first_requests(self) -> int:
        """Open requests that reached the target as the first of their chains.

        Earlier releases count all of their requests as such.
        """
        later = self.later_requests + self.other_later_requests
        return self.all_requests - later

    @property
    def all_cache_units(self) -> int:
        """Tokens times layers of the requests of all VMs."""
        return self.cache_units + self.other_cache_units

    @property
    def all_prompt_units(self) -> int:
        """Tokens times layers of the unread prompts of all VMs."""
        return self.prompt_units + self.other_prompt_units


@dataclasses.dataclass(kw_only=True, slots=True)
class EngineLoadTable:
    """Loads by target.

    Attributes:
        rows: Loads by target.
        vms: Number of VMs that share the targets, as last reported.
    """

    rows: dict[str, EngineLoadRow] = dataclasses.field(default_factory=dict)
    vms: int = 1

    def get(self, target_id: str) -> EngineLoadRow:
        """Returns the load of a target; adds a row if there is none."""
        row = self.rows.get(target_id)
        if row is None:
            row = self.rows[target_id] = EngineLoadRow()
        return row

    def add(
        self,
        target_id: str,
        *,
        requests: int,
        cache_units: int,
        is_first: bool = True,
    ) -> None:
        """Adds to the load of this VM on a target; amounts may be negative.

        Args:
            target_id: The target.
            requests: Number of requests.
            cache_units: Their tokens times the layers that it runs.
            is_first: Whether the target is the first one of their chains.
        """
        row = self.get(target_id)
        row.requests += requests
        row.cache_units += cache_units
        if not is_first:
            row.later_requests += requests

    def add_prompt(self, target_id: str, units: int) -> None:
        """Adds to the unread prompts of this VM; may be negative."""
        self.get(target_id).prompt_units += units

    def own_loads(self) -> tuple[EngineLoad, ...]:
        """Returns the load that this VM has put on targets."""
        return tuple(
            EngineLoad(
                target_id=target_id,
                requests=row.requests,
                cache_units=row.cache_units,
                prompt_units=row.prompt_units,
                later_requests=row.later_requests,
            )
            for target_id, row in self.rows.items()
            if row.requests
        )

    def take_others(self, loads: tuple[EngineLoad, ...], vms: int) -> None:
        """Replaces the load of the other VMs and drops rows without load."""
        self.vms = max(1, vms)
        reported = {load.target_id: load for load in loads}
        for target_id, row in list(self.rows.items()):
            if target_id not in reported:
                row.other_requests = 0
                row.other_cache_units = 0
                row.other_prompt_units = 0
                row.other_later_requests = 0
                if not row.requests:
                    del self.rows[target_id]
        for target_id, load in reported.items():
            row = self.get(target_id)
            row.other_requests = load.requests
            row.other_cache_units = load.cache_units
            row.other_prompt_units = load.prompt_units
            row.other_later_requests = load.later_requests
