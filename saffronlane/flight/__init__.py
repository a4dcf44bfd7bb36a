"""The Flight SQL front: sessions, statements, tickets. It decides nothing."""

from .service import FlightFront

__all__ = ["FlightFront"]
