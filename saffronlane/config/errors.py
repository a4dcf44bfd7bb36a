"""Errors of settings files and engine lists."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import SaffronlaneError

if TYPE_CHECKING:
    from .check import Problem


class ConfigError(SaffronlaneError):
    """A file is invalid or cannot be read.

    Attributes:
        source: The name of the file.
        problems: All errors in the file.
    """

    remedy = "Correct the value at the JSON pointer in the message and run `saffronlane config check` again."

    def __init__(self, source: str, problems: list[Problem]) -> None:
        super().__init__("\n".join(f"{source}: {problem}" for problem in problems), place=source)
        self.source, self.problems = source, problems
