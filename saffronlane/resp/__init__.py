"""RESP as bytes: arrays of bulk strings, cut from a stream within bounds, and written. No I/O."""

from .arrays import Parser, RespError, command

__all__ = ["Parser", "RespError", "command"]
