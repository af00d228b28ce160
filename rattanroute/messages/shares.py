"""Messages of the shares subsystem; kinds 100 to 119."""

KINDS: dict[int, type] = {}
