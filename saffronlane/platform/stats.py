"""The periodic log event with the process's statistics."""

from __future__ import annotations

import asyncio
import time

import structlog

from ..dispatch import Dispatcher
from .downstream import DownstreamServer
from .memory_plan import resident_bytes
from .upstream import UpstreamTransport

log = structlog.get_logger()
REPORT_INTERVAL = 5.0  # seconds
LAG_SAMPLE_INTERVAL = 0.25  # seconds
MAX_REPORTED_LIMIT = 1e6  # reported if there is no limit
MS_PER_SECOND = 1000.0
BYTES_PER_MB = 1e6


class StatsReporter:
    """Measures the event loop's lag and logs statistics.

    The lag shows whether the dispatcher is slow rather than the engines.

    Args:
        dispatcher: The dispatcher whose statistics are logged.
        downstream: The server of client connections whose statistics are logged.
        upstream: The transport to the compute nodes whose statistics are logged.
    """

    def __init__(
        self, dispatcher: Dispatcher, downstream: DownstreamServer, upstream: UpstreamTransport
    ) -> None:
        self._dispatcher = dispatcher
        self._downstream = downstream
        self._upstream = upstream
        self._loop = asyncio.get_running_loop()
        self._reported_at = 0.0
        self._max_lag = 0.0  # seconds, since the last report
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start measuring."""
        self._reported_at = self._loop.time()
        self._on_sample_due()

    def close(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()

    def _on_sample_due(self) -> None:
        now = self._loop.time()
        if self._timer is not None:
            self._max_lag = max(self._max_lag, now - self._timer.when())
        if now >= self._reported_at + REPORT_INTERVAL:
            self._reported_at = now
            self._log_report()
            self._max_lag = 0.0
        self._timer = self._loop.call_later(LAG_SAMPLE_INTERVAL, self._on_sample_due)

    def _log_report(self) -> None:
        log.info(
            "statistics",
            lag_ms=round(self._max_lag * MS_PER_SECOND, 1),
            cpu_s=round(time.process_time(), 2),
            memory_mb=round(resident_bytes() / BYTES_PER_MB, 1),
            **_downstream_stats(self._downstream),
            **_upstream_stats(self._upstream),
            **_dispatcher_stats(self._dispatcher),
        )
        self._upstream.max_send_delay = 0.0
        self._downstream.submitter.arrival_order.max_delay = 0.0


def _downstream_stats(downstream: DownstreamServer) -> dict[str, float]:
    return {
        "clients": len(downstream.clients),
        "requests": downstream.request_count,
        "faults": downstream.invalid_message_count,
        "held_mb": round(downstream.memory.held_bytes / BYTES_PER_MB, 1),
        "memory_rejections": downstream.memory_rejection_count,
        "accepted": downstream.accepted_count,
        "evicted": downstream.evicted_count,
        "pauses": downstream.listener.pause_count,
        "order_delay_ms": round(downstream.submitter.arrival_order.max_delay * MS_PER_SECOND, 1),
    }


def _upstream_stats(upstream: UpstreamTransport) -> dict[str, float]:
    return {
        "send_delay_ms": round(upstream.max_send_delay * MS_PER_SECOND, 1),
        "expired": upstream.expired_count,
        "taken_back": upstream.taken_back_count,
    }


def _dispatcher_stats(dispatcher: Dispatcher) -> dict[str, float]:
    gateway = dispatcher.gateway
    now = gateway.step_context.now
    slow_start_duration = gateway.step_context.guarantees.slow_start_duration
    ready = gateway.engine_registry.ready
    concurrency_limit = gateway.concurrency_limit
    retry_safety = gateway.completion.retry_policy.retry_safety
    return {
        "pending": dispatcher.pending_count,
        "queued": dispatcher.queued_count,
        "in_flight": dispatcher.in_flight_count,
        "timers": dispatcher.timer_count,
        "latency_inflation": round(concurrency_limit.latency_inflation, 2),
        "ejected": sum(engine.is_ejected for engine in ready),
        "warming_up": sum(engine.warmup_remaining(now, slow_start_duration) > 0.0 for engine in ready),
        "ready": len(ready),
        "threads": round(gateway.in_flight.threads, 1),
        "limit": round(min(concurrency_limit.limit, MAX_REPORTED_LIMIT), 1),
        "short_key_failures": retry_safety.short_key_failures,
        "key_margin_s": round(min(retry_safety.min_key_margin, MAX_REPORTED_LIMIT), 2),
    }
