"""Health checks and load probes of compute nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...interface import Outcome, ProbeResult
from . import protocol
from .connection import UpstreamConnection
from .pool import UpstreamPool

_OUTCOME_BY_STATUS = {protocol.HEALTHY: Outcome.OK, protocol.UNHEALTHY: Outcome.ERROR}


class EngineProber:
    """Sends probes over the pool's connections and reports the result of each.

    Args:
        pool: The pool that provides the connections.
        on_result: Called with each result.
    """

    def __init__(self, pool: UpstreamPool, on_result: Callable[[ProbeResult], None]) -> None:
        self._pool = pool
        self._on_result = on_result
        self._loop = asyncio.get_running_loop()
        self._probe_count = 0

    def probe(self, engine: bytes, with_load_report: bool) -> None:
        """Send one probe to a compute node."""
        self._probe_count += 1
        tag = b"p%d" % self._probe_count
        connection = self._pool.select(engine, tag)
        if connection is None:
            self._on_result(ProbeResult(engine, Outcome.NOT_SENT, 0.0))
            return
        connection.probe(tag, protocol.probe_command(tag, with_load_report))
        self._loop.call_later(self._pool.limits.connect_timeout, self._on_timeout, connection, tag)

    def on_response(self, connection: UpstreamConnection, elements: list[bytes]) -> None:
        """Handle a response that belongs to no attempt; it is dropped if it belongs to no probe either."""
        if elements[0] not in connection.probes or len(elements) < 2:
            return
        outcome = _OUTCOME_BY_STATUS.get(elements[1])
        if outcome is not None:
            self._end(connection, elements[0], outcome)

    def _on_timeout(self, connection: UpstreamConnection, tag: bytes) -> None:
        if tag in connection.probes:
            self._end(connection, tag, Outcome.TIMEOUT)

    def _end(self, connection: UpstreamConnection, tag: bytes, outcome: Outcome) -> None:
        self.report_end(connection.engine, outcome, connection.end_probe(tag))
        connection.settle_if_idle()

    def report_end(self, engine: bytes, outcome: Outcome, started_at: float) -> None:
        """Report the result of a probe that has ended."""
        self._on_result(ProbeResult(engine, outcome, self._loop.time() - started_at))
