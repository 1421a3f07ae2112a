"""OpenTelemetry metrics of a router."""

from typing import Any

FIRST_EVENT_BOUNDS_S = (0.1, 0.2, 0.3, 0.45, 0.6, 0.9, 1.5, 3.0)
ANSWER_BOUNDS_S = (0.02, 0.05, 0.1, 0.15, 0.2, 0.4, 0.8, 1.5)
SLOT_BOUNDS_S = (0.01, 0.05, 0.1, 0.3, 0.6, 0.9, 1.5, 3.0)


class RouterMetrics:
    """Counters and histograms of one host; all labels are bounded."""

    def __init__(self, meter: Any) -> None:
        self._requests = meter.create_counter(
            "nutmegscale_router_requests",
            description="requests by kind of route and result",
        )
        self._failure_events = meter.create_counter(
            "nutmegscale_router_troubles",
            description="events that a request got over or failed by",
        )
        self._limited_servers = meter.create_gauge(
            "nutmegscale_router_limited_servers",
            description="backend servers that state a limit on their requests",
        )
        self._limited_sends = meter.create_counter(
            "nutmegscale_router_limited_sends",
            description="requests to servers that state a limit, by result",
        )
        self._usage_charges = meter.create_counter(
            "nutmegscale_router_usage_charges",
            description="requests of customers with a usage limit, by result",
        )
        self._usage_messages = meter.create_counter(
            "nutmegscale_router_usage_messages",
            description="messages to other hosts about usage limits, by kind",
        )
        self._closings = meter.create_counter(
            "nutmegscale_router_closed_connections",
            description="connections closed to free resources, by reason",
        )
        self._held = meter.create_gauge(
            "nutmegscale_router_caller_memory_bytes",
            description="memory that callers' connections hold",
        )
        self._server_pace = meter.create_gauge(
            "nutmegscale_router_server_pace",
            description="how long work takes at a server, 1 as usual",
        )
        self._server_limit = meter.create_gauge(
            "nutmegscale_router_server_concurrency",
            description="requests at once that a server serves in time",
        )
        self._loop_lag = meter.create_gauge(
            "nutmegscale_router_loop_lag_seconds",
            description="how far the event loop is behind",
        )
        self._peer_bytes = meter.create_counter(
            "nutmegscale_router_peer_bytes",
            description="bytes of messages between hosts, by kind",
        )
        self._first_event = meter.create_histogram(
            "nutmegscale_router_first_event_seconds",
            explicit_bucket_boundaries_advisory=FIRST_EVENT_BOUNDS_S,
        )
        self._slot = meter.create_histogram(
            "nutmegscale_router_slot_wait_seconds",
            explicit_bucket_boundaries_advisory=SLOT_BOUNDS_S,
        )
        self._answer = meter.create_histogram(
            "nutmegscale_router_answer_seconds",
            explicit_bucket_boundaries_advisory=ANSWER_BOUNDS_S,
        )

    def record_end(self, kind: str, result: str) -> None:
        """Count a finished request by the kind of its route and its result."""
        self._requests.add(1, {"kind": kind, "result": result})

    def record_failure_event(self, event: str) -> None:
        """Count a failure event of a request, which may still succeed."""
        self._failure_events.add(1, {"event": event})

    def record_limited_servers(self, count: int) -> None:
        """Record how many servers state a limit, as this host knows it."""
        self._limited_servers.set(count)

    def record_server(self, server: str, pace: float, limit: float) -> None:
        """Record the estimate of a server; callers bound their number."""
        self._server_pace.set(pace, {"backend": server})
        self._server_limit.set(limit, {"backend": server})

    def record_loop_lag(self, seconds: float) -> None:
        """Record how far the event loop is behind."""
        self._loop_lag.set(seconds)

    def record_closing(self, reason: str) -> None:
        """Count a connection that was closed to free resources."""
        self._closings.add(1, {"reason": reason})

    def record_caller_memory(self, size: int) -> None:
        """Record the memory that callers' connections hold, bytes."""
        self._held.set(size)

    def record_limited_send(self, *, is_sent: bool) -> None:
        """Count a request to a server with a limit: sent or held back."""
        result = "sent" if is_sent else "held_back"
        self._limited_sends.add(1, {"result": result})

    def record_usage_charge(self, result: str) -> None:
        """Count a request of a customer with a usage limit.

        Args:
          result: "allowed", "own_part" if no other host could be asked,
            "refused", "refused_unasked" or "unknown".
        """
        self._usage_charges.add(1, {"result": result})

    def record_usage_message(self, kind: str) -> None:
        """Count a message about a usage limit: "ask", "slow" or "refund"."""
        self._usage_messages.add(1, {"kind": kind})

    def record_peer_message(
        self, kind: str, size: int, *, direction: str
    ) -> None:
        """Count the bytes of a message between hosts.

        Args:
          kind: Type of the message.
          size: Its size, bytes.
          direction: "sent", "received", or "late" for a received reply whose
            call had timed out.
        """
        self._peer_bytes.add(size, {"kind": kind, "direction": direction})

    def record_answer(self, kind: str, seconds: float) -> None:
        """Record the time to a complete answer of a plain service."""
        self._answer.record(seconds, {"kind": kind})

    def record_stream(self, slot_s: float, first_event_s: float) -> None:
        """Record the latencies of a complete stream.

        Args:
          slot_s: Time until its slot was granted, seconds.
          first_event_s: Time until its first event, seconds.
        """
        self._slot.record(slot_s)
        self._first_event.record(first_event_s)


def make_disabled() -> RouterMetrics:
    """Create metrics that record nothing, for embedding and tests."""
    from opentelemetry import metrics  # noqa: PLC0415

    return RouterMetrics(metrics.NoOpMeterProvider().get_meter("nutmegscale"))


def make_prometheus() -> tuple[RouterMetrics, Any]:
    """Create metrics that Prometheus can scrape.

    Returns:
      The metrics, and a function that returns the exposition text as bytes.
    """
    from opentelemetry.exporter import prometheus  # noqa: PLC0415
    from opentelemetry.sdk import metrics as sdk  # noqa: PLC0415
    import prometheus_client  # noqa: PLC0415

    provider = sdk.MeterProvider([prometheus.PrometheusMetricReader()])
    return (
        RouterMetrics(provider.get_meter("nutmegscale")),
        lambda: prometheus_client.generate_latest(prometheus_client.REGISTRY),
    )
