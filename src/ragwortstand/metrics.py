"""ragwortstand.metrics: counters and gauges of one daemon."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

_LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


# Value of the gauge while a backend server names no limit.
_NO_RATE_LIMIT = -1


class BackendServerMetrics:
    """Metrics of the backend server on the daemon's host.

    :param registry: registers the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create and register the metrics."""
        self.requests = Counter(
            'ragwort_backend_requests',
            'Requests sent to the backend server of this host',
            registry=registry,
        )
        self._rate_limit_per_s = Gauge(
            'ragwort_backend_rate_limit_per_second',
            'Requests per second that the server takes; -1 for no limit',
            registry=registry,
        )
        self.set_rate_limit(None)

    def set_rate_limit(self, limit_per_s: float | None) -> None:
        """Set the limit that the backend server names; None for no limit."""
        self._rate_limit_per_s.set(
            _NO_RATE_LIMIT if limit_per_s is None else limit_per_s
        )


class Metrics:
    """All metrics of one daemon, in their own registry."""

    def __init__(self) -> None:
        """Create and register the metrics."""
        registry = CollectorRegistry()
        self._registry = registry
        self._backend_server = BackendServerMetrics(registry)
        self.offered = Counter(
            'ragwort_offered',
            'Requests that callers sent',
            ('rank',),
            registry=registry,
        )
        self.outcomes = Counter(
            'ragwort_outcomes',
            'Requests by verdict and cause',
            ('rank', 'verdict', 'cause'),
            registry=registry,
        )
        self.latency_s = Histogram(
            'ragwort_latency_seconds',
            'Time from a request to its outcome',
            ('rank',),
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.retries = Counter(
            'ragwort_retries',
            'Attempts after the first',
            ('rank',),
            registry=registry,
        )
        self.version = Gauge(
            'ragwort_version',
            'Version of the configuration in force',
            registry=registry,
        )
        self.control_bytes = Counter(
            'ragwort_control_bytes',
            'Bytes of control messages sent and received',
            ('link', 'direction', 'message'),
            registry=registry,
        )
        self.members = Gauge(
            'ragwort_members',
            'Known members by state',
            ('state',),
            registry=registry,
        )
        self.peer_errors = Counter(
            'ragwort_peer_message_errors',
            'Messages from peers that were refused',
            ('cause',),
            registry=registry,
        )
        self.platform_calls = Counter(
            'ragwort_platform_calls',
            'Calls to the table service and the object store',
            ('kind', 'outcome'),
            registry=registry,
        )
        self.platform_bytes = Counter(
            'ragwort_platform_bytes',
            'Bytes of bodies and paths exchanged with the platform',
            ('direction',),
            registry=registry,
        )
        self.versions_refused = Counter(
            'ragwort_versions_refused',
            'Offered versions that did not come into force',
            ('cause',),
            registry=registry,
        )
        self.version_refused_since_s = Gauge(
            'ragwort_version_refused_since_seconds',
            'Unix time since which accepted versions are refused; 0 if none is',
            registry=registry,
        )

        self._outcome_children: dict[tuple[str, str, str], Counter] = {}
        self._latency_children: dict[str, Histogram] = {}

    @property
    def backend_server(self) -> BackendServerMetrics:
        """Return the metrics of the backend server on this host."""
        return self._backend_server

    def count_outcome(
        self,
        rank: str,
        verdict: str,
        cause: str,
        taken_s: float,
    ) -> None:
        """Count one outcome and its latency.

        :param rank: rank of the request.
        :param verdict: whether it ran.
        :param cause: why there is no response; empty if there is one.
        :param taken_s: time from the request to its outcome.
        """
        key = (rank, verdict, cause)
        counter = self._outcome_children.get(key)
        if counter is None:
            counter = self.outcomes.labels(*key)
            self._outcome_children[key] = counter
        counter.inc()
        histogram = self._latency_children.get(rank)
        if histogram is None:
            histogram = self.latency_s.labels(rank)
            self._latency_children[rank] = histogram
        histogram.observe(taken_s)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
