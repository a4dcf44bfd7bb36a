"""Errors of connections to engines."""

from __future__ import annotations

from ..errors import SaffronlaneError


class ConnectFailed(SaffronlaneError):
    """No connection to the engine was established in time, so nothing was sent."""

    remedy = "Check that the engine listens at its listed address; meanwhile, attempts go to other engines."
