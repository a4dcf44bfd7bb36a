"""RESP without I/O: arrays of bulk strings, parsed from a stream within limits, and encoded."""

from .arrays import ParsedArrays, RespParser, encode_command
from .errors import RespError

__all__ = ["ParsedArrays", "RespError", "RespParser", "encode_command"]
