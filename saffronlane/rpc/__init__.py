"""gRPC over HTTP/2: framing, metadata, deadlines, status, a server and a client on the Tornado event loop."""

from .client import Channel, ClientCall
from .errors import RpcError
from .metadata import Metadata
from .server import Handler, Server, ServerCall
from .status import Code, Ending, Status

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
