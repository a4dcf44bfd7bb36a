"""When a connection, and when the process, may end: what is read, acted on and owed. No I/O, no clock."""

from .connection import ConnectionLifecycle, ConnectionLimits, Event, State
from .process import Phase, ProcessLifecycle

__all__ = ["ConnectionLimits", "ConnectionLifecycle", "Event", "Phase", "ProcessLifecycle", "State"]
