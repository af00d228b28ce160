"""Messages of the orders subsystem; kinds 180 to 199."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Demand of a VM's requests for one model, version and adapter.

    Attributes:
        model: Model name.
        version: Requested version; empty for the one in force.
        adapter: Requested adapter; empty for none.
        tokens_per_second: Moving average of prompt and generated tokens.
    """

    model: str
    version: str = ""
    adapter: str = ""
    tokens_per_second: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DemandReport:
    """All demand of the sending VM; replaces its previous report."""

    demands: tuple[Demand, ...]


KINDS: dict[int, type] = {180: DemandReport}
