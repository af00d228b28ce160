"""Messages of the consensus subsystem; kinds 20 to 39."""

KINDS: dict[int, type] = {}
