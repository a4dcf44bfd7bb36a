"""Connections to compute nodes: attempts in RESP, many on a connection, and how exactly each ended.

A transport of `engines.Executor`. Whole results are small here: their pages are joined and checked before a
byte goes to the client, so that a spoilt page is the end of an attempt and never the client's.
"""

from .limits import UpstreamLimits
from .pool import UpstreamPool

__all__ = ["UpstreamLimits", "UpstreamPool"]
