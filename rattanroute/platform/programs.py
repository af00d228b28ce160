"""Command line of the platform's programs."""

import asyncio
import importlib
import math
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
from rattanroute.startup import enable_collection
from rattanroute.startup import freeze_startup_objects
from rattanroute.systems.hedges import HedgeSettings
from rattanroute.systems.priority_reservations import AdmissionSettings
from rattanroute.systems.priority_reservations import MINIMUM_SHARE

# Only the module of the chosen role is imported, to shorten the start.
ROLES = {
    "front": ("rattanroute.platform.fronts", "FrontDaemon"),
    "core": ("rattanroute.platform.cores", "CoreDaemon"),
}
REQUEST_ROLE = "front"
# Two less urgent priorities then get all capacity that is granted.
MAX_MINIMUM_SHARE = 0.5
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
    "--hedge-ratio",
    type=click.FloatRange(min=0.0, max=1.0),
    help="Second attempts of late requests, as a fraction of the requests "
    "that may be repeated; only for `front`, together with --hedge-rate. "
    "Without both options, or with 0, there are none.",
)
@click.option(
    "--hedge-rate",
    type=click.FloatRange(min=0.0),
    help="Most second attempts of this VM per second.",
)
@click.option(
    "--ranked-admission/--no-ranked-admission",
    default=True,
    show_default=True,
    help="front: Serve the most urgent requests of all machines first.",
)
@click.option(
    "--minimum-share",
    type=click.FloatRange(0.0, MAX_MINIMUM_SHARE),
    default=MINIMUM_SHARE,
    show_default=True,
    help="front: Part of the granted capacity that each priority may use.",
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
    hedge_ratio: float | None,
    hedge_rate: float | None,
    client_memory_mb: float,
    max_client_connections: int,
    check: bool,
    ranked_admission: bool,
    minimum_share: float,
) -> None:
    """Run a program of rattanroute on the platform.

    Exit codes: 0 after a planned stop, 1 when the program cannot run, 2 when
    the settings are wrong.
    """
    options: dict[str, object] = {
        **build_options(role, ratio=hedge_ratio, per_second=hedge_rate)
    }
    options["client_limits"] = ClientLimitOptions(
        memory_mb=client_memory_mb, max_connections=max_client_connections
    )
    if role == REQUEST_ROLE:
        options["admission"] = AdmissionSettings(
            enabled=ranked_admission, minimum_share=minimum_share
        )
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
        enable_collection()
        daemon = build_daemon(path=path, boot=boot, **options)
        uvloop.run(run_process(daemon, reload_requests))
    except RouterError as error:
        click.echo(f"rattanroute: {error}", err=True)
        wrong = isinstance(error, SettingsError)
        sys.exit(SETTINGS_EXIT_CODE if wrong else FAILURE_EXIT_CODE)


def build_options(
    role: str, *, ratio: float | None, per_second: float | None
) -> dict[str, HedgeSettings]:
    """Returns the arguments of a daemon that the command line sets.

    Args:
        role: Role of the program.
        ratio: Hedges per request; None if not set, 0 for no hedging.
        per_second: Hedges per second; None if not set, 0 for no hedging.

    Raises:
        click.UsageError: If only one of the limits is set, one is no number,
            or the role forwards no requests.
    """
    if ratio is None and per_second is None:
        return {}
    if ratio is None or per_second is None:
        raise click.UsageError("--hedge-ratio and --hedge-rate belong together")
    if math.isnan(ratio) or math.isnan(per_second):
        raise click.UsageError("--hedge-ratio and --hedge-rate are numbers")
    if role != REQUEST_ROLE:
        raise click.UsageError(f"only {REQUEST_ROLE} forwards requests")
    if not ratio or not per_second:
        return {}
    return {"hedging": HedgeSettings(ratio=ratio, per_second=per_second)}


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
