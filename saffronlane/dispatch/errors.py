"""Errors of records."""

from __future__ import annotations

from ..errors import SaffronlaneError


class JournalError(SaffronlaneError):
    """The file is no journal, or breaks off; the text names the step."""

    remedy = "Replay a record that a gateway of this version wrote, or one that was not cut off."
