"""State machines of a connection and of the process, without I/O or a clock: when each may end."""

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
