"""Memory that runs on a decode worker will hold; pure."""


def peak_tokens(runs: list[tuple[float, int, float]], token_s: float) -> float:
    """Return the most memory that runs hold at once, in tokens.

    Args:
      runs: Expected end, prompt tokens and start of each run.
      token_s: Time that one token takes, seconds.
    """
    ordered = sorted(runs, reverse=True)
    peak = 0.0
    for index, (end, _, _) in enumerate(ordered):
        used = sum(
            prompt + max(0.0, end - start) / token_s
            for _, prompt, start in ordered[: index + 1]
        )
        peak = max(peak, used)
    return peak
