"""Servers of one service that differ in speed: estimates, limits and choice."""

from nutmegscale.adaptive.estimates import ServerEstimates
from nutmegscale.adaptive.estimates import ServerStatus
from nutmegscale.adaptive.estimates import SharedEstimate
from nutmegscale.adaptive.held_calls import HeldCalls
from nutmegscale.adaptive.news import NewsBudget
from nutmegscale.adaptive.selector import FULL_STRETCH
from nutmegscale.adaptive.selector import Candidate
from nutmegscale.adaptive.selector import ServerSelector

__all__ = [
    "FULL_STRETCH",
    "Candidate",
    "HeldCalls",
    "NewsBudget",
    "ServerEstimates",
    "ServerSelector",
    "ServerStatus",
    "SharedEstimate",
]
