"""`python -m saffronlane.platform` runs one dispatcher, configured by the file that BALANCER_CONFIG names."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from pathlib import Path

import structlog

from .. import logging_setup
from .config import load_config
from .errors import ConfigError
from .server import serve

CONFIG_VARIABLE = "BALANCER_CONFIG"
LOG_LEVEL_VARIABLE = "SAFFRONLANE_LOG"
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_CONFIG = 2


def main() -> int:
    """Run the dispatcher and return the exit code."""
    logging_setup.set_up(os.environ.get(LOG_LEVEL_VARIABLE, "info"))
    path = os.environ.get(CONFIG_VARIABLE, "")
    if not path:
        print(f"{CONFIG_VARIABLE} is not set", file=sys.stderr)
        return EXIT_BAD_CONFIG
    try:
        config = load_config(Path(path))
    except ConfigError as error:
        print(f"configuration: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    gc.collect()
    gc.freeze()  # later collections skip the long-lived objects created so far
    try:
        asyncio.run(serve(config, Path(path)))
    except OSError as error:
        structlog.get_logger().error("start failed", error=str(error))
        return EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
