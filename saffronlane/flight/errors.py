"""Errors of the Flight SQL service."""

from __future__ import annotations

from ..errors import SaffronlaneError


class SqlError(SaffronlaneError):
    """An SQL statement cannot be parsed. The message names line and column where they are known."""

    remedy = "Have the client correct the statement at the line and column in the text."
