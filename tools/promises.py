"""Checks of the guarantees to callers, from caller and server records."""

import statistics
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from standins import engine_model
from tools import cluster
from tools import load

if TYPE_CHECKING:
    from tools import trace

# Latency targets of a good answer.
FIRST_TOKEN_TARGET_S = 0.54
TOKEN_GAP_TARGET_S = 0.031


class Records(NamedTuple):
    """Records of the backend servers.

    Attributes:
      prefilled: Digests of the prompts whose prefill any engine accepted, also
        if it was cancelled later.
      runs: Number of runs of each plain call, by idempotency key.
      prefill_tokens: Number of prefilled tokens.
      wasted_tokens: Number of tokens whose prefill result was discarded.
      held: Number of runs that hold engine memory or wait for their prefill.
    """

    prefilled: frozenset[str]
    runs: dict[str, int]
    prefill_tokens: int
    wasted_tokens: int
    held: int


class Summary(NamedTuple):
    """Figures of a run and its violations.

    Attributes:
      rows: Label and value of each figure.
      violations: One line for each violated guarantee or missed expectation.
    """

    rows: list[tuple[str, str]]
    violations: list[str]


def collect(
    engines: list[dict[str, Any]],
    plain: list[dict[str, int]],
    running: list[list[Any]],
) -> Records:
    """Combine the records of all backend servers.

    Args:
      engines: Counters and operation log of each engine.
      plain: Number of runs by idempotency key, of each plain service.
      running: Runs that hold memory or wait for their prefill, of each engine.

    Returns:
      The combined records.
    """
    prefilled: set[str] = set()
    runs: dict[str, int] = {}
    for record in engines:
        prefilled |= {row[2] for row in record["runs"] if row[0] == "prefill"}
    for counts in plain:
        for key, count in counts.items():
            runs[key] = runs.get(key, 0) + count
    counters = [record["counts"] for record in engines]
    return Records(
        frozenset(prefilled),
        runs,
        sum(c.get("prefill_tokens", 0) for c in counters),
        sum(c.get("wasted_prefill_tokens", 0) for c in counters),
        sum(len(listed) for listed in running),
    )


def read_records(deployment: cluster.Cluster) -> Records:
    """Read the records of every backend server that still runs."""
    engines, plain, running = [], [], []
    for worker in deployment.workers.values():
        if worker.process.poll() is not None:
            continue
        if worker.plan.role == "plain":
            plain.append(cluster.call("GET", f"{worker.url}/_counts"))
        else:
            engines.append(cluster.call("GET", f"{worker.url}/v1/counts"))
            running.append(cluster.call("GET", f"{worker.url}/v1/running"))
    return collect(engines, plain, running)


def find_violations(
    outcomes: list[load.Outcome], records: Records
) -> list[str]:
    """Return one line for each guarantee that was violated.

    The guarantees: an answer is that of its request, a request reported as
    not_run didn't run, a plain call runs at most once, and no run holds engine
    memory after the last request ended.
    """
    violations = []
    for outcome in outcomes:
        request = outcome.request
        if outcome.result == "wrong":
            violations.append(
                f"{request.name}: the answer doesn't match the request"
            )
        ran = engine_model.prompt_digest(request.prompt) in records.prefilled
        # An earlier send may have run the prompt before the last one failed.
        reported_not_run = outcome.outcome == "not_run" and outcome.sends == 1
        if request.max_tokens and reported_not_run and ran:
            violations.append(
                f"{request.name}: reported as not_run, but an engine ran it"
            )
        runs = records.runs.get(request.name, 0)
        if not request.max_tokens and runs > 1:
            violations.append(
                f"{request.name}: ran {runs} times, expected at most once"
            )
        if not request.max_tokens and outcome.outcome == "not_run" and runs:
            violations.append(
                f"{request.name}: reported as not_run, but the service ran it"
            )
    if records.held:
        violations.append(f"{records.held} runs still hold engine memory")
    return violations


def _quantile(values: list[float], fraction: float) -> float:
    if len(values) < 2:
        return values[0] if values else 0.0
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return cuts[round(fraction * 100) - 1]


def meets_targets(outcome: load.Outcome) -> bool:
    """Return whether an answer met both latency targets."""
    in_time = outcome.first_token_s <= FIRST_TOKEN_TARGET_S
    return in_time and outcome.gap_s <= TOKEN_GAP_TARGET_S


def summarize(outcomes: list[load.Outcome], records: Records) -> Summary:
    """Compute the figures and violations of a run."""
    models = [o for o in outcomes if o.request.max_tokens]
    answered = [o for o in models if o.result == "answered"]
    calls = [o for o in outcomes if not o.request.max_tokens]
    failure_counts: dict[str, int] = {}
    for outcome in outcomes:
        for kind in outcome.retried_failures:
            label = f"{kind or 'connection_lost'} (sent again)"
            failure_counts[label] = failure_counts.get(label, 0) + 1
        if outcome.result not in ("answered", "cancelled"):
            failure_counts[outcome.result] = (
                failure_counts.get(outcome.result, 0) + 1
            )
    good = [o for o in answered if meets_targets(o)]
    first = [o.first_token_s * 1e3 for o in answered]
    gaps = [o.gap_s * 1e3 for o in answered]
    sent = [o for o in models if o.result != "cancelled"]
    wasted = records.wasted_tokens / max(1, records.prefill_tokens)
    rows = [
        ("model requests sent", str(len(models))),
        ("  cancelled by the caller", str(len(models) - len(sent))),
        ("  answered once, in full", str(len(answered))),
        ("plain calls sent", str(len(calls))),
        (
            "  answered, run once",
            str(sum(o.result == "answered" for o in calls)),
        ),
    ]
    rows += [(f"  {k}", str(v)) for k, v in sorted(failure_counts.items())]
    rows += [
        (
            "first token p50 / p95, ms",
            f"{_quantile(first, 0.5):.0f} / {_quantile(first, 0.95):.0f}",
        ),
        (
            "token gap p50 / p95, ms",
            f"{_quantile(gaps, 0.5):.1f} / {_quantile(gaps, 0.95):.1f}",
        ),
        (
            "goodput, of requests not cancelled",
            f"{len(good)} of {len(sent)} ({len(good) / max(1, len(sent)):.1%})",
        ),
        (
            "wasted prefill tokens",
            f"{records.wasted_tokens} of {records.prefill_tokens}"
            f" ({wasted:.2%})",
        ),
    ]
    return Summary(rows, find_violations(outcomes, records))


def evaluate(
    outcomes: list[load.Outcome],
    records: Records,
    expected: "trace.Expected",
    servers_lost: int,
) -> Summary:
    """Summarize a run and compare it with the expected outcome.

    Args:
      outcomes: Outcomes of the requests.
      records: Records of the backend servers.
      expected: Expected outcome, from the header of the trace.
      servers_lost: Number of backend servers that died without a fault of
        the trace.

    Returns:
      The figures; the violations include missed expectations.
    """
    summary = summarize(outcomes, records)
    sent = [o for o in outcomes if o.result != "cancelled"]
    answered = [o for o in sent if o.result == "answered"]
    good = [o for o in answered if meets_targets(o)]
    count = max(1, len(sent))
    wasted = records.wasted_tokens / max(1, records.prefill_tokens)
    checks = (
        ("answered", len(answered) / count, expected.answered_at_least, True),
        ("good", len(good) / count, expected.good_at_least, True),
        ("wasted", wasted, expected.wasted_at_most, False),
        ("lost", servers_lost, expected.servers_lost_at_most, False),
    )
    violations = list(summary.violations)
    for name, figure, bound, is_least in checks:
        if (figure < bound) if is_least else (figure > bound):
            word = "at least" if is_least else "at most"
            violations.append(
                f"{name} {figure:.3f}, expected {word} {bound:.3f}"
            )
    return Summary(summary.rows, violations)
