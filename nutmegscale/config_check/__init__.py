"""Checks of a configuration before it is sent; they do no I/O.

Each check is a function of a valid version of the configuration. Whether a
version is valid is decided by the decoder that hosts use.
"""

from collections.abc import Iterator

from nutmegscale import errors
from nutmegscale.config_check import customer_checks
from nutmegscale.config_check import differences
from nutmegscale.config_check import document_checks
from nutmegscale.config_check import effects
from nutmegscale.config_check import limit_checks
from nutmegscale.config_check import route_checks
from nutmegscale.config_check.differences import make_tree
from nutmegscale.config_check.findings import Difference
from nutmegscale.config_check.findings import Finding
from nutmegscale.config_check.findings import Level
from nutmegscale.config_check.findings import Place
from nutmegscale.config_check.findings import Report
from nutmegscale.config_check.version import Assumptions
from nutmegscale.config_check.version import CustomerEntry
from nutmegscale.config_check.version import Hidden
from nutmegscale.config_check.version import Path
from nutmegscale.config_check.version import Places
from nutmegscale.config_check.version import RoutingView
from nutmegscale.config_check.version import Version
from nutmegscale.config_check.version import hide

__all__ = [
    "Assumptions",
    "CustomerEntry",
    "Difference",
    "Finding",
    "Hidden",
    "Level",
    "Path",
    "Place",
    "Places",
    "Report",
    "RoutingView",
    "Version",
    "check",
    "from_error",
    "hide",
    "make_tree",
]

_ORDER = ("error", "warning", "note")


def check(
    new: Version,
    in_force: Version | None = None,
    assumed: Assumptions | None = None,
) -> Report:
    """Check a version of a configuration.

    Args:
      new: The version.
      in_force: The version that it would replace; None to compare nothing.
      assumed: What is assumed about the deployment; None for the defaults.

    Raises:
      errors.ConfigError: The two versions are of different forms.
    """
    found = list(new.found)
    found += _check_alone(new, assumed or Assumptions())
    changes: tuple[Difference, ...] = ()
    if in_force is not None:
        changes = tuple(differences.compare(in_force.tree, new.tree))
        found += _compare(in_force, new, is_changed=bool(changes))
    found.sort(key=lambda finding: _ORDER.index(finding.level))
    return Report(tuple(found), changes)


def from_error(error: errors.ConfigError, code: str = "invalid") -> Finding:
    """Return the finding for a version that hosts wouldn't take."""
    message = str(error)
    if error.file:
        message = message.removeprefix(f"{error.file}:{error.line}: ")
    if error.key:
        message = message.removeprefix(f"{error.key}: ")
    place = Place(error.file, error.line, error.key)
    return Finding("error", code, place, message)


def _check_alone(new: Version, assumed: Assumptions) -> Iterator[Finding]:
    subject, places = new.subject, new.places
    if not isinstance(subject, RoutingView):
        for check_document in document_checks.CHECKS:
            yield from check_document(subject, places)
        return
    for check_routing in (
        *route_checks.CHECKS,
        *limit_checks.CHECKS,
        *customer_checks.CHECKS,
    ):
        yield from check_routing(subject, places)
    for check_size in (
        route_checks.check_services,
        limit_checks.check_descriptors,
        customer_checks.check_limits,
    ):
        yield from check_size(subject, places, assumed)


def _compare(
    old: Version, new: Version, *, is_changed: bool
) -> Iterator[Finding]:
    before, after = old.subject, new.subject
    if isinstance(before, RoutingView) and isinstance(after, RoutingView):
        if is_changed:
            yield from effects.find_version_errors(before, after, new.places)
        yield from effects.find_routing_effects(
            before, after, old_places=old.places, places=new.places
        )
    elif not isinstance(before, RoutingView) and not isinstance(
        after, RoutingView
    ):
        yield from effects.find_document_effects(
            before, after, old_places=old.places, places=new.places
        )
    else:
        raise errors.ConfigError(
            "the two versions are a configuration folder and a routing"
            " configuration, which can't be compared"
        )
