"""The base class of all error types of this program, and the log fields that describe an error.

Each package defines its own subclasses in its `errors` module; `docs/errors.md` lists all of them.
"""

from __future__ import annotations

from typing import ClassVar


class SaffronlaneError(Exception):
    """An error with its location and with a remedy for the operator.

    Attributes:
        remedy: One sentence that says what an operator can do, the same for all errors of a type.
        place: Location of the fault: a file, a JSON pointer, a field or an address. Empty if the message
            already contains it.
    """

    remedy: ClassVar[str] = ""

    def __init__(self, *args: object, place: str = "") -> None:
        super().__init__(*args)
        self.place = place


def error_fields(error: BaseException) -> dict[str, str]:
    """Return the log fields of an error: the reason, and its place and remedy where they are known."""
    fields = {"why": str(error) or repr(error)}
    if isinstance(error, SaffronlaneError):
        fields |= {"place": error.place} if error.place else {}
        fields["remedy"] = error.remedy
    return fields
