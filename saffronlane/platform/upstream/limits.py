"""Bounds of the connections to compute nodes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """Counts and seconds."""

    max_streams: int = 32
    connect_timeout: float = 0.25
    idle_timeout: float = 30.0
    max_connections: int = 64  # to all nodes together
