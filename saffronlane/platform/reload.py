"""Reloads the configuration and reports changed fields that only take effect after a restart."""

from __future__ import annotations

from pathlib import Path

import structlog

from ..errors import error_fields
from .config import DispatcherConfig, load_config
from .errors import ConfigError

log = structlog.get_logger()
# Fields that only take effect after a restart, with their names in the file.
RESTART_FIELDS = {
    "listen": "listen",
    "max_sockets": "sockets",
    "peer_listen": "peer_listen",
    "peers": "peers",
    "broadcast_address": "peers_all",
    "settings": "settings",
    "engine_idle_timeout": "idle_close",
}


def pending_restart(current: DispatcherConfig, loaded: DispatcherConfig) -> list[str]:
    """Return the names in the file of changed fields that only take effect after a restart."""
    return [
        file_name
        for attribute, file_name in RESTART_FIELDS.items()
        if getattr(loaded, attribute) != getattr(current, attribute)
    ]


def reload_config(path: Path, current: DispatcherConfig) -> DispatcherConfig | None:
    """Load the configuration again.

    If it is invalid or belongs to another dispatcher, log an error and return None.
    """
    try:
        loaded = load_config(path)
    except ConfigError as error:
        log.error("configuration reload failed", **error_fields(error))
        return None
    if loaded.name != current.name:
        # The control feed of another dispatcher may list other engines.
        log.error(
            "configuration reload failed", why="configuration belongs to another dispatcher", name=loaded.name
        )
        return None
    log.info("configuration reloaded", feed=loaded.feed, pending_restart=pending_restart(current, loaded))
    return loaded
