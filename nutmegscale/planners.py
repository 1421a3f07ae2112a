"""Factory of placement policies by their name in the configuration."""

from typing import Protocol

from nutmegscale import baselines
from nutmegscale import config
from nutmegscale import joint_planner
from nutmegscale import placement


class _PlannerFactory(Protocol):
    def __call__(
        self, *, goodput_weight: float, waste_weight: float
    ) -> placement.Planner: ...


_FACTORIES: dict[str, _PlannerFactory] = {
    "joint": joint_planner.JointPlanner,
    "round_robin": baselines.RoundRobin,
    "least_loaded": baselines.LeastLoaded,
    "prefix_affinity": baselines.PrefixAffinity,
}


def make_planner(policy: str, objective: config.Objective) -> placement.Planner:
    """Return a new planner with a placement policy.

    Args:
      policy: "joint", "round_robin", "least_loaded" or "prefix_affinity".
      objective: Objective of the deployment, with its weights.
    """
    return _FACTORIES[policy](
        goodput_weight=objective["goodput_weight"],
        waste_weight=objective["waste_weight"],
    )
