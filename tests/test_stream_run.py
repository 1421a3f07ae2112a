"""Tests of what a stream concludes from rejections."""

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import http_message
from nutmegscale import stream_run


def _run() -> stream_run.StreamRun:
    request = caller_request.CallerRequest(
        id="r",
        host="h",
        path="/",
        head=http_message.RequestHead(b"POST", b"/", ()),
        body=b"",
        patience_s=14.0,
        prompt_tokens=3_200,
        max_tokens=2_000,
        expected_tokens=792,
        last_event=b"",
        resumes="",
        prompt_parts=(),
    )
    run = stream_run.StreamRun(request)
    run.handle_expires_at = 1.0
    run.load = caller_request.ServerLoad(8, 0, 128)
    return run


def test_worker_with_free_slots_that_rejects_a_fresh_cache_has_no_memory() -> (
    None
):
    """Memory for 8 runs carries a sixteenth of 128 slots.

    The cache is offered to another worker instead of a local prefill.
    """
    run = _run()
    assert run.record_rejection(0.5, "d0", had_source=True)
    assert run.avoid == ["d0"]
    assert not run.local_prefill
    server = backend.Backend("p", 1, "s", "p:1", "z", 6, False, "prefill")
    source = caller_request.KvHandle(server, "x")
    assert run.keep_source(source, 0.5)
    assert run.take_source(0.6) == source


def test_cache_that_expired_or_was_rejected_twice_is_prefilled_anew() -> None:
    run = _run()
    assert not run.record_rejection(1.1, "d0", had_source=True)
    assert run.local_prefill and not run.avoid
    run = _run()
    run.record_rejection(0.5, "d0", had_source=True)
    assert not run.record_rejection(0.6, "d1", had_source=True)
    assert run.local_prefill
