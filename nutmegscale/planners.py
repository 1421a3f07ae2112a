"""Choice of the placement policy by its name in the configuration."""

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
    """Make a planner.

    Args:
      policy: "joint", "round_robin", "least_loaded" or "prefix_affinity".
      objective: Weights of the deployment.
    """
    return _FACTORIES[policy](
        goodput_weight=objective["goodput_weight"],
        waste_weight=objective["waste_weight"],
    )
