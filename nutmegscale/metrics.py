"""OpenTelemetry metrics of a host."""

from typing import Any

from nutmegscale import errors

FIRST_TOKEN_BOUNDS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.54, 0.8, 1.5, 3.0)
TOKEN_GAP_BOUNDS_S = (0.01, 0.015, 0.02, 0.025, 0.031, 0.05, 0.1, 0.5)


class Metrics:
    """Counters and histograms of one host."""

    def __init__(self, meter: Any) -> None:
        self._requests = meter.create_counter(
            "nutmegscale_requests", description="requests by result"
        )
        self._goodput = meter.create_counter(
            "nutmegscale_goodput", description="answers within both targets"
        )
        self._wasted = meter.create_counter(
            "nutmegscale_wasted_prefill_tokens",
            description="prompt tokens whose prefill result was discarded",
        )
        self._prefilled = meter.create_counter(
            "nutmegscale_prefill_tokens", description="prompt tokens prefilled"
        )
        self._retries = meter.create_counter(
            "nutmegscale_retries", description="retries by cause"
        )
        self._first_token = meter.create_histogram(
            "nutmegscale_first_token_seconds",
            explicit_bucket_boundaries_advisory=FIRST_TOKEN_BOUNDS_S,
        )
        self._token_gap = meter.create_histogram(
            "nutmegscale_token_gap_seconds",
            explicit_bucket_boundaries_advisory=TOKEN_GAP_BOUNDS_S,
        )
        self._meter = meter

    def record_failure(self, service: str, failure: errors.Failure) -> None:
        """Count a failure sent to a caller."""
        self._requests.add(
            1,
            {
                "service": service,
                "result": failure.type,
                "outcome": failure.outcome,
            },
        )

    def record_answer(
        self, service: str, first_token_s: float, gap_s: float, good: bool
    ) -> None:
        """Count a complete answer and record its latencies.

        Args:
          service: Name of the service.
          first_token_s: Time to the first token, seconds.
          gap_s: Mean time between tokens, seconds.
          good: Whether both latencies met their targets.
        """
        self._requests.add(
            1, {"service": service, "result": "answered", "outcome": "ran"}
        )
        self._first_token.record(first_token_s, {"service": service})
        self._token_gap.record(gap_s, {"service": service})
        if good:
            self._goodput.add(1, {"service": service})

    def record_call(self, service: str) -> None:
        """Count an answered call of a plain service."""
        self._requests.add(
            1, {"service": service, "result": "answered", "outcome": "ran"}
        )

    def record_prefill(self, tokens: int) -> None:
        """Count prompt tokens that were prefilled, without cached ones."""
        self._prefilled.add(tokens)

    def record_waste(self, tokens: int) -> None:
        """Count prompt tokens whose prefill result was discarded."""
        self._wasted.add(tokens)

    def record_retry(self, cause: str) -> None:
        """Count a retry."""
        self._retries.add(1, {"cause": cause})

    def add_gauge(self, name: str, read: Any) -> None:
        """Add a gauge.

        Args:
          name: Name of the metric.
          read: Returns its current value.
        """

        def _observe(_: Any) -> Any:
            from opentelemetry.metrics import Observation  # noqa: PLC0415

            return [Observation(read())]

        self._meter.create_observable_gauge(name, callbacks=[_observe])


def make_disabled() -> Metrics:
    """Create metrics that record nothing, for embedding and tests."""
    from opentelemetry import metrics  # noqa: PLC0415

    return Metrics(metrics.NoOpMeterProvider().get_meter("nutmegscale"))


def make_prometheus() -> tuple[Metrics, Any]:
    """Create metrics that Prometheus can scrape.

    Returns:
      The metrics, and a function that returns the exposition text as bytes.
    """
    from opentelemetry.exporter import prometheus  # noqa: PLC0415
    from opentelemetry.sdk import metrics as sdk  # noqa: PLC0415
    import prometheus_client  # noqa: PLC0415

    reader = prometheus.PrometheusMetricReader()
    provider = sdk.MeterProvider([reader])
    return (
        Metrics(provider.get_meter("nutmegscale")),
        lambda: prometheus_client.generate_latest(prometheus_client.REGISTRY),
    )
