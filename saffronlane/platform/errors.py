"""Errors of the platform."""

from __future__ import annotations

from ..errors import SaffronlaneError


class ConfigError(SaffronlaneError):
    """The configuration is invalid; the message is one line that begins with a JSON pointer."""

    remedy = (
        "Correct the value at the JSON pointer in the message, then start the process or send SIGHUP again."
    )


class DiscoveryError(SaffronlaneError):
    """The connection to the control feed is no longer usable."""

    remedy = (
        "If this is rare, no action is needed, since the watch resumes after the last event; otherwise check "
        "the feed and the network path to it."
    )


class BadRequestError(SaffronlaneError):
    """A request is invalid; the message names the field."""

    remedy = "Have the client correct the field that the message names; the dispatcher needs no action."


class InvalidResponse(SaffronlaneError):
    """A response violates the protocol."""

    remedy = (
        "Check the compute node and the network path to it; requests are retried at other compute nodes "
        "where that is safe."
    )
