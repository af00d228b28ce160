"""Differences of two versions of a document."""

from collections.abc import Iterator
from collections.abc import Mapping

from rattanroute.tables.findings import Difference
from rattanroute.tables.findings import DifferenceKind

# Fields that identify an item of a list.
IDENTIFIERS = ("name", "service")
# Values that must not be printed.
SECRET_FIELDS = frozenset({"apiKeys", "key_hashes"})
# Differs from every value of a document, None included.
MISSING = object()


def find_differences(
    old: object, new: object, path: str = ""
) -> Iterator[Difference]:
    """Yields the differences of two values; those of lists by name.

    Lists whose items have no names are compared as a whole.
    """
    old_items, new_items = list_items(old), list_items(new)
    if old_items is None or new_items is None:
        if old != new:
            yield build_difference(old, new, path)
        return
    is_list = isinstance(new, list)
    for name in {**old_items, **new_items}:
        step = f"[{name}]" if is_list else f".{name}"
        place = (path + step).removeprefix(".")
        before = old_items.get(name, MISSING)
        after = new_items.get(name, MISSING)
        if name in SECRET_FIELDS and not is_list:
            yield from compare_secrets(before, after, place)
        elif before is MISSING or after is MISSING:
            yield build_difference(before, after, place)
        else:
            yield from find_differences(before, after, place)


def list_items(value: object) -> Mapping[str, object] | None:
    """Returns the parts of a mapping or of a list of named items.

    Items with the same name are numbered.

    Returns:
        The parts by name; None if the value has none.
    """
    if isinstance(value, dict):
        return value
    if not isinstance(value, list):
        return None
    items: dict[str, object] = {}
    for item in value:
        name = find_name(item)
        if name is None:
            return None
        count = 1
        key = name
        while key in items:
            count += 1
            key = f"{name}#{count}"
        items[key] = item
    return items


def find_name(item: object) -> str | None:
    """Returns the name of an item of a list; None if it has none."""
    if not isinstance(item, dict):
        return None
    for field in IDENTIFIERS:
        name = item.get(field)
        if isinstance(name, str):
            return name
    return None


def compare_secrets(
    old: object, new: object, path: str
) -> Iterator[Difference]:
    """Yields the numbers of secrets that were added and removed."""
    before = set(old) if isinstance(old, list) else set()
    after = set(new) if isinstance(new, list) else set()
    if after - before:
        yield Difference(
            kind=DifferenceKind.ADDED,
            path=path,
            new=f"keys: {len(after - before)}",
        )
    if before - after:
        yield Difference(
            kind=DifferenceKind.REMOVED,
            path=path,
            old=f"keys: {len(before - after)}",
        )


def build_difference(old: object, new: object, path: str) -> Difference:
    """Builds a difference of two values, one of which may be missing."""
    if old is MISSING:
        return Difference(
            kind=DifferenceKind.ADDED, path=path, new=hide_secrets(new)
        )
    if new is MISSING:
        return Difference(
            kind=DifferenceKind.REMOVED, path=path, old=hide_secrets(old)
        )
    return Difference(
        kind=DifferenceKind.CHANGED,
        path=path,
        old=hide_secrets(old),
        new=hide_secrets(new),
    )


def hide_secrets(value: object) -> object:
    """Returns a value with the numbers of its secrets in their place."""
    if isinstance(value, list):
        return [hide_secrets(item) for item in value]
    if not isinstance(value, dict):
        return value
    return {
        name: f"keys: {len(item)}"
        if name in SECRET_FIELDS and isinstance(item, list)
        else hide_secrets(item)
        for name, item in value.items()
    }
