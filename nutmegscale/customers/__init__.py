"""Customers: who sends a request, and how much each may use."""

from nutmegscale.customers.directory import Customer
from nutmegscale.customers.directory import CustomerDirectory
from nutmegscale.customers.directory import UsageLimit
from nutmegscale.customers.identification import Identity
from nutmegscale.customers.identification import identify

__all__ = [
    "Customer",
    "CustomerDirectory",
    "Identity",
    "UsageLimit",
    "identify",
]
