"""The record that each case writes."""

import pathlib
import threading
import time


class Record:
    """The file `record.txt` in the present folder.

    Attributes:
        started: Time of the start, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.path = pathlib.Path("record.txt")
        self.path.write_text("")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text: str, at: float | None = None) -> None:
        """Adds a line.

        Args:
            text: What happened.
            at: When, in monotonic seconds; None for now.
        """
        seconds = (time.monotonic() if at is None else at) - self.started
        with self.lock, self.path.open("a") as file:
            file.write(f"{seconds:8.3f} s  {text}\n")
