"""RESP as bytes: arrays of bulk strings, cut from a stream within bounds, and written. No I/O."""

from .arrays import Parser, command
from .errors import RespError

__all__ = ["Parser", "RespError", "command"]
