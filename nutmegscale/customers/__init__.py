"""Customers: who sends a request, and how much each may use."""

from nutmegscale.customers.directory import KEYS_SUFFIX
from nutmegscale.customers.directory import Customer
from nutmegscale.customers.directory import CustomerDirectory
from nutmegscale.customers.directory import UsageLimit
from nutmegscale.customers.directory import digest_keys
from nutmegscale.customers.directory import split_rank
from nutmegscale.customers.fair_shares import Allowances
from nutmegscale.customers.fair_shares import FairShares
from nutmegscale.customers.identification import Identity
from nutmegscale.customers.identification import identify
from nutmegscale.customers.usage_controller import Allowed
from nutmegscale.customers.usage_controller import Charge
from nutmegscale.customers.usage_controller import Refused
from nutmegscale.customers.usage_controller import UsageController
from nutmegscale.customers.usage_controller import make as make_usage_controller
from nutmegscale.customers.usage_rule import QuotaRule

__all__ = [
    "KEYS_SUFFIX",
    "Allowed",
    "Charge",
    "Allowances",
    "Customer",
    "CustomerDirectory",
    "FairShares",
    "Identity",
    "QuotaRule",
    "Refused",
    "UsageController",
    "UsageLimit",
    "digest_keys",
    "identify",
    "make_usage_controller",
    "split_rank",
]
