"""The downstream side: serves MessagePack-RPC clients within limits on bytes, requests and descriptors.

This package makes no scheduling decisions. An invalid message gets an error reply and does not close its
connection, unless the connection has sent too many invalid messages, the message has no readable id, or the
input cannot be split into messages. Error replies to invalid messages are delayed, so that a client that
sends invalid messages in a loop does not slow down other clients.
"""

from .request_decoder import DecodedRequest, RequestDecoder
from .server import DownstreamServer

__all__ = ["DecodedRequest", "DownstreamServer", "RequestDecoder"]
