"""Limits of the connections to compute nodes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """Limits of the connections to compute nodes.

    Attributes:
        max_streams: attempts under way on one connection; 0: the default of the pool.
        connect_timeout: seconds.
        idle_timeout: seconds after which compute nodes close idle connections.
        max_connections: to all compute nodes together.
    """

    max_streams: int = 32
    connect_timeout: float = 0.25
    idle_timeout: float = 30.0
    max_connections: int = 64
