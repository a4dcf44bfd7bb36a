"""A crash-safe map on disk, stored as snapshots and a log of changes. Keys and values are opaque bytes."""

from .errors import DirectoryBusyError, StoreFailedError
from .files import DirectoryLock, Files, Handle, RealFiles
from .format import Change, Entry, StoredMap
from .recovery import Recovery, recover
from .store import Store, StoreLimits
from .writer import Writer, WriterStatus

__all__ = [
    "Change",
    "DirectoryBusyError",
    "DirectoryLock",
    "Entry",
    "Files",
    "Handle",
    "RealFiles",
    "Recovery",
    "Store",
    "StoreFailedError",
    "StoreLimits",
    "StoredMap",
    "Writer",
    "WriterStatus",
    "recover",
]
