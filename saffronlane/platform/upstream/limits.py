"""Limits of the connections to compute nodes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """Limits of the connections to compute nodes.

    Attributes:
        max_streams: The maximum number of attempts in flight on one connection; 0 selects the pool's default.
        connect_timeout: The seconds within which a connection must be established.
        idle_timeout: The seconds after which compute nodes close idle connections.
        max_connections: The maximum number of connections to all compute nodes together.
    """

    max_streams: int = 32
    connect_timeout: float = 0.25
    idle_timeout: float = 30.0
    max_connections: int = 64
