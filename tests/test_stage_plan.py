"""Tests of the division of model workers between the stages."""

from nutmegscale import backend
from nutmegscale import stage_plan

# Costs by the deployment's specification: prompts of 5,200 tokens, answers of
# 4,060 tokens, and twelve slots per decode worker.
COSTS = stage_plan.StageCosts(prefill_s=0.1, decode_s=0.37)


def _workers(prefills: int, decodes: int) -> list[backend.Backend]:
    stages = ["prefill"] * prefills + ["decode"] * decodes
    return [
        backend.Backend(f"w{n}", 1, "m", f"w{n}:1", "z", 12, False, stage)
        for n, stage in enumerate(stages)
    ]


def test_nobody_is_moved_in_a_whole_deployment() -> None:
    assert stage_plan.choose_move(_workers(2, 3), COSTS) is None


def test_one_is_moved_when_decode_workers_have_left() -> None:
    chosen = stage_plan.choose_move(_workers(2, 1), COSTS)
    assert chosen is not None
    assert chosen.id == "w0"


def test_a_small_gain_moves_nobody() -> None:
    assert stage_plan.choose_move(_workers(2, 2), COSTS) is None


def test_a_small_gain_moves_one_of_several() -> None:
    # 15 workers with memory for eight runs each: the move raises the rate from
    # 25 to 27 requests per second.
    costs = stage_plan.StageCosts(prefill_s=0.094, decode_s=0.4)
    chosen = stage_plan.choose_move(_workers(5, 10), costs)
    assert chosen is not None
    assert chosen.id == "w0"
    assert stage_plan.choose_move(_workers(4, 11), costs) is None


def test_the_last_prefill_worker_stays() -> None:
    for decodes in (0, 1, 2, 3):
        assert stage_plan.choose_move(_workers(1, decodes), COSTS) is None


def test_best_share_grows_with_the_cost_of_prompts() -> None:
    counts = [
        stage_plan.best_prefill_count(15, stage_plan.StageCosts(cost, 0.3))
        for cost in (0.05, 0.1, 0.2, 0.4)
    ]
    assert counts == sorted(counts)
    assert counts[0] < counts[-1]
    assert stage_plan.best_prefill_count(1, COSTS) == 0
