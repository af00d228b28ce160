"""Messages of the quarantines subsystem; kinds 160 to 179."""

KINDS: dict[int, type] = {}
