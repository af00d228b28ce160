"""Prompts that a VM saw being answered lately."""

from collections.abc import Iterable
import dataclasses

# A part with which answers began within this time is probably sound. A new
# version of a model may change that.
KNOWN_SECONDS = 600.0
MAX_ANSWERED_PARTS = 4096


@dataclasses.dataclass(kw_only=True, slots=True)
class AnsweredParts:
    """Parts of prompts whose answers began on this VM, and their services.

    Attributes:
        begun_at: Times in seconds at which answers to prompts with a part
            began, by part, oldest first.
        services: Times in seconds of the latest answers, by service.
    """

    begun_at: dict[str, float] = dataclasses.field(default_factory=dict)
    services: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, parts: Iterable[str], service: str, now: float) -> None:
        """Records that the answer to a prompt has begun.

        Args:
            parts: Fingerprints of the shared parts of the prompt.
            service: The service that answers.
            now: Time in seconds.
        """
        self.services[service] = now
        for part in parts:
            self.begun_at.pop(part, None)
            self.begun_at[part] = now
        while len(self.begun_at) > MAX_ANSWERED_PARTS:
            del self.begun_at[next(iter(self.begun_at))]

    def was_answered(self, part: str, now: float) -> bool:
        """Returns whether an answer to a prompt with a part began lately."""
        begun_at = self.begun_at.get(part, float("-inf"))
        return now - begun_at <= KNOWN_SECONDS

    def expire(self, now: float) -> None:
        """Removes services that have answered nothing lately."""
        for service, at in list(self.services.items()):
            if now - at >= KNOWN_SECONDS:
                del self.services[service]
