"""Structured logging to standard error: JSON lines, or a human-readable format on a terminal."""

from __future__ import annotations

import logging
import sys

import structlog


def set_up(level: str = "info") -> None:
    """Configure logging. Called once at the start of a process.

    Args:
        level: The name of the lowest level that is logged.
    """
    is_terminal = sys.stderr.isatty()
    renderer: structlog.types.Processor = (
        structlog.dev.ConsoleRenderer() if is_terminal else structlog.processors.JSONRenderer()
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        # A line and its end are one write, so that the lines of several processes do not mix.
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
