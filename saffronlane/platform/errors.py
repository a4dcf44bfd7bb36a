"""Errors of the platform node."""

from __future__ import annotations

from ..errors import SaffronlaneError


class ConfigError(SaffronlaneError):
    """The file cannot be used; the text is one line that names the JSON pointer."""

    remedy = "Correct the configuration at the JSON pointer in the text and start or send SIGHUP again."


class FeedBroken(SaffronlaneError):
    """This connection is of no use any more."""

    remedy = (
        "Nothing if it is seldom, since the feed is asked again from the last event; else look "
        "at the feed and the way to it."
    )


class BadRequest(SaffronlaneError):
    """A request that cannot be taken; the text names the field."""

    remedy = "Have the client correct the field that the text names; nothing is wrong here."


class InvalidResponse(SaffronlaneError):
    """An answer that is not what the protocol allows."""

    remedy = "Look at that compute node and the network to it; the attempt has gone elsewhere."
