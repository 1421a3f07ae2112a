"""Tests of answer lengths that are expected from callers' hints."""

import math
import random

from nutmegscale import answer_lengths

EVENT_TOKENS = 58


def _trained(
    hint_deviation: float, *, seed: int = 3, answers: int = 300
) -> answer_lengths.AnswerLengths:
    rng = random.Random(seed)
    lengths = answer_lengths.AnswerLengths()
    for _ in range(answers):
        events = max(1, round(rng.lognormvariate(4.1, 0.45)))
        noise = math.exp(rng.gauss(0.0, hint_deviation))
        lengths.record(max(1, round(events * EVENT_TOKENS * noise)), events)
    return lengths


def test_hints_are_believed_while_nothing_is_known() -> None:
    lengths = answer_lengths.AnswerLengths()
    assert lengths.expect(4_000) == 4_000.0
    assert lengths.tokens(70) == 0.0
    assert lengths.deviation == answer_lengths.PRIOR_DEVIATION


def test_exact_hints_stay_believed() -> None:
    lengths = _trained(0.0)
    assert 0.95 <= lengths.slope <= 1.0
    for hinted in (1_500, 4_000, 7_000):
        assert abs(lengths.expect(hinted) / hinted - 1.0) < 0.05
    assert lengths.deviation < 0.05


def test_rough_hints_are_shrunk_towards_the_typical_length() -> None:
    lengths = _trained(0.5)
    typical = 58 * math.exp(4.1)
    assert typical < lengths.expect(12_000) < 9_000
    assert 1_200 < lengths.expect(800) < typical
    # Deviations of 0.45 in length and 0.5 in hint leave 0.33 (logarithms).
    assert 0.25 < lengths.deviation < 0.42


def test_events_are_counted_in_tokens() -> None:
    tokens = _trained(0.5).tokens(70)
    assert abs(tokens / (70 * EVENT_TOKENS) - 1.0) < 0.15


def test_expectations_are_nearer_than_hints() -> None:
    rng = random.Random(11)
    lengths = _trained(0.5)
    hint_errors, errors = 0.0, 0.0
    for _ in range(200):
        tokens = rng.lognormvariate(4.1, 0.45) * EVENT_TOKENS
        hinted = round(tokens * math.exp(rng.gauss(0.0, 0.5)))
        hint_errors += abs(math.log(hinted / tokens))
        errors += abs(math.log(lengths.expect(hinted) / tokens))
    assert errors < 0.8 * hint_errors


def test_answers_without_length_teach_nothing() -> None:
    lengths = answer_lengths.AnswerLengths()
    lengths.record(0, 70)
    lengths.record(4_000, 0)
    assert lengths.expect(4_000) == 4_000.0
