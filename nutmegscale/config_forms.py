"""Forms in which a configuration is written, and the one of a folder."""

import os
from typing import Any
from typing import Protocol

from nutmegscale import config
from nutmegscale import config_check
from nutmegscale import errors
from nutmegscale import folder


class Form(Protocol):
    """A form in which a configuration is written."""

    def accepts(self, path: str) -> bool:
        """Whether a file or folder looks like this form."""

    def read(self, path: str) -> config_check.Version:
        """Read a version.

        Raises:
          errors.ConfigError: Hosts wouldn't take it, or it can't be read.
        """


class FolderForm:
    """The project's own form: a folder of files, or one merged document."""

    def accepts(self, path: str) -> bool:
        """Whether a file or folder looks like this form; see `Form`."""
        return os.path.exists(path)

    def read(self, path: str) -> config_check.Version:
        """Read a version; see `Form`."""
        if os.path.isdir(path):
            loaded = folder.load_with_lines(path)
        else:
            loaded = folder.load_file(path)
        return from_document(loaded.document, loaded.lines)


def from_document(
    document: config.Document,
    lines: dict[config_check.Path, tuple[str, int]] | None = None,
) -> config_check.Version:
    """Return a checked document as a version.

    Args:
      document: The document.
      lines: File and line of each key by its path, where known.
    """
    tree = config_check.make_tree(dict(document))
    for fields in tree.get("callers", {}).values():
        fields["key_sha256"] = config_check.hide("key", fields["key_sha256"])
    return config_check.Version(
        document, config_check.Places(lines or {}), tree
    )


def read(path: str, forms: tuple[Form, ...]) -> config_check.Version:
    """Read a version in the first form that accepts it.

    Raises:
      errors.ConfigError: Hosts wouldn't take it, or it can't be read.
    """
    for form in forms:
        if form.accepts(path):
            return form.read(path)
    raise errors.ConfigError("no such file or folder", file=path)


def from_host(value: Any) -> config_check.Version:
    """Return what a host has in force as a version.

    Raises:
      errors.ConfigError: It isn't a valid document.
    """
    return from_document(config.check(value))
