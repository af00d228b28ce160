"""The command line of the programs on the platform's machines."""

import asyncio
import importlib
import os
import pathlib
import signal
import sys

import click
import uvloop

from rattanroute.errors import RouterError
from rattanroute.errors import SettingsError
from rattanroute.logs import BoundedSink
from rattanroute.logs import configure_logs
from rattanroute.logs import get_logger
from rattanroute.platform.daemons import PlatformDaemon
from rattanroute.platform.settings import load_boot
from rattanroute.platform.settings import PATH_VARIABLE
from rattanroute.startup import freeze_startup_objects

# Only the module of the role is imported, as each start costs time.
ROLES = {
    "front": ("rattanroute.platform.fronts", "FrontDaemon"),
    "core": ("rattanroute.platform.cores", "CoreDaemon"),
}
FAILURE_EXIT_CODE = 1
SETTINGS_EXIT_CODE = 2

log = get_logger(__name__)


@click.command()
@click.argument("role", type=click.Choice(sorted(ROLES)))
@click.option(
    "--config",
    "path",
    type=click.Path(path_type=pathlib.Path),
    help=f"Settings file; by default the one that {PATH_VARIABLE} names.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.pass_obj
def start(
    reload_requests: list[int],
    role: str,
    path: pathlib.Path | None,
    check: bool,
) -> None:
    """Run a program of rattanroute on the platform.

    Exit codes: 0 after a planned stop, 1 when the program cannot run, 2 when
    the settings are wrong.
    """
    path = path or pathlib.Path(os.environ.get(PATH_VARIABLE, ""))
    try:
        boot = load_boot(path)
        if check:
            click.echo(f"{path}: settings are correct")
            return
        sink = BoundedSink(descriptor=sys.stdout.fileno())
        configure_logs(level="INFO", vm_id=boot.node, sink=sink)
        module, name = ROLES[role]
        build_daemon = getattr(importlib.import_module(module), name)
        daemon = build_daemon(path=path, boot=boot)
        uvloop.run(run(daemon, reload_requests))
    except RouterError as error:
        click.echo(f"rattanroute: {error}", err=True)
        wrong = isinstance(error, SettingsError)
        sys.exit(SETTINGS_EXIT_CODE if wrong else FAILURE_EXIT_CODE)


def run_program(*, reload_requests: list[int]) -> None:
    """Runs the program that the command line names.

    Args:
        reload_requests: SIGHUPs that came before the program listens to them.
    """
    start(obj=reload_requests)


async def run(daemon: PlatformDaemon, reload_requests: list[int]) -> None:
    """Runs a program until it is told to stop.

    Args:
        daemon: The program.
        reload_requests: SIGHUPs that came before this call.

    Raises:
        RouterError: If it cannot start.
    """
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    await daemon.start()
    if reload_requests:
        daemon.reload()
    freeze_startup_objects()
    await stopped.wait()
    await daemon.stop()
