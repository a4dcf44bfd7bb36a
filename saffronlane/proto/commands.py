"""The path of the Flight service, and the encoding of Flight SQL commands."""

from __future__ import annotations

from google.protobuf.any_pb2 import Any as AnyMessage
from google.protobuf.message import Message

from . import flight_pb2 as flight

SERVICE = "/arrow.flight.protocol.FlightService/"


def pack_any(message: Message) -> AnyMessage:
    """Return a message wrapped in an Any, as Flight SQL encodes commands."""
    wrapper = AnyMessage()
    wrapper.Pack(message)
    return wrapper


def descriptor(command: Message) -> flight.FlightDescriptor:
    """Return the descriptor of a command."""
    return flight.FlightDescriptor(
        type=flight.FlightDescriptor.CMD, cmd=pack_any(command).SerializeToString()
    )
