"""Tests of the test runner."""

import pathlib
import tempfile
import unittest

from rattanroute.tools.run_tests import read_known_red
from rattanroute.tools.run_tests import split_failures


class Sample(unittest.TestCase):
    """A test case that is never collected by its own name."""

    def runTest(self) -> None:  # noqa: N802
        """Does nothing."""


class KnownRedTest(unittest.TestCase):
    """Guards against failures that are passed over without being listed."""

    def test_only_unindented_lines_name_tests(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "KNOWN-RED.txt")
            path.write_text("a.B.test_c\n  seed: 3\n\nd.E.test_f\n", "utf-8")
            self.assertEqual(read_known_red(path), {"a.B.test_c", "d.E.test_f"})
            self.assertEqual(read_known_red(path.with_name("none")), set())

    def test_failures_that_are_not_listed_count(self) -> None:
        test = Sample()
        failures = [(test, "trace")]
        self.assertEqual(
            split_failures(failures, frozenset({test.id()})), ([test.id()], [])
        )
        self.assertEqual(
            split_failures(failures, frozenset()), ([], [test.id()])
        )
