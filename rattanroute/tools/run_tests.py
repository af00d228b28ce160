"""Runs the test suite; failures that KNOWN-RED.txt lists do not fail it.

A line of KNOWN-RED.txt that does not start with a blank names a test; the
indented lines below it describe the case. Listed tests run like all others.
"""

import pathlib
import sys
import unittest

KNOWN_RED_FILE = pathlib.Path("KNOWN-RED.txt")
TESTS_FOLDER = "rattanroute/tests"


def read_known_red(path: pathlib.Path) -> frozenset[str]:
    """Returns the identifiers of the listed tests."""
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.strip() for line in lines if line and not line[0].isspace()
    )


def split_failures(
    failures: list[tuple[unittest.TestCase, str]], known: frozenset[str]
) -> tuple[list[str], list[str]]:
    """Splits failed tests into listed ones and others, by identifier.

    A failed subtest counts for its test.
    """
    names = [
        getattr(test, "test_case", test).id().split(" ")[0]
        for test, _ in failures
    ]
    listed = [name for name in names if name in known]
    return listed, [name for name in names if name not in known]


def main() -> None:
    """Run the suite."""
    known = read_known_red(KNOWN_RED_FILE)
    suite = unittest.defaultTestLoader.discover(TESTS_FOLDER, top_level_dir=".")
    result = unittest.TextTestRunner().run(suite)
    failures = [*result.failures, *result.errors]
    listed, others = split_failures(failures, known)
    for name in sorted(known):
        seen = "failed" if name in listed else "passed"
        print(f"known red: {name}: {seen} in this run")
    print(f"{result.testsRun - len(failures)} passed, {len(others)} failed")
    sys.exit(1 if others or result.testsRun == 0 else 0)


if __name__ == "__main__":
    main()
