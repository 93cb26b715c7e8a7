"""ragwortstand.backend_servers.signal_tracker: signals of the local server."""

from ragwortstand.backend_servers.announcements import Identity
from ragwortstand.backend_servers.in_band_signals import InBandSignals
from ragwortstand.backend_servers.rate_limiter import (
    RateLimiter,
    ServerRateLimit,
)
from ragwortstand.events import Event, EventLog
from ragwortstand.metrics import BackendServerMetrics


class SignalTracker:
    """Applies what a backend server says of itself with its responses.

    :param metrics: shows the limit in force.
    :param log: logs each change.
    :ivar rate_limiter: holds the server to the limit that it names.
    """

    def __init__(self, metrics: BackendServerMetrics, log: EventLog) -> None:
        """Create a tracker that knows no server yet."""
        self._metrics = metrics
        self._log = log
        self._identity: Identity | None = None
        self._signals = InBandSignals()
        self._restored_limit: ServerRateLimit | None = None
        self._has_recorded = False
        self.rate_limiter = RateLimiter()

    @property
    def rate_limit(self) -> ServerRateLimit | None:
        """Return the limit that the server names, None for none."""
        limit_per_s = self.rate_limiter.limit_per_s
        if self._identity is None or limit_per_s is None:
            return None
        return ServerRateLimit(self._identity, limit_per_s)

    def open(self, identity: Identity, now_s: float) -> None:
        """Track another server or another boot of it.

        :param identity: the server and its boot.
        :param now_s: present time.
        """
        self._identity = identity
        self._has_recorded = False
        self._apply(self._restored_signals(), now_s)

    def restore(self, limit: ServerRateLimit, now_s: float) -> None:
        """Apply the limit that an earlier process of this daemon knew.

        It is ignored once the server has responded to this process, and for
        other servers than the one that named it.

        :param limit: the limit, with the server that named it.
        :param now_s: present time.
        """
        self._restored_limit = limit
        if not self._has_recorded:
            self._apply(self._restored_signals(), now_s)

    def record(self, signals: InBandSignals, now_s: float) -> None:
        """Apply the signals of a response of the server.

        :param signals: the signals.
        :param now_s: present time.
        """
        self._has_recorded = True
        self._apply(signals, now_s)

    def _restored_signals(self) -> InBandSignals:
        restored = self._restored_limit
        if restored and restored.identity == self._identity:
            return InBandSignals(restored.per_s)
        return InBandSignals()

    def _apply(self, signals: InBandSignals, now_s: float) -> None:
        if signals == self._signals:
            return
        self._signals = signals
        limit_per_s = signals.rate_limit_per_s
        if signals.problem:
            limit_per_s = self.rate_limiter.limit_per_s
        self.rate_limiter.set_limit(limit_per_s, now_s)
        self._metrics.set_rate_limit(limit_per_s)
        self._log.emit(
            Event.SERVER_SIGNALS,
            instance=self._identity[0] if self._identity else '',
            rate_limit_per_s=limit_per_s,
            is_leaving=signals.is_leaving,
            problem=signals.problem,
        )
