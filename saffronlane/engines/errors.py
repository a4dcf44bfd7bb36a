"""Errors of connections to engines."""

from __future__ import annotations

from ..errors import SaffronlaneError


class ConnectFailed(SaffronlaneError):
    """No connection came up in time: nothing was sent."""

    remedy = (
        "See whether the engine runs and listens where the engine list says; attempts go elsewhere meanwhile."
    )
