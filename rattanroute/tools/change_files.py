"""Reads changes of the daemon's configuration for a check without a server."""

import dataclasses
import re

from google.protobuf import json_format

from rattanroute.proto import operators_pb2 as pb
from rattanroute.servers.operator_messages import read_change
from rattanroute.systems.change_checks import apply_operation
from rattanroute.tables.changes import Change
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.findings import Finding

# Stand for what `apply` adds when it sends a change.
COMMAND_ID = "check"
OPERATOR = "check"
OPERATION_PATTERN = re.compile(r"operations\[(\d+)\](?:\.(\w+))?")
# Errors of `ParseDict`, the latter ones for data of the wrong shape.
PARSE_ERRORS = (json_format.ParseError, AttributeError, TypeError, ValueError)


@dataclasses.dataclass(kw_only=True, slots=True)
class ChangeFile:
    """A file with a change, or with only the list of its operations.

    Attributes:
        data: The decoded file.
        findings: Parts that do not fit the schema.
    """

    data: object
    findings: list[Finding] = dataclasses.field(default_factory=list)

    @property
    def operations(self) -> list[object]:
        """The operations; none if the file has no list of them."""
        items = self.data
        if isinstance(items, dict):
            items = items.get("operations")
        return items if isinstance(items, list) else []

    def read(self) -> Change | None:
        """Returns the change; None if a part does not fit the schema."""
        message = pb.Change()
        if isinstance(self.data, dict):
            rest = {x: y for x, y in self.data.items() if x != "operations"}
            self.parse("", rest, message)
            items = self.data.get("operations", [])
            if not isinstance(items, list):
                self.report("operations", "is not a list")
        elif not isinstance(self.data, list):
            self.report("", "holds neither a change nor a list of operations")
        for index, item in enumerate(self.operations):
            path = f"operations[{index}]"
            self.parse(path, item, message.operations.add())
        if not message.HasField("expected_version"):
            # `apply` looks it up.
            message.expected_version = 0
        message.command_id = message.command_id or COMMAND_ID
        if self.findings:
            return None
        change, problems = read_change(
            message, operator=OPERATOR, created_at=0.0, dry_run=True
        )
        self.findings += [
            Finding(path=x.path, message=x.message) for x in problems
        ]
        return None if problems else change

    def parse(self, path: str, item: object, message: object) -> None:
        """Decodes a part into a message; reports it if it does not fit."""
        try:
            json_format.ParseDict(item, message)
        except PARSE_ERRORS as error:
            text = " ".join(str(error).split())
            self.report(path, text.partition(" Available Fields")[0])

    def report(self, path: str, message: str) -> None:
        """Adds an error."""
        self.findings.append(Finding(path=path, message=message))

    def locate(self, path: str) -> str:
        """Returns the path in the file of a path in the change.

        The path of an operation names what it puts (`operations[0].model`),
        the file has a key for it (`operations[0].put_model`).
        """
        found = OPERATION_PATTERN.match(path)
        if found is None:
            return path
        index, kind = int(found[1]), found[2]
        place = f"operations[{index}]"
        if isinstance(self.data, list):
            place = f"[{index}]"
        if kind is not None:
            item = self.operations[index]
            key = next(iter(item), kind) if isinstance(item, dict) else kind
            place = f"{place}.{key}"
        return place + path[found.end() :]


def read_configuration(change: Change) -> Configuration:
    """Returns the configuration that a change makes of an empty one."""
    configuration = Configuration()
    for operation in change.operations:
        apply_operation(operation, configuration)
    return configuration
