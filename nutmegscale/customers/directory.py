"""Customers of one version of the routing configuration, and their keys."""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import secrets
from typing import Literal
from typing import NamedTuple

from nutmegscale import errors

# Longest API key, bytes.
MAX_KEY_BYTES = 200
KEY_DIGEST_BYTES = 16
# What an error adds to the name of a customer whose key is invalid.
KEYS_SUFFIX = ".keys"
# Ranks of a customer's requests start at its priority times this number, so
# that the priority of its route decides among them only.
RANKS_PER_CUSTOMER = 1000


def split_rank(rank: int) -> tuple[int, int]:
    """Return the priorities of the customer and of the route of a rank."""
    return divmod(rank, RANKS_PER_CUSTOMER)


class UsageLimit(NamedTuple):
    """How much a customer may use, over all hosts.

    Attributes:
      unit: What is counted.
      per_s: Units a second.
      burst: Units that may be used at once beyond that.
      plain_tokens: Cost of a request that states no tokens, if tokens are
        counted.
    """

    unit: Literal["requests", "tokens"]
    per_s: float
    burst: float
    plain_tokens: int = 0

    def cost(self, stated_tokens: int | None) -> int:
        """Return the cost of a request, in units.

        Args:
          stated_tokens: Tokens of the prompt and of the longest answer that
            the request states; None if it states none.
        """
        if self.unit == "requests":
            return 1
        return self.plain_tokens if stated_tokens is None else stated_tokens


class Customer(NamedTuple):
    """A customer.

    Attributes:
      name: Its name, unique in a configuration.
      priority: Rank of all its requests; 0 goes first.
      limit: How much it may use; None if there is no limit.
    """

    name: str
    priority: int = 0
    limit: UsageLimit | None = None

    def rank(self, route_priority: int) -> int:
        """Return the rank of a request; 0 goes first.

        Args:
          route_priority: Priority of the request's route.
        """
        within = min(route_priority, RANKS_PER_CUSTOMER - 1)
        return self.priority * RANKS_PER_CUSTOMER + within


def digest_keys(customer: str, keys: Iterable[str]) -> tuple[bytes, ...]:
    """Return the digests of a customer's API keys, which stand for them.

    Hosts keep and send only digests. They need no key of their own: API keys
    are random, so that none can be found by trying.

    Raises:
      errors.ConfigError: A key is empty or too long. The error's key is the
        customer's name followed by `KEYS_SUFFIX`.
    """
    digests = []
    for key in keys:
        size = len(key.encode())
        # An error never names the key.
        if not 0 < size <= MAX_KEY_BYTES:
            raise errors.ConfigError(
                f"a key of {size} bytes, expected 1 to {MAX_KEY_BYTES}",
                key=f"{customer}{KEYS_SUFFIX}",
            )
        digests.append(_digest_key(key.encode()))
    return tuple(digests)


def _digest_key(key: bytes) -> bytes:
    return hashlib.blake2b(
        key, digest_size=KEY_DIGEST_BYTES, person=b"customer key"
    ).digest()


class CustomerDirectory:
    """Finds customers by key or by name.

    The digests of keys are digested once more with a secret of the process, so
    that the time of a lookup reveals nothing of them.
    """

    def __init__(
        self,
        customers: Iterable[Customer],
        key_digests: Mapping[str, Iterable[bytes]],
    ) -> None:
        """Create the directory.

        Args:
          customers: The customers.
          key_digests: Digests of the API keys of each customer, by its name;
            see `digest_keys`.

        Raises:
          errors.ConfigError: A name is used twice, or a key has two customers.
            The error's key is the customer's name, followed by `KEYS_SUFFIX`
            for a key.
        """
        self._secret = secrets.token_bytes(hashlib.blake2b.MAX_KEY_SIZE)
        self._by_name: dict[str, Customer] = {}
        self._by_key: dict[bytes, Customer] = {}
        for customer in customers:
            if customer.name in self._by_name:
                raise errors.ConfigError(
                    "the name is used twice", key=customer.name
                )
            self._by_name[customer.name] = customer
            for digest in key_digests.get(customer.name, ()):
                self._add_key(customer, digest)

    def __len__(self) -> int:
        """Return the number of customers."""
        return len(self._by_name)

    def _add_key(self, customer: Customer, digest: bytes) -> None:
        known = self._by_key.setdefault(self._hide(digest), customer)
        if known.name != customer.name:
            raise errors.ConfigError(
                f"a key is also one of {known.name}",
                key=f"{customer.name}{KEYS_SUFFIX}",
            )

    def _hide(self, digest: bytes) -> bytes:
        return hashlib.blake2b(
            digest, key=self._secret, digest_size=KEY_DIGEST_BYTES
        ).digest()

    def find(self, key: bytes) -> Customer | None:
        """Return the customer that holds a key, or None."""
        if not 0 < len(key) <= MAX_KEY_BYTES:
            return None
        return self._by_key.get(self._hide(_digest_key(key)))

    def get(self, name: str) -> Customer | None:
        """Return the customer with a name, or None."""
        return self._by_name.get(name)

    def all(self) -> tuple[Customer, ...]:
        """Return all customers."""
        return tuple(self._by_name.values())
