"""Errors of connections to engines."""

from __future__ import annotations

from ..errors import SaffronlaneError


class ConnectFailed(SaffronlaneError):
    """No connection to the engine was established in time, so nothing was sent."""

    remedy = "Check that the engine listens at its listed address; meanwhile, attempts go to other engines."


class SendDeadlineExceeded(SaffronlaneError):
    """A call could not be sent for as long as the decision to make it holds, so it was not sent."""

    remedy = "Check that the engine reads its connections; meanwhile, the retry is decided on again."
