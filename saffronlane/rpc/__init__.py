"""gRPC over HTTP/2: framing, metadata, deadlines, status; a server and a client on Tornado's loop."""

from .client import Channel, ClientCall
from .metadata import Metadata
from .server import Handler, Server, ServerCall
from .status import Code, Ending, RpcError, Status

__all__ = [
    "Channel",
    "ClientCall",
    "Code",
    "Ending",
    "Handler",
    "Metadata",
    "RpcError",
    "Server",
    "ServerCall",
    "Status",
]
