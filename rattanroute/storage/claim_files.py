"""File in which a VM with a disk stores the claims that it holds."""

import pathlib

from rattanroute.storage.records import FileAccess
from rattanroute.storage.state_files import StateFile

CLAIMS_FILE_NAME = "claims.log"


class ClaimFile(StateFile):
    """The claims file.

    A holder whose file was damaged starts without claims and recovers them
    from the other holders.
    """

    def __init__(self, folder: pathlib.Path, *, files: FileAccess) -> None:
        """Opens the claims file of a data folder."""
        super().__init__(folder, CLAIMS_FILE_NAME, files=files)
