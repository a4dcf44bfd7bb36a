"""RESP as bytes: arrays of bulk strings, cut from a stream within bounds, and written. No I/O."""

from .arrays import RespParser, encode_command
from .errors import RespError

__all__ = ["RespParser", "RespError", "encode_command"]
