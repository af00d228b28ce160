"""Metrics of a daemon."""

from collections.abc import Sequence

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import Registry
from aioprometheus import render

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 5.0, 15.0)
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.07, 0.15, 0.5, 2.0)
QUEUE_WAIT_BUCKETS_S = (0.001, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0, 20.0)
ATTEMPTS_BUCKETS = (1.0, 2.0, 3.0, 4.0, 6.0)


class MetricsRegistry:
    """All metrics of a daemon, rendered for Prometheus scrapes."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self.counter(
            "rattanroute_requests_total", "Ended requests by kind and outcome."
        )
        self.attempts_failed = self.counter(
            "rattanroute_attempts_failed_total",
            "Failed attempts by provenance.",
        )
        self.lost_attempts = self.counter(
            "rattanroute_lost_attempts_total",
            "Attempts that ended for an unknown reason, by whether their "
            "target was found to have crashed.",
        )
        self.chain_choices = self.counter(
            "rattanroute_chain_choices_total",
            "Chains chosen for streams: the fastest one, another one, or one "
            "without room for a start in time.",
        )
        self.hedges = self.counter(
            "rattanroute_hedges_total",
            "Second attempts of late requests, by service and event: started, "
            "won (its answer was passed on), cancelled (the first attempt "
            "answered before it).",
        )
        self.tokens = self.counter(
            "rattanroute_tokens_total", "Tokens passed to callers by model."
        )
        self.peer_messages = self.counter(
            "rattanroute_peer_messages_total", "Peer messages by direction."
        )
        self.peer_bytes = self.counter(
            "rattanroute_peer_bytes_total",
            "Bytes of peer messages by direction.",
        )
        self.target_reports = self.counter(
            "rattanroute_target_reports_total", "Reports of targets by verdict."
        )
        self.open_requests = self.gauge(
            "rattanroute_open_requests", "Requests that have not ended."
        )
        self.known_targets = self.gauge(
            "rattanroute_known_targets", "Targets in the table."
        )
        self.live_members = self.gauge(
            "rattanroute_live_members", "VMs that membership holds alive."
        )
        self.configuration_version = self.gauge(
            "rattanroute_configuration_version", "Configuration in force."
        )
        self.configuration_age = self.gauge(
            "rattanroute_configuration_age_seconds",
            "Seconds since the configuration was last known to be current.",
        )
        self.event_loop_delay = self.gauge(
            "rattanroute_event_loop_delay_seconds",
            "Longest delay of a timer in the last ten seconds.",
        )
        self.buffered_responses = self.gauge(
            "rattanroute_buffered_response_bytes",
            "Bytes of responses that have not been passed on.",
        )
        self.dropped_responses = self.gauge(
            "rattanroute_dropped_responses",
            "Responses dropped since the start because too many bytes of "
            "responses were buffered.",
        )
        self.reserved_fraction = self.gauge(
            "rattanroute_reserved_fraction",
            "Fraction of the engines that requests of a rank leave free for "
            "more urgent ones, by service and rank.",
        )
        self.queued_requests = self.gauge(
            "rattanroute_queued_requests",
            "Requests of all VMs that wait for engines, by service and rank.",
        )
        self.client_memory = self.gauge(
            "rattanroute_client_memory_bytes",
            "Memory that clients hold, buffered responses included.",
        )
        self.client_memory_limit = self.gauge(
            "rattanroute_client_memory_limit_bytes",
            "Memory that clients may hold.",
        )
        self.client_evictions = self.gauge(
            "rattanroute_client_evictions",
            "Connections and responses that had to free their memory since "
            "the start, by what they held.",
        )
        self.client_connections = self.gauge(
            "rattanroute_client_connections", "Open connections of clients."
        )
        self.client_connection_limit = self.gauge(
            "rattanroute_client_connection_limit",
            "Connections that clients may hold open.",
        )
        self.client_closes = self.gauge(
            "rattanroute_client_closes",
            "Connections of clients closed for others since the start, by "
            "their state.",
        )
        self.refused_connections = self.counter(
            "rattanroute_refused_connections_total",
            "Connections that were refused or closed to protect memory and "
            "descriptors, by listener and cause.",
        )
        self.first_token = self.histogram(
            "rattanroute_first_token_seconds",
            "Time from arrival to the first token.",
            FIRST_TOKEN_BUCKETS_S,
        )
        self.token_gap = self.histogram(
            "rattanroute_token_gap_seconds",
            "Time between tokens of a stream.",
            TOKEN_GAP_BUCKETS_S,
        )
        self.queue_wait = self.histogram(
            "rattanroute_queue_wait_seconds",
            "Time from arrival to the first dispatch.",
            QUEUE_WAIT_BUCKETS_S,
        )
        self.attempts = self.histogram(
            "rattanroute_attempts",
            "Attempts per request.",
            ATTEMPTS_BUCKETS,
        )

    def counter(self, name: str, doc: str) -> Counter:
        """Adds a counter."""
        return Counter(name, doc, registry=self.registry)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Adds a gauge."""
        return Gauge(name, doc, registry=self.registry)

    def histogram(
        self, name: str, doc: str, buckets: Sequence[float]
    ) -> Histogram:
        """Adds a histogram; `buckets` are the upper bounds."""
        return Histogram(
            name, doc, registry=self.registry, buckets=list(buckets)
        )

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Returns the scrape body and its HTTP headers."""
        return render(self.registry, list(accept))
