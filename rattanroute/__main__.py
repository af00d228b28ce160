"""Command line of the daemon."""

import pathlib
import sys
from typing import NoReturn

import aiomisc
import click
import uvloop

from rattanroute import VERSION
from rattanroute.daemons import Daemon
from rattanroute.errors import RouterError
from rattanroute.errors import SettingsError
from rattanroute.logs import configure_logs
from rattanroute.security import DaemonCredentials
from rattanroute.settings import DaemonSettings
from rattanroute.settings import load_settings
from rattanroute.startup import freeze_startup_objects

FAILURE_EXIT_CODE = 1
SETTINGS_EXIT_CODE = 2
# Refusals, unsent usage, the handover of claims and the end of all connections
# follow the grace.
STOP_MARGIN_SECONDS = 25.0


class DaemonService(aiomisc.Service):
    """Runs a daemon as a service of aiomisc."""

    __required__ = ("daemon",)
    daemon: Daemon

    async def start(self) -> None:
        """Starts the daemon."""
        await self.daemon.start()
        freeze_startup_objects()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the daemon gracefully."""
        await self.daemon.stop()


@click.command()
@click.version_option(VERSION, prog_name="rattanrouted")
@click.option(
    "--config",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="YAML settings file.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(path: pathlib.Path, check: bool) -> None:
    """Run a daemon of rattanroute.

    Exit codes: 0 after a planned stop, 1 when the daemon cannot run, 2 when
    the settings are wrong.
    """
    result = load_settings(path)
    if result.is_error():
        exit_with_error(result.error)
    settings = result.ok
    try:
        if check:
            DaemonCredentials(settings=settings)
            click.echo(f"{path}: settings are correct")
            return
        configure_logs(level=settings.telemetry.log_level, vm_id=settings.vm_id)
        run_daemon(settings)
    except RouterError as error:
        exit_with_error(error)


def exit_with_error(error: RouterError) -> NoReturn:
    """Prints an error on one line and exits with the matching code."""
    click.echo(f"rattanrouted: {error}", err=True)
    is_settings_error = isinstance(error, SettingsError)
    sys.exit(SETTINGS_EXIT_CODE if is_settings_error else FAILURE_EXIT_CODE)


def run_daemon(settings: DaemonSettings) -> None:
    """Runs the daemon until it receives a signal to stop.

    Raises:
        RouterError: If the daemon cannot start.
    """
    grace = settings.limits.shutdown_grace_s
    with aiomisc.entrypoint(
        DaemonService(daemon=Daemon(settings=settings)),
        log_config=False,
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=grace + STOP_MARGIN_SECONDS,
    ) as loop:
        loop.run_forever()


if __name__ == "__main__":
    main()
