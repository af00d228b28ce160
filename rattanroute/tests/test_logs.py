"""Tests of the form of log lines."""

import json
import re
import unittest

import loguru

from rattanroute.logs import format_record
from rattanroute.logs import format_value
from rattanroute.logs import get_logger

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
    """Guards against forged lines and secrets in the log."""

    def setUp(self) -> None:
        self.lines: list[str] = []
        handler = loguru.logger.add(
            self.take, format=format_record, backtrace=False, catch=False
        )
        self.addCleanup(loguru.logger.remove, handler)
        self.log = get_logger("rattanroute.tests")

    def take(self, message: str) -> None:
        """Takes a line as a stream in UTF-8 would."""
        self.lines.append(str(message).encode().decode())

    def check_line(self) -> str:
        """Checks that one line of pairs was logged and returns it."""
        (line,) = self.lines
        self.assertEqual(len(line.splitlines()), 1, repr(line))
        self.assertRegex(line, LINE)
        self.lines.clear()
        return line

    def test_one_line_whatever_the_values_contain(self) -> None:
        for value in HOSTILE:
            with self.subTest(value=value):
                self.log.info("an event", reason=value)
                line = self.check_line()
                text = line.partition(" reason=")[2].rstrip("\n")
                found = json.loads(text) if text.startswith('"') else text
                self.assertEqual(found, value)

    def test_one_line_whatever_the_message_contains(self) -> None:
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

    def test_numbers_stay_short(self) -> None:
        self.assertEqual(format_value(1 / 3), "0.333333")
        self.assertEqual(format_value(7), "7")
        self.assertEqual(format_value("plain"), "plain")
