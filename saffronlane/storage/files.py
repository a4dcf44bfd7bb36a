"""The file system operations of the store. Each may fail, or be incomplete after a crash."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol

from .errors import DirectoryBusyError

LOCK_NAME = "lock"


class Handle(Protocol):
    """A new file that is written sequentially from its start."""

    def write(self, data: bytes) -> None:
        """Write all of the data. After an OSError, it is unknown how much of it was written."""

    def sync(self) -> None:
        """Make the written data durable.

        After an OSError the data may never become durable, even if a later call succeeds.
        """

    def close(self) -> None:
        """Close the file without a sync."""


class Files(Protocol):
    """The operations on one flat directory. Each may raise OSError."""

    def names(self) -> list[str]:
        """Return the names of all files in the directory."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def create(self, name: str) -> Handle:
        """Create an empty file. It replaces an existing file of that name."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically. It replaces an existing file named `new`."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Make all earlier creations, renames and removals in the directory durable."""


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
    """A directory of the local file system.

    It is accessed by a descriptor, which stays valid if the directory is moved.

    Args:
        folder: The path of the directory.
        create_missing: Whether to create the directory if it does not exist.

    Raises:
        OSError: The directory cannot be created or opened.
    """

    def __init__(self, folder: Path, create_missing: bool = True) -> None:
        self.folder = folder
        if create_missing:
            folder.mkdir(parents=True, exist_ok=True)
        self._fd = self._open()

    def _open(self) -> int:
        return os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)

    def has_moved(self) -> bool:
        """Return whether the path no longer refers to this directory.

        Files written to it would then not be found by the next start.
        """
        try:
            return not os.path.samestat(os.stat(self.folder), os.fstat(self._fd))
        except FileNotFoundError:
            return True

    def reopen(self) -> bool:
        """Open the directory that the path refers to now, and create it if it is missing.

        Returns:
            Whether it is a different directory than before.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        fd = self._open()
        if os.path.samestat(os.fstat(fd), os.fstat(self._fd)):
            os.close(fd)
            return False
        self.close()
        self._fd = fd
        return True

    def names(self) -> list[str]:
        """Return the names of all files in the directory."""
        return os.listdir(self._fd)

    def read(self, name: str) -> bytes:
        """Return the content of a file. Symbolic links are not followed."""
        fd = os.open(name, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW, dir_fd=self._fd)
        with os.fdopen(fd, "rb") as file:
            return file.read()

    def create(self, name: str) -> Handle:
        """Create an empty file. It replaces an existing file of that name."""
        # An existing file is unlinked, not truncated: another process may still have it open.
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC | os.O_NOFOLLOW
        with contextlib.suppress(FileNotFoundError):
            os.unlink(name, dir_fd=self._fd)
        return _RealHandle(os.open(name, flags, 0o600, dir_fd=self._fd))

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically. It replaces an existing file named `new`."""
        os.rename(old, new, src_dir_fd=self._fd, dst_dir_fd=self._fd)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(name, dir_fd=self._fd)

    def sync_folder(self) -> None:
        """Make all earlier creations, renames and removals in the directory durable."""
        os.fsync(self._fd)

    def close(self) -> None:
        """Close the descriptor of the directory. Repeated calls have no effect."""
        if self._fd >= 0:
            fd, self._fd = self._fd, -1
            os.close(fd)


def directory_id_of(lock_status: os.stat_result) -> str:
    """Return a directory's identity, derived from its lock file.

    A copied or restored directory has a different identity.

    Args:
        lock_status: The status of the lock file.
    """
    return f"{lock_status.st_dev:x}.{lock_status.st_ino:x}"


class DirectoryLock:
    """An exclusive lock on a directory (flock(2)). The kernel releases it when the process ends.

    Args:
        folder: The path of the directory, which is created if it is missing.

    Attributes:
        directory_id: The identity of the directory, see `directory_id_of`.

    Raises:
        DirectoryBusyError: Another process has the lock.
        OSError: The lock file cannot be opened.
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
            pass  # The disk may be full. The lock is valid without the process id in its file.
        self.directory_id = directory_id_of(os.fstat(self._fd))

    def release(self) -> None:
        """Release the lock. Repeated calls have no effect."""
        if self._fd >= 0:
            fd, self._fd = self._fd, -1
            os.close(fd)
