"""Errors of the folder."""

from __future__ import annotations

from ..errors import SaffronlaneError


class DirectoryBusyError(SaffronlaneError):
    """Another process has the folder; the text says which, as far as it is known."""

    remedy = "End the process that has the folder, or give this gateway a folder of its own."


class DamagedFileError(SaffronlaneError):
    """The bytes are not what the format says; the text names the place."""

    remedy = (
        "Nothing at once, since what is whole is used; have the disk looked at, and restore the "
        "folder or let it be rebuilt."
    )


class StoreFailedError(SaffronlaneError):
    """The store cannot keep anything now. `Store.repair` tries with fresh files."""

    remedy = "Free space or replace the disk; the gateway serves on and tries again with fresh files."
