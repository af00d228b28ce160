"""Messages of the distributions subsystem; kinds 40 to 59."""

KINDS: dict[int, type] = {}
