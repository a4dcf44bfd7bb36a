"""State machines, without I/O or a clock, that decide when a connection and the process may end."""

from .connection import ConnectionLifecycle, ConnectionLimits, Event, State
from .process import OutstandingWork, Phase, ProcessLifecycle

__all__ = [
    "ConnectionLifecycle",
    "ConnectionLimits",
    "Event",
    "OutstandingWork",
    "Phase",
    "ProcessLifecycle",
    "State",
]
