"""The Flight SQL service for clients: sessions, statements and tickets.

Scheduling decisions are made by the dispatcher.
"""

from .service import FlightSqlService

__all__ = ["FlightSqlService"]
