"""Token counts and prefix digests of prompts."""

import hashlib

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 256
MAX_BLOCKS = 64
DIGEST_BYTES = 8


def count_tokens(prompt: str) -> int:
    """Estimate the number of tokens of a prompt, at least 1."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))


def block_digests(prompt: str) -> tuple[bytes, ...]:
    """Return a digest of each complete leading block of a prompt.

    Digest i covers blocks 0 to i, so equal digests mean equal prefixes.

    Args:
      prompt: The prompt text.

    Returns:
      At most MAX_BLOCKS digests of DIGEST_BYTES bytes each.
    """
    data = prompt.encode()
    size = BLOCK_TOKENS * BYTES_PER_TOKEN
    count = min(MAX_BLOCKS, len(data) // size)
    chain = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digests = []
    for index in range(count):
        chain.update(data[index * size : (index + 1) * size])
        digests.append(chain.copy().digest())
    return tuple(digests)


def fingerprint(prompt: str) -> bytes:
    """Return a 16-byte digest that identifies a prompt's content."""
    return hashlib.blake2b(prompt.encode(), digest_size=16).digest()
