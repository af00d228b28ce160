"""Starts a program and stores each SIGHUP that arrives during the imports.

The default action of SIGHUP would end the process, so the handler is installed
before anything else is imported. The program reloads its settings once it runs.
With the interpreter's option `-S`, which halves its own start, the folders of
packages are added after that. Garbage collection is disabled until all modules
have been imported.
"""

import gc
import importlib
import signal
import sys

PROGRAMS_MODULE = "rattanroute.platform.programs"

reload_requests: list[int] = []


def main() -> None:
    """Installs the SIGHUP handler, imports the program and runs it."""
    signal.signal(
        signal.SIGHUP, lambda number, frame: reload_requests.append(number)
    )
    gc.disable()
    if sys.flags.no_site:
        importlib.import_module("site").main()
    programs = importlib.import_module(PROGRAMS_MODULE)
    programs.run_program(reload_requests=reload_requests)


if __name__ == "__main__":
    main()
