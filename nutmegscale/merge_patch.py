"""JSON merge patches between two documents (RFC 7396).

Documents hold no null, so a patch made here yields exactly the new document.
"""

from typing import Any


def make(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Return the patch that turns one document into another."""
    patch: dict[str, Any] = {key: None for key in old if key not in new}
    for key, value in new.items():
        before = old.get(key)
        if isinstance(value, dict) and isinstance(before, dict):
            inner = make(before, value)
            if inner:
                patch[key] = inner
        elif key not in old or before != value:
            patch[key] = value
    return patch


def apply(base: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """Return a document with a patch applied; the base isn't modified.

    Null removes a key, objects are merged key by key, and any other value
    replaces the old one.
    """
    result = dict(base)
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        elif isinstance(value, dict):
            before = result.get(key)
            result[key] = apply(
                before if isinstance(before, dict) else {}, value
            )
        else:
            result[key] = value
    return result
