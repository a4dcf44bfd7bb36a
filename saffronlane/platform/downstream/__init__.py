"""The downstream side: MessagePack-RPC clients, bounded in bytes, requests and descriptors.

It makes no scheduling decisions. An invalid message is answered with an error to its sender; its connection
is closed only where the bytes after the message cannot be parsed. Replies to invalid messages are delayed so
that their senders do not hold up other clients.
"""

from .request_decoder import DecodedRequest, RequestDecoder
from .server import DownstreamServer

__all__ = ["DecodedRequest", "DownstreamServer", "RequestDecoder"]
