"""Messages of the memberships subsystem; kinds 60 to 79."""

KINDS: dict[int, type] = {}
