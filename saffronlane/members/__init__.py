"""Where the list of engines comes from: a file now; other sources feed the same View."""

from .file import FileSource
from .view import View

__all__ = ["FileSource", "View"]
