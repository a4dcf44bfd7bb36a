"""Errors of the Flight SQL front."""

from __future__ import annotations

from ..errors import SaffronlaneError


class SqlError(SaffronlaneError):
    """The statement does not parse; the text names line and column."""

    remedy = "Have the client correct the statement at the line and column in the text."
