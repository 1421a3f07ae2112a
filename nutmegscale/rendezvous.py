"""Rendezvous hashing of keys over named nodes."""

from collections.abc import Iterable
import hashlib


def _weight(key: bytes, node: str) -> bytes:
    return hashlib.blake2b(node.encode(), key=key[:64], digest_size=8).digest()


def rank(key: bytes, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in order of preference for a key.

    Removing a node leaves the order of the others unchanged, so the second
    node of a key becomes its first when the first one is removed.

    Args:
      key: Key to place; only its first 64 bytes count.
      nodes: Names of the candidates, in any order.

    Returns:
      Every name once, best first.
    """
    return sorted(set(nodes), key=lambda node: (_weight(key, node), node))


def best(key: bytes, nodes: Iterable[str]) -> str | None:
    """Return the first node for a key, or None if there are no nodes."""
    return min(nodes, key=lambda node: (_weight(key, node), node), default=None)
