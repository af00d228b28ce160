"""Messages of the orders subsystem; kinds 180 to 199."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Tokens per second that a VM's requests ask for.

    Attributes:
        model: Model name.
        version: Wanted version; empty for the one in force.
        adapter: Wanted adapter; empty for none.
        tokens_per_second: Prompt and generated tokens, as a moving mean.
    """

    model: str
    version: str = ""
    adapter: str = ""
    tokens_per_second: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DemandReport:
    """All demand of the sending VM; replaces its report before."""

    demands: tuple[Demand, ...]


KINDS: dict[int, type] = {180: DemandReport}
