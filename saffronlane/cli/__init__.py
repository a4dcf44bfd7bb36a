"""The command line."""

from .program import main

__all__ = ["main"]
