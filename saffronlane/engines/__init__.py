"""Runs attempts at engines and classifies how each of them ended. All decisions are made by the dispatcher.

`executor.py` works with any transport. `flight.py`, the transport for Flight SQL, is not imported here, so
that a program with another transport loads neither gRPC nor protobuf.
"""

from .executor import Executor
from .transport import Attempt, Request, Transport

__all__ = ["Attempt", "Executor", "Request", "Transport"]
