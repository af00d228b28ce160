"""Input file parsing and output formats of the command-line tool."""

import json
import pathlib

import click
from google.protobuf import json_format
from google.protobuf.message import Message
import yaml

from rattanroute.proto import operators_pb2 as pb
from rattanroute.tools.cli_client import CliError
from rattanroute.tools.cli_client import ExitCode

MAX_FILE_BYTES = 1_048_576


def read_change(path: pathlib.Path) -> pb.Change:
    """Reads a change from a YAML or JSON file.

    The file holds a change or only the list of its operations.

    Raises:
        CliError: If the file cannot be read or does not fit the schema.
    """
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise CliError(
                ExitCode.USAGE, f"{path}: larger than {MAX_FILE_BYTES} bytes"
            )
        # The YAML parser reads JSON as well.
        data = yaml.safe_load(path.read_text(encoding="utf-8"))
        if isinstance(data, list):
            data = {"operations": data}
        return json_format.ParseDict(data or {}, pb.Change())
    except OSError as error:
        message = error.strerror or type(error).__name__
    except (
        json_format.ParseError,
        UnicodeDecodeError,
        yaml.YAMLError,
        # ParseDict raises these for a document of the wrong shape.
        AttributeError,
        TypeError,
        ValueError,
        RecursionError,
    ) as error:
        message = " ".join(str(error).split())
    raise CliError(ExitCode.USAGE, f"{path}: {message}")


def message_to_dict(message: Message) -> dict[str, object]:
    """Converts a protobuf message to a dictionary."""
    return json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )


def print_json(data: object) -> None:
    """Prints a value as one line of JSON."""
    click.echo(json.dumps(data, ensure_ascii=False, sort_keys=True))


def format_cell(value: object) -> str:
    """Formats a value as a table cell."""
    if isinstance(value, list):
        return ",".join(format_cell(x) for x in value)
    if isinstance(value, dict):
        return json.dumps(value, ensure_ascii=False, sort_keys=True)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}" if abs(value) < 1e6 else f"{value:.3f}"
    return str(value)


def print_table(rows: list[dict[str, object]]) -> None:
    """Prints rows as aligned columns, named by the keys of the first row."""
    if not rows:
        click.echo("(none)")
        return
    names = list(rows[0])
    lines = [[name.upper() for name in names]]
    lines += [[format_cell(row.get(x, "")) for x in names] for row in rows]
    widths = [max(len(x[i]) for x in lines) for i in range(len(names))]
    for line in lines:
        cells = (x.ljust(w) for x, w in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def print_fields(message: Message) -> None:
    """Prints a message with one line per field."""
    data = message_to_dict(message)
    width = max(map(len, data), default=0)
    for name, value in data.items():
        click.echo(f"{name.ljust(width)}  {format_cell(value)}".rstrip())


def build_entity_row(entity: pb.Entity) -> dict[str, object]:
    """Returns an entity as a table row."""
    field = entity.WhichOneof("entity")
    value = getattr(entity, field)
    return {"name": value} if isinstance(value, str) else message_to_dict(value)


def print_rows(rows: list[dict[str, object]], output: str) -> None:
    """Prints rows as a table or as one line of JSON per row."""
    if output == "table":
        print_table(rows)
        return
    for row in rows:
        print_json(row)


def print_message(message: Message, output: str) -> None:
    """Prints a message as a table or as JSON."""
    if output == "table":
        print_fields(message)
    else:
        print_json(message_to_dict(message))


def print_outcome(response: pb.ApplyResponse, output: str) -> None:
    """Prints the outcome of a change."""
    if output == "json":
        print_json(message_to_dict(response))
        return
    name = pb.Outcome.Name(response.outcome).lower()
    click.echo(f"{name}: version {response.version}")
    click.echo(f"command id: {response.command_id}")
    for problem in response.problems:
        click.echo(f"  {problem.path}: {problem.message}")
    if response.HasField("winner"):
        winner = response.winner
        click.echo(
            f"  version {winner.version} was made by {winner.operator} with "
            f"command id {winner.command_id}"
        )
    if response.advice:
        click.echo(f"advice: {response.advice}")
