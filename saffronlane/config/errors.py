"""Errors of settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import SaffronlaneError

if TYPE_CHECKING:
    from .check import Problem


class ConfigError(SaffronlaneError):
    """A file that cannot be used; `problems` has all that is wrong with it."""

    remedy = "Correct what the text names at its JSON pointer and run `saffronlane config check` again."

    def __init__(self, source: str, problems: list[Problem]) -> None:
        super().__init__("\n".join(f"{source}: {problem}" for problem in problems), place=source)
        self.source, self.problems = source, problems
