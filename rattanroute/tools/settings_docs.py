"""Prints the page that documents all settings, made from their models."""

from collections.abc import Iterator
import json
import sys
import types
import typing

import pydantic
from pydantic_core import PydanticUndefined

from rattanroute.settings import DaemonSettings
from rattanroute.settings import Section

INTRODUCTION = """\
# Settings

A daemon reads one YAML file. Unknown names are errors. This page is generated
by `make settings-docs`.
"""
HEADER = "| setting | type | default | description |\n|---|---|---|---|"


def describe_type(annotation: object) -> str:
    """Returns the name of a type, as an operator would write it."""
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin in (types.UnionType, typing.Union):
        return " or ".join(map(describe_type, arguments))
    if origin is tuple:
        return f"list of {describe_type(arguments[0])}"
    if origin is dict:
        return f"map from {' to '.join(map(describe_type, arguments))}"
    names = {str: "text", float: "number", int: "integer", bool: "true/false"}
    if annotation is type(None):
        return "nothing"
    return names.get(annotation, annotation.__name__.lower())


def describe_limits(field: pydantic.fields.FieldInfo) -> str:
    """Returns the limits of a value, for example `>= 0`."""
    signs = {"gt": ">", "ge": ">=", "lt": "<", "le": "<="}
    parts = []
    for limit in field.metadata:
        for name, sign in signs.items():
            if (value := getattr(limit, name, None)) is not None:
                parts.append(f"{sign} {value}")
        if pattern := getattr(limit, "pattern", None):
            # A bar within a cell of a table must be escaped.
            parts.append("matches `" + pattern.replace("|", "\\|") + "`")
    return ", ".join(parts)


def describe_default(field: pydantic.fields.FieldInfo) -> str:
    """Returns the default of a field."""
    default = field.get_default(call_default_factory=True)
    if default is PydanticUndefined:
        return "required"
    if default is None:
        return "none"
    if isinstance(default, tuple):
        default = list(default)
    return f"`{json.dumps(default)}`"


def find_section(annotation: object) -> type[Section] | None:
    """Returns the group of settings that an annotation names, if any."""
    if isinstance(annotation, type) and issubclass(annotation, Section):
        return annotation
    return None


def build_rows(section: type[Section], prefix: str) -> Iterator[str]:
    """Yields a line for each setting of a group that is not a group."""
    for name, field in section.model_fields.items():
        if find_section(field.annotation):
            continue
        kind = describe_type(field.annotation)
        limits = describe_limits(field)
        kind = f"{kind}, {limits}" if limits else kind
        cells = (
            f"`{prefix}{name}`",
            kind,
            describe_default(field),
            field.description or "",
        )
        yield f"| {' | '.join(cells)} |"


def build_sections(section: type[Section], prefix: str = "") -> Iterator[str]:
    """Yields the text of a group of settings and of the groups in it."""
    title = f"`{prefix.rstrip('.')}`" if prefix else "Top level"
    lines = [f"## {title}", "", section.__doc__ or "", "", HEADER]
    lines += build_rows(section, prefix)
    yield "\n".join(lines) + "\n"
    for name, field in section.model_fields.items():
        if group := find_section(field.annotation):
            yield from build_sections(group, f"{prefix}{name}.")


def build_page() -> str:
    """Returns the whole page."""
    return "\n".join([INTRODUCTION, *build_sections(DaemonSettings)])


if __name__ == "__main__":
    sys.stdout.write(build_page())
