"""What hints of callers say of the length of answers."""

import math
import random

from nutmegscale import answer_lengths

EVENT_TOKENS = 58


def _taught(
    hint_deviation: float, *, seed: int = 3, answers: int = 300
) -> answer_lengths.AnswerLengths:
    chance = random.Random(seed)
    lengths = answer_lengths.AnswerLengths()
    for _ in range(answers):
        events = max(1, round(chance.lognormvariate(4.1, 0.45)))
        noise = math.exp(chance.gauss(0.0, hint_deviation))
        lengths.learn(max(1, round(events * EVENT_TOKENS * noise)), events)
    return lengths


def test_hints_are_believed_while_nothing_is_known() -> None:
    lengths = answer_lengths.AnswerLengths()
    assert lengths.expect(4_000) == 4_000.0
    assert lengths.tokens(70) == 0.0
    assert lengths.deviation == answer_lengths.PRIOR_DEVIATION


def test_exact_hints_stay_believed() -> None:
    lengths = _taught(0.0)
    assert 0.95 <= lengths.slope <= 1.0
    for hinted in (1_500, 4_000, 7_000):
        assert abs(lengths.expect(hinted) / hinted - 1.0) < 0.05
    assert lengths.deviation < 0.05


def test_rough_hints_are_taken_for_nearer_to_the_usual() -> None:
    lengths = _taught(0.5)
    usual = 58 * math.exp(4.1)
    assert usual < lengths.expect(12_000) < 9_000
    assert 1_200 < lengths.expect(800) < usual
    # 0.45 and 0.5 leave 0.33 of the logarithm.
    assert 0.25 < lengths.deviation < 0.42


def test_events_are_counted_in_tokens() -> None:
    tokens = _taught(0.5).tokens(70)
    assert abs(tokens / (70 * EVENT_TOKENS) - 1.0) < 0.15


def test_expectations_are_nearer_than_hints() -> None:
    chance = random.Random(11)
    lengths = _taught(0.5)
    hint_errors, errors = 0.0, 0.0
    for _ in range(200):
        tokens = chance.lognormvariate(4.1, 0.45) * EVENT_TOKENS
        hinted = round(tokens * math.exp(chance.gauss(0.0, 0.5)))
        hint_errors += abs(math.log(hinted / tokens))
        errors += abs(math.log(lengths.expect(hinted) / tokens))
    assert errors < 0.8 * hint_errors


def test_answers_without_length_teach_nothing() -> None:
    lengths = answer_lengths.AnswerLengths()
    lengths.learn(0, 70)
    lengths.learn(4_000, 0)
    assert lengths.expect(4_000) == 4_000.0
