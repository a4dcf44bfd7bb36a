"""The file system operations of the store. Each may fail, or be half done at a crash."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol

from .errors import DirectoryBusyError

LOCK_NAME = "lock"


class Handle(Protocol):
    """A new file, written from its start on."""

    def write(self, data: bytes) -> None:
        """All of it, or OSError and nobody knows how much."""

    def sync(self) -> None:
        """On return all that was written survives a loss of power; OSError: it may not, ever."""

    def close(self) -> None: ...


class Files(Protocol):
    """One folder. Names have no folders in them; all may raise OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def create(self, name: str) -> Handle:
        """A fresh file; one of that name is replaced by an empty one."""

    def rename(self, old: str, new: str) -> None:
        """In one step; takes the place of a file named `new`."""

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None:
        """On return, names made, renamed and removed before are as they are, whatever comes."""


class _RealHandle:
    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]

    def sync(self) -> None:
        os.fsync(self._fd)

    def close(self) -> None:
        if self._fd >= 0:
            fd, self._fd = self._fd, -1
            os.close(fd)


class RealFiles:
    """A folder of the machine, held by a descriptor: one moved away meanwhile stays the same folder.

    OSError where it cannot be made or opened.
    """

    def __init__(self, folder: Path, make: bool = True) -> None:
        self.folder = folder
        if make:
            folder.mkdir(parents=True, exist_ok=True)
        self._fd = self._open()

    def _open(self) -> int:
        return os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)

    def has_moved(self) -> bool:
        """Return whether the path no longer names this directory: what is written is lost."""
        try:
            return not os.path.samestat(os.stat(self.folder), os.fstat(self._fd))
        except FileNotFoundError:
            return True

    def reopen(self) -> bool:
        """Hold the folder that has the path now; whether that is another one. Makes one if there is none."""
        self.folder.mkdir(parents=True, exist_ok=True)
        fd = self._open()
        if os.path.samestat(os.fstat(fd), os.fstat(self._fd)):
            os.close(fd)
            return False
        self.close()
        self._fd = fd
        return True

    def names(self) -> list[str]:
        return os.listdir(self._fd)

    def read(self, name: str) -> bytes:
        fd = os.open(name, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW, dir_fd=self._fd)
        with os.fdopen(fd, "rb") as source:
            return source.read()

    def create(self, name: str) -> Handle:
        # Guards against writing into a file that another process still holds: the old one is unlinked.
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC | os.O_NOFOLLOW
        with contextlib.suppress(FileNotFoundError):
            os.unlink(name, dir_fd=self._fd)
        return _RealHandle(os.open(name, flags, 0o600, dir_fd=self._fd))

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new, src_dir_fd=self._fd, dst_dir_fd=self._fd)

    def remove(self, name: str) -> None:
        os.unlink(name, dir_fd=self._fd)

    def sync_folder(self) -> None:
        os.fsync(self._fd)

    def close(self) -> None:
        if self._fd >= 0:
            fd, self._fd = self._fd, -1
            os.close(fd)


def directory_id_of(lock: os.stat_result) -> str:
    """Return a directory's identity, by its lock file: a copied or restored directory has another."""
    return f"{lock.st_dev:x}.{lock.st_ino:x}"


class DirectoryLock:
    """The exclusive use of a directory, for as long as this process lives (flock(2)).

    Attributes:
        directory_id: see `directory_id_of`.

    Raises:
        DirectoryBusyError: another process has the lock.
        OSError: the lock file cannot be opened.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._fd = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            holder = os.pread(self._fd, 32, 0).decode("ascii", "replace").strip()
            os.close(self._fd)
            if not isinstance(error, BlockingIOError):
                raise
            raise DirectoryBusyError(f"{folder} is in use by process {holder or 'unknown'}") from None
        try:
            os.ftruncate(self._fd, 0)
            os.pwrite(self._fd, f"{os.getpid()}\n".encode(), 0)
        except OSError:
            pass  # a full disk: the lock holds all the same, only its holder is not named
        self.directory_id = directory_id_of(os.fstat(self._fd))

    def release(self) -> None:
        if self._fd >= 0:
            fd, self._fd = self._fd, -1
            os.close(fd)
