"""Generates the traces under tests/traces from fixed seeds."""

import os
import random

from tools import trace

FOLDER = "tests/traces"
DURATION_S = 12.0  # default length of a trace
DOMAINS = ("maadi", "nasr", "giza", "shorouk")
CLUBS = ("cairo-club", "alex-club")
APPRAISAL_CALLERS = ("brick-north", "brick-west")


def federation_requests(
    rng: random.Random,
    seconds: float,
    *,
    rate: float = 8.0,
    call_fraction: float = 0.4,
    cancelled_fraction: float = 0.0,
    repeated_fraction: float = 0.0,
) -> list[trace.Request]:
    """Generate briefs and confirmations of the Federation's clubs.

    Args:
      rng: Source of randomness.
      seconds: Length of the trace, seconds.
      rate: Mean requests per second.
      call_fraction: Fraction of the requests that are plain calls.
      cancelled_fraction: Fraction of the briefs that the caller cancels.
      repeated_fraction: Fraction of the requests that are sent twice.

    Returns:
      The requests, ordered by time.
    """
    requests: list[trace.Request] = []
    at = 0.0
    while True:
        at += rng.expovariate(rate)
        if at >= seconds:
            return requests
        name = f"r{len(requests)}"
        repeat = (
            rng.uniform(0.02, 1.5) if rng.random() < repeated_fraction else None
        )
        if rng.random() < call_fraction:
            caller = rng.choice(["entry-pages", *CLUBS])
            requests.append(
                trace.Request(
                    round(at, 3),
                    caller,
                    "entries-app",
                    name,
                    20,
                    0,
                    repeat_after=repeat,
                )
            )
            continue
        cancel = (
            rng.uniform(0.01, 1.0)
            if rng.random() < cancelled_fraction
            else None
        )
        tokens = min(5_000, int(rng.lognormvariate(6.7, 0.7)))
        requests.append(
            trace.Request(
                round(at, 3),
                rng.choice(CLUBS),
                "notes-model",
                name,
                tokens,
                rng.randrange(16, 160),
                cancel_after=cancel,
                repeat_after=repeat,
            )
        )


def consortium_requests(
    rng: random.Random, seconds: float, *, rate: float = 7.0
) -> list[trace.Request]:
    """Generate manifests with a shared prefix, and price checks.

    Args:
      rng: Source of randomness.
      seconds: Length of the trace, seconds.
      rate: Mean requests per second; 40% are price checks, as plain calls.

    Returns:
      The requests, ordered by time.
    """
    requests: list[trace.Request] = []
    at = 0.0
    while True:
        at += rng.expovariate(rate)
        if at >= seconds:
            return requests
        name = f"r{len(requests)}"
        if rng.random() < 0.4:
            caller = rng.choice(["buyer-app", *APPRAISAL_CALLERS])
            requests.append(
                trace.Request(round(at, 3), caller, "storefront", name, 12, 0)
            )
            continue
        tokens = 2_048 + min(2_000, int(rng.lognormvariate(6.2, 0.5)))
        requests.append(
            trace.Request(
                round(at, 3),
                rng.choice(APPRAISAL_CALLERS),
                "appraiser-llm",
                name,
                tokens,
                rng.randrange(32, 160),
                "catalogue",
                2_048,
            )
        )


def _fault(
    at: float, kind: trace.FaultKind, target: str = "", times: int = 1
) -> trace.Fault:
    return trace.Fault(at, kind, target, times)


def _federation_trace(
    name: str,
    about: str,
    expected: trace.Expected,
    requests: list[trace.Request],
    faults: list[trace.Fault],
) -> trace.Trace:
    header = trace.Header(name, "federation", about, expected)
    return trace.Trace(header, requests, faults)


def _rolling_restart() -> list[trace.Fault]:
    faults = []
    names = [f"{d}-{n}" for d in DOMAINS for n in (1, 2)]
    for number, name in enumerate(names):
        at = 1.0 + number * 5.0
        faults.append(_fault(at, "drain_host", name))
        faults.append(_fault(at + 4.0, "start_host", name))
    return faults


def make_all() -> list[trace.Trace]:
    """Generate every trace; each has its own seed."""
    rng = random.Random
    strict_bounds = trace.Expected(0.99, 0.95)
    relaxed_bounds = trace.Expected(0.97, 0.85)
    poison = [
        trace.Request(
            1.0 + n * 2.0,
            "cairo-club",
            "notes-model",
            f"p{n}",
            200,
            16,
            poison=True,
        )
        for n in range(4)
    ]
    return [
        _federation_trace(
            "federation-evening",
            "an evening of entries before an event",
            strict_bounds,
            federation_requests(
                rng(1), 20.0, rate=14.0, cancelled_fraction=0.03
            ),
            [],
        ),
        trace.Trace(
            trace.Header(
                "consortium-drop",
                "consortium",
                "a live drop of listings",
                trace.Expected(0.99, 0.95, 0.01),
            ),
            consortium_requests(rng(2), 20.0, rate=10.0),
            [],
        ),
        _federation_trace(
            "callers-gone",
            "a third of the callers close; cancels are lost",
            trace.Expected(0.99, 0.95, 0.4),
            federation_requests(rng(3), DURATION_S, cancelled_fraction=0.35),
            [_fault(n, "lose_cancels", "", 2) for n in (2.0, 5.0, 8.0)],
        ),
        _federation_trace(
            "repeats",
            "half of all requests are sent twice, to two hosts",
            strict_bounds,
            federation_requests(rng(4), DURATION_S, repeated_fraction=0.5),
            [],
        ),
        _federation_trace(
            "host-killed",
            "two entry hosts die, one comes back",
            relaxed_bounds,
            federation_requests(rng(5), DURATION_S, repeated_fraction=0.1),
            [
                _fault(3.0, "kill_host", "nasr-1"),
                _fault(5.0, "kill_host", "maadi-2"),
                _fault(8.0, "start_host", "nasr-1"),
            ],
        ),
        _federation_trace(
            "host-frozen",
            "an entry host stands still for five seconds",
            relaxed_bounds,
            federation_requests(rng(6), DURATION_S, repeated_fraction=0.1),
            [
                _fault(3.0, "freeze_host", "giza-1"),
                _fault(8.0, "thaw_host", "giza-1"),
            ],
        ),
        _federation_trace(
            "worker-dies",
            "a decode worker dies and comes back",
            relaxed_bounds,
            federation_requests(rng(7), DURATION_S, rate=6.0),
            [
                _fault(4.0, "kill_worker", "decode-nasr"),
                _fault(8.0, "start_worker", "decode-nasr"),
            ],
        ),
        _federation_trace(
            "silent-connections",
            "open streams of the engines go silent",
            trace.Expected(0.99, 0.8),
            federation_requests(rng(8), DURATION_S, call_fraction=0.2),
            [
                _fault(n, "silence_worker", w, 3)
                for n, w in (
                    (2.0, "decode-maadi"),
                    (4.0, "decode-nasr"),
                    (6.0, "decode-shorouk"),
                    (8.0, "decode-maadi"),
                )
            ],
        ),
        _federation_trace(
            "platform-outage",
            "the platform is down for six seconds",
            trace.Expected(0.99, 0.55),
            federation_requests(rng(9), DURATION_S),
            [_fault(3.0, "platform_down"), _fault(9.0, "platform_up")],
        ),
        _federation_trace(
            "lost-answers",
            "answers of the table and the services are lost",
            trace.Expected(0.9, 0.75),
            federation_requests(
                rng(10), DURATION_S, call_fraction=0.6, repeated_fraction=0.2
            ),
            [_fault(n * 1.0, "lose_table_answers", "", 1) for n in range(2, 10)]
            + [
                _fault(n * 1.5, "lose_call_answers", "entries-nasr")
                for n in range(2, 6)
            ],
        ),
        _federation_trace(
            "rolling-restart",
            "all eight hosts are stopped and started in turn",
            strict_bounds,
            federation_requests(rng(11), 42.0, rate=5.0),
            _rolling_restart(),
        ),
        _federation_trace(
            "worker-leaves",
            "a prefill and a decode worker leave",
            relaxed_bounds,
            federation_requests(rng(12), DURATION_S, rate=6.0),
            [
                _fault(3.0, "leave_worker", "prefill-maadi"),
                _fault(5.0, "leave_worker", "decode-nasr"),
            ],
        ),
        _federation_trace(
            "domain-cut",
            "a failure domain is cut off and joined again",
            trace.Expected(0.9, 0.6),
            federation_requests(rng(13), 16.0, rate=5.0, call_fraction=0.3),
            [_fault(4.0, "cut_domain", "maadi"), _fault(10.0, "heal")],
        ),
        _federation_trace(
            "poison",
            "one content crashes each server that runs it",
            trace.Expected(0.85, 0.5, 0.2, 2),
            [*federation_requests(rng(14), DURATION_S, rate=3.0), *poison],
            [
                _fault(4.5, "start_worker", "prefill-maadi"),
                _fault(4.5, "start_worker", "prefill-giza"),
            ],
        ),
    ]


def main() -> None:
    """Write every trace."""
    os.makedirs(FOLDER, exist_ok=True)
    for generated in make_all():
        trace.write(
            os.path.join(FOLDER, f"{generated.header.trace}.jsonl"), generated
        )


if __name__ == "__main__":
    main()
