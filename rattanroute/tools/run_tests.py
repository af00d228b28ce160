"""Runs the test suite; failures that KNOWN-RED.txt lists do not fail it.

Each test module runs in a separate process, with a few processes in parallel.
Modules whose name ends with `_crowds` run alone, after all others.
A line of KNOWN-RED.txt without indentation names a test that is known to fail;
the indented lines below it describe the failure. Listed tests run like all
others.
"""

from collections.abc import Iterable
import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import time
import unittest

KNOWN_FAILURES_FILE = pathlib.Path("KNOWN-RED.txt")
TESTS_FOLDER = "rattanroute/tests"
# Each integration test starts a cluster of a few dozen processes.
PARALLEL_MODULES = 4
# Parts of the names of modules that fill the machine with clients. Beside other
# tests they would slow these down.
EXCLUSIVE_MARKS = ("_crowds", ".test_untrusted_")
# Well above the duration of the slowest module; a module that hangs fails.
MODULE_TIMEOUT_SECONDS = 900


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ModuleResult:
    """The result of a test module.

    Attributes:
        module: Dotted name of the module.
        tests: Number of tests that ran.
        failures: Identifiers of the failed tests; the module name if the
            module ended without a result.
        output: Output of the test runner.
        seconds: Duration of the run.
    """

    module: str
    tests: int
    failures: tuple[str, ...]
    output: str
    seconds: float


def read_known_failures(path: pathlib.Path) -> frozenset[str]:
    """Returns the identifiers of the tests that a file lists.

    A missing file lists none.
    """
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.strip() for line in lines if line and not line[0].isspace()
    )


def get_failed_test_ids(
    failures: Iterable[tuple[unittest.TestCase, str]],
) -> list[str]:
    """Returns the identifiers of failed tests.

    A failed subtest counts as a failure of its test.
    """
    return [
        getattr(test, "test_case", test).id().split(" ")[0]
        for test, _ in failures
    ]


def split_known_failures(
    names: Iterable[str], known: frozenset[str]
) -> tuple[list[str], list[str]]:
    """Splits failed tests into those known to fail and others."""
    names = list(names)
    listed = [name for name in names if name in known]
    return listed, [name for name in names if name not in known]


def find_test_modules() -> list[str]:
    """Returns the names of all test modules, integration tests first."""
    paths = pathlib.Path(TESTS_FOLDER).rglob("test_*.py")
    names = [".".join(path.with_suffix("").parts) for path in paths]
    return sorted(names, key=lambda name: ("integration" not in name, name))


def run_module(module: str) -> None:
    """Runs a module in this process and prints its result as JSON."""
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    result = unittest.TextTestRunner(stream=sys.stderr).run(suite)
    failures = get_failed_test_ids([*result.failures, *result.errors])
    print(json.dumps({"tests": result.testsRun, "failures": failures}))


def run_module_process(module: str) -> ModuleResult:
    """Runs a module in a separate process."""
    started = time.monotonic()
    command = [sys.executable, "-m", "rattanroute.tools.run_tests", module]
    try:
        process = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_SECONDS,
            check=False,
        )
        outcome = json.loads(process.stdout.splitlines()[-1])
        tests, failures = outcome["tests"], tuple(outcome["failures"])
        output = process.stderr
    except subprocess.TimeoutExpired as error:
        tests, failures, output = 0, (module,), f"{module}: {error}"
    except (IndexError, ValueError):
        tests, failures, output = 0, (module,), process.stderr
    return ModuleResult(
        module=module,
        tests=tests,
        failures=failures,
        output=output,
        seconds=time.monotonic() - started,
    )


def split_exclusive_modules(
    modules: Iterable[str],
) -> tuple[list[str], list[str]]:
    """Splits modules into those that run in parallel and those that do not."""
    modules = list(modules)
    exclusive = [
        name
        for name in modules
        if any(mark in name for mark in EXCLUSIVE_MARKS)
    ]
    return [name for name in modules if name not in exclusive], exclusive


def run_modules(modules: list[str], processes: int) -> list[ModuleResult]:
    """Runs modules and prints the output of those with failures.

    Args:
        modules: Names of the modules.
        processes: Number of modules that run at the same time.
    """
    results = []
    with concurrent.futures.ThreadPoolExecutor(processes) as executor:
        for result in executor.map(run_module_process, modules):
            result_text = "failed" if result.failures else "ok"
            print(
                f"{result.module}: {result.tests} tests in "
                f"{result.seconds:.1f} s: {result_text}",
                flush=True,
            )
            if result.failures:
                print(result.output, flush=True)
            results.append(result)
    return results


def run_all_modules() -> list[ModuleResult]:
    """Runs all modules."""
    parallel, exclusive = split_exclusive_modules(find_test_modules())
    results = run_modules(parallel, PARALLEL_MODULES)
    return results + run_modules(exclusive, 1)


def main() -> None:
    """Run the suite, or one module of it."""
    if len(sys.argv) > 1:
        run_module(sys.argv[1])
        return
    known = read_known_failures(KNOWN_FAILURES_FILE)
    results = run_all_modules()
    failures = [name for result in results for name in result.failures]
    listed, others = split_known_failures(failures, known)
    for name in sorted(known):
        seen = "failed" if name in listed else "passed"
        print(f"known red: {name}: {seen} in this run")
    for name in others:
        print(f"failed: {name}")
    tests = sum(result.tests for result in results)
    print(f"{tests - len(set(failures))} passed, {len(set(others))} failed")
    sys.exit(1 if others or tests == 0 else 0)


if __name__ == "__main__":
    main()
