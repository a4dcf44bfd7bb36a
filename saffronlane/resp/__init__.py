"""RESP without I/O: encodes commands, and parses arrays of bulk strings from a stream within size limits."""

from .arrays import ParsedArrays, RespParser, encode_command, encode_command_parts
from .errors import RespError

__all__ = ["ParsedArrays", "RespError", "RespParser", "encode_command", "encode_command_parts"]
