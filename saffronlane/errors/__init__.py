"""The base of all error types of this program, and what a log line says of an error.

Each package has its own types below it, in its own `errors` module; `docs/errors.md` lists them all.
"""

from __future__ import annotations

from typing import ClassVar


class SaffronlaneError(Exception):
    """What went wrong, where, and what an operator can do.

    Attributes:
        remedy: one sentence, the same for all errors of a type: what an operator can do.
        place: what is at fault: a file, a JSON pointer, a field, an address; empty where the text names it.
    """

    remedy: ClassVar[str] = ""

    def __init__(self, *args: object, place: str = "") -> None:
        super().__init__(*args)
        self.place = place


def error_fields(error: BaseException) -> dict[str, str]:
    """Fields of a log line about an error: why, where it is known the place, and the remedy."""
    fields = {"why": str(error) or repr(error)}
    if isinstance(error, SaffronlaneError):
        fields |= {"place": error.place} if error.place else {}
        fields["remedy"] = error.remedy
    return fields
