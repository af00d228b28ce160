"""Messages of the orders subsystem; kinds 180 to 199."""

KINDS: dict[int, type] = {}
