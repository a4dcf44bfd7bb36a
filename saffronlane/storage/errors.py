"""Errors of the state directory and its files."""

from __future__ import annotations

from ..errors import SaffronlaneError


class DirectoryBusyError(SaffronlaneError):
    """Another process has locked the directory. The message contains its process id if the lock file does."""

    remedy = "Stop the process that uses the directory, or configure another directory for this gateway."


class DamagedFileError(SaffronlaneError):
    """The bytes of a file violate its format. The message describes the damage."""

    remedy = (
        "No immediate action is needed, because the undamaged data is used; check the disk, and restore the "
        "directory or let the gateway rebuild it."
    )


class StoreFailedError(SaffronlaneError):
    """The store cannot make changes durable. `Store.repair` retries with new files."""

    remedy = "Free space or replace the disk; the gateway continues to serve and retries with new files."
