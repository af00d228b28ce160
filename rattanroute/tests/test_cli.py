"""Tests of the command-line tool."""

import asyncio
import json
import logging
import pathlib
import socket
import tempfile
import unittest

import click
from click.testing import CliRunner
from click.testing import Result

from rattanroute.security import TokenFile
from rattanroute.systems.configuration_state_machines import (
    ConfigurationStateMachine,
)
from rattanroute.tests.operator_support import build_operators
from rattanroute.tests.operator_support import FakeLog
from rattanroute.tests.operator_support import ServerThread
from rattanroute.tools import cli
from rattanroute.tools import settings_docs

DOCS = pathlib.Path(__file__).parents[2] / "docs"
CHANGE = """
operator: alice
expected_version: 0
operations:
  - put_neighbour: {name: n, share: 0.5}
  - put_workspace: {name: w, neighbour: n, weight: 2}
  - put_model: {name: m, version: "1", versions: ["1", "2"], layers: 8}
"""


def find_closed_address() -> str:
    """Returns an address where nothing listens."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


class CliTestCase(unittest.TestCase):
    """Runs the tool against a server with a fake replicated log."""

    def setUp(self) -> None:
        # grpclib logs connections that end early.
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.log = FakeLog(ConfigurationStateMachine())
        self.operators = build_operators(self.log)
        self.thread = ServerThread()
        self.addCleanup(self.thread.close)
        self.address = self.thread.start(self.operators)

    def run_tool(
        self, *args: str, code: int = 0, addresses: tuple[str, ...] = ()
    ) -> Result:
        """Runs the tool and checks its exit code."""
        options = []
        for address in addresses or (self.address,):
            options += ["--address", address]
        options += ["--timeout", "2"]
        result = CliRunner().invoke(
            cli.main, [*options, *args], prog_name="rattanroute"
        )
        self.assertEqual(result.exit_code, code, result.output)
        if not isinstance(result.exception, SystemExit | None):
            raise result.exception
        self.assertNotIn("Traceback", result.output)
        return result

    def write(self, text: str, name: str = "change.yaml") -> str:
        """Writes a file and returns its path."""
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return str(path)


class ChangeTest(CliTestCase):
    """Guards against wrong exit codes and changes that are applied twice."""

    def test_accepted_change(self) -> None:
        result = self.run_tool("apply", self.write(CHANGE))
        self.assertIn("accepted: version 1", result.stdout)
        workspace = self.log.machine.configuration.workspaces["w"]
        self.assertEqual(workspace.weight, 2.0)

    def test_json_file_and_json_output(self) -> None:
        text = json.dumps([{"drain_target": "t1"}])
        path = self.write(text, "change.json")
        result = self.run_tool("--output", "json", "apply", path)
        self.assertEqual(json.loads(result.stdout)["outcome"], "ACCEPTED")

    def test_dry_run_has_no_effect(self) -> None:
        self.run_tool("apply", self.write(CHANGE), "--dry-run")
        self.assertEqual(self.log.machine.replica.version, 0)

    def test_refused_change_names_the_path(self) -> None:
        path = self.write("[{put_workspace: {name: w, neighbour: none}}]")
        result = self.run_tool("apply", path, code=1)
        self.assertIn("operations[0].workspace.neighbour", result.stdout)

    def test_conflict_names_the_winner(self) -> None:
        self.run_tool("apply", self.write(CHANGE), "--command-id", "first")
        result = self.run_tool("apply", self.write(CHANGE), code=3)
        self.assertIn("command id first", result.stdout)

    def test_version_zero_in_the_file_is_not_replaced(self) -> None:
        self.run_tool("drain", "--target", "t1")
        self.run_tool("apply", self.write(CHANGE), code=3)

    def test_version_left_out_is_the_current_one(self) -> None:
        self.run_tool("drain", "--target", "t1")
        path = self.write("[{drain_target: t2}]")
        self.run_tool("apply", path)
        self.assertEqual(self.log.machine.replica.version, 2)

    def test_wrong_files_are_usage_errors(self) -> None:
        for text in (
            "operations: [{put_neighbour: {nam: n}}]",
            "operations: [{put_neighbour: {name: n, share: much}}]",
            "operations: {a: [",
            "- just text",
            "just text",
            "7",
            "operations: 3",
        ):
            with self.subTest(text=text):
                result = self.run_tool("apply", self.write(text), code=2)
                self.assertIn("change.yaml", result.stderr)
        self.run_tool("apply", str(self.folder / "none"), code=2)
        (self.folder / "binary").write_bytes(b"\xff\xfe\x00")
        self.run_tool("apply", str(self.folder / "binary"), code=2)

    def test_unknown_outcome_prints_the_resend_options(self) -> None:
        self.log.lost_answers = 1
        result = self.run_tool("apply", self.write(CHANGE), code=5)
        command_id = next(iter(self.log.machine.commands))
        hint = f"--command-id {command_id} --expected-version 0"
        self.assertIn(hint, result.stderr)
        path = self.write(CHANGE)
        self.run_tool("apply", path, "--command-id", command_id)
        self.assertEqual(self.log.machine.replica.version, 1)

    def test_next_address_gets_the_same_command(self) -> None:
        self.log.lost_answers = 1
        other = self.thread.start(build_operators(self.log))
        self.run_tool(
            "apply", self.write(CHANGE), addresses=(self.address, other)
        )
        self.assertEqual(self.log.index, 2)
        self.assertEqual(self.log.machine.replica.version, 1)

    def test_change_that_was_never_proposed_is_not_unknown(self) -> None:
        self.log.lost_proposals = 1
        self.run_tool("apply", self.write(CHANGE), code=4)

    def test_drain_and_undrain(self) -> None:
        self.run_tool("drain", "--target", "t1", "--vm", "vm-2")
        result = self.run_tool("list", "drained-vms")
        self.assertIn("vm-2", result.stdout)
        self.run_tool("undrain", "--target", "t1")
        self.run_tool("undrain", "--target", "t1", code=1)
        self.run_tool("drain", code=2)


class AddressTest(CliTestCase):
    """Guards against one unreachable VM that makes every command fail."""

    def test_next_address_is_tried(self) -> None:
        addresses = (find_closed_address(), self.address)
        self.run_tool("status", addresses=addresses)
        path = self.write(CHANGE)
        self.run_tool("apply", path, addresses=addresses)

    def test_no_address_answers(self) -> None:
        closed = (find_closed_address(),)
        self.run_tool("status", code=4, addresses=closed)
        self.run_tool("watch", code=4, addresses=closed)
        path = self.write(CHANGE)
        self.run_tool("apply", path, code=4, addresses=closed)

    def test_change_over_a_connection_that_breaks_is_unknown(self) -> None:
        async def hang_up(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read(100)
            writer.close()

        async def speak_http(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read(100)
            writer.write(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            writer.close()

        for handle in (hang_up, speak_http):
            address = (self.thread.listen(handle),)
            path = self.write(CHANGE)
            self.run_tool("apply", path, code=5, addresses=address)
            self.run_tool("status", code=4, addresses=address)

    def test_wrong_address_and_missing_files(self) -> None:
        self.run_tool("status", code=2, addresses=("nowhere",))
        none = str(self.folder / "none")
        self.run_tool("--token-file", none, "status", code=2)
        self.run_tool("--key-file", none, "status", code=2)

    def test_token(self) -> None:
        path = pathlib.Path(self.write("secret-token-1", "tokens"))
        address = (self.thread.start(self.operators, TokenFile(path)),)
        options = ("--token-file", str(path))
        self.run_tool(*options, "status", addresses=address)
        other = ("--token-file", self.write("secret-token-2", "other"))
        for arguments in ((), other):
            result = self.run_tool(
                *arguments, "status", code=2, addresses=address
            )
            self.assertNotIn("secret", result.output)


class ReadCommandTest(CliTestCase):
    """Guards against read commands that fail or omit data."""

    def setUp(self) -> None:
        super().setUp()
        self.run_tool("apply", self.write(CHANGE))

    def test_read_commands(self) -> None:
        for arguments, text in (
            (("get", "models", "m"), "versions"),
            (("list", "workspaces"), "WEIGHT"),
            (("list", "services"), "(none)"),
            (("status",), "configuration_version"),
            (("accounts",), "TOKENS_OUT"),
            (("trace", "r1"), "1970-01-01T00:00:01Z"),
            (("members",), "vm-1"),
            (("audit",), "put workspace w"),
            (("targets", "--model", "m"), "healthy"),
            (("watch", "--from-version", "0", "--count", "1"), "put model m"),
        ):
            with self.subTest(arguments=arguments):
                result = self.run_tool(*arguments)
                self.assertIn(text, result.stdout)
                result = self.run_tool("--output", "json", *arguments)
                for line in result.stdout.splitlines():
                    json.loads(line)

    def test_missing_entity_and_request(self) -> None:
        self.run_tool("get", "models", "x", code=1)
        self.run_tool("trace", "x", code=1)
        self.run_tool("get", "nothing", "x", code=2)

    def test_local_reads_work_without_a_majority(self) -> None:
        self.log.reachable = False
        self.run_tool("list", "models", code=4)
        result = self.run_tool("list", "models", "--local")
        self.assertIn("m", result.stdout)

    def test_long_lists_are_read_to_the_end(self) -> None:
        operations = [
            {"put_service": {"name": f"s{number:04}"}} for number in range(1500)
        ]
        self.run_tool("apply", self.write(json.dumps(operations)))
        result = self.run_tool("--output", "json", "list", "services")
        self.assertEqual(len(result.stdout.splitlines()), 1500)


class DocumentationTest(unittest.TestCase):
    """Guards against documentation and help that differ from the code."""

    def test_settings_page_is_generated(self) -> None:
        page = (DOCS / "SETTINGS.md").read_text(encoding="utf-8")
        self.assertEqual(page, settings_docs.build_page())

    def test_cli_page_names_every_command_option_and_exit_code(self) -> None:
        page = (DOCS / "CLI.md").read_text(encoding="utf-8")
        commands = [cli.main, *cli.main.commands.values()]
        for command in commands:
            for parameter in command.params:
                if isinstance(parameter, click.Option):
                    self.assertIn(parameter.opts[0], page)
        for name in cli.main.commands:
            self.assertIn(f"`rattanroute {name}", page)
        for code in cli.ExitCode:
            self.assertIn(f"| {int(code)} |", page)

    def test_help_of_each_command_shows_the_exit_codes(self) -> None:
        for name in ("", *cli.main.commands):
            arguments = [name, "--help"] if name else ["--help"]
            result = CliRunner().invoke(cli.main, arguments)
            self.assertEqual(result.exit_code, 0)
            self.assertIn("Exit codes", result.output)

    def test_shell_completion(self) -> None:
        result = CliRunner().invoke(
            cli.main,
            prog_name="rattanroute",
            env={"_RATTANROUTE_COMPLETE": "zsh_source"},
        )
        self.assertIn("_RATTANROUTE_COMPLETE", result.output)
