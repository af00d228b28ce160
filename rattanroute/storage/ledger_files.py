"""File in which a voter stores the ledger."""

import pathlib

from rattanroute.storage.records import FileAccess
from rattanroute.storage.state_files import StateFile

LEDGER_FILE_NAME = "ledger.log"


class LedgerFile(StateFile):
    """The ledger file.

    A holder whose file was damaged starts empty and installs the state of
    another holder.
    """

    def __init__(self, folder: pathlib.Path, *, files: FileAccess) -> None:
        """Opens the ledger file of a data folder."""
        super().__init__(folder, LEDGER_FILE_NAME, files=files)
