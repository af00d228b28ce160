"""Reads JSON and YAML files and finds the lines of their parts."""

import dataclasses
import json
import pathlib

import yaml

# Reads a large file ten times as fast where the C library is there.
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
MAX_FILE_BYTES = 16 * 1024 * 1024


class DocumentError(Exception):
    """A file cannot be read as JSON or YAML.

    Attributes:
        line: Line of the error, from 1; 0 if it is unknown.
    """

    def __init__(self, message: str, *, line: int = 0) -> None:
        super().__init__(message)
        self.line = line


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LocatedDocument:
    """A decoded file.

    Attributes:
        data: The content.
        lines: Lines of its parts by path, from 1.
        json_error: Why it is not JSON; None if it is.
    """

    data: object
    lines: dict[str, int]
    json_error: DocumentError | None = None

    def find_line(self, path: str) -> int:
        """Returns the line of a part, or of the smallest one around it."""
        while path and path not in self.lines:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.lines.get(path, 1)


def read_document(path: pathlib.Path) -> LocatedDocument:
    """Reads a file.

    Raises:
        DocumentError: If it is neither JSON nor YAML.
        OSError: If it cannot be read.
    """
    if path.stat().st_size > MAX_FILE_BYTES:
        raise DocumentError(f"larger than {MAX_FILE_BYTES} bytes")
    try:
        text = path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise DocumentError("is not UTF-8 text") from error
    json_error = None
    try:
        data = json.loads(text)
    except (json.JSONDecodeError, RecursionError) as error:
        line = getattr(error, "lineno", 0)
        json_error = DocumentError(f"not JSON: {error}", line=line)
        try:
            data = parse_yaml(text)
        except DocumentError:
            if path.suffix == ".json":
                raise json_error from error
            raise
    return LocatedDocument(
        data=data, lines=find_lines(text), json_error=json_error
    )


def parse_yaml(text: str) -> object:
    """Decodes YAML.

    Raises:
        DocumentError: If it is malformed.
    """
    try:
        return yaml.load(text, Loader=LOADER)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark is not None else 0
        message = getattr(error, "problem", None) or str(error)
        raise DocumentError(f"not YAML: {message}", line=line) from error


def find_lines(text: str) -> dict[str, int]:
    """Returns the lines of the parts of a document by path.

    YAML contains JSON, except that a tab may not indent; the text of values
    is of no use here, so that each tab counts as a space.
    """
    try:
        node = yaml.compose(text.replace("\t", " "), Loader=LOADER)
    except (yaml.YAMLError, RecursionError):
        return {}
    lines: dict[str, int] = {}
    pending = [("", node)]
    while pending:
        path, node = pending.pop()
        if node is None:
            continue
        lines[path] = node.start_mark.line + 1
        if isinstance(node, yaml.SequenceNode):
            pending += [
                (f"{path}[{index}]", item)
                for index, item in enumerate(node.value)
            ]
        elif isinstance(node, yaml.MappingNode):
            pending += [
                (f"{path}.{key.value}".removeprefix("."), item)
                for key, item in node.value
            ]
    return lines
