"""Errors of the platform."""

from __future__ import annotations

from ..errors import SaffronlaneError


class ConfigError(SaffronlaneError):
    """The configuration is invalid; the text is one line that begins with the JSON pointer."""

    remedy = "Correct the configuration at the JSON pointer in the text and start or send SIGHUP again."


class DiscoveryError(SaffronlaneError):
    """The connection to the control feed cannot be used any more."""

    remedy = (
        "Nothing if it is seldom, since the feed is asked again from the last event; else look "
        "at the feed and the way to it."
    )


class BadRequestError(SaffronlaneError):
    """A request is invalid; the text names the field."""

    remedy = "Have the client correct the field that the text names; nothing is wrong here."


class InvalidResponse(SaffronlaneError):
    """A response is not what the protocol allows."""

    remedy = "Look at that compute node and the network to it; the attempt has gone elsewhere."
