"""Errors of persisted records."""

from __future__ import annotations

from ..errors import SaffronlaneError


class UnreadableRecordError(SaffronlaneError):
    """A record that cannot be decoded; the text names its key."""

    remedy = (
        "Nothing, since the entry is left out; `saffronlane knowledge check` tells what else "
        "the folder holds."
    )


class NewerVersionError(UnreadableRecordError):
    """A record that a later version of the program wrote; it stays in place."""

    remedy = (
        "Nothing, since it is left in place; run the newer version again, or have it forgotten "
        "by `saffronlane knowledge forget`."
    )
