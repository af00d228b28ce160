"""Prints the documentation page of all settings.

The page is generated from the pydantic models of the settings.
"""

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
    """Returns the name of a type in words for operators."""
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
            # `|` must be escaped in a table cell.
            parts.append("matches `" + pattern.replace("|", "\\|") + "`")
    return ", ".join(parts)


def describe_default(field: pydantic.fields.FieldInfo) -> str:
    """Returns the default of a field as Markdown, or `required`."""
    default = field.get_default(call_default_factory=True)
    if default is PydanticUndefined:
        return "required"
    if default is None:
        return "none"
    if isinstance(default, tuple):
        default = list(default)
    return f"`{json.dumps(default)}`"


def get_section_type(annotation: object) -> type[Section] | None:
    """Returns the annotation if it is a settings section, else None."""
    if isinstance(annotation, type) and issubclass(annotation, Section):
        return annotation
    return None


def build_rows(section: type[Section], prefix: str) -> Iterator[str]:
    """Yields a table row for each setting of a section.

    Nested sections are left out.
    """
    for name, field in section.model_fields.items():
        if get_section_type(field.annotation):
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
    """Yields the Markdown of a section and of its nested sections."""
    title = f"`{prefix.rstrip('.')}`" if prefix else "Top level"
    lines = [f"## {title}", "", section.__doc__ or "", "", HEADER]
    lines += build_rows(section, prefix)
    yield "\n".join(lines) + "\n"
    for name, field in section.model_fields.items():
        if nested := get_section_type(field.annotation):
            yield from build_sections(nested, f"{prefix}{name}.")


def build_page() -> str:
    """Returns the page as Markdown."""
    return "\n".join([INTRODUCTION, *build_sections(DaemonSettings)])


if __name__ == "__main__":
    sys.stdout.write(build_page())
