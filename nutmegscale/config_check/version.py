"""One version of a configuration, in the form that the checks take it."""

from collections.abc import Mapping
import hashlib
import secrets
from typing import Any
from typing import NamedTuple

import msgspec

from nutmegscale import config
from nutmegscale import customers
from nutmegscale import routes
from nutmegscale.config_check import findings

Path = tuple[str, ...]
# Fields by section and name of the entry; "" stands for the top level and for
# sections without named entries.
Tree = dict[str, dict[str, dict[str, Any]]]

_DIGEST_KEY = secrets.token_bytes(32)


class Hidden(NamedTuple):
    """A value that is compared and never shown.

    Attributes:
      noun: What its parts are called.
      digests: Keyed digest of each part, valid in this process only.
    """

    noun: str
    digests: frozenset[bytes]

    def __str__(self) -> str:
        return count_text(len(self.digests), self.noun)


def count_text(number: int, noun: str) -> str:
    """Return a number with its noun in the singular or plural."""
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"


def hide(noun: str, value: Any) -> Hidden:
    """Return a value, or each item of a list, as digests."""
    parts = value if isinstance(value, list) else [value]
    return Hidden(noun, frozenset(_digest(part) for part in parts))


def _digest(value: Any) -> bytes:
    return hashlib.blake2b(
        msgspec.json.encode(value, order="sorted"),
        key=_DIGEST_KEY,
        digest_size=16,
    ).digest()


class Places:
    """Finds where the keys of a configuration stand.

    Args:
      lines: File and line of each key and array item, by its path.
      words: Word of the document for each word of the checks, where they
        differ.
      names: Name of each array item that has one, by its path.
    """

    def __init__(
        self,
        lines: Mapping[Path, tuple[str, int]],
        *,
        words: Mapping[str, str] | None = None,
        names: Mapping[Path, str] | None = None,
    ) -> None:
        self._lines = lines
        self._words = words or {}
        self._names = names or {}

    def find(self, *path: str) -> findings.Place:
        """Return where a key stands, or the closest key above it."""
        path = tuple(self._words.get(part, part) for part in path)
        key = ".".join(
            self._names.get(path[: end + 1], part)
            for end, part in enumerate(path)
        )
        for end in range(len(path), 0, -1):
            if path[:end] in self._lines:
                return findings.Place(*self._lines[path[:end]], key)
        return findings.Place(key=key)


class CustomerEntry(NamedTuple):
    """A customer as a routing configuration states it.

    Attributes:
      customer: The customer.
      keys: Its API keys, in their order, each as a hidden value.
      longest_key_bytes: Length of the longest one.
      stated_limit: Its usage limit, also where its rate is 0, so that it has
        no effect.
    """

    customer: customers.Customer
    keys: tuple[Hidden, ...]
    longest_key_bytes: int
    stated_limit: customers.UsageLimit


class RoutingView(NamedTuple):
    """A valid routing configuration with what its decoded form leaves out.

    Attributes:
      config: The decoded configuration.
      service_names: Names of the services in the order of the document; a name
        may stand there twice.
      customers: The customers in that order; None if keys aren't used.
    """

    config: routes.RoutingConfig
    service_names: tuple[str, ...]
    customers: tuple[CustomerEntry, ...] | None


class Version(NamedTuple):
    """One valid version of a configuration.

    Attributes:
      subject: The document of a configuration folder, or a routing
        configuration.
      places: Where its keys stand.
      tree: All its fields, for the comparison.
      found: What was found when it was read.
    """

    subject: config.Document | RoutingView
    places: Places
    tree: Tree
    found: tuple[findings.Finding, ...] = ()


class Assumptions(NamedTuple):
    """What a check assumes about the deployment.

    Attributes:
      stream_tokens: Tokens of a typical stream, prompt and answer.
      max_fds: File descriptors of a host; 0 if unknown.
    """

    stream_tokens: int = 10_000
    max_fds: int = 0
