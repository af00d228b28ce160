"""Tests of log lines and of the log sink."""

import json
import os
import re
import unittest

import loguru

from rattanroute.logs import BoundedSink
from rattanroute.logs import format_record
from rattanroute.logs import format_value
from rattanroute.logs import get_logger
from rattanroute.logs import MAX_BUFFERED_BYTES
from rattanroute.logs import MAX_LINES_PER_SECOND

PAIR = r'[a-z_]+=(?:"(?:[^"\\]|\\.)*"|[^\s"=\\]+)'
LINE = re.compile(rf"{PAIR}(?: {PAIR})*\n")
HOSTILE = (
    "",
    "two words",
    "line\nbreak",
    "carriage\rreturn",
    'a "quote" and level=error',
    "back\\slash",
    "tab\tand\x00nul\x1b[31m",
    "next\x85line",
    "line\u2028separator\u2029",
    "\udcff",
    "{0} {missing} {extra[line]}",
    "<red>markup</red>",
    "naïve ünïcode",
)


class LogLineTest(unittest.TestCase):
    """Guards against log injection and secrets in the log."""

    def setUp(self) -> None:
        self.lines: list[str] = []
        handler = loguru.logger.add(
            self.record, format=format_record, backtrace=False, catch=False
        )
        self.addCleanup(loguru.logger.remove, handler)
        self.log = get_logger("rattanroute.tests")

    def record(self, message: str) -> None:
        """Records a line after encoding it as a UTF-8 stream does."""
        self.lines.append(str(message).encode().decode())

    def check_line(self) -> str:
        """Checks that a single line of pairs was logged and returns it."""
        (line,) = self.lines
        self.assertEqual(len(line.splitlines()), 1, repr(line))
        self.assertRegex(line, LINE)
        self.lines.clear()
        return line

    def test_hostile_value_takes_one_line(self) -> None:
        for value in HOSTILE:
            with self.subTest(value=value):
                self.log.info("an event", reason=value)
                line = self.check_line()
                text = line.partition(" reason=")[2].rstrip("\n")
                found = json.loads(text) if text.startswith('"') else text
                self.assertEqual(found, value)

    def test_hostile_message_takes_one_line(self) -> None:
        for value in HOSTILE:
            with self.subTest(value=value):
                self.log.info(value)
                self.check_line()

    def test_exception_takes_one_line(self) -> None:
        try:
            raise ValueError("first\nsecond level=info")
        except ValueError:
            self.log.exception("it failed")
        line = self.check_line()
        self.assertIn("error_type=ValueError", line)
        self.assertIn("at=test_logs.py:", line)

    def test_secrets_are_hidden(self) -> None:
        self.log.info("a call", authorization="s3cret", token="s3cret")
        self.log.info("a call", key="s3cret")
        for line in self.lines:
            self.assertNotIn("s3cret", line)
            self.assertIn("=hidden", line)

    def test_numbers_are_short(self) -> None:
        self.assertEqual(format_value(1 / 3), "0.333333")
        self.assertEqual(format_value(7), "7")
        self.assertEqual(format_value("plain"), "plain")


class BoundedSinkTest(unittest.TestCase):
    """Guards against a slow log reader that blocks the process."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.now = 0.0
        self.sink = BoundedSink(descriptor=self.writer, clock=lambda: self.now)

    def write(self, count: int) -> None:
        """Writes lines within one second."""
        for number in range(count):
            self.sink.write(f"event=line number={number}\n")

    def test_lines_beyond_the_rate_are_dropped_and_counted(self) -> None:
        self.write(MAX_LINES_PER_SECOND + 7)
        self.now = 1.0
        self.write(1)
        data = os.read(self.reader, 1_000_000)
        self.assertEqual(data.count(b"event=line"), MAX_LINES_PER_SECOND + 1)
        self.assertIn(b"count=7\n", data)

    def test_stalled_reader_does_not_block(self) -> None:
        for second in range(30):
            self.now = float(second)
            self.write(MAX_LINES_PER_SECOND)
        self.assertLess(len(self.sink.buffered), 2 * MAX_BUFFERED_BYTES)
        self.assertGreater(self.sink.dropped, 0)

    def test_closed_reader_is_no_error(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        BoundedSink(descriptor=writer).write("event=line\n")
