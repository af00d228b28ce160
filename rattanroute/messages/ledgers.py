"""Messages of the ledgers subsystem; kinds 120 to 139."""

KINDS: dict[int, type] = {}
