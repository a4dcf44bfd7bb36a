"""The engine list in a file, read again whenever it changes. A list that cannot be read changes nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import structlog

from ..config import Config, ConfigError, EngineRecord, parse_engines
from ..config.check import load_json
from ..errors import error_fields

log = structlog.get_logger()
Stamp = tuple[int, int, int]


class FileSource:
    """Watches one file by its stamp (time, size, inode) and tells each good list that it finds."""

    def __init__(self, config: Config, on_list: Callable[[int, tuple[EngineRecord, ...]], None]) -> None:
        self._config, self._on_list = config, on_list
        self._stamp: Stamp | None = None
        self._last_problem = ""

    def look(self) -> bool:
        """Read the file if it has changed; whether a list was told."""
        path = self._config.engine_file
        try:
            stamp = self._stamp_of(path)
            if stamp == self._stamp:
                return False
            value = load_json(path)
            again = self._stamp_of(path)
            version, records = parse_engines(value, self._config, str(path))
        except OSError as error:
            self._complain(f"{path}: cannot be read: {error.strerror}", error)
            return False
        except ConfigError as error:
            # Half written, or wrong: the list before stays good, and the next look reads it again.
            self._complain(str(error), error)
            return False
        if again == stamp:  # else it was being written: what was read counts, and is looked at again
            self._stamp = stamp
        self._last_problem = ""
        self._on_list(version, records)
        return True

    @staticmethod
    def _stamp_of(path: Path) -> Stamp:
        status = path.stat()
        return status.st_mtime_ns, status.st_size, status.st_ino

    def _complain(self, text: str, error: Exception) -> None:
        if text != self._last_problem:
            self._last_problem = text
            log.warning(
                "engine list not used, the last good one stays", **error_fields(error) | {"why": text}
            )

    async def watch(self) -> None:
        while True:
            await asyncio.sleep(self._config.poll)
            self.look()
