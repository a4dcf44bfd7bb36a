"""Capacity check: whether an engine has the threads and the memory for a request."""

from ...state import Engine, Request
from ..estimation.load_reports import LoadReports
from ..scheduling.concurrency_limit import AdaptiveConcurrencyLimit
from .slow_start import has_slow_start_capacity

MAX_GRANTED_MEMORY_RATIO = 0.85  # part of an engine's memory for known grants; the rest is for unknown ones


class EngineCapacity:
    """Checks the capacity that this gateway's and the peers' attempts leave on an engine."""

    def __init__(self, load_reports: LoadReports, concurrency_limit: AdaptiveConcurrencyLimit) -> None:
        self.step_context = load_reports.step_context
        self.workload_estimates = load_reports.workload_estimates
        self.concurrency_limit = concurrency_limit
        self.is_gossip_enabled = load_reports.step_context.limits.gossip_enabled

    def has_capacity(self, engine: Engine, request: Request, is_heavy: bool, memory_mb: float) -> bool:
        """Return whether the engine has the capacity for the request.

        Args:
            engine: The engine.
            request: The request.
            is_heavy: Whether the request is heavy.
            memory_mb: Memory in MB that the request requires; with less, it spills and repeats work.
        """
        if self.is_gossip_enabled and is_heavy and not self._has_threads(engine, request):
            return False
        if not self._has_memory(engine, memory_mb):
            return False
        return has_slow_start_capacity(self.step_context, self.workload_estimates, engine, request)

    def _has_threads(self, engine: Engine, request: Request) -> bool:
        """Return whether at least half of a heavy request's threads are free."""
        threads = engine.in_flight_threads + engine.peer_threads + request.class_settings.threads / 2.0
        cores = engine.effective_cores(self.step_context.now, self.step_context.guarantees)
        return threads <= cores * self.concurrency_limit.max_threads_per_core()

    def _has_memory(self, engine: Engine, memory_mb: float) -> bool:
        """Return whether the engine has enough free memory.

        Without gossip, each gateway may use an equal part of the engine's memory. With gossip, half of
        the memory that may be granted is enough for any request. With many gateways an engine is never idle,
        so a request that needs all of it would never be dispatched.
        """
        if not engine.memory_mb:
            return True
        if self.is_gossip_enabled:
            available_mb = engine.memory_mb * MAX_GRANTED_MEMORY_RATIO
            required_mb = min(memory_mb, available_mb / 2.0)
        elif engine.in_flight_memory_mb:
            available_mb = engine.memory_mb * (1.0 / self.step_context.settings.gateway_count)
            required_mb = memory_mb
        else:
            return True
        return required_mb <= available_mb - engine.in_flight_memory_mb - engine.peer_memory_mb
