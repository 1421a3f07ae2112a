"""Tests of JSON merge patches."""

from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from nutmegscale import merge_patch

LEAVES = st.integers(0, 3) | st.lists(st.integers(0, 3), max_size=2)
DOCUMENTS = st.recursive(
    st.dictionaries(st.sampled_from("abc"), LEAVES, max_size=3),
    lambda inner: st.dictionaries(
        st.sampled_from("abc"), LEAVES | inner, max_size=3
    ),
    max_leaves=8,
)


@given(DOCUMENTS, DOCUMENTS)
@settings(derandomize=True, max_examples=500)
def test_a_patch_gives_the_new_document(
    old: dict[str, Any], new: dict[str, Any]
) -> None:
    patch = merge_patch.make(old, new)
    assert merge_patch.apply(old, patch) == new


def test_a_patch_of_equal_documents_is_empty() -> None:
    assert merge_patch.make({"a": {"b": 1}}, {"a": {"b": 1}}) == {}


def test_null_removes_and_objects_merge() -> None:
    base = {"a": {"b": 1, "c": 2}, "d": 3}
    patch = {"a": {"b": None, "e": 4}, "d": None}
    assert merge_patch.apply(base, patch) == {"a": {"c": 2, "e": 4}}
