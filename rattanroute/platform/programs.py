"""Command line of the platform's programs."""

import asyncio
import importlib
import os
import pathlib
import signal
import sys

import click
import uvloop

from rattanroute.allocators import keep_large_blocks_mapped
from rattanroute.errors import RouterError
from rattanroute.errors import SettingsError
from rattanroute.logs import BoundedSink
from rattanroute.logs import configure_logs
from rattanroute.logs import get_logger
from rattanroute.platform.client_limits import ClientLimitOptions
from rattanroute.platform.daemons import PlatformDaemon
from rattanroute.platform.settings import load_boot_settings
from rattanroute.platform.settings import PATH_VARIABLE
from rattanroute.startup import freeze_startup_objects

# Only the module of the chosen role is imported, to shorten the start.
ROLES = {
    "front": ("rattanroute.platform.fronts", "FrontDaemon"),
    "core": ("rattanroute.platform.cores", "CoreDaemon"),
}
FAILURE_EXIT_CODE = 1
SETTINGS_EXIT_CODE = 2
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

log = get_logger(__name__)


@click.command()
@click.argument("role", type=click.Choice(sorted(ROLES)))
@click.option(
    "--config",
    "path",
    type=click.Path(path_type=pathlib.Path),
    help=f"Settings file; by default the one that {PATH_VARIABLE} names.",
)
@click.option(
    "--client-memory-mb",
    type=click.FloatRange(min=0),
    default=0.0,
    help="Memory for clients in MB; 0 derives it from the machine's.",
)
@click.option(
    "--max-client-connections",
    type=click.IntRange(min=0),
    default=0,
    help="Client connections; 0 derives them from the machine's descriptors.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.pass_obj
def start(
    reload_requests: list[int],
    *,
    role: str,
    path: pathlib.Path | None,
    client_memory_mb: float,
    max_client_connections: int,
    check: bool,
) -> None:
    """Run a program of rattanroute on the platform.

    Exit codes: 0 after a planned stop, 1 when the program cannot run, 2 when
    the settings are wrong.
    """
    path = path or pathlib.Path(os.environ.get(PATH_VARIABLE, ""))
    try:
        boot = load_boot_settings(path)
        if check:
            click.echo(f"{path}: settings are correct")
            return
        sink = BoundedSink(descriptor=sys.stdout.fileno())
        keep_large_blocks_mapped()
        configure_logs(level="INFO", vm_id=boot.node, sink=sink)
        module, name = ROLES[role]
        build_daemon = getattr(importlib.import_module(module), name)
        client_limits = ClientLimitOptions(
            memory_mb=client_memory_mb, max_connections=max_client_connections
        )
        daemon = build_daemon(path=path, boot=boot, client_limits=client_limits)
        uvloop.run(run_process(daemon, reload_requests))
    except RouterError as error:
        click.echo(f"rattanroute: {error}", err=True)
        wrong = isinstance(error, SettingsError)
        sys.exit(SETTINGS_EXIT_CODE if wrong else FAILURE_EXIT_CODE)


def run_program(*, reload_requests: list[int]) -> None:
    """Runs the program that the command line selects.

    Args:
        reload_requests: SIGHUPs that arrive before the daemon handles them.
    """
    start(obj=reload_requests)


async def run_process(
    daemon: PlatformDaemon, reload_requests: list[int]
) -> None:
    """Runs a daemon, then ignores signals until the process has ended.

    The end of the event loop restores the default actions, and a signal would
    change the exit code of a complete stop.

    Args:
        daemon: The daemon.
        reload_requests: SIGHUPs that arrived before this call.

    Raises:
        RouterError: If the daemon cannot start.
    """
    loop = asyncio.get_running_loop()
    try:
        await run_daemon(daemon, reload_requests)
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        for number in SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


async def run_daemon(
    daemon: PlatformDaemon, reload_requests: list[int]
) -> None:
    """Runs a daemon until SIGTERM or SIGINT.

    Args:
        daemon: The daemon.
        reload_requests: SIGHUPs that arrived before this call; if there are
            any, the settings are reloaded after the start.

    Raises:
        RouterError: If the daemon cannot start.
    """
    loop = asyncio.get_running_loop()
    signalled: asyncio.Future[float] = loop.create_future()

    def note_signal() -> None:
        if not signalled.done():
            signalled.set_result(loop.time())

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, note_signal)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    await daemon.start()
    if reload_requests:
        daemon.reload()
    freeze_startup_objects()
    await daemon.stop(signalled_at=await signalled)
