"""Fixtures: store rows as the operator and backend servers write them."""

import json
from typing import Any

MODEL_SERVICE = "notes-model"
PLAIN_SERVICE = "entries-app"


def config_row(version: int = 1, **changes: Any) -> bytes:
    """Return a configuration of two stream and two plain routes.

    One of the stream routes, `digest`, is resumable.

    Args:
      version: Version of the configuration.
      **changes: Top-level fields to replace.
    """
    state: dict[str, Any] = {
        "version": version,
        "routes": [
            _route("brief", "stream", MODEL_SERVICE, 14_000, 900, 1),
            _route(
                "digest",
                "stream",
                MODEL_SERVICE,
                14_000,
                900,
                2,
                resumable=True,
            ),
            _route("confirm", "unsafe", PLAIN_SERVICE, 800, 150, 1),
            _route("slot", "safe", PLAIN_SERVICE, 800, 150, 2),
        ],
        "services": [
            {
                "name": MODEL_SERVICE,
                "healthPath": "/health",
                "maxConnections": 160,
                "engine": {
                    "slots": 4,
                    "kvCapacity": 40_000,
                    "kvTokenBytes": 18_432,
                    "handleTtlS": 0.5,
                },
            },
            {
                "name": PLAIN_SERVICE,
                "healthPath": "/health",
                "maxConnections": 110,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 65_536,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }
    return json.dumps({**state, **changes}).encode()


def split_route(
    name: str, weights: dict[str, int], *, resumable: bool = False
) -> dict[str, Any]:
    """Return a stream route whose requests are split among services.

    Args:
      name: Its name, which is also its path.
      weights: Weight of each service.
      resumable: Whether its streams may be resumed.
    """
    route = _route(name, "stream", "", 14_000, 900, 2, resumable=resumable)
    route["trafficSplit"] = [
        {"service": service, "weight": weight}
        for service, weight in weights.items()
    ]
    return route


def _route(
    name: str,
    kind: str,
    service: str,
    timeout_ms: int,
    objective_ms: int,
    attempts: int,
    *,
    resumable: bool = False,
) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": "clubs.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": objective_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "sessionAffinity": kind == "stream",
        "resumable": resumable,
    }


def entry_row(
    service: str,
    address: str,
    *,
    zone: str = "maadi",
    stage: str = "",
    slots: int = 4,
    state: str = "ready",
    born: int = 1,
    **changes: Any,
) -> bytes:
    """Return the entry row of a backend server."""
    entry = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": state,
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": born,
    }
    if stage:
        entry["stage"] = stage
    return json.dumps({**entry, **changes}).encode()
