"""The front: MessagePack-RPC clients, bounded in bytes, requests and descriptors. It decides nothing.

What is wrong with a message ends as an error to its sender, and with its connection where the bytes after it
cannot be read. Clients that send what is wrong are answered later, so that the others do not wait for them.
"""

from .request_decoder import DecodedRequest, RequestDecoder
from .server import DownstreamServer

__all__ = ["DecodedRequest", "DownstreamServer", "RequestDecoder"]
