"""The downstream side: serves MessagePack-RPC clients within limits on bytes, requests and descriptors.

This package makes no scheduling decisions. An invalid message gets an error reply. Its connection is closed
only after too many invalid messages, after one without a readable id, or when the bytes after the message
cannot be parsed. Error replies to invalid messages are delayed so that their senders do not delay other
clients.
"""

from .request_decoder import DecodedRequest, RequestDecoder
from .server import DownstreamServer

__all__ = ["DecodedRequest", "DownstreamServer", "RequestDecoder"]
