"""Logs: one line of key=value pairs for each event."""

import json
import logging
import pathlib
import sys
import traceback
import types
from typing import TextIO
from typing import TYPE_CHECKING

import loguru

if TYPE_CHECKING:
    from loguru import Logger
    from loguru import Record

HIDDEN_KEYS = frozenset({"authorization", "token", "key"})


def format_value(value: object) -> str:
    """Returns a value, quoted when it holds a space, a quote or `=`."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and text.isprintable() and not any(c in text for c in ' "=\\'):
        return text
    # Some line separators and lone surrogates are not escaped otherwise.
    return json.dumps(text, ensure_ascii=not text.isprintable())


def format_record(record: "Record") -> str:
    """Returns a template for one line; loguru fills in `extra[line]`."""
    pairs = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "event": record["message"],
    }
    for name, value in record["extra"].items():
        if name == "line":
            continue
        pairs[name] = "hidden" if name in HIDDEN_KEYS else value
    exception = record["exception"]
    if exception is not None:
        pairs["error_type"] = type(exception.value).__name__
        pairs["error"] = exception.value
        if exception.traceback is not None:
            pairs["at"] = describe_place(exception.traceback)
    line = " ".join(f"{k}={format_value(v)}" for k, v in pairs.items())
    record["extra"]["line"] = line
    return "{extra[line]}\n"


def describe_place(start: types.TracebackType) -> str:
    """Returns the file and line at which an exception arose."""
    frame = traceback.extract_tb(start)[-1]
    return f"{pathlib.PurePath(frame.filename).name}:{frame.lineno}"


class StandardLoggingHandler(logging.Handler):
    """Passes records of the standard library's loggers to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs one record under the same level."""
        logger = loguru.logger.bind(module=record.name)
        logger.opt(exception=record.exc_info).log(
            record.levelname, "{}", record.getMessage()
        )


def configure_logs(
    *, level: str, vm_id: str, stream: TextIO = sys.stderr
) -> None:
    """Sends all logs to a stream.

    Args:
        level: Least severe level that is logged.
        vm_id: Identifier of this VM, part of each line.
        stream: Where the lines go.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"vm": vm_id})
    loguru.logger.add(
        stream, level=level, format=format_record, backtrace=False
    )
    logging.basicConfig(
        handlers=[StandardLoggingHandler()], level=logging.WARNING, force=True
    )


def get_logger(module: str) -> "Logger":
    """Returns the logger of a module."""
    return loguru.logger.bind(module=module.removeprefix("rattanroute."))
