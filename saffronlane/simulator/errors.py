"""Errors of the simulator's adapter."""

from __future__ import annotations

from ..errors import SaffronlaneError


class WireError(SaffronlaneError):
    """The input violates the simulator's wire protocol; the text names the violation."""

    remedy = "Run the adapter under a simulator with the same wire protocol; the text names the violation."
