"""Comparison of two versions of a configuration, by name; does no I/O."""

from collections.abc import Iterator
from typing import Any

from nutmegscale.config_check import findings
from nutmegscale.config_check import version


def make_tree(value: dict[str, Any]) -> version.Tree:
    """Sort the fields of a document by section and name.

    Lists of objects with names are compared by name and not by position; a name
    that stands there twice gets a number.
    """
    tree: version.Tree = {}
    for section, content in value.items():
        if isinstance(content, dict):
            tree[section] = _entries(content)
        elif _is_named(content):
            tree[section] = _named_entries(content)
        else:
            tree.setdefault("", {}).setdefault("", {})[section] = content
    return tree


def _is_named(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, dict) and isinstance(item.get("name"), str)
        for item in value
    )


def _entries(content: dict[str, Any]) -> dict[str, dict[str, Any]]:
    entries: dict[str, dict[str, Any]] = {}
    for name, entry in content.items():
        if isinstance(entry, dict):
            entries[name] = _flat(entry)
        else:
            entries.setdefault("", {})[name] = entry
    return entries


def _named_entries(items: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    entries: dict[str, dict[str, Any]] = {}
    for item in items:
        name, number = item["name"], 1
        while name in entries:
            number += 1
            name = f"{item['name']} ({number})"
        entries[name] = _flat({k: v for k, v in item.items() if k != "name"})
    return entries


def _flat(entry: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of an entry; those of objects in it by dotted names."""
    flat: dict[str, Any] = {}
    for name, value in entry.items():
        if isinstance(value, dict) and value:
            inner = _flat(value)
            flat.update({f"{name}.{key}": inner[key] for key in inner})
        else:
            flat[name] = value
    return flat


def compare(
    old: version.Tree, new: version.Tree
) -> Iterator[findings.Difference]:
    """Compare two versions, by section and name."""
    for section in dict.fromkeys((*old, *new)):
        before, after = old.get(section, {}), new.get(section, {})
        if section in old and section not in new:
            yield findings.Difference(section, "", "removed", "", None, None)
        if section in new and section not in old:
            yield findings.Difference(section, "", "added", "", None, None)
        for name in dict.fromkeys((*before, *after)):
            if name and name not in after:
                fields = _shown(before[name])
                yield findings.Difference(
                    section, name, "removed", "", fields, None
                )
            elif name and name not in before:
                fields = _shown(after[name])
                yield findings.Difference(
                    section, name, "added", "", None, fields
                )
            else:
                yield from _compare_fields(
                    section, name, before.get(name, {}), after.get(name, {})
                )


def _compare_fields(
    section: str, name: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[findings.Difference]:
    for field in dict.fromkeys((*old, *new)):
        before, after = old.get(field), new.get(field)
        if before == after and (field in old) == (field in new):
            continue
        change: findings.Change = "changed"
        if field not in old or field not in new:
            change = "added" if field in new else "removed"
        hidden = [v for v in (before, after) if isinstance(v, version.Hidden)]
        if hidden:
            before, after = _counts(before, after, hidden[0].noun)
        yield findings.Difference(section, name, change, field, before, after)


def _counts(before: Any, after: Any, noun: str) -> tuple[str, str]:
    """Return how many parts of a hidden value were removed and added."""
    old, new = _digests(before), _digests(after)
    return (
        f"{version.count_text(len(old - new), noun)} removed",
        f"{version.count_text(len(new - old), noun)} added",
    )


def _digests(value: Any) -> frozenset[bytes]:
    is_hidden = isinstance(value, version.Hidden)
    return value.digests if is_hidden else frozenset()


def _shown(fields: dict[str, Any]) -> dict[str, Any]:
    return {
        name: str(value) if isinstance(value, version.Hidden) else value
        for name, value in fields.items()
    }
