"""Tests of loading and validating settings."""

import pathlib
import tempfile
import unittest

from expression import Result

from rattanroute.errors import SettingsError
from rattanroute.settings import DaemonSettings
from rattanroute.settings import load_settings


def load_text(text: str) -> Result[DaemonSettings, SettingsError]:
    """Loads settings from a text."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "settings.yaml")
        path.write_text(text, encoding="utf-8")
        return load_settings(path)


class LoadSettingsTest(unittest.TestCase):
    """Guards against accepting invalid settings and unclear error messages."""

    def test_minimal_settings_get_defaults(self) -> None:
        result = load_text("vm_id: vm-1\ndata_centre: dc-a\n")
        self.assertTrue(result.is_ok())
        self.assertEqual(result.ok.limits.max_body_bytes, 1_048_576)

    def test_unknown_setting_is_reported_with_its_path(self) -> None:
        result = load_text(
            "vm_id: vm-1\ndata_centre: dc-a\nlimits:\n  max_bdy: 3\n"
        )
        self.assertIn("limits.max_bdy: unknown setting", str(result.error))

    def test_invalid_value_is_reported(self) -> None:
        result = load_text(
            "vm_id: vm-1\ndata_centre: dc-a\nlisten:\n  callers: nowhere\n"
        )
        self.assertIn("listen.callers", str(result.error))
        self.assertIn("nowhere", str(result.error))

    def test_voter_without_folder_is_rejected(self) -> None:
        result = load_text(
            "vm_id: vm-1\ndata_centre: dc-a\nstorage:\n  voter: true\n"
        )
        self.assertIn("storage.voter needs storage.folder", str(result.error))

    def test_invalid_yaml_returns_an_error(self) -> None:
        self.assertTrue(load_text("vm_id: [").is_error())
