"""Starts a program; a SIGHUP during the imports is kept until it can reload.

The default action of SIGHUP would end the process, so the handler is set
before anything else is imported.
"""

import importlib
import signal

PROGRAMS_MODULE = "rattanroute.platform.programs"

reload_requests: list[int] = []


def main() -> None:
    """Imports the program and runs it."""
    signal.signal(
        signal.SIGHUP, lambda number, frame: reload_requests.append(number)
    )
    programs = importlib.import_module(PROGRAMS_MODULE)
    programs.run_program(reload_requests=reload_requests)


if __name__ == "__main__":
    main()
