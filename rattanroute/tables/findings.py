"""Findings of a check of a configuration, and differences of two versions."""

import dataclasses
import enum


class Severity(enum.StrEnum):
    """Whether a finding forbids the configuration."""

    ERROR = "error"
    WARNING = "warning"


class DifferenceKind(enum.StrEnum):
    """How a value of one version differs from that of another."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """Something that a check has found.

    Attributes:
        severity: Whether it forbids the configuration.
        path: Location in the document, such as `routes[3].timeoutMs`; empty
            for the whole document.
        message: One sentence without a final full stop.
    """

    severity: Severity = Severity.ERROR
    path: str
    message: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """A value that differs between two versions.

    Attributes:
        kind: How it differs.
        path: Location, with names in place of indexes, such as
            `routes[chat].timeoutMs`.
        old: Value in the older version; None if there is none.
        new: Value in the newer version; None if there is none.
    """

    kind: DifferenceKind
    path: str
    old: object = None
    new: object = None


def build_warning(path: str, message: str) -> Finding:
    """Returns a finding that does not forbid the configuration."""
    return Finding(severity=Severity.WARNING, path=path, message=message)
