"""Tests of the memory forecast for runs of uncertain length."""

import random

from nutmegscale import kv_memory


def test_growth_until_each_end_is_counted() -> None:
    runs = [kv_memory.Run(100, 0.0, 200.0), kv_memory.Run(100, 0.0, 100.0)]
    # Just before the shorter run ends both hold 200 tokens.
    assert kv_memory.fits(runs, 500.0, 0.1)
    assert not kv_memory.fits(runs, 380.0, 0.1)


def test_a_run_that_is_over_its_expected_end_still_counts() -> None:
    alone = [kv_memory.Run(1_000, 0.0, 100.0)]
    over = [*alone, kv_memory.Run(1_000, 300.0, 200.0)]
    assert kv_memory.fits(alone, 1_500.0, 0.4)
    assert not kv_memory.fits(over, 1_500.0, 0.4)


def test_less_certain_lengths_need_more_memory() -> None:
    runs = [kv_memory.Run(5_000, 500.0 * n, 4_000.0) for n in range(6)]
    assert kv_memory.fits(runs, 50_500.0, 0.1)
    assert not kv_memory.fits(runs, 50_500.0, 0.8)


def test_what_fits_hardly_ever_exceeds_the_memory() -> None:
    rng = random.Random(7)
    limit, deviation = 60_000.0, 0.35
    exceeded = 0
    for _ in range(200):
        runs: list[kv_memory.Run] = []
        while True:
            prompt = int(min(11_000.0, rng.lognormvariate(8.4, 0.5)))
            expected = min(7_500.0, rng.lognormvariate(8.2, 0.45))
            more = [*runs, kv_memory.Run(prompt, 0.0, expected)]
            if not kv_memory.fits(more, limit, deviation):
                break
            runs = more
        ends = [rng.lognormvariate(0.0, deviation) * r.expected for r in runs]
        peak = max(
            sum(
                run.prompt + at
                for run, end in zip(runs, ends, strict=True)
                if end >= at
            )
            for at in ends
        )
        exceeded += peak > limit
    assert 0 < exceeded <= 20
