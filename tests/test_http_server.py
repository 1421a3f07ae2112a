"""Tests that request bodies stay in memory and are truncated at the limit.

Twisted stores large bodies in temporary files by default, but entry hosts have
no disks.
"""

import io
from typing import Any

from twisted.web.test import requesthelper as test_http

from nutmegscale import http_server


def _request(length: int | None, chunks: list[bytes]) -> Any:
    make: Any = http_server.MemoryRequest
    request = make(test_http.DummyChannel(), False)
    request.gotLength(length)
    for chunk in chunks:
        request.handleContentChunk(chunk)
    return request


def test_a_large_body_is_kept_in_memory() -> None:
    request = _request(1 << 20, [b"x" * (1 << 20)])
    assert isinstance(request.content, io.BytesIO)
    assert request.content.getvalue() == b"x" * (1 << 20)
    assert not request.is_too_large


def test_a_body_over_the_limit_is_cut() -> None:
    chunks = [b"x" * (1 << 20)] * 6
    for length in (6 << 20, None):
        request = _request(length, chunks)
        assert request.is_too_large
        size = len(request.content.getvalue())
        assert size <= http_server.MAX_BODY_BYTES
