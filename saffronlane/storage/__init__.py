"""A small crash-safe map on disk: log, snapshots, recovery. It knows nothing of what is kept in it."""

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
