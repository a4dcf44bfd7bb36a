"""Requests by file, with which an operator has a running gateway purge learned state."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

import structlog

from .learned_state import PurgeCategory

PURGE_REQUEST_NAME = "forget"

log = structlog.get_logger()


def write_purge_request(directory: Path, categories: Iterable[PurgeCategory]) -> Path:
    """Leave a request in a state directory. Returns its path, which the gateway removes."""
    request = directory / PURGE_REQUEST_NAME
    temporary = directory / f"{PURGE_REQUEST_NAME}.new"
    temporary.write_text(json.dumps([category.value for category in categories]))
    temporary.replace(request)
    return request


def take_purge_request(directory: Path) -> tuple[PurgeCategory, ...]:
    """Remove the request from a state directory, if there is one.

    Returns:
        The categories that may be purged in a running gateway.

    Raises:
        OSError: the request cannot be read or removed.
    """
    request = directory / PURGE_REQUEST_NAME
    if not request.exists():
        return ()
    categories: tuple[PurgeCategory, ...] = ()
    try:
        categories = tuple(PurgeCategory(word) for word in json.loads(request.read_bytes()))
    except (ValueError, TypeError) as error:
        log.error("purge request rejected", file=str(request), why=str(error))
    request.unlink()
    if PurgeCategory.ALL in categories:
        log.error("purge of a running gateway's ledgers rejected", file=str(request))
        return ()
    return categories
