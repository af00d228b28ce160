"""The command `check` of the operators' tool, which needs no server."""

import dataclasses
import pathlib

import click

from rattanroute.platform.manifest_checks import describe_manifest
from rattanroute.platform.manifest_checks import ManifestChecker
from rattanroute.systems.change_checks import apply_change
from rattanroute.systems.change_checks import check_change
from rattanroute.systems.change_checks import describe_configuration
from rattanroute.systems.document_differences import find_differences
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.findings import Difference
from rattanroute.tables.findings import Finding
from rattanroute.tables.findings import Severity
from rattanroute.tools.change_files import ChangeFile
from rattanroute.tools.change_files import read_configuration
from rattanroute.tools.cli_client import CliError
from rattanroute.tools.cli_client import ExitCode
from rattanroute.tools.cli_output import format_cell
from rattanroute.tools.cli_output import print_json
from rattanroute.tools.cli_output import print_table
from rattanroute.tools.located_documents import DocumentError
from rattanroute.tools.located_documents import LocatedDocument
from rattanroute.tools.located_documents import read_document

EXIT_CODES_HELP = """\b
Exit codes:
  0  no errors; with --strict, no warnings either
  1  errors; with --strict, also warnings
  2  wrong usage, or a file that cannot be read
"""
FILE_PATH = click.Path(dir_okay=False, path_type=pathlib.Path)
LONGEST_VALUE = 60


@dataclasses.dataclass(kw_only=True, slots=True)
class CheckReport:
    """The result of a check.

    Attributes:
        file: The file.
        findings: Findings with their lines, in the order of the file.
        differences: Differences from the version in force; None if none was
            given, or if the file has errors.
    """

    file: pathlib.Path
    findings: list[tuple[int, Finding]] = dataclasses.field(
        default_factory=list
    )
    differences: list[Difference] | None = None

    def count(self, severity: Severity) -> int:
        """Returns the number of findings of a severity."""
        return sum(x.severity is severity for _, x in self.findings)

    def add(self, document: LocatedDocument, findings: list[Finding]) -> None:
        """Adds findings of a document."""
        self.findings += [(document.find_line(x.path), x) for x in findings]
        self.findings.sort(key=lambda item: item[0])


def check_file(
    file: pathlib.Path, in_force: pathlib.Path | None
) -> CheckReport:
    """Checks a file, and compares it with the version in force.

    Raises:
        CliError: If a file cannot be read, or the version in force is invalid.
    """
    report = CheckReport(file=file)
    try:
        document = open_document(file)
    except DocumentError as error:
        report.findings.append(
            (error.line, Finding(path="", message=str(error)))
        )
        return report
    old = None if in_force is None else open_in_force(in_force)
    if is_manifest(document.data):
        check_manifest(document, old, report)
    else:
        check_change_file(document, old, report)
    return report


def open_document(file: pathlib.Path) -> LocatedDocument:
    """Reads a file.

    Raises:
        CliError: If it cannot be opened.
        DocumentError: If it is malformed.
    """
    try:
        return read_document(file)
    except OSError as error:
        message = error.strerror or type(error).__name__
        raise CliError(ExitCode.USAGE, f"{file}: {message}") from error


def open_in_force(file: pathlib.Path) -> LocatedDocument:
    """Reads the version in force.

    Raises:
        CliError: If it cannot be read.
    """
    try:
        return open_document(file)
    except DocumentError as error:
        raise CliError(
            ExitCode.USAGE, f"{file}:{error.line}: {error}"
        ) from error


def is_manifest(data: object) -> bool:
    """Returns whether a document is a configuration of the platform."""
    return isinstance(data, dict) and "routes" in data


def check_manifest(
    document: LocatedDocument, old: LocatedDocument | None, report: CheckReport
) -> None:
    """Checks a configuration of the platform, which has to be JSON."""
    if document.json_error is not None:
        error = document.json_error
        report.findings.append(
            (error.line, Finding(path="", message=str(error)))
        )
        return
    report.add(document, ManifestChecker(data=document.data).check())
    if old is None:
        return
    if not is_manifest(old.data):
        raise CliError(
            ExitCode.USAGE, "the version in force is of another kind"
        )
    checker = ManifestChecker(data=old.data)
    if any(x.severity is Severity.ERROR for x in checker.check()):
        raise CliError(ExitCode.USAGE, "the version in force has errors")
    if not report.count(Severity.ERROR):
        report.differences = list(
            find_differences(
                describe_manifest(old.data), describe_manifest(document.data)
            )
        )


def check_change_file(
    document: LocatedDocument, old: LocatedDocument | None, report: CheckReport
) -> None:
    """Checks a change of the daemon's configuration."""
    in_force = Configuration()
    if old is not None:
        base = ChangeFile(data=old.data).read()
        if base is None:
            raise CliError(ExitCode.USAGE, "the version in force has errors")
        in_force = read_configuration(base)
    file = ChangeFile(data=document.data)
    change = file.read()
    findings = file.findings
    if change is not None:
        findings = check_change(change, in_force)
    located = [
        dataclasses.replace(x, path=file.locate(x.path)) for x in findings
    ]
    report.add(document, located)
    if old is not None and not report.count(Severity.ERROR):
        report.differences = list(
            find_differences(
                describe_configuration(in_force),
                describe_configuration(apply_change(change, in_force)),
            )
        )


def build_document(report: CheckReport) -> dict[str, object]:
    """Returns a report for JSON."""
    differences = report.differences
    return {
        "file": str(report.file),
        "errors": report.count(Severity.ERROR),
        "warnings": report.count(Severity.WARNING),
        "findings": [
            {
                "severity": finding.severity,
                "line": line,
                "path": finding.path,
                "message": finding.message,
            }
            for line, finding in report.findings
        ],
        "differences": None
        if differences is None
        else [dataclasses.asdict(x) for x in differences],
    }


def print_report(report: CheckReport) -> None:
    """Prints findings as `FILE:LINE: ...`, then the differences."""
    for line, finding in report.findings:
        path = f"{finding.path}: " if finding.path else ""
        click.echo(
            f"{report.file}:{line}: {finding.severity}: {path}{finding.message}"
        )
    if report.differences is not None:
        click.echo("differences from the version in force:")
        print_table([build_row(x) for x in report.differences])
    click.echo(
        f"errors: {report.count(Severity.ERROR)}, "
        f"warnings: {report.count(Severity.WARNING)}"
    )


def build_row(difference: Difference) -> dict[str, object]:
    """Returns a difference as a table row."""
    return {
        "change": str(difference.kind),
        "path": difference.path,
        "old": format_short(difference.old),
        "new": format_short(difference.new),
    }


def format_short(value: object) -> str:
    """Formats a value as a table cell of limited length."""
    if value is None:
        return "-"
    text = format_cell(value)
    if len(text) <= LONGEST_VALUE:
        return text
    return text[: LONGEST_VALUE - 3] + "..."


@click.command(epilog=EXIT_CODES_HELP)
@click.argument("file", type=FILE_PATH)
@click.option(
    "--in-force",
    type=FILE_PATH,
    help="File with the version in force, to compare with.",
)
@click.option("--strict", is_flag=True, help="Count warnings as errors.")
@click.pass_obj
def check(
    cli_context: object,
    file: pathlib.Path,
    in_force: pathlib.Path | None,
    strict: bool,
) -> None:
    """Checks the configuration or the change in FILE without a server.

    FILE is a configuration of the platform (JSON), or a change as `apply`
    takes it; the version in force is of the same kind. Without it, a change
    is checked as if nothing were configured.
    """
    report = check_file(file, in_force)
    if cli_context.output == "json":
        print_json(build_document(report))
    else:
        print_report(report)
    failed = report.count(Severity.ERROR) or (strict and report.findings)
    code = ExitCode.REFUSED if failed else ExitCode.OK
    click.get_current_context().exit(code)
