"""Tests of the test runner."""

import pathlib
import tempfile
import unittest

from rattanroute.tools.run_tests import find_modules
from rattanroute.tools.run_tests import name_failures
from rattanroute.tools.run_tests import read_known_red
from rattanroute.tools.run_tests import run_process
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
        names = name_failures([(test, "trace")])
        self.assertEqual(
            split_failures(names, frozenset({test.id()})), ([test.id()], [])
        )
        self.assertEqual(split_failures(names, frozenset()), ([], [test.id()]))

    def test_module_without_a_result_fails(self) -> None:
        result = run_process("rattanroute.tests.no_such_module")
        self.assertTrue(result.failures)

    def test_each_module_is_found(self) -> None:
        modules = find_modules()
        self.assertIn(__name__, modules)
        self.assertIn("rattanroute.tests.integration.test_stops", modules)
        self.assertEqual(len(modules), len(set(modules)))
