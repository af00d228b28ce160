"""Requests suspected of crashing targets, by fingerprint."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CrashKey:
    """Identifier of a crash; a target incarnation crashes at most once."""

    target_id: str
    incarnation: int


@dataclasses.dataclass(kw_only=True, slots=True)
class SuspectRequest:
    """A suspected or banned request.

    Attributes:
        value: The fingerprint.
        crashes: Crashes of targets that were running it, with their times.
        banned_until: Time until which it is refused.
        runs: Targets that are running it, by VM.
        run_until: Time after which a run is considered finished, by VM.
        latest: Whether it was the last request that a VM sent to a target
            before that target crashed.
    """

    value: str
    crashes: dict[CrashKey, float] = dataclasses.field(default_factory=dict)
    banned_until: float = 0.0
    runs: dict[str, str] = dataclasses.field(default_factory=dict)
    run_until: dict[str, float] = dataclasses.field(default_factory=dict)
    latest: bool = False

    @property
    def last_crash_at(self) -> float:
        """Time of the latest crash."""
        return max(self.crashes.values(), default=0.0)


@dataclasses.dataclass(kw_only=True, slots=True)
class SuspectRequestTable:
    """Suspected and banned requests by fingerprint.

    Attributes:
        rows: The requests.
        suspects: Suspects of each crash, across all VMs.
    """

    rows: dict[str, SuspectRequest] = dataclasses.field(default_factory=dict)
    suspects: dict[CrashKey, set[str]] = dataclasses.field(default_factory=dict)

    def get(self, value: str) -> SuspectRequest | None:
        """Returns a suspected or banned request, or None."""
        return self.rows.get(value)

    def add_crash(self, value: str, key: CrashKey, at: float) -> bool:
        """Records that a target crashed while it ran a request.

        Returns:
            Whether the crash is new for this request.
        """
        row = self.rows.get(value)
        if row is None:
            row = self.rows[value] = SuspectRequest(value=value)
        if key in row.crashes:
            return False
        row.crashes[key] = at
        self.suspects.setdefault(key, set()).add(value)
        return True

    def remove(self, value: str) -> None:
        """Removes a request that is no longer suspected."""
        row = self.rows.pop(value, None)
        if row is None:
            return
        for key in row.crashes:
            names = self.suspects.get(key)
            if names is not None:
                names.discard(value)
                if not names:
                    del self.suspects[key]

    def __len__(self) -> int:
        return len(self.rows)
