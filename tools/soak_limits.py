"""Backend servers of the soak test that state limits on their requests."""

from standins import platform_worker
from tools import limit_window
from tools import soak_callers
from tools import soak_world

PROMISE = "all hosts keep to a server's limit"
# Limit of each server that states one, requests a second of all hosts.
LIMITS = {"w1": "2.8", "w2": "3.3", "d1": "1"}
# Time after which all hosts have been told, seconds: `stableWindowMs` of the
# deployment's specification.
TOLD_AFTER_S = 3.0


class LimitedServers:
    """Lets some backend servers state limits, and checks what they get."""

    def __init__(
        self,
        deployment: soak_world.SoakDeployment,
        callers: soak_callers.Callers,
    ) -> None:
        self._deployment = deployment
        self._callers = callers
        self._since = 0.0
        self._servers: dict[str, platform_worker.PlatformWorker] = {}

    def start(self) -> None:
        """Let the servers state their limits from now on."""
        for name, limit in LIMITS.items():
            self._servers[name] = self._deployment.workers[name].server
            self._servers[name].limit = limit
        self._since = self._deployment.reactor.seconds()

    def check(self) -> list[tuple[str, limit_window.WorstWindow | None]]:
        """Check the requests of all hosts; return the worst windows."""
        found = []
        for name, server in self._servers.items():
            for worst in (
                self._worst_window(server),
                server.worst_limit_window(),
            ):
                found.append((name, worst))
                if worst is not None and worst.is_exceeded:
                    detail = f"{name}: {worst}"
                    self._callers.record_violation(PROMISE, "", detail)
        return found

    def _worst_window(
        self, server: platform_worker.PlatformWorker
    ) -> limit_window.WorstWindow | None:
        # All hosts count as told, whoever told them.
        told_at = self._since + TOLD_AFTER_S
        return limit_window.worst_window(
            server.limit_statements,
            [r._replace(host="") for r in server.arrivals if r.at > told_at],
            [limit_window.Contact(self._since, "")],
        )
