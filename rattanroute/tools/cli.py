"""Command-line tool with which operators manage a running system."""

import dataclasses
import getpass
import pathlib
import time
import uuid

import click

from rattanroute.addresses import parse_address
from rattanroute.errors import SettingsError
from rattanroute.proto import operators_pb2 as pb
from rattanroute.security import build_client_context
from rattanroute.security import TlsFiles
from rattanroute.security import TokenFile
from rattanroute.tables.changes import ANY_VERSION
from rattanroute.tools import cli_output
from rattanroute.tools.cli_checks import check
from rattanroute.tools.cli_client import CliError
from rattanroute.tools.cli_client import ExitCode
from rattanroute.tools.cli_client import OperatorsClient
from rattanroute.tools.cli_client import run

PAGE_SIZE = 1000
EXIT_CODES_HELP = """\b
Exit codes:
  0  done, or accepted
  1  refused, or not found
  2  wrong usage, file, token or settings
  3  conflict: another change took the expected version
  4  no address answered; nothing was changed
  5  the outcome is unknown: resend with the same --command-id and
     --expected-version
"""
KIND_BY_NAME = {
    "neighbours": pb.NEIGHBOUR,
    "workspaces": pb.WORKSPACE,
    "models": pb.MODEL,
    "services": pb.SERVICE,
    "drained-targets": pb.DRAINED_TARGET,
    "drained-vms": pb.DRAINED_VM,
}
EXIT_CODE_BY_OUTCOME = {
    pb.ACCEPTED: ExitCode.OK,
    pb.REFUSED: ExitCode.REFUSED,
    pb.CONFLICT: ExitCode.CONFLICT,
}


class ErrorReportingGroup(click.Group):
    """Reports expected errors as a line on stderr and an exit code."""

    def invoke(self, ctx: click.Context) -> object:
        """Runs the command; exits with the code of an expected error."""
        try:
            return super().invoke(ctx)
        except CliError as error:
            click.echo(f"error: {error}", err=True)
            ctx.exit(error.code)
        except SettingsError as error:
            click.echo(f"error: {error}", err=True)
            ctx.exit(ExitCode.USAGE)


class AddressType(click.ParamType):
    """Command-line parameter type for an address (`IP:port`)."""

    name = "IP:port"

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Returns the value; fails if it is not a valid address."""
        try:
            parse_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)
        return value


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CliContext:
    """Client and output format that all commands share.

    Attributes:
        client: Client of the operator interface.
        output: Output format, `table` or `json`.
    """

    client: OperatorsClient
    output: str


FILE_PATH = click.Path(dir_okay=False, path_type=pathlib.Path)


@click.group(
    cls=ErrorReportingGroup,
    context_settings={
        "auto_envvar_prefix": "RATTANROUTE",
        "help_option_names": ["-h", "--help"],
    },
    epilog=EXIT_CODES_HELP,
)
@click.option(
    "--address",
    "addresses",
    type=AddressType(),
    multiple=True,
    default=("127.0.0.1:8083",),
    show_default=True,
    envvar="RATTANROUTE_ADDRESS",
    show_envvar=True,
    help="Address of a daemon; give several to try them in order.",
)
@click.option(
    "--token-file", type=FILE_PATH, help="File with the bearer token."
)
@click.option("--certificate-file", type=FILE_PATH, help="Certificate for TLS.")
@click.option("--key-file", type=FILE_PATH, help="Private key for TLS.")
@click.option("--authority-file", type=FILE_PATH, help="Authorities for TLS.")
@click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="Form of the output; json is one object a line.",
)
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0.1),
    default=8.0,
    show_default=True,
    help="Longest time to wait for one address, in seconds.",
)
@click.pass_context
def main(
    ctx: click.Context,
    *,
    addresses: tuple[str, ...],
    token_file: pathlib.Path | None,
    certificate_file: pathlib.Path | None,
    key_file: pathlib.Path | None,
    authority_file: pathlib.Path | None,
    output: str,
    timeout_s: float,
) -> None:
    """Manages a running rattanroute system."""
    files = (certificate_file, key_file, authority_file)
    if any(files) and not all(files):
        raise click.UsageError(
            "--certificate-file, --key-file and --authority-file belong "
            "together"
        )
    context = None
    if all(files):
        tls = TlsFiles(
            certificate=certificate_file,
            key=key_file,
            authority=authority_file,
        )
        context = build_client_context(tls)
    client = OperatorsClient(
        addresses=addresses,
        metadata=TokenFile(token_file).metadata() if token_file else {},
        context=context,
        timeout_s=timeout_s,
    )
    ctx.obj = CliContext(client=client, output=output)


def get_user_name() -> str:
    """Returns the operating system user who makes the change.

    The server uses the name that belongs to the token instead, if it has one.
    """
    try:
        return getpass.getuser()
    except (ImportError, KeyError, OSError):
        return "operator"


def submit_change(
    cli_context: CliContext, method: str, request: object
) -> None:
    """Sends a change, prints its outcome and exits with the matching code.

    The command id is printed before the change is sent, so that the operator
    can resend the change even if this process is interrupted.
    """
    change = getattr(request, "change", request)
    change.command_id = change.command_id or str(uuid.uuid4())
    change.operator = change.operator or get_user_name()
    click.echo(f"command id: {change.command_id}", err=True)
    try:
        response = run(lambda: cli_context.client.change(method, request))
    except CliError as error:
        if error.code is not ExitCode.UNKNOWN:
            raise
        hint = (
            f"the outcome is unknown ({error}); resend with --command-id "
            f"{change.command_id}"
        )
        if change.expected_version != ANY_VERSION:
            hint += f" --expected-version {change.expected_version}"
        raise CliError(ExitCode.UNKNOWN, hint) from error
    cli_output.print_outcome(response, cli_context.output)
    click.get_current_context().exit(EXIT_CODE_BY_OUTCOME[response.outcome])


def fetch_current_version(cli_context: CliContext) -> int:
    """Returns the active version of the first VM that answers."""
    response = run(
        lambda: cli_context.client.call("Status", pb.StatusRequest())
    )
    return response.configuration_version


DRY_RUN_OPTION = click.option(
    "--dry-run", is_flag=True, help="Only tell what the verdict would be."
)
EXPECTED_VERSION_OPTION = click.option(
    "--expected-version",
    type=click.IntRange(min=0),
    help="Version that the change is made for.",
)
COMMAND_ID_OPTION = click.option(
    "--command-id", default="", help="Identifier to resend a change with."
)
LOCAL_OPTION = click.option(
    "--local",
    is_flag=True,
    help="Read what the VM has in force, without asking the voters.",
)


@main.command(epilog=EXIT_CODES_HELP)
@click.argument("file", type=FILE_PATH)
@DRY_RUN_OPTION
@EXPECTED_VERSION_OPTION
@COMMAND_ID_OPTION
@click.pass_obj
def apply(
    cli_context: CliContext,
    file: pathlib.Path,
    dry_run: bool,
    expected_version: int | None,
    command_id: str,
) -> None:
    """Makes the change in FILE (YAML or JSON).

    The expected version and the command id may be in the file; without an
    expected version the current one is taken.
    """
    change = cli_output.read_change(file)
    change.command_id = command_id or change.command_id
    if expected_version is None and not change.HasField("expected_version"):
        expected_version = fetch_current_version(cli_context)
    if expected_version is not None:
        change.expected_version = expected_version
    request = pb.ApplyRequest(change=change, dry_run=dry_run)
    submit_change(cli_context, "Apply", request)


def send_drain(cli_context: CliContext, method: str, **values: object) -> None:
    """Sends a `Drain` or `Undrain` request."""
    version = values.pop("expected_version")
    request = pb.DrainRequest(
        expected_version=ANY_VERSION if version is None else version, **values
    )
    if not request.target_ids and not request.vm_ids:
        raise click.UsageError("name a --target or a --vm")
    submit_change(cli_context, method, request)


TARGETS_OPTION = click.option(
    "--target", "target_ids", multiple=True, help="A target; repeatable."
)
VMS_OPTION = click.option(
    "--vm", "vm_ids", multiple=True, help="A VM; repeatable."
)


@main.command(epilog=EXIT_CODES_HELP)
@TARGETS_OPTION
@VMS_OPTION
@DRY_RUN_OPTION
@EXPECTED_VERSION_OPTION
@COMMAND_ID_OPTION
@click.pass_obj
def drain(cli_context: CliContext, **values: object) -> None:
    """Takes targets or VMs out of service."""
    send_drain(cli_context, "Drain", **values)


@main.command(epilog=EXIT_CODES_HELP)
@TARGETS_OPTION
@VMS_OPTION
@DRY_RUN_OPTION
@EXPECTED_VERSION_OPTION
@COMMAND_ID_OPTION
@click.pass_obj
def undrain(cli_context: CliContext, **values: object) -> None:
    """Returns targets or VMs to service."""
    send_drain(cli_context, "Undrain", **values)


@main.command(epilog=EXIT_CODES_HELP)
@click.argument("kind", type=click.Choice(list(KIND_BY_NAME)))
@click.argument("name")
@LOCAL_OPTION
@click.pass_obj
def get(cli_context: CliContext, kind: str, name: str, local: bool) -> None:
    """Shows one entity."""
    request = pb.GetRequest(kind=KIND_BY_NAME[kind], name=name, local=local)
    response = run(lambda: cli_context.client.call("Get", request))
    field = response.entity.WhichOneof("entity")
    value = getattr(response.entity, field)
    if isinstance(value, str):
        cli_output.print_rows([{"name": value}], cli_context.output)
    else:
        cli_output.print_message(value, cli_context.output)


@main.command("list", epilog=EXIT_CODES_HELP)
@click.argument("kind", type=click.Choice(list(KIND_BY_NAME)))
@LOCAL_OPTION
@click.pass_obj
def list_entities(cli_context: CliContext, kind: str, local: bool) -> None:
    """Lists the entities of a kind."""
    request = pb.ListRequest(
        kind=KIND_BY_NAME[kind], local=local, page_size=PAGE_SIZE
    )
    rows = []
    while True:
        response = run(lambda: cli_context.client.call("List", request))
        rows += [cli_output.build_entity_row(x) for x in response.entities]
        request.page_token = response.next_page_token
        if not request.page_token:
            break
    cli_output.print_rows(rows, cli_context.output)


@main.command(epilog=EXIT_CODES_HELP)
@click.option(
    "--from-version",
    type=click.IntRange(min=0),
    help="Show the versions after this one; default the current one.",
)
@click.option(
    "--count", type=click.IntRange(min=1), help="Stop after so many events."
)
@click.pass_obj
def watch(
    cli_context: CliContext, from_version: int | None, count: int | None
) -> None:
    """Shows versions as they come into force on the VM."""
    if from_version is None:
        from_version = fetch_current_version(cli_context)

    async def follow() -> None:
        event_count = 0
        events = cli_context.client.watch(from_version)
        async for event in events:
            print_event(event, cli_context.output)
            event_count += 1
            if event_count == count:
                await events.aclose()
                return

    run(follow)


def print_event(event: pb.WatchEvent, output: str) -> None:
    """Prints a new version and its operations."""
    if output == "json":
        cli_output.print_json(cli_output.message_to_dict(event))
        return
    click.echo(f"version {event.version}")
    if event.reset:
        click.echo("  earlier changes are no longer kept; list anew")
    for operation in event.operations:
        field = operation.WhichOneof("operation")
        value = getattr(operation, field)
        name = value if isinstance(value, str) else value.name
        click.echo(f"  {field.replace('_', ' ')} {name}")


def print_list(cli_context: CliContext, method: str, request: object) -> None:
    """Calls a method whose response is a list and prints the list."""
    response = run(lambda: cli_context.client.call(method, request))
    field = response.DESCRIPTOR.fields[0].name
    rows = [cli_output.message_to_dict(x) for x in getattr(response, field)]
    for row in rows:
        for name in ("at", "created_at"):
            if name in row and cli_context.output == "table":
                row[name] = format_time(row[name])
    cli_output.print_rows(rows, cli_context.output)


def format_time(seconds: float) -> str:
    """Formats a Unix time in seconds as a UTC timestamp."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(seconds))


@main.command(epilog=EXIT_CODES_HELP)
@click.pass_obj
def status(cli_context: CliContext) -> None:
    """Shows the state of the first VM that answers."""
    response = run(
        lambda: cli_context.client.call("Status", pb.StatusRequest())
    )
    cli_output.print_message(response, cli_context.output)


@main.command(epilog=EXIT_CODES_HELP)
@click.option("--neighbour", default="", help="Only this neighbour.")
@click.pass_obj
def accounts(cli_context: CliContext, neighbour: str) -> None:
    """Shows the accounted work, the shares used and what may still change."""
    request = pb.AccountsRequest(neighbour=neighbour)
    response = run(lambda: cli_context.client.call("Accounts", request))
    if cli_context.output == "json":
        cli_output.print_message(response, cli_context.output)
        return
    for field in ("totals", "shares", "unsettled"):
        click.echo(f"{field}:")
        rows = [cli_output.message_to_dict(x) for x in getattr(response, field)]
        cli_output.print_rows(rows, cli_context.output)


@main.command(epilog=EXIT_CODES_HELP)
@click.argument("request_id")
@click.pass_obj
def trace(cli_context: CliContext, request_id: str) -> None:
    """Shows the steps of a request."""
    print_list(cli_context, "Trace", pb.TraceRequest(request_id=request_id))


@main.command(epilog=EXIT_CODES_HELP)
@click.pass_obj
def members(cli_context: CliContext) -> None:
    """Shows the VMs."""
    print_list(cli_context, "Members", pb.MembersRequest())


@main.command(epilog=EXIT_CODES_HELP)
@click.option("--limit", type=click.IntRange(1, 5000), default=100)
@click.pass_obj
def audit(cli_context: CliContext, limit: int) -> None:
    """Shows who changed what, newest first."""
    print_list(cli_context, "Audit", pb.AuditRequest(limit=limit))


@main.command(epilog=EXIT_CODES_HELP)
@click.option("--model", default="", help="Only this model or service.")
@click.pass_obj
def targets(cli_context: CliContext, model: str) -> None:
    """Shows the targets."""
    print_list(cli_context, "Targets", pb.TargetsRequest(model=model))


main.add_command(check)


if __name__ == "__main__":
    main()
