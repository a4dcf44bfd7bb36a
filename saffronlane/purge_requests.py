"""Request files, by which an operator makes a running gateway purge learned state."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

import structlog

from .learned_state import PurgeCategory

PURGE_REQUEST_NAME = "forget"

log = structlog.get_logger()


def write_purge_request(directory: Path, categories: Iterable[PurgeCategory]) -> Path:
    """Write a purge request to a state directory. Returns the path of its file, which the gateway removes."""
    request_path = directory / PURGE_REQUEST_NAME
    temporary_path = directory / f"{PURGE_REQUEST_NAME}.new"
    temporary_path.write_text(json.dumps([category.value for category in categories]))
    temporary_path.replace(request_path)
    return request_path


def take_purge_request(directory: Path) -> tuple[PurgeCategory, ...]:
    """Read and remove the purge request in a state directory, if there is one.

    Returns:
        The categories to purge; empty if there is no request or it is rejected.

    Raises:
        OSError: The request cannot be read or removed.
    """
    request_path = directory / PURGE_REQUEST_NAME
    if not request_path.exists():
        return ()
    categories: tuple[PurgeCategory, ...] = ()
    try:
        categories = tuple(PurgeCategory(name) for name in json.loads(request_path.read_bytes()))
    except (ValueError, TypeError) as error:
        log.error("purge request rejected", file=str(request_path), why=str(error))
    request_path.unlink()
    if PurgeCategory.ALL in categories:
        log.error(
            "purge request rejected: the ledgers of a running gateway cannot be purged",
            file=str(request_path),
        )
        return ()
    return categories
