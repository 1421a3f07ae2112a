"""Decides whose request it is; does no I/O."""

from typing import NamedTuple

from nutmegscale.customers import directory as directory_module


class Identity(NamedTuple):
    """Whose request it is.

    Attributes:
      customer: The customer; None if the request needs none.
      rejection: Why the request must not be served, "" if it may be:
        "unknown_key", or "unknown_customer" if another host has passed it on
        for a customer that this host doesn't know.
    """

    customer: directory_module.Customer | None
    rejection: str = ""


def identify(
    directory: directory_module.CustomerDirectory | None,
    *,
    key: bytes,
    stated_name: str,
    is_public: bool,
    is_relayed: bool,
) -> Identity:
    """Decide whose request it is, and whether it may be served.

    Args:
      directory: The customers in force; None if keys aren't used.
      key: API key of the request, b"" if it has none.
      stated_name: Name of a customer that the request states, or "". It counts
        only if another host states it, which has checked the key.
      is_public: Whether its route needs no key.
      is_relayed: Whether another host has passed the request on.
    """
    if directory is None:
        return Identity(None)
    if is_relayed and stated_name:
        customer = directory.get(stated_name)
        return Identity(customer, "" if customer else "unknown_customer")
    customer = directory.find(key)
    if customer is None and not is_public:
        return Identity(None, "unknown_key")
    return Identity(customer)
