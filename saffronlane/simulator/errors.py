"""Errors of the simulator's adapter."""

from __future__ import annotations

from ..errors import SaffronlaneError


class WireError(SaffronlaneError):
    """The input is not what the wire allows; the text names what is wrong."""

    remedy = "Run it under the simulator that it was made for; the text names what came instead."
