"""A small crash-safe map on disk: log, snapshots, recovery. It knows nothing of what is kept in it."""

from .errors import FolderBusy, StoreFailed
from .files import Files, FolderLock, Handle, RealFiles
from .format import Change, Entry, StoredMap
from .recovery import Recovery, recover
from .store import Store, StoreLimits
from .writer import Writer, WriterStatus

__all__ = [
    "Change",
    "Entry",
    "Files",
    "FolderBusy",
    "FolderLock",
    "Handle",
    "RealFiles",
    "Recovery",
    "Store",
    "StoreFailed",
    "StoreLimits",
    "StoredMap",
    "Writer",
    "WriterStatus",
    "recover",
]
