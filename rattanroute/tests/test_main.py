"""Tests of the daemon's command line."""

import pathlib
import socket
import tempfile
import unittest

from click.testing import CliRunner
from click.testing import Result

from rattanroute.__main__ import main

MINIMAL = "vm_id: vm-1\ndata_centre: dc-a\n"


class DaemonCommandTest(unittest.TestCase):
    """Guards against stack traces and wrong exit codes on user errors."""

    def run_daemon(self, text: str, *options: str) -> Result:
        """Runs the command with a settings file of this text."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder, "settings.yaml")
        path.write_text(text, encoding="utf-8")
        return CliRunner().invoke(main, ["--config", str(path), *options])

    def test_valid_settings_pass_the_check(self) -> None:
        result = self.run_daemon(MINIMAL, "--check")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("settings are correct", result.output)

    def test_invalid_setting_exits_with_2_and_names_it(self) -> None:
        result = self.run_daemon(MINIMAL + "limits: {max_queued: 0}\n")
        self.assertEqual(result.exit_code, 2)
        self.assertIn("limits.max_queued", result.output)
        self.assertNotIn("Traceback", result.output)

    def test_check_reads_the_token_files(self) -> None:
        text = MINIMAL + "security: {operators_token_file: missing.token}\n"
        result = self.run_daemon(text, "--check")
        self.assertEqual(result.exit_code, 2)
        self.assertIn("missing.token", result.output)

    def test_address_in_use_exits_with_1_on_one_line(self) -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = taken.getsockname()[1]
            text = MINIMAL + f"listen: {{peers: '127.0.0.1:{port}'}}\n"
            result = self.run_daemon(text)
        self.assertEqual(result.exit_code, 1)
        self.assertIn(f"listen (127.0.0.1:{port})", result.output)
        self.assertNotIn("Traceback", result.output)
