"""Starts the daemon."""

import pathlib
import sys

import aiomisc
import click
import uvloop

from rattanroute import VERSION
from rattanroute.daemons import Daemon
from rattanroute.logs import configure_logs
from rattanroute.settings import DaemonSettings
from rattanroute.settings import load_settings

SETTINGS_EXIT_CODE = 2
STOP_MARGIN_SECONDS = 10.0


class DaemonService(aiomisc.Service):
    """Runs a daemon within the entry point of aiomisc."""

    __required__ = ("settings",)
    settings: DaemonSettings

    async def start(self) -> None:
        """Starts the daemon."""
        self.daemon = Daemon(settings=self.settings)
        await self.daemon.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the daemon as planned."""
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
    """Run a daemon of rattanroute."""
    result = load_settings(path)
    if result.is_error():
        click.echo(f"rattanrouted: {result.error}", err=True)
        sys.exit(SETTINGS_EXIT_CODE)
    settings = result.ok
    if check:
        click.echo(f"{path}: settings are correct")
        return
    configure_logs(level=settings.telemetry.log_level, vm_id=settings.vm_id)
    with aiomisc.entrypoint(
        DaemonService(settings=settings),
        log_config=False,
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=settings.limits.shutdown_grace_s + STOP_MARGIN_SECONDS,
    ) as loop:
        loop.run_forever()


if __name__ == "__main__":
    main()
