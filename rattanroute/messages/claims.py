"""Messages of the claims subsystem; kinds 80 to 99."""

KINDS: dict[int, type] = {}
