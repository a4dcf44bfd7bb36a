"""The upstream side: sends attempts over shared connections to compute nodes and reports how each one ended.

It implements the transport that `engines.Executor` uses. Results are small, so all pages of a result are
checked and joined before the first byte is sent to the client. An invalid page therefore ends only the
attempt, not the client's request.
"""

from .limits import UpstreamLimits
from .transport import UpstreamTransport

__all__ = ["UpstreamLimits", "UpstreamTransport"]
