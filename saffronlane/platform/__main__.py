"""`python -m saffronlane.platform`: one node, configured by BALANCER_CONFIG."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from pathlib import Path

import structlog

from .. import logging_setup as logs
from .config import load_config
from .errors import ConfigError
from .server import serve


def main() -> int:
    logs.set_up(os.environ.get("SAFFRONLANE_LOG", "info"))
    name = os.environ.get("BALANCER_CONFIG", "")
    if not name:
        print("BALANCER_CONFIG is not set", file=sys.stderr)
        return 2
    try:
        config = load_config(Path(name))
    except ConfigError as error:
        print(f"configuration: {error}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()  # what the start has made stays: no collection need look at it again
    try:
        asyncio.run(serve(config, Path(name)))
    except OSError as error:
        structlog.get_logger().error("cannot start", why=str(error))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
