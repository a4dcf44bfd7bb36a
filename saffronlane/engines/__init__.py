"""Clients of the engines: attempts, how exactly each ended, and the transports that run them. No decision.

`executor.py` serves any transport; `flight.py` is the one by Flight SQL, and is not imported here, so that a
program with another transport loads neither gRPC nor protobuf.
"""

from .executor import Attempt, Executor, Request, Transport

__all__ = ["Attempt", "Executor", "Request", "Transport"]
