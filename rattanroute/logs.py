"""Logging: one line of key=value pairs for each event."""

from collections.abc import Callable
import json
import logging
import os
import pathlib
import sys
import time
import traceback
import types
from typing import TYPE_CHECKING

import loguru

if TYPE_CHECKING:
    from loguru import Logger
    from loguru import Record

# Far above the rate of a busy VM, which logs one line for each request.
MAX_LINES_PER_SECOND = 1_000
# Bytes buffered for a slow reader before lines are dropped.
MAX_BUFFERED_BYTES = 262_144
SECRET_KEYS = frozenset({"authorization", "token", "key"})


def format_value(value: object) -> str:
    """Returns a value as text.

    It is quoted if empty or unprintable, or if it contains a space, a quote,
    `=` or a backslash.
    """
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and text.isprintable() and not any(c in text for c in ' "=\\'):
        return text
    # Without ASCII output, JSON keeps some line separators and lone surrogates.
    return json.dumps(text, ensure_ascii=not text.isprintable())


def format_record(record: "Record") -> str:
    """Stores the line in `extra[line]`; returns the template that prints it."""
    pairs = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "event": record["message"],
    }
    for name, value in record["extra"].items():
        if name == "line":
            continue
        pairs[name] = "hidden" if name in SECRET_KEYS else value
    exception = record["exception"]
    if exception is not None:
        pairs["error_type"] = type(exception.value).__name__
        pairs["error"] = exception.value
        if exception.traceback is not None:
            pairs["at"] = format_location(exception.traceback)
    line = " ".join(f"{k}={format_value(v)}" for k, v in pairs.items())
    record["extra"]["line"] = line
    return "{extra[line]}\n"


def format_location(start: types.TracebackType) -> str:
    """Returns the file and line at which an exception was raised."""
    frame = traceback.extract_tb(start)[-1]
    return f"{pathlib.PurePath(frame.filename).name}:{frame.lineno}"


class StandardLoggingHandler(logging.Handler):
    """Passes records of the standard library's loggers to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs one record at the same level."""
        logger = loguru.logger.bind(module=record.name)
        logger.opt(exception=record.exc_info).log(
            record.levelname, "{}", record.getMessage()
        )


class BoundedSink:
    """Writes lines to a file descriptor without waiting for its reader.

    Lines beyond the buffer or the rate limit are dropped and counted; a later
    line reports the count.

    Args:
        descriptor: Destination of the lines; set to non-blocking mode.
        clock: Monotonic clock, in seconds.
    """

    def __init__(
        self, *, descriptor: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.second = 0
        self.lines = 0
        self.dropped = 0
        self.buffered = b""
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes or buffers a line, or drops it beyond the limits."""
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.lines = 0
        self.lines += 1
        if (
            self.lines > MAX_LINES_PER_SECOND
            or len(self.buffered) > MAX_BUFFERED_BYTES
        ):
            self.dropped += 1
            return
        data = self.buffered + line.encode(errors="backslashreplace")
        if self.dropped:
            notice = f'level=warning event="lines dropped" count={self.dropped}'
            data += notice.encode() + b"\n"
            self.dropped = 0
        self.buffered = data[self.send(data) :]

    def send(self, data: bytes) -> int:
        """Writes without blocking; returns the number of bytes written."""
        try:
            return os.write(self.descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has closed its end; the process continues without logs.
            return len(data)

    def flush(self) -> None:
        """Writes as much of the buffer as the reader accepts."""
        self.buffered = self.buffered[self.send(self.buffered) :]


def configure_logs(
    *, level: str, vm_id: str, sink: BoundedSink | None = None
) -> None:
    """Sends all logs to a sink.

    Args:
        level: Lowest level that is logged.
        vm_id: Identifier of this VM, added to each line.
        sink: Destination of the lines; standard error when None.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"vm": vm_id})
    loguru.logger.add(
        sink or sys.stderr,
        level=level,
        format=format_record,
        backtrace=False,
    )
    logging.basicConfig(
        handlers=[StandardLoggingHandler()], level=logging.WARNING, force=True
    )


def get_logger(module: str) -> "Logger":
    """Returns the logger of a module."""
    return loguru.logger.bind(module=module.removeprefix("rattanroute."))
