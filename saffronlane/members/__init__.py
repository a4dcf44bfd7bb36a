"""The current engine list, and its source. A file is the only source so far."""

from .file import FileSource
from .view import View

__all__ = ["FileSource", "View"]
