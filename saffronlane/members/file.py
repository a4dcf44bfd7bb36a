"""Reads the engine list from a file whenever the file changes.

A list that cannot be read or is invalid is ignored, and the last valid list remains in use.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import structlog

from ..config import Config, ConfigError, EngineRecord, parse_engines
from ..config.check import load_json
from ..errors import error_fields

log = structlog.get_logger()
FileStamp = tuple[int, int, int]  # modification time in nanoseconds, size and inode


class FileSource:
    """Reads the engine list again when the modification time, size or inode of its file changes.

    Args:
        config: The configuration of the gateway, which has the path of the file.
        on_list: Called with the version and the engines of each valid list.
    """

    def __init__(self, config: Config, on_list: Callable[[int, tuple[EngineRecord, ...]], None]) -> None:
        self._config, self._on_list = config, on_list
        self._stamp: FileStamp | None = None
        self._last_problem = ""

    def reload_if_changed(self) -> bool:
        """Read the file if it has changed.

        Returns:
            Whether a valid list was passed to `on_list`.
        """
        path = self._config.engine_file
        try:
            stamp = self._stamp_of(path)
            if stamp == self._stamp:
                return False
            value = load_json(path)
            stamp_after_read = self._stamp_of(path)
            version, records = parse_engines(value, self._config, str(path))
        except OSError as error:
            self._log_problem(f"{path}: cannot be read: {error.strerror}", error)
            return False
        except ConfigError as error:
            # The file is invalid or partly written. It is read again at the next check.
            self._log_problem(str(error), error)
            return False
        # If the file changed while it was read, the list is used, and the file is read again at the
        # next check.
        if stamp_after_read == stamp:
            self._stamp = stamp
        self._last_problem = ""
        self._on_list(version, records)
        return True

    @staticmethod
    def _stamp_of(path: Path) -> FileStamp:
        status = path.stat()
        return status.st_mtime_ns, status.st_size, status.st_ino

    def _log_problem(self, text: str, error: Exception) -> None:
        if text != self._last_problem:
            self._last_problem = text
            log.warning(
                "engine list not loaded: the last valid list remains in use",
                **error_fields(error) | {"why": text},
            )

    async def watch(self) -> None:
        """Check the file periodically. Runs until it is cancelled."""
        while True:
            await asyncio.sleep(self._config.engine_list_poll_interval)
            self.reload_if_changed()
