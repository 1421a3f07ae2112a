"""Cells: groups of a service's workers with one planner each."""

from collections.abc import Iterable
from typing import NamedTuple

from nutmegscale import worker

# Number of workers from which a failure domain is a cell of its own.
MIN_DOMAIN_WORKERS = 8
# Stands for the failure domain in the name of the shared cell.
SHARED = "*"


class Cell(NamedTuple):
    """A cell of a service.

    Attributes:
      name: "SERVICE@FAILURE_DOMAIN", or "SERVICE@*" for the shared cell.
      service: Name of the service.
      failure_domains: Failure domains of its workers, sorted.
      workers: Its workers, sorted by name.
    """

    name: str
    service: str
    failure_domains: tuple[str, ...]
    workers: tuple[worker.Worker, ...]


def make_cells(service: str, workers: Iterable[worker.Worker]) -> list[Cell]:
    """Group the workers of a service.

    A failure domain with enough workers, and with both roles among them, is a
    cell of its own; all others share one cell. This bounds the work of a
    planner in deployments of any size, while small ones pool all their workers.

    Args:
      service: Name of the service.
      workers: Workers of all services.

    Returns:
      Cells sorted by name, the shared one first.
    """
    by_domain: dict[str, list[worker.Worker]] = {}
    for candidate in workers:
        if candidate.service == service:
            by_domain.setdefault(candidate.failure_domain, []).append(candidate)
    cells = []
    shared: list[worker.Worker] = []
    for domain in sorted(by_domain):
        members = by_domain[domain]
        if _is_own_cell(members):
            cells.append(_make_cell(service, domain, members))
        else:
            shared += members
    if shared:
        cells.insert(0, _make_cell(service, SHARED, shared))
    return cells


def _is_own_cell(members: list[worker.Worker]) -> bool:
    roles = {member.role for member in members}
    has_both_roles = roles >= {"prefill", "decode"}
    return has_both_roles and len(members) >= MIN_DOMAIN_WORKERS


def _make_cell(service: str, scope: str, members: list[worker.Worker]) -> Cell:
    domains = tuple(sorted({m.failure_domain for m in members}))
    ordered = tuple(sorted(members, key=lambda m: m.name))
    return Cell(f"{service}@{scope}", service, domains, ordered)


def choose(cells: list[Cell], failure_domain: str) -> Cell | None:
    """Choose the cell of a host's failure domain.

    Without one it is the first cell, which is the shared one if there is one;
    None if there are no cells.
    """
    for cell in cells:
        if cell.name.endswith(f"@{failure_domain}"):
            return cell
    for cell in cells:
        if failure_domain in cell.failure_domains:
            return cell
    return cells[0] if cells else None
