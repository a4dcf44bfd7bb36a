"""Errors raised when persisted records are decoded."""

from __future__ import annotations

from ..errors import SaffronlaneError


class UnreadableRecordError(SaffronlaneError):
    """A record cannot be decoded; the message contains its key."""

    remedy = (
        "No action is needed, because the record is skipped; `saffronlane knowledge check` lists all "
        "damage in the state directory."
    )


class NewerVersionError(UnreadableRecordError):
    """A record was written by a newer version of the program; it is skipped and left in place."""

    remedy = (
        "No action is needed, because the record is left in place; run the newer version again to use it, "
        "or remove it with `saffronlane knowledge forget`."
    )
