"""Customers of the soak test: their keys, usage limits and callers."""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from nutmegscale import customers
from nutmegscale import periodic
from tools import soak_callers
from tools import soak_customer_checks
from tools import soak_world

# Customer of the soak's other callers; it has no limit and keeps its key.
FREE = "free"
FREE_KEY = f"{soak_customer_checks.KEY_MARK}free"
# Time until the hosts have started, seconds.
START_S = 3.0
# Half of the deployment's figures, so that one process can send as much.
PER_S = 115_265.0
SLACK = 60_000
RULE = customers.QuotaRule(8.0, 0.1, SLACK)
# Section `bounds` of the settings of hosts.
BOUNDS = (
    f"quotaWindowS = {RULE.window_s}\nquotaOvershoot = {RULE.overshoot}\n"
    f"quotaSlack = {RULE.slack}\n"
)
PLAIN_TOKENS = 200
# Tokens that streams of the soak's callers state, and calls of customers.
STREAM_TOKENS = 9_000
CALL_TOKENS = 10_000
# Requests a second of each customer at its usual rate, whose limit is about
# 1.8 times that, and in a hot phase.
HOT_FACTOR = 4.0
# Limits are lowered to a part of what they were, until one would hold less than
# a request.
LOWERED_TO = 0.6
# Time for which a configuration that can't be parsed stays in the store.
INVALID_S = 0.5
# Times of plain calls, seconds; some servers take longer at all times, each one
# for moments. Servers state their present pace, or something malformed.
CALL_S = 0.06
SLOW_FACTOR = 2.5
SLOW_SERVERS = ("w3", "d3")
SLOW_S = 0.6


class _Customer:
    """A customer of the configuration, and its callers' usual rate."""

    def __init__(
        self,
        name: str,
        priority: int,
        limit: customers.UsageLimit,
        usual_per_s: float,
    ) -> None:
        self.name = name
        self.priority = priority
        self.limit = limit
        self.usual_per_s = usual_per_s
        self.keys: list[str] = []
        self.removed_keys: list[str] = []
        self.sent = 0
        self.served = 0
        self.over_limit = 0

    def tenant(self) -> dict[str, Any]:
        """Return its entry in the configuration."""
        entry: dict[str, Any] = {
            "name": self.name,
            "apiKeys": list(self.keys),
            "priority": self.priority,
            "ratePerS": self.limit.per_s,
            "burst": self.limit.burst,
        }
        if self.limit.unit == "tokens":
            entry["unit"] = "token_stream"
            entry["plainTokens"] = self.limit.plain_tokens
        return entry


class _Key(NamedTuple):
    """A key that a caller sends, and the customer whose it is or was."""

    key: str
    customer: str


class CustomerCallers:
    """Customers whose keys and limits change, and what their callers send.

    Callers of each customer send at their usual rate and in hot phases, some
    with keys that were removed or never existed, some with a customer's name.

    Attributes:
      checks: Recorded events, and what they violate.
      plain_sent_at: When requests to the plain service were sent that hosts
        took, seconds of the reactor clock.
      model_sent_at: The same for the model service.
    """

    def __init__(
        self,
        deployment: soak_world.SoakDeployment,
        callers: soak_callers.Callers,
        rng: random.Random,
        *,
        steady_since: Callable[[soak_world.Host], float],
        log_event: Callable[..., None],
    ) -> None:
        """Create the customers.

        Args:
          deployment: Hosts, backend servers and store.
          callers: The soak's other callers, which record violations.
          rng: Source of random numbers.
          steady_since: Returns since when a host ran and reached the store,
            seconds of the reactor clock; infinity if it doesn't now.
          log_event: Writes an event, given its kind and fields, to the log.
        """
        self._deployment = deployment
        self._callers = callers
        self._rng = rng
        self._steady_since = steady_since
        self._log_event = log_event
        self.checks = soak_customer_checks.CustomerChecks(RULE)
        self.plain_sent_at: list[float] = []
        self.model_sent_at: list[float] = []
        self._records: list[soak_callers.RequestRecord] = []
        self._key_count = 0
        self._version_count = 0
        self._changes: list[defer.Deferred[None]] = []
        self._senders: list[defer.Deferred[None]] = []
        self._pending: list[defer.Deferred[None]] = []
        tokens = customers.UsageLimit("tokens", PER_S, PER_S, PLAIN_TOKENS)
        smaller = tokens._replace(per_s=PER_S / 3, burst=PER_S / 3)
        calls = customers.UsageLimit("requests", 5.0, 5.0)
        self._customers = [
            _Customer("large", 1, tokens, 8.0),
            _Customer("small", 2, smaller, 2.7),
            _Customer("calls", 0, calls, 2.8),
        ]

    def _now(self) -> float:
        return float(self._deployment.reactor.seconds())

    def start(self) -> None:
        """Write the first customers, and send once the hosts have started."""
        self._callers.further_lines = [f"Authorization: Token {FREE_KEY}"]
        self.checks.add_key(FREE_KEY, FREE, self._now())
        for customer in self._customers:
            self._add_key(customer)
            self._add_key(customer)
            self.checks.set_limit(customer.name, customer.limit, self._now())
        self._write()
        self._senders = [
            periodic.spawn(self._send_all(customer))
            for customer in self._customers
        ]
        self._changes = [
            periodic.spawn(self._change_versions()),
            periodic.spawn(self._change_paces()),
        ]

    def stop(self) -> None:
        """Stop the changes; callers go on until `finish`."""
        for change in self._changes:
            change.cancel()
        if self._changes:
            # The present version may be one that can't be parsed.
            self._write()

    async def finish(self) -> None:
        """Stop the callers after their current requests."""
        for sender in self._senders:
            sender.cancel()
        await defer.DeferredList(self._pending)

    def _add_key(self, customer: _Customer) -> None:
        key = self._new_key()
        customer.keys.append(key)
        self.checks.add_key(key, customer.name, self._now())

    def _remove_key(self, customer: _Customer) -> None:
        key = customer.keys.pop(0)
        customer.removed_keys.append(key)
        self.checks.remove_key(key, self._now())

    def _new_key(self) -> str:
        """Return a key that no version holds."""
        self._key_count += 1
        mark = soak_customer_checks.KEY_MARK
        return f"{mark}{self._key_count}-{self._rng.getrandbits(96):024x}"

    def _write(self, *further: dict[str, Any]) -> None:
        """Write the present customers, and further entries of the list."""
        self._version_count += 1
        free = {"name": FREE, "apiKeys": [FREE_KEY], "priority": 1}
        entries = [customer.tenant() for customer in self._customers]
        self._deployment.tenants = [free, *entries, *further]
        self._deployment.configure()

    async def _change_versions(self) -> None:
        reactor = self._deployment.reactor
        await periodic.sleep(reactor, START_S)
        kinds = {
            "add": self._add_key,
            "rotate": self._rotate,
            "remove": self._remove,
            "lower": self._lower,
        }
        # Each kind once first, in a random order.
        order = self._rng.sample(list(kinds), len(kinds))
        while True:
            await periodic.sleep(reactor, self._rng.uniform(0.4, 2.0))
            kind = order.pop() if order else self._rng.choice(list(kinds))
            customer = self._rng.choice(self._customers)
            kinds[kind](customer)
            self._write()
            self._log_event(
                "customer_change",
                change=kind,
                customer=customer.name,
                per_s=customer.limit.per_s,
                version=self._deployment.next_version - 1,
            )
            if self._rng.random() < 0.2:
                await periodic.sleep(reactor, INVALID_S)
                self._write({"name": "copy", "apiKeys": [FREE_KEY]})
                await periodic.sleep(reactor, INVALID_S)
                self._write()

    def _rotate(self, customer: _Customer) -> None:
        self._add_key(customer)
        self._remove_key(customer)

    def _remove(self, customer: _Customer) -> None:
        if len(customer.keys) > 1:
            self._remove_key(customer)

    def _lower(self, customer: _Customer) -> None:
        limit = customer.limit
        if limit.burst * LOWERED_TO < limit.cost(CALL_TOKENS):
            return
        customer.limit = limit._replace(
            per_s=round(limit.per_s * LOWERED_TO, 1),
            burst=round(limit.burst * LOWERED_TO, 1),
        )
        self.checks.set_limit(customer.name, customer.limit, self._now())

    async def _change_paces(self) -> None:
        """Slow servers down for moments, and let them state their pace."""
        while True:
            for name, worker in self._deployment.workers.items():
                is_slow = name in SLOW_SERVERS or self._rng.random() < 0.15
                factor = SLOW_FACTOR if is_slow else 1.0
                server = worker.server
                server.service_time_s = CALL_S * factor
                server.event_interval_s = 0.02 * factor
                server.further_load = f",{factor * 100:.0f}"
                if self._rng.random() < 0.05:
                    server.further_load = self._rng.choice((",x", ",-5", ",,"))
            await periodic.sleep(self._deployment.reactor, SLOW_S)

    async def _send_all(self, customer: _Customer) -> None:
        """Send a customer's requests, at its usual rate and in hot phases."""
        reactor = self._deployment.reactor
        await periodic.sleep(reactor, START_S)
        is_hot, phase_ends_at = False, 0.0
        while True:
            if self._now() >= phase_ends_at:
                is_hot = not is_hot
                lasts_s = self._rng.uniform(4.0, 8.0)
                phase_ends_at = self._now() + lasts_s
            factor = HOT_FACTOR if is_hot else 1.0
            pause_s = self._rng.expovariate(customer.usual_per_s * factor)
            await periodic.sleep(reactor, pause_s)
            self._pending.append(periodic.spawn(self._send(customer)))

    def _choose_key(self, customer: _Customer) -> _Key:
        """Return a key in force, or now and then another one or none."""
        number = self._rng.random()
        if number < 0.05:
            return _Key("", "")
        if number < 0.1:
            return _Key(self._new_key(), "")
        if number < 0.2 and customer.removed_keys:
            key = self._rng.choice(customer.removed_keys)
            return _Key(key, customer.name)
        return _Key(self._rng.choice(customer.keys), customer.name)

    async def _send(self, customer: _Customer) -> None:
        host = self._rng.choice(self._deployment.hosts)
        route = self._rng.choice(
            ("slot",) * 5 + ("confirm",) * 3 + ("brief", soak_world.OPEN_ROUTE)
        )
        chosen = self._choose_key(customer)
        is_stream = soak_callers.kind_of(route) == "stream"
        tokens: int | None = STREAM_TOKENS if is_stream else CALL_TOKENS
        lines = [f"Authorization: Token {chosen.key}"] if chosen.key else []
        if not is_stream and self._rng.random() < 0.2:
            tokens = None
        elif not is_stream:
            lines.append(f"Token-Count: {CALL_TOKENS - 10},10")
        if self._rng.random() < 0.2:
            lines += [f"Tenant: {FREE}", "Connection: keep-alive, tenant"]
        attempt = soak_customer_checks.Attempt(
            self._callers.next_request(),
            chosen.key,
            chosen.customer,
            route == soak_world.OPEN_ROUTE,
            tokens,
        )
        self.checks.record_attempt(attempt)
        record = await self._callers.ask(host, route, attempt.request, lines)
        if record is not None:
            self._record(customer, attempt, record, host)

    def _record(
        self,
        customer: _Customer,
        attempt: soak_customer_checks.Attempt,
        record: soak_callers.RequestRecord,
        host: soak_world.Host,
    ) -> None:
        """Record what became of a request."""
        self._records.append(record)
        customer.sent += 1
        customer.served += record.status == 200
        customer.over_limit += record.status == 429
        if record.status not in (401, 429):
            is_stream = soak_callers.kind_of(record.route) == "stream"
            sent_at = self.model_sent_at if is_stream else self.plain_sent_at
            sent_at.append(record.sent_at)
        answer = soak_customer_checks.Answer(
            record.host,
            record.status,
            record.sent_at,
            record.ended_at,
            self._steady_since(host),
        )
        self.checks.record_answer(attempt, answer)

    def check(self, logs: dict[str, bytes]) -> list[str]:
        """Check everything that was recorded; return lines of figures.

        Args:
          logs: What each host has logged.
        """
        self._callers.check_records(self._records)
        for record in self._callers.records:
            if record.status == 401:
                self._callers.record_violation(
                    soak_customer_checks.IN_FORCE_PROMISE,
                    record.request,
                    f"status 401 from {record.host}",
                )
        for server, head in self._callers.all_heads():
            self.checks.check_head(server, head, default=FREE)
        for host, text in logs.items():
            self.checks.check_log(host, text)
        runs = [
            soak_customer_checks.Run(at, request)
            for at, request in self._callers.all_timed_runs()
        ]
        windows = self.checks.check_usage(runs)
        for violation in self.checks.violations:
            self._callers.record_violation(*violation)
        judged = ", ".join(
            f"{count} {state}" for state, count in self.checks.judged.items()
        )
        return [
            *(
                f"customer {customer.name}: {customer.sent} requests, "
                f"{customer.served} served, {customer.over_limit} over the "
                f"limit; {windows.get(customer.name, 'nothing ran')}"
                for customer in self._customers
            ),
            f"{self._version_count} versions with customers; keys: {judged}",
        ]
