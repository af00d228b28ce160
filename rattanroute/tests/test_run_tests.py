"""Tests of the test runner."""

import pathlib
import tempfile
import unittest

from rattanroute.tools.run_tests import find_test_modules
from rattanroute.tools.run_tests import get_failed_test_ids
from rattanroute.tools.run_tests import read_known_failures
from rattanroute.tools.run_tests import run_module_process
from rattanroute.tools.run_tests import split_exclusive_modules
from rattanroute.tools.run_tests import split_known_failures


class Sample(unittest.TestCase):
    """A test case that provides an identifier and checks nothing."""

    def runTest(self) -> None:  # noqa: N802
        """Does nothing."""


class KnownFailuresTest(unittest.TestCase):
    """Guards against ignoring failures that KNOWN-RED.txt does not list."""

    def test_only_unindented_lines_name_tests(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "KNOWN-RED.txt")
            path.write_text("a.B.test_c\n  seed: 3\n\nd.E.test_f\n", "utf-8")
            self.assertEqual(
                read_known_failures(path), {"a.B.test_c", "d.E.test_f"}
            )
            self.assertEqual(read_known_failures(path.with_name("none")), set())

    def test_failures_that_are_not_listed_count(self) -> None:
        test = Sample()
        names = get_failed_test_ids([(test, "trace")])
        self.assertEqual(
            split_known_failures(names, frozenset({test.id()})),
            ([test.id()], []),
        )
        self.assertEqual(
            split_known_failures(names, frozenset()), ([], [test.id()])
        )

    def test_module_without_a_result_fails(self) -> None:
        result = run_module_process("rattanroute.tests.no_such_module")
        self.assertTrue(result.failures)

    def test_each_module_is_found(self) -> None:
        modules = find_test_modules()
        self.assertIn(__name__, modules)
        self.assertIn("rattanroute.tests.integration.test_stops", modules)
        self.assertEqual(len(modules), len(set(modules)))

    def test_crowds_run_alone(self) -> None:
        """Guards against crowds beside tests that depend on the load."""
        modules = find_test_modules()
        parallel, exclusive = split_exclusive_modules(modules)
        names = [name.rpartition(".")[2] for name in exclusive]
        self.assertEqual(
            names,
            [
                "test_client_crowds",
                "test_pipelining_crowds",
                "test_pipelining_daemon_crowds",
                "test_untrusted_daemon_clients",
                "test_untrusted_daemon_peers",
                "test_untrusted_tunnels",
            ],
        )
        self.assertEqual(set(parallel), set(modules) - set(exclusive))
