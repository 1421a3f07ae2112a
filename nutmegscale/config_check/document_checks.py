"""Checks of the document of a configuration folder."""

from collections.abc import Iterator

from nutmegscale import config
from nutmegscale.config_check import findings
from nutmegscale.config_check import version

_MODEL_FIELDS = (
    "policy",
    "first_token_s",
    "token_gap_s",
    "max_prompt_tokens",
    "max_output_tokens",
)
_PLAIN_FIELDS = ("non_idempotent", "timeout_s")
_ROLES: dict[str, tuple[str, ...]] = {
    "model": ("prefill", "decode"),
    "plain": ("plain",),
}


def check_rules(
    document: config.Document, places: version.Places
) -> Iterator[findings.Finding]:
    """Find rules that earlier ones always win over."""
    callers = set(document["callers"])
    decided: dict[str, dict[str, str]] = {}
    for name in sorted(document["rules"], key=str.encode):
        rule = document["rules"][name]
        by_caller = decided.setdefault(rule["service"], {})
        covered = (
            callers if rule["caller"] == config.ANY_CALLER else {rule["caller"]}
        )
        winners = [by_caller.get(c, "") for c in sorted(covered)]
        if winners and all(winners):
            yield findings.Finding(
                "warning",
                "rule_never_applies",
                places.find("rules", name),
                "never applies: of the rules for"
                f" {rule['service']}, {', '.join(sorted(set(winners)))}"
                " always comes first",
            )
        for caller in covered:
            by_caller.setdefault(caller, name)


def _admitted(document: config.Document) -> set[tuple[str, str]]:
    """Return the pairs of caller and service that rules admit."""
    known = config.Config(document, 0, "")
    return {
        (caller, service)
        for caller in document["callers"]
        for service in document["services"]
        if known.route(caller, service)
    }


def check_access(
    document: config.Document, places: version.Places
) -> Iterator[findings.Finding]:
    """Find services and callers that the rules admit to nothing."""
    admitted = _admitted(document)
    for name in sorted(document["services"].keys() - {s for _, s in admitted}):
        yield findings.Finding(
            "warning",
            "service_without_caller",
            places.find("services", name),
            "no rule admits any caller to it",
        )
    for name in sorted(document["callers"].keys() - {c for c, _ in admitted}):
        yield findings.Finding(
            "warning",
            "caller_without_service",
            places.find("callers", name),
            "no rule admits it to any service",
        )


def check_pools(
    document: config.Document, places: version.Places
) -> Iterator[findings.Finding]:
    """Find services without workers, and engines that no pool names."""
    pools = document["pools"].values()
    roles = {(pool["service"], pool["role"]) for pool in pools}
    for name, service in document["services"].items():
        for role in _ROLES[service["kind"]]:
            if (name, role) not in roles:
                yield findings.Finding(
                    "warning",
                    "service_without_pool",
                    places.find("services", name),
                    f"no pool has workers of role {role} for it",
                )
    used = {pool.get("engine") for pool in pools}
    for name in sorted(document.get("engines", {}).keys() - used):
        yield findings.Finding(
            "warning",
            "engine_unused",
            places.find("engines", name),
            "no pool names this engine",
        )


def check_fields(
    document: config.Document, places: version.Places
) -> Iterator[findings.Finding]:
    """Find fields of services that have no effect on their kind."""
    for name, service in document["services"].items():
        idle = _PLAIN_FIELDS if service["kind"] == "model" else _MODEL_FIELDS
        for field in idle:
            if field in service:
                yield findings.Finding(
                    "warning",
                    "field_without_effect",
                    places.find("services", name, field),
                    f"has no effect on a {service['kind']} service",
                )


def check_targets(
    document: config.Document, places: version.Places
) -> Iterator[findings.Finding]:
    """Find latency targets that the engines can't reach even when idle."""
    engines = document.get("engines", {})
    for pool in document["pools"].values():
        if pool["role"] == "plain":
            continue
        name, service = pool["service"], document["services"][pool["service"]]
        engine = engines[pool.get("engine", "")]
        if pool["role"] == "prefill":
            field, default_s = "first_token_s", config.DEFAULT_FIRST_TOKEN_S
            least_s = engine["prefill_base_s"] + engine["prefill_token_s"]
            target_s = service.get("first_token_s", default_s)
        else:
            field, default_s = "token_gap_s", config.DEFAULT_TOKEN_GAP_S
            least_s = engine["step_base_s"] + engine["step_run_s"]
            target_s = service.get("token_gap_s", default_s)
        if least_s > target_s:
            yield findings.Finding(
                "error",
                "target_below_engine",
                places.find("services", name, field),
                f"the target of {target_s:g} s is below the {least_s:g} s that"
                f" an idle engine {pool.get('engine')} takes",
            )


CHECKS = (
    check_rules,
    check_access,
    check_pools,
    check_fields,
    check_targets,
)
