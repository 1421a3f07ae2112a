"""What a check of a configuration reports."""

from typing import Any
from typing import Literal
from typing import NamedTuple

Level = Literal["error", "warning", "note"]
Change = Literal["added", "removed", "changed"]


class Place(NamedTuple):
    """Where in a configuration something stands.

    Attributes:
      file: Name of the file; "" if it isn't in a single one.
      line: Line in the file, from 1; 0 if unknown.
      key: Dotted path of the key; "" for the configuration as a whole.
    """

    file: str = ""
    line: int = 0
    key: str = ""


class Finding(NamedTuple):
    """One thing that a check found.

    Attributes:
      level: "error" for what must not be sent, "warning" for what is most
        likely a mistake, "note" for what follows from a change.
      code: Stable name of the kind of finding.
      place: Where it stands.
      message: What is wrong, for people; it never holds an API key.
    """

    level: Level
    code: str
    place: Place
    message: str


class Difference(NamedTuple):
    """One difference between two versions of a configuration.

    Attributes:
      section: Section of the configuration; "" at the top level.
      name: Name of the entry; "" if the section has no named entries.
      change: Whether the entry or the field was added, removed or changed.
      field: Name of the changed field; "" for an entry as a whole.
      old: Earlier value, None if there was none. For API keys: how many were
        removed.
      new: Later value, None if there is none. For API keys: how many were
        added.
    """

    section: str
    name: str
    change: Change
    field: str
    old: Any
    new: Any


class Report(NamedTuple):
    """Result of a check.

    Attributes:
      findings: What was found, errors first.
      differences: Differences from the version in force.
    """

    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] = ()

    def count(self, level: Level) -> int:
        """Return the number of findings of a level."""
        return sum(finding.level == level for finding in self.findings)
