"""Records: one JSON object a line, with the Unix time. Each process writes a file of its own."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Appends events to a file."""

    def __init__(self, path: Path, who: str) -> None:
        self._file = path.open("a", buffering=1)
        self._who = who

    def add(self, event: str, **fields: Any) -> None:
        """Write one event."""
        at = fields.pop("at", None) or time.time()
        self._file.write(json.dumps({"at": round(at, 4), "who": self._who, "event": event} | fields) + "\n")


def read(path: Path) -> list[dict[str, Any]]:
    """Return the whole lines of a record."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines() if line.endswith("}")]


def merge(paths: list[Path], target: Path) -> list[dict[str, Any]]:
    """Write all records into one file, by time, and return the events."""
    events = sorted((event for path in paths for event in read(path)), key=lambda event: event["at"])
    target.write_text("".join(json.dumps(event) + "\n" for event in events))
    return events
