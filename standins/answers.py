"""Answers of the stand-in engines, derived from the prompt alone."""

import hashlib

from nutmegscale import prompts

_WORDS = [
    "course",
    "map",
    "control",
    "start",
    "list",
    "bib",
    "الفيوم",
    "القاهرة",
    "brick",
    "set",
    "é",
    "ü",
    "🧭",
    "🧱",
    "Nile",
    "river",
    "note",
    "entry",
    "time",
    "日本",
    "forest",
    "café",
    "naïve",
    "lot",
    "price",
]
TOKEN_BYTES = 5
MIN_LENGTH_FRACTION = 0.3


def answer_tokens(prompt: str, max_tokens: int) -> list[bytes]:
    """Return the tokens of the answer to a prompt.

    Tokens are slices of UTF-8 text and may split a character.

    Args:
      prompt: The prompt text.
      max_tokens: Upper bound on the number of tokens, at least 1.

    Returns:
      Between 30% and 100% of `max_tokens` tokens, which join to valid UTF-8.
    """
    digest = hashlib.blake2b(prompt.encode(), digest_size=32).digest()
    fraction = MIN_LENGTH_FRACTION + (1 - MIN_LENGTH_FRACTION) * digest[0] / 255
    count = max(1, int(max_tokens * fraction))
    text = bytearray()
    index = 0
    while len(text) < count * TOKEN_BYTES:
        word = _WORDS[digest[index % 32] % len(_WORDS)]
        text += f"{word}{index} ".encode()
        index += 1
    cuts = [i * TOKEN_BYTES for i in range(count)] + [len(text)]
    return [bytes(text[a:b]) for a, b in zip(cuts, cuts[1:], strict=False)]


def answer_text(prompt: str, max_tokens: int) -> str:
    """Return the complete answer to a prompt."""
    return b"".join(answer_tokens(prompt, max_tokens)).decode()


def prompt_tokens(prompt: str) -> int:
    """Count the tokens of a prompt as the stand-in engines do."""
    return prompts.count_tokens(prompt)
