"""Runs attempts at engines and classifies how each ended; decides nothing.

`executor.py` works with any transport. `flight.py`, the one for Flight SQL, is not imported here, so that a
program with another transport loads neither gRPC nor protobuf.
"""

from .executor import Executor
from .transport import Attempt, Request, Transport

__all__ = ["Attempt", "Executor", "Request", "Transport"]
