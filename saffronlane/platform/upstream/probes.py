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
    """Sends probes over the pool's connections, and reports how each ended.

    Args:
        pool: gives the connections.
        report: called with each result.
    """

    def __init__(self, pool: UpstreamPool, report: Callable[[ProbeResult], None]) -> None:
        self._pool = pool
        self._report = report
        self._loop = asyncio.get_running_loop()
        self._probe_count = 0

    def probe(self, engine: bytes, with_load_report: bool) -> None:
        """Probe a compute node, once."""
        self._probe_count += 1
        tag = b"p%d" % self._probe_count
        connection = self._pool.select(engine, tag)
        if connection is None:
            self._report(ProbeResult(engine, Outcome.NOT_SENT, 0.0))
            return
        connection.probe(tag, protocol.probe_command(tag, with_load_report))
        self._loop.call_later(self._pool.limits.connect_timeout, self._on_timeout, connection, tag)

    def on_response(self, connection: UpstreamConnection, words: list[bytes]) -> None:
        """Handle a response under no attempt's id; what belongs to no probe either is dropped."""
        if words[0] not in connection.probes or len(words) < 2:
            return
        outcome = _OUTCOME_BY_STATUS.get(words[1])
        if outcome is not None:
            self._end(connection, words[0], outcome)

    def _on_timeout(self, connection: UpstreamConnection, tag: bytes) -> None:
        if tag in connection.probes:
            self._end(connection, tag, Outcome.TIMEOUT)

    def _end(self, connection: UpstreamConnection, tag: bytes, outcome: Outcome) -> None:
        self.report_end(connection.engine, outcome, connection.end_probe(tag))
        connection.settle_if_idle()

    def report_end(self, engine: bytes, outcome: Outcome, started_at: float) -> None:
        """Report a probe that has ended."""
        self._report(ProbeResult(engine, outcome, self._loop.time() - started_at))
