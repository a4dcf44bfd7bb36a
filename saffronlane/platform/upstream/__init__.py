"""Connections to compute nodes: many attempts on each, and how exactly each attempt ended.

The platform's transport of `engines.Executor`. Results are small: their pages are joined and checked before a
byte goes to the client, so that an invalid page ends an attempt and never the client's request.
"""

from .limits import UpstreamLimits
from .transport import UpstreamTransport

__all__ = ["UpstreamLimits", "UpstreamTransport"]
