"""The current engine list, and the file from which it is read."""

from .file import FileSource
from .view import EngineListView

__all__ = ["EngineListView", "FileSource"]
