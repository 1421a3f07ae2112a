"""Defines the built-in site for slot experiments, in site file form."""

from typing import Any

# Five workers of the model service, and a day with a burst of calls, a worker
# crash and a cut off failure domain.
OWN_SITE: dict[str, Any] = {
    "machines": [{"count": 4}],
    "services": [
        {
            "name": "model",
            "servers": [{"count": 5}],
            "slots": 8,
            "queue": 2,
            "speeds": [1.0, 1.2],
            "llm": {
                "prefill": 0.4,
                "step_ms": 0.9,
                "step_ms_per_slot": 0.02,
                "context_ms_per_k": 0.0003,
                "prefill_tokens_per_ms": 40.0,
                "kv_tokens": 60_000,
                "kv_bytes": 16_000.0,
                "stride": 58,
            },
        },
        {"name": "pages", "servers": [{"count": 2}]},
    ],
    "classes": [
        {
            "name": "answer",
            "service": "model",
            "aim_ms": 1_000.0,
            "deadline_ms": 12_000,
            "worth": 30.0,
            "late_worth": 6.0,
            "stream": {
                "pieces": {"mean": 60.0, "max": 120.0},
                "prompt_tokens": {"mean": 4_000.0, "max": 9_000.0},
                "chain": [{"tokens": {"mean": 150.0}}],
                "hint": 0.5,
            },
        },
        {"name": "page", "service": "pages", "worth": 1.0},
    ],
    "goal": {"mean": 0.6, "window": 0.1, "class": 0.1, "zone": 0.2},
    "prices": {"machine_s": 0.5, "kv_gb": 4.0, "read_waste": 6.0},
    "day": [
        {
            "name": "busy",
            "length_s": 30.0,
            "faults": [
                {"kind": "burst", "at": 8.0, "for_s": 4.0, "x": 3.0},
                {
                    "kind": "srv_crash",
                    "at": 15.0,
                    "for_s": 4.0,
                    "share": 0.2,
                },
                {
                    "kind": "zone_cut",
                    "at": 22.0,
                    "for_s": 3.0,
                    "zone": "west",
                },
            ],
            "traffic": [
                {
                    "zone": zone,
                    "mix": {"answer": 1.0, "page": 6.0},
                    "per_s": 14.0,
                    "shape": {"swing": 0.1, "period_s": 10.0, "phase": phase},
                }
                for zone, phase in (("east", 0.0), ("west", 0.5))
            ],
        }
    ],
}
