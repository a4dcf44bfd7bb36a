"""What every part that speaks Flight SQL needs: the service's path, and commands in their envelopes."""

from __future__ import annotations

from google.protobuf.any_pb2 import Any as AnyMessage
from google.protobuf.message import Message

from . import flight_pb2 as flight

SERVICE = "/arrow.flight.protocol.FlightService/"


def packed(message: Message) -> AnyMessage:
    """A message in an Any, as Flight SQL has its commands."""
    box = AnyMessage()
    box.Pack(message)
    return box


def descriptor(command: Message) -> flight.FlightDescriptor:
    """The descriptor that holds a command."""
    return flight.FlightDescriptor(type=flight.FlightDescriptor.CMD, cmd=packed(command).SerializeToString())
