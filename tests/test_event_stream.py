"""Tests of splitting a stream into events."""

import pytest

from nutmegscale import errors
from nutmegscale import event_stream


def test_events_are_returned_once_they_are_complete() -> None:
    splitter = event_stream.EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == b""
    assert splitter.feed(b"\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert (splitter.last_id, splitter.rest) == (b"1", b"id: 2\nda")


def test_event_without_end_is_refused_within_bounds() -> None:
    splitter = event_stream.EventSplitter()
    taken = 0
    with pytest.raises(errors.MalformedAnswerError):
        while taken < 64 << 20:
            splitter.feed(b"x" * 4_096)
            taken += 4_096
    assert taken <= event_stream.MAX_EVENT_BYTES
