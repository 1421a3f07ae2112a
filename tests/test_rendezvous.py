"""Tests of rendezvous hashing."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from nutmegscale import rendezvous

NODES = st.sets(st.text(min_size=1, max_size=8), min_size=2, max_size=20)


@given(NODES, st.binary(min_size=1, max_size=32))
@settings(derandomize=True, max_examples=100)
def test_removing_the_first_node_promotes_the_second(
    nodes: set[str], key: bytes
) -> None:
    first, second, *_ = rendezvous.rank(key, nodes)
    assert rendezvous.rank(key, nodes - {first})[0] == second
    assert rendezvous.best(key, nodes) == first


def test_keys_spread_over_the_nodes() -> None:
    nodes = [f"host-{n}" for n in range(8)]
    counts = dict.fromkeys(nodes, 0)
    for number in range(4_000):
        counts[rendezvous.rank(str(number).encode(), nodes)[0]] += 1
    assert min(counts.values()) > 400
